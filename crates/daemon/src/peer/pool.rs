//! Pool of connections to peers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;

use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::peer::frame_stream::{FrameStream, MessageMemory};
use crate::peer::{PeerServiceClient, framed};

/// Connections to peers, one per address, opened on first use.
#[derive(Debug, Default)]
pub struct PeerPool {
    clients: Mutex<HashMap<String, PeerServiceClient>>,
    memory: MessageMemory,
}

impl PeerPool {
    /// Returns a client for the peer at this address; connects to it if there is none.
    ///
    /// # Errors
    /// Returns an error if no connection is established within `timeout`.
    pub async fn client(
        &self,
        address: &str,
        timeout: Duration,
    ) -> std::io::Result<PeerServiceClient> {
        if let Some(client) = self.clients.lock().get(address) {
            return Ok(client.clone());
        }
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
        // Without this a call could wait for the TCP acknowledgement of the previous one.
        stream.set_nodelay(true)?;
        let transport = tarpc::serde_transport::new(self.framed(stream), Bincode::default());
        let client = PeerServiceClient::new(tarpc::client::Config::default(), transport).spawn();
        self.clients.lock().insert(address.to_owned(), client.clone());
        Ok(client)
    }

    /// Calls the peer at this address and returns its response; `None` if the connection or the
    /// call fails or times out.
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
        let response = tokio::time::timeout(timeout, call(client, cx)).await;
        match response {
            Ok(Ok(response)) => Some(response),
            // After a network failure a kept connection waits for its TCP retransmission, seconds
            // longer than opening a new one takes.
            Ok(Err(_)) | Err(_) => {
                self.clients.lock().remove(address);
                None
            }
        }
    }

    /// Wraps a connection in the codec for messages, which share the memory of this pool.
    pub(crate) fn framed(&self, stream: TcpStream) -> Framed<FrameStream, LengthDelimitedCodec> {
        framed(stream, &self.memory)
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.clients.lock().len()
    }

    /// Returns whether there are no open connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
