//! Listening sockets that send small pieces at once.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

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
