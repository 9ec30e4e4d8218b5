//! Connections to backend servers.
//!
//! hyper's client, on which reqwest rests too: reqwest rewrites some paths
//! (dots, escapes), and a path must reach the server as the caller wrote it.

use std::collections::HashMap;
use std::time::Duration;

use bankcove_core::Millis;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::uri::{PathAndQuery, Scheme, Uri};
use hyper::{HeaderMap, Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use parking_lot::Mutex;

use crate::hints::permit::{Permit, PermitError};

/// Longest wait for a connection: a server in reach answers within 2 ms, and a
/// silent one must not use up the 300 ms that callers of plain services allow.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long data may stay unacknowledged before a connection counts as broken.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

/// Connections are closed by this side after resting this long, before servers
/// close them: those announce whole seconds, and few of them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A request for one server; the body is shared by all tries.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// Path and query as the caller wrote them.
    pub path: PathAndQuery,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Why no answer came.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The permit could not be used, so nothing was sent; the server has failed nothing.
    #[error(transparent)]
    Permit(#[from] PermitError),
    /// No connection could be made, so nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The connection broke; the request may have run.
    #[error("the connection broke: {0}")]
    Broken(String),
}

/// Connections to the servers at one or more addresses.
type Connections = Client<HttpConnector, Full<Bytes>>;

/// The client.
#[derive(Debug)]
pub struct Backends {
    /// For servers of which one start alone was seen.
    shared: Connections,
    starts: Mutex<HashMap<String, Start>>,
}

/// The start of a server that is sent to.
#[derive(Debug)]
struct Start {
    started_ms: Millis,
    /// Its own connections, when an earlier start was sent to at that address: what is
    /// kept to that one may hang for [`UNACKNOWLEDGED`], if its host lost power.
    own: Option<Connections>,
}

fn connections() -> Connections {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
    // A request that never left because its connection had closed before is
    // sent on another one, by the same permit; one that has left in part is not.
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .retry_canceled_requests(true)
        .build(connector)
}

impl Backends {
    /// A client without connections.
    pub fn new() -> Self {
        Backends { shared: connections(), starts: Mutex::default() }
    }

    /// Connections to this start of a server.
    fn connections_to(&self, address: &str, started_ms: Millis) -> Connections {
        if started_ms == 0 {
            return self.shared.clone();
        }
        let mut starts = self.starts.lock();
        if let Some(known) = starts.get_mut(address) {
            if known.started_ms != started_ms {
                *known = Start { started_ms, own: Some(connections()) };
            }
            return known.own.clone().unwrap_or_else(|| self.shared.clone());
        }
        starts.insert(address.to_owned(), Start { started_ms, own: None });
        self.shared.clone()
    }

    /// Sends a request and returns once the head of the answer is there.
    ///
    /// # Errors
    /// [`SendError`] tells whether anything was sent.
    pub async fn send(
        &self,
        permit: Permit,
        outgoing: Outgoing,
    ) -> Result<Response<Incoming>, SendError> {
        let choice = permit.consume()?;
        let uri = Uri::builder()
            .scheme(Scheme::HTTP)
            .authority(choice.address.as_str())
            .path_and_query(outgoing.path)
            .build()
            .map_err(|e| SendError::NotConnected(e.to_string()))?;
        let mut req = Request::new(Full::new(outgoing.body));
        *req.method_mut() = outgoing.method;
        *req.uri_mut() = uri;
        *req.headers_mut() = outgoing.headers;
        let connections = self.connections_to(&choice.address, choice.started_ms);
        connections.request(req).await.map_err(|e| {
            if e.is_connect() {
                SendError::NotConnected(causes(&e))
            } else {
                SendError::Broken(causes(&e))
            }
        })
    }
}

/// An error with what lies below it, on one line.
fn causes(e: &dyn std::error::Error) -> String {
    let below = std::iter::successors(e.source(), |e| e.source());
    below.fold(e.to_string(), |text, cause| format!("{text}: {cause}"))
}

impl Default for Backends {
    fn default() -> Self {
        Backends::new()
    }
}
