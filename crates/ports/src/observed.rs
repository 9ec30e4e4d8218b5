//! Connections of an HTTP client that know whether a request was written, and that can be given up while
//! the client library would go on to write the request or to read what is no answer.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures::future::BoxFuture;
use futures::task::AtomicWaker;
use futures::{FutureExt, TryFutureExt};
use http::{Extensions, Request, Uri};
use hyper::ext::on_informational;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{
    CaptureConnection, Connected, Connection, HttpConnector,
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, Join};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
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

/// Connection that breaks once data was not acknowledged, or could not be sent, for some time.
pub trait BreaksWhenSilent {
    /// Sets that time; `None` for the system's own, which lets the other side keep its window closed.
    fn set_silence_timeout(&self, timeout: Option<Duration>);
}

impl BreaksWhenSilent for TokioIo<TcpStream> {
    fn set_silence_timeout(&self, timeout: Option<Duration>) {
        // A connection that is gone already needs no options.
        let _gone = SockRef::from(self.inner()).set_tcp_user_timeout(timeout);
    }
}

impl<R: AsyncRead> BreaksWhenSilent for TokioIo<Join<R, OwnedWriteHalf>> {
    fn set_silence_timeout(&self, timeout: Option<Duration>) {
        // As above.
        let _gone = SockRef::from(self.inner().writer().as_ref()).set_tcp_user_timeout(timeout);
    }
}

/// Stream of a connection with its state.
#[derive(Debug)]
pub struct ObservedStream<T> {
    stream: T,
    state: ConnectionState,
    /// Time for which the other side may be silent; `None` if that is not bounded.
    silence_timeout: Option<Duration>,
    /// Whether the other side may be silent now: it sends an answer and does not read the request yet.
    may_be_silent: bool,
}

impl<T> ObservedStream<T> {
    /// Observes a new connection, on which the other side may be silent for `silence_timeout`.
    pub fn new(stream: T, silence_timeout: Option<Duration>) -> Self {
        ObservedStream {
            stream,
            state: ConnectionState::new(),
            silence_timeout,
            may_be_silent: false,
        }
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> ConnectionState {
        self.state.clone()
    }
}

impl<T: BreaksWhenSilent> ObservedStream<T> {
    /// Lets the other side be silent or not.
    fn allow_silence(&mut self, may_be_silent: bool) {
        let Some(timeout) = self.silence_timeout.filter(|_| self.may_be_silent != may_be_silent)
        else {
            return;
        };
        self.may_be_silent = may_be_silent;
        self.stream.set_silence_timeout((!may_be_silent).then_some(timeout));
    }
}

impl<T: Read + BreaksWhenSilent + Unpin> Read for ObservedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.state.check()?;
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_ready() && self.state.is_write_blocked() {
            self.allow_silence(true);
        }
        read
    }
}

impl<T: Write + BreaksWhenSilent + Unpin> Write for ObservedStream<T> {
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
        self.allow_silence(false);
        Poll::Ready(flushed)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ObservedStream<TokioIo<TcpStream>> {
    /// Observes a new TCP connection.
    fn connected(stream: TokioIo<TcpStream>, silence_timeout: Option<Duration>) -> Self {
        // Without it more of a rejected request is sent.
        let _unsupported = SockRef::from(stream.inner()).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        stream.set_silence_timeout(silence_timeout);
        Self::new(stream, silence_timeout)
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
pub struct ObservingConnector {
    connector: HttpConnector,
    silence_timeout: Option<Duration>,
}

impl ObservingConnector {
    /// Observes the connections of a connector. They break once the other side is silent for
    /// `silence_timeout`, while it does not answer.
    pub fn new(connector: HttpConnector, silence_timeout: Option<Duration>) -> Self {
        ObservingConnector { connector, silence_timeout }
    }
}

impl Service<Uri> for ObservingConnector {
    type Response = ObservedStream<TokioIo<TcpStream>>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let silence_timeout = self.silence_timeout;
        let connecting = self.connector.call(uri);
        connecting.map_ok(move |stream| ObservedStream::connected(stream, silence_timeout)).boxed()
    }
}
