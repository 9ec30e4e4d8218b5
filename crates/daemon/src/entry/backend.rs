//! HTTP client for backend servers.
//!
//! It uses hyper's client directly. reqwest, which is built on it, rewrites some paths (dots,
//! escapes), and a server must receive the path as the caller wrote it.

use std::collections::HashMap;
use std::error::Error;
use std::io;
use std::net::IpAddr;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::held_answers::MAX_READ_BYTES;
use bankcove_core::router::Choice;
use bankcove_ports::observed::{
    ConnectionState, ObservedStream, ObservingConnector, bound_interim_responses,
};
use hyper::http::uri::{PathAndQuery, Scheme, Uri};
use hyper::{HeaderMap, Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioIo};
use parking_lot::Mutex;

use crate::base::tcp::SILENCE_TIMEOUT;
use crate::entry::response::UncheckedResponse;
use crate::entry::sends::NumberedPermit;
use crate::hints::permit::PermitError;
use crate::peer::tunnel::TunnelStream;
use crate::requests::held_bodies::SendBody;

/// Timeout for connecting. A reachable server accepts within 2 ms, and an unreachable one must not
/// use up the 300 ms that callers of plain services allow.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which the client closes an idle connection. It is shorter than the idle timeouts of
/// servers, which are a small number of whole seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Request to one server.
#[derive(Debug)]
pub struct BackendRequest {
    /// Method.
    pub method: Method,
    /// Path and query as the caller wrote them.
    pub path: PathAndQuery,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: SendBody,
}

/// Error of a request that got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The permit could not be used, so nothing was sent. This is not a failure of the server.
    #[error(transparent)]
    Permit(#[from] PermitError),
    /// No connection could be established, so nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The connection broke; the request may have run.
    #[error("the connection broke: {0}")]
    Broken(String),
    /// The answer is no HTTP message; the request may have run.
    #[error("no HTTP message: {0}")]
    Malformed(String),
    /// This host has lost its path to the server; the request may have run.
    #[error("the path to the server was lost")]
    PathLost,
}

impl SendError {
    /// Error of a request that was sent and got no answer.
    fn without_answer(e: &(dyn Error + 'static)) -> Self {
        let problem = format_with_sources(e);
        if is_malformed(e) { SendError::Malformed(problem) } else { SendError::Broken(problem) }
    }
}

/// Returns whether an error was caused by what the server has sent, rather than by the end of its
/// connection.
pub fn is_malformed(e: &(dyn Error + 'static)) -> bool {
    let mut causes = std::iter::successors(Some(e), |e| (*e).source());
    causes.any(|cause| {
        let parse_error = cause.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_parse);
        // Errors in the framing of a body.
        let kind = cause.downcast_ref::<io::Error>().map(io::Error::kind);
        parse_error
            || matches!(kind, Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput))
    })
}

/// Client with the connections to servers at one or more addresses.
type HttpClient = Client<ObservingConnector, SendBody>;

/// Clients with separate connections, by the number of the sends that they carry.
type NumberedClients = Vec<HttpClient>;

/// HTTP client for all backend servers.
#[derive(Debug)]
pub struct BackendClient {
    clients: Mutex<Clients>,
    /// IP address from which connections are made, if it is set.
    source: Option<IpAddr>,
}

#[derive(Debug, Default)]
struct Clients {
    /// For servers of which only one instance is known.
    shared: NumberedClients,
    /// Latest instance of the server at each address.
    instances: HashMap<String, Instance>,
}

/// The instance of a server to which requests are sent.
#[derive(Debug)]
struct Instance {
    started_ms: Millis,
    /// How many times the path to it was lost.
    path_losses: u64,
    /// Its own clients, if requests were sent to an earlier instance at the same address, or before
    /// the path was lost: connections from before may hang for [`SILENCE_TIMEOUT`].
    own: Option<NumberedClients>,
}

impl Clients {
    /// Returns the clients for this instance of a server.
    fn of(&mut self, address: &str, started_ms: Millis, path_losses: u64) -> &mut NumberedClients {
        if started_ms == 0 && path_losses == 0 {
            return &mut self.shared;
        }
        let known = self.instances.entry(address.to_owned()).or_insert_with(|| Instance {
            started_ms,
            path_losses,
            own: (path_losses > 0).then(Vec::new),
        });
        if (known.started_ms, known.path_losses) != (started_ms, path_losses) {
            *known = Instance { started_ms, path_losses, own: Some(Vec::new()) };
        }
        known.own.as_mut().unwrap_or(&mut self.shared)
    }
}

