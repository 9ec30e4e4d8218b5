//! HTTP/1.1 client for answers whose heads may not end.
//!
//! reqwest builds the requests; hyper's client sends them, since reqwest neither counts interim answers nor
//! bounds the read buffer.

use std::time::Duration;

use http::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::TokioExecutor;
use reqwest::{Body, RequestBuilder, Response};

use crate::observed::{ConnectionState, ObservingConnector, bound_interim_responses};

/// Size of a connection's read buffer, in bytes; the head of an answer must fit.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Error of a request that got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The request is invalid; nothing was sent.
    #[error(transparent)]
    Invalid(reqwest::Error),
    /// No connection was made; nothing was sent.
    #[error("no connection: {0:?}")]
    NotConnected(hyper_util::client::legacy::Error),
    /// The connection broke, or what it received is no answer.
    #[error("no answer: {0:?}")]
    Unanswered(hyper_util::client::legacy::Error),
}

/// The client; clones share its connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    requests: reqwest::Client,
    client: Client<ObservingConnector, Body>,
}

impl HttpClient {
    /// Creates a client without connections.
    ///
    /// # Panics
    /// If reqwest's client can't be built, which only a broken build of the library causes.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .http1_max_buf_size(READ_BUFFER_BYTES)
            .build(ObservingConnector::new(connector, None));
        let requests = reqwest::Client::builder().no_proxy().build();
        let requests = requests.expect("an HTTP client without TLS needs no system resources");
        HttpClient { requests, client }
    }

    /// Returns the client that builds requests for [`HttpClient::send`]; it sends none.
    pub fn requests(&self) -> &reqwest::Client {
        &self.requests
    }

    /// Sends a request, without regard to its timeout, and returns the answer once its head was received.
    ///
    /// # Errors
    /// [`SendError`] if there is none.
    pub async fn send(&self, req: RequestBuilder) -> Result<Response, SendError> {
        let req = req.build().and_then(Request::<Body>::try_from);
        let mut req = req.map_err(SendError::Invalid)?;
        let connection = capture_connection(&mut req);
        bound_interim_responses(&mut req, move || ConnectionState::of(&connection));
        let res = self.client.request(req).await.map_err(|e| {
            if e.is_connect() { SendError::NotConnected(e) } else { SendError::Unanswered(e) }
        })?;
        Ok(res.map(Body::wrap).into())
    }
}
