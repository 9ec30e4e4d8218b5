//! Serving a stand-in until it is dropped.

use std::net::SocketAddr;

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;

/// Largest body that a stand-in takes, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A stand-in that serves; dropping it ends it.
#[derive(Debug)]
pub struct RunningStandIn {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningStandIn {
    /// Serves `router` on `listen`, an IP number and port.
    ///
    /// # Errors
    /// When the port can't be listened on.
    pub async fn start(listen: &str, router: Router) -> std::io::Result<Self> {
        let listen: SocketAddr = listen.parse().map_err(std::io::Error::other)?;
        let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        // Accepted connections take it over: pieces of a stream go at once.
        socket.set_nodelay(true)?;
        socket.bind(listen)?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        let task = tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        Ok(RunningStandIn { address, task })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until it ends by itself, which it does not.
    pub async fn wait(&mut self) {
        // An error means that the task was ended, which is what is waited for.
        let _ended = (&mut self.task).await;
    }
}

impl Drop for RunningStandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}
