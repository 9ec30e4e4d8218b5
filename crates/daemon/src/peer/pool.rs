//! Connections to peers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;

use crate::peer::{PeerServiceClient, framed};

/// Connections to peers, made when needed.
#[derive(Debug, Default)]
pub struct PeerPool {
    clients: Mutex<HashMap<String, PeerServiceClient>>,
}

impl PeerPool {
    /// A client of the peer at this address.
    ///
    /// # Errors
    /// When it can't be connected to within `timeout`.
    pub async fn client(
        &self,
        address: &str,
        timeout: Duration,
    ) -> std::io::Result<PeerServiceClient> {
        if let Some(client) = self.clients.lock().get(address) {
            return Ok(client.clone());
        }
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
        // A call that follows another one must not wait for its acknowledgement.
        stream.set_nodelay(true)?;
        let transport = tarpc::serde_transport::new(framed(stream), Bincode::default());
        let client = PeerServiceClient::new(tarpc::client::Config::default(), transport).spawn();
        self.clients.lock().insert(address.to_owned(), client.clone());
        Ok(client)
    }

    /// Calls the peer at this address; none when it does not answer in time.
    pub async fn call<T, F>(
        &self,
        address: &str,
        timeout: Duration,
        call: impl FnOnce(PeerServiceClient, Context) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(address, timeout).await.ok()?;
        let mut cx = tarpc::context::current();
        cx.deadline = Instant::now() + timeout;
        let answer = tokio::time::timeout(timeout, call(client, cx)).await;
        match answer {
            Ok(Ok(answer)) => Some(answer),
            // After a cut a connection that was kept waits for its retransmission,
            // seconds longer than a new one takes.
            Ok(Err(_)) | Err(_) => {
                self.clients.lock().remove(address);
                None
            }
        }
    }

    /// How many connections are kept.
    pub fn len(&self) -> usize {
        self.clients.lock().len()
    }

    /// Whether no connection is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
