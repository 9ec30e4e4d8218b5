//! Listening sockets that send small pieces at once, and whether somebody listens elsewhere.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::error::Elapsed;

use crate::error::{Error, Result};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens on `address`. Accepted connections take over that small writes are
/// not held back for the acknowledgement of earlier ones: a stream's second
/// piece would otherwise wait some 40 ms.
///
/// # Errors
/// [`Error::Listen`] when the port can't be listened on.
pub fn listen(address: &str) -> Result<TcpListener> {
    open(address).map_err(|source| Error::Listen { address: address.to_owned(), source })
}

fn open(address: &str) -> std::io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// What a host says to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// Somebody listens at the address.
    Accepted,
    /// The host is there, and nobody listens.
    Refused,
    /// No word in time, or no way there.
    NoAnswer,
}

/// Tries to connect to `address`, and whether the connection then stays open for `hold`. The
/// port of a process that has just ended may be open a little longer than its connections;
/// what connects to it then is reset at once. Such a connection counts as silence.
pub async fn probe_and_hold(address: &str, timeout: Duration, hold: Duration) -> ProbeResult {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            // Nobody was asked anything: whatever there is to read is an end or an error.
            let ended = tokio::time::timeout(hold, stream.readable()).await;
            if ended.is_ok() { ProbeResult::NoAnswer } else { ProbeResult::Accepted }
        }
        other => connect_result(&other),
    }
}

/// Tries to connect to `address`.
pub async fn probe(address: &str, timeout: Duration) -> ProbeResult {
    connect_result(&tokio::time::timeout(timeout, TcpStream::connect(address)).await)
}

fn connect_result(connected: &Result<std::io::Result<TcpStream>, Elapsed>) -> ProbeResult {
    match connected {
        Ok(Ok(_)) => ProbeResult::Accepted,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
        Ok(Err(_)) | Err(_) => ProbeResult::NoAnswer,
    }
}
