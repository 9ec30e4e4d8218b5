//! HTTP listeners for all interfaces of the daemon, and reading of request bodies for `api`.

use std::time::Duration;

use bytes::Bytes;
use hyper_util::rt::TokioTimer;
use salvo::conn::tcp::TcpAcceptor;
use salvo::prelude::*;
use salvo::server::ServerHandle;
use tokio::task::JoinHandle;

use crate::api::response::ErrorResponse;
use crate::base::config::Limits;
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

/// Reads a request body within the size and time limits of the settings.
///
/// # Errors
/// The response to the caller if the body is too large, too slow or can't be read.
pub async fn read_body(
    limits: &Limits,
    req: &mut Request,
) -> std::result::Result<Bytes, ErrorResponse> {
    let reading = req.payload_with_max_size(limits.max_body_bytes);
    match tokio::time::timeout(Duration::from_millis(limits.body_timeout_ms), reading).await {
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(_)) => {
            let message =
                format!("the body can't be read or exceeds {} bytes", limits.max_body_bytes);
            Err(ErrorResponse::refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message))
        }
        Err(_) => {
            let message = format!("the body took longer than {} ms", limits.body_timeout_ms);
            Err(ErrorResponse::refused(StatusCode::REQUEST_TIMEOUT, "body_too_slow", message))
        }
    }
}
