//! HTTP/1.1 client for answers whose heads may not end.
//!
//! reqwest builds the requests; hyper's client sends them, since reqwest neither counts interim answers nor
//! bounds the read buffer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use futures::TryFutureExt;
use futures::future::MapOk;
use http::{Extensions, Request, Uri};
use hyper::ext::on_informational;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{
    CaptureConnection, Connected, Connection, HttpConnector, capture_connection,
};
use hyper_util::rt::{TokioExecutor, TokioIo};
use reqwest::{Body, RequestBuilder, Response};
use tokio::net::TcpStream;
use tower_service::Service;

/// Maximum number of interim answers (1xx) before an answer. Nothing that this client sends asks for one.
const MAX_INTERIM_ANSWERS: u32 = 16;

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
    client: Client<BoundedConnector, Body>,
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
            .build(BoundedConnector(connector));
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
        let received = AtomicU32::new(0);
        on_informational(&mut req, move |_| {
            if received.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
                refuse_data(&connection);
            }
        });
        let res = self.client.request(req).await.map_err(|e| {
            if e.is_connect() { SendError::NotConnected(e) } else { SendError::Unanswered(e) }
        })?;
        Ok(res.map(Body::wrap).into())
    }
}

/// Makes reading from a connection fail.
fn refuse_data(connection: &CaptureConnection) {
    let mut extras = Extensions::new();
    if let Some(connected) = &*connection.connection_metadata() {
        connected.get_extras(&mut extras);
    }
    if let Some(RefusesData(refuses)) = extras.get() {
        refuses.store(true, Ordering::Relaxed);
    }
}

/// Whether a connection refuses further data.
#[derive(Debug, Clone, Default)]
struct RefusesData(Arc<AtomicBool>);

/// Connection that can refuse further data.
#[derive(Debug)]
struct BoundedStream {
    stream: TokioIo<TcpStream>,
    refuses: RefusesData,
}

impl Read for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.refuses.0.load(Ordering::Relaxed) {
            let problem = "too many interim answers";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, problem)));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Connection for BoundedStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.refuses.clone())
    }
}

/// Connector for connections that can refuse data.
#[derive(Debug, Clone)]
struct BoundedConnector(HttpConnector);

type HttpConnecting = <HttpConnector as Service<Uri>>::Future;

impl Service<Uri> for BoundedConnector {
    type Response = BoundedStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = MapOk<HttpConnecting, fn(TokioIo<TcpStream>) -> BoundedStream>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        self.0.call(uri).map_ok(|stream| BoundedStream { stream, refuses: RefusesData::default() })
    }
}
