//! Connections to backend servers.
//!
//! hyper's client, on which reqwest rests too: reqwest rewrites some paths
//! (dots, escapes), and a path must reach the server as the caller wrote it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::uri::{PathAndQuery, Scheme, Uri};
use hyper::{HeaderMap, Method, Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

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
    /// No connection could be made, so nothing was sent.
    #[error("no connection: {0}")]
    NotConnected(String),
    /// The connection broke; the request may have run.
    #[error("the connection broke: {0}")]
    Broken(String),
}

/// The client.
#[derive(Debug, Clone)]
pub struct Backends {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Backends {
    /// A client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        // A request that never left because its connection had closed before is
        // sent on another one; one that has left in part is not.
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .retry_canceled_requests(true)
            .build(connector);
        Backends { client }
    }

    /// Sends a request and returns once the head of the answer is there.
    ///
    /// # Errors
    /// [`SendError`] tells whether anything was sent.
    pub async fn send(
        &self,
        address: &str,
        outgoing: Outgoing,
    ) -> Result<Response<Incoming>, SendError> {
        let uri = Uri::builder()
            .scheme(Scheme::HTTP)
            .authority(address)
            .path_and_query(outgoing.path)
            .build()
            .map_err(|e| SendError::NotConnected(e.to_string()))?;
        let mut req = Request::new(Full::new(outgoing.body));
        *req.method_mut() = outgoing.method;
        *req.uri_mut() = uri;
        *req.headers_mut() = outgoing.headers;
        self.client.request(req).await.map_err(|e| {
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
