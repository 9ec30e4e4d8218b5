//! HTTP listeners for all interfaces of the daemon.

use std::time::Duration;

use hyper_util::rt::TokioTimer;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::header::CONTENT_LENGTH;
use salvo::prelude::*;
use salvo::server::ServerHandle;
use tokio::task::JoinHandle;

use crate::base::tcp;
use crate::error::{Error, Result};

/// Size of a connection's read buffer, in bytes; the head of a request must fit.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Timeout for the head of a request, counted from the end of the request before it: no caller reuses a
/// connection that has been idle for so long.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// A running HTTP listener.
pub struct HttpListener {
    /// Stops the listener.
    pub handle: ServerHandle,
    /// Completes when the listener has stopped.
    pub task: JoinHandle<()>,
}

/// Starts a listener on `address` that serves the routes of `router`.
///
/// # Errors
/// [`Error::Listen`] if the address can't be bound.
pub async fn serve(address: &str, router: Router) -> Result<HttpListener> {
    serve_with_backlog(address, router, tcp::MAX_BACKLOG).await
}

/// Like [`serve`], with at most `backlog` connections that wait to be accepted.
///
/// # Errors
/// [`Error::Listen`] if the address can't be bound.
pub async fn serve_with_backlog(
    address: &str,
    router: Router,
    backlog: u32,
) -> Result<HttpListener> {
    let acceptor = TcpAcceptor::try_from(tcp::listen_with_backlog(address, backlog)?);
    let acceptor =
        acceptor.map_err(|source| Error::Listen { address: address.to_owned(), source })?;
    let mut server = Server::new(acceptor);
    server
        .http1_mut()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(READ_BUFFER_BYTES);
    let handle = server.handle();
    let task = tokio::spawn(async move { server.serve(router).await });
    Ok(HttpListener { handle, task })
}

/// Returns the length of a request's body by its head; 0 if there is none, as for a chunked body.
pub fn declared_length(req: &Request) -> usize {
    let length = req.headers().get(CONTENT_LENGTH).and_then(|length| length.to_str().ok());
    length.and_then(|length| length.parse().ok()).unwrap_or_default()
}
