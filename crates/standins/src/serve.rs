//! Serving a stand-in until it is dropped.

use std::net::SocketAddr;

use salvo::conn::{Acceptor, TcpListener};
use salvo::{Listener, Router, Server};
use tokio::task::JoinHandle;

/// Largest body that a stand-in takes, in bytes.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// A stand-in that serves; dropping it ends it.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Running {
    /// Serves `router` on `listen`, an IP number and port.
    ///
    /// # Errors
    /// When the port can't be listened on.
    pub async fn start(listen: &str, router: Router) -> std::io::Result<Self> {
        let acceptor = TcpListener::new(listen.to_owned())
            .try_bind()
            .await
            .map_err(|e| std::io::Error::other(format!("can't listen on {listen}: {e}")))?;
        let holding = acceptor.holdings().first();
        let address = holding.and_then(|holding| holding.local_addr.clone().into_std());
        let address =
            address.ok_or_else(|| std::io::Error::other("the listener has no address"))?;
        let task = tokio::spawn(async move { Server::new(acceptor).serve(router).await });
        Ok(Running { address, task })
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

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}
