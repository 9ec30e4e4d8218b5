//! Listening sockets with `TCP_NODELAY`, and probes of other hosts' ports.

use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::error::Elapsed;

use crate::error::{Error, Result};

/// Number of connections that may wait to be accepted, unless the host's link is narrower.
pub const MAX_BACKLOG: u32 = 1_024;

/// Time without an acknowledgement, or with a closed window, after which a connection that must not be
/// silent breaks.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without data after which the first keep-alive probe is sent, and the interval of further
/// ones.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Listens on `address`. Accepted connections inherit `TCP_NODELAY`: otherwise the second
/// chunk of a stream would wait some 40 ms for the acknowledgement of the first.
///
/// # Errors
/// [`Error::Listen`] when the port can't be listened on.
pub fn listen(address: &str) -> Result<TcpListener> {
    listen_with_backlog(address, MAX_BACKLOG)
}

/// Like [`listen`], with at most `backlog` connections that wait to be accepted.
///
/// # Errors
/// [`Error::Listen`] when the port can't be listened on.
pub fn listen_with_backlog(address: &str, backlog: u32) -> Result<TcpListener> {
    open(address, backlog).map_err(|source| Error::Listen { address: address.to_owned(), source })
}

fn open(address: &str, backlog: u32) -> std::io::Result<TcpListener> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Makes a connection break once the other side has been silent for [`SILENCE_TIMEOUT`], whether
/// or not data is waiting to be acknowledged. With a user timeout the system gives up on keep-alive
/// probes by that time, whatever their number.
pub fn break_when_silent(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    // A connection that is gone already needs no options.
    let _gone = socket.set_tcp_keepalive(&keepalive);
    let _gone = socket.set_tcp_user_timeout(Some(SILENCE_TIMEOUT));
}

/// Result of a connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeResult {
    /// A process listens at the address.
    Accepted,
    /// The host is up, but no process listens at the address.
    Refused,
    /// The host did not answer in time, or there is no route to it.
    NoAnswer,
}

/// Connects to the IPv4 or IPv6 `address`, from the IP address `source` if it is set.
///
/// # Errors
/// The error of the operating system, or one for an address that can't be parsed.
pub async fn connect(address: &str, source: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    socket.set_nodelay(true)?;
    socket.connect(address).await
}

/// Tries to connect to `address` from `source`, and checks that the connection then stays open for
/// `hold`. The port of a process that has just ended may still accept connections for a short time,
/// and resets them at once. Such a connection counts as [`ProbeResult::NoAnswer`].
pub async fn probe_and_hold(
    address: &str,
    source: Option<IpAddr>,
    timeout: Duration,
    hold: Duration,
) -> ProbeResult {
    match tokio::time::timeout(timeout, connect(address, source)).await {
        Ok(Ok(stream)) => {
            // No request was sent, so a readable stream means that it was closed or reset.
            let closed = tokio::time::timeout(hold, stream.readable()).await;
            if closed.is_ok() { ProbeResult::NoAnswer } else { ProbeResult::Accepted }
        }
        failed => connect_result(&failed),
    }
}

/// Tries to connect to `address` within `timeout`.
pub async fn probe(address: &str, timeout: Duration) -> ProbeResult {
    connect_result(&tokio::time::timeout(timeout, TcpStream::connect(address)).await)
}

/// Converts the result of a connection attempt.
fn connect_result(connected: &Result<std::io::Result<TcpStream>, Elapsed>) -> ProbeResult {
    match connected {
        Ok(Ok(_)) => ProbeResult::Accepted,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => ProbeResult::Refused,
        Ok(Err(_)) | Err(_) => ProbeResult::NoAnswer,
    }
}