/// Creates a client without connections, which makes them from `source`.
fn new_client(source: Option<IpAddr>) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_local_address(source);
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    // If the connection was closed before any byte was sent, the request is sent again on another
    // connection, with the same permit; a partly sent request is not.
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(true)
        .http1_max_buf_size(MAX_READ_BYTES as usize)
        .build(ObservingConnector::new(connector, Some(SILENCE_TIMEOUT)))
}

impl BackendClient {
    /// Creates a client without connections, which makes them from the IP address `source` if it
    /// is set.
    pub fn new(source: Option<IpAddr>) -> Self {
        BackendClient { clients: Mutex::default(), source }
    }

    /// Returns the client for sends of this number to an instance of a server, the path to which was
    /// lost `path_losses` times.
    fn client_for(&self, choice: &Choice, path_losses: u64, number: usize) -> HttpClient {
        let mut clients = self.clients.lock();
        let clients = clients.of(&choice.address, choice.started_ms, path_losses);
        while clients.len() <= number {
            clients.push(new_client(self.source));
        }
        clients[number].clone()
    }

    /// Sends a request over this host's own path, which was lost `path_losses` times, and returns the
    /// answer when its head has been received.
    ///
    /// # Errors
    /// [`SendError`], by which the caller knows whether anything was sent.
    pub async fn send(
        &self,
        permit: NumberedPermit,
        path_losses: u64,
        backend_request: BackendRequest,
    ) -> Result<UncheckedResponse, SendError> {
        let NumberedPermit { permit, number } = permit;
        let choice = permit.consume()?;
        let uri = Uri::builder()
            .scheme(Scheme::HTTP)
            .authority(choice.address.as_str())
            .path_and_query(backend_request.path)
            .build()
            .map_err(|e| SendError::NotConnected(e.to_string()))?;
        let mut req =
            new_request(backend_request.method, uri, backend_request.headers, backend_request.body);
        let connection = capture_connection(&mut req);
        let used = connection.clone();
        bound_interim_responses(&mut req, move || ConnectionState::of(&used));
        let res =
            self.client_for(&choice, path_losses, number).request(req).await.map_err(|e| {
                if e.is_connect() {
                    SendError::NotConnected(format_with_sources(&e))
                } else {
                    SendError::without_answer(&e)
                }
            })?;
        Ok(UncheckedResponse::pooled(res, connection))
    }
}

/// Sends a request through a tunnel, which it uses alone, and returns the answer when its head has
/// been received. Dropping the answer closes the tunnel.
///
/// # Errors
/// As [`BackendClient::send`].
pub async fn send_through(
    tunnel: TunnelStream,
    permit: NumberedPermit,
    backend_request: BackendRequest,
) -> Result<UncheckedResponse, SendError> {
    permit.permit.consume()?;
    let mut http1 = hyper::client::conn::http1::Builder::new();
    http1.max_buf_size(MAX_READ_BYTES as usize);
    let stream = ObservedStream::new(TokioIo::new(tunnel), Some(SILENCE_TIMEOUT));
    let state = stream.state();
    let (mut sender, connection) = http1
        .handshake(stream)
        .await
        .map_err(|e| SendError::NotConnected(format_with_sources(&e)))?;
    // It ends when the answer is complete or dropped.
    tokio::spawn(connection);
    let uri = Uri::from(backend_request.path);
    let mut req =
        new_request(backend_request.method, uri, backend_request.headers, backend_request.body);
    let used = state.clone();
    bound_interim_responses(&mut req, move || Some(used.clone()));
    let res = sender.send_request(req).await;
    let res = res.map_err(|e| SendError::without_answer(&e))?;
    Ok(UncheckedResponse::single(res, state))
}

fn new_request(method: Method, uri: Uri, headers: HeaderMap, body: SendBody) -> Request<SendBody> {
    let mut req = Request::new(body);
    *req.method_mut() = method;
    *req.uri_mut() = uri;
    *req.headers_mut() = headers;
    req
}

/// Formats an error and its sources on one line.
fn format_with_sources(e: &dyn Error) -> String {
    let sources = std::iter::successors(e.source(), |e| (*e).source());
    sources.fold(e.to_string(), |text, cause| format!("{text}: {cause}"))
}
