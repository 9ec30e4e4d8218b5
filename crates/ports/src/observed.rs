//! Connections of an HTTP client that know whether a request was written, and that can be given up while
//! the client library would go on to write the request or to read what is no answer.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use futures::TryFutureExt;
use futures::task::AtomicWaker;
use http::{Extensions, Request, Uri};
use hyper::ext::on_informational;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{
    CaptureConnection, Connected, Connection, HttpConnector,
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tower_service::Service;

/// Amount of data that the kernel may hold without sending it, in bytes: the rest of a request can still
/// be kept from a server that rejects it.
const MAX_UNSENT_BYTES: u32 = 4 << 10;

/// Maximum number of interim responses (1xx) to a request, none of which asks for any.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// What is known of a connection; clones share it.
#[derive(Debug, Clone)]
pub struct ConnectionState(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    number: u64,
    responses: AtomicU64,
    is_write_blocked: AtomicBool,
    is_abandoned: AtomicBool,
    /// Task that waits to write.
    writer: AtomicWaker,
}

impl ConnectionState {
    fn new() -> Self {
        static LAST: AtomicU64 = AtomicU64::new(0);
        let number = LAST.fetch_add(1, Ordering::Relaxed);
        ConnectionState(Arc::new(Inner {
            number,
            responses: AtomicU64::new(0),
            is_write_blocked: AtomicBool::new(false),
            is_abandoned: AtomicBool::new(false),
            writer: AtomicWaker::new(),
        }))
    }

    /// Returns the number of the connection, which no other one of this process has.
    pub fn number(&self) -> u64 {
        self.0.number
    }

    /// Counts a response; returns its number on the connection, from 1.
    pub fn count_response(&self) -> u64 {
        self.0.responses.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns whether data of the latest request has not been passed to the kernel yet.
    pub fn is_write_blocked(&self) -> bool {
        self.0.is_write_blocked.load(Ordering::Relaxed)
    }

    /// Gives the connection up: nothing more is written or read, so that the client closes it.
    pub fn abandon(&self) {
        self.0.is_abandoned.store(true, Ordering::Release);
        self.0.writer.wake();
    }

    /// Returns the state of the connection that a request uses; `None` before it has one.
    pub fn of(connection: &CaptureConnection) -> Option<Self> {
        let mut extras = Extensions::new();
        connection.connection_metadata().as_ref()?.get_extras(&mut extras);
        extras.remove()
    }

    /// Checks that the connection is not abandoned.
    fn check(&self) -> io::Result<()> {
        if self.0.is_abandoned.load(Ordering::Acquire) {
            // What was received is no answer, or no more of the request is wanted.
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Checks that the connection is not abandoned; `cx` is woken when it is.
    fn check_write(&self, cx: &Context<'_>) -> io::Result<()> {
        self.0.writer.register(cx.waker());
        self.check()
    }

    /// Records the result of writing `len` bytes.
    fn record_write(&self, len: usize, written: &Poll<io::Result<usize>>) {
        if !matches!(written, Poll::Ready(Ok(n)) if *n == len) {
            self.0.is_write_blocked.store(true, Ordering::Relaxed);
        }
    }
}

/// Bounds the number of interim responses to a request: its connection is abandoned beyond it.
pub fn bound_interim_responses<B>(
    req: &mut Request<B>,
    connection: impl Fn() -> Option<ConnectionState> + Send + Sync + 'static,
) {
    let received = AtomicU32::new(0);
    on_informational(req, move |_| {
        if received.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES
            && let Some(connection) = connection()
        {
            connection.abandon();
        }
    });
}

/// Stream of a connection with its state.
#[derive(Debug)]
pub struct ObservedStream<T> {
    stream: T,
    state: ConnectionState,
}

impl<T> ObservedStream<T> {
    /// Observes a new connection.
    pub fn new(stream: T) -> Self {
        ObservedStream { stream, state: ConnectionState::new() }
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> ConnectionState {
        self.state.clone()
    }
}

impl<T: Read + Unpin> Read for ObservedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.state.check()?;
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<T: Write + Unpin> Write for ObservedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.state.check_write(cx)?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.state.record_write(buf.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.state.check_write(cx)?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.state.record_write(bufs.iter().map(|buf| buf.len()).sum(), &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP client flushes once it has written all that it has.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = ready!(Pin::new(&mut self.stream).poll_flush(cx));
        self.state.0.is_write_blocked.store(false, Ordering::Relaxed);
        Poll::Ready(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ObservedStream<TokioIo<TcpStream>> {
    /// Observes a new TCP connection.
    fn connected(stream: TokioIo<TcpStream>) -> Self {
        // Without it more of a rejected request is sent.
        let _unsupported = SockRef::from(stream.inner()).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        Self::new(stream)
    }
}

impl Connection for ObservedStream<TokioIo<TcpStream>> {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.state())
    }
}

/// Connector that observes the connections it makes. Responses have the [`ConnectionState`] as an
/// extension.
#[derive(Debug, Clone)]
pub struct ObservingConnector(pub HttpConnector);

type HttpConnecting = <HttpConnector as Service<Uri>>::Future;

impl Service<Uri> for ObservingConnector {
    type Response = ObservedStream<TokioIo<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = futures::future::MapOk<HttpConnecting, fn(TokioIo<TcpStream>) -> Self::Response>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        self.0.call(uri).map_ok(ObservedStream::connected)
    }
}
