//! HTTP server of a stand-in.

use std::net::SocketAddr;

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;

/// Largest request body that a stand-in accepts, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// Number of connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A running stand-in; dropping it stops the server.
#[derive(Debug)]
pub struct RunningStandIn {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningStandIn {
    /// Serves `router` on `listen`, an IP address and port.
    ///
    /// # Errors
    /// If `listen` is not an address or can't be listened on.
    pub async fn start(listen: &str, router: Router) -> std::io::Result<Self> {
        let listen: SocketAddr = listen.parse().map_err(std::io::Error::other)?;
        let socket = if listen.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit the option, so that the chunks of a stream are sent at once.
        socket.set_nodelay(true)?;
        socket.bind(listen)?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        let task = tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        Ok(RunningStandIn { address, task })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the server ends, which it does not do by itself.
    pub async fn wait(&mut self) {
        // An error means that the task was aborted, which also ends the wait.
        let _ended = (&mut self.task).await;
    }
}

impl Drop for RunningStandIn {
    fn drop(&mut self) {
        self.task.abort();
    }
}
