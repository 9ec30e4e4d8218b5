//! TCP relay for a link between two processes, which can be cut in one or both directions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Interval between two checks of whether a cut link has been restored.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(10);

/// Directions of a link that are cut.
#[derive(Debug, Default)]
struct Cuts {
    to_target: AtomicBool,
    from_target: AtomicBool,
}

/// A TCP relay. Data on a cut link is held back until the link is restored, like on a network that
/// drops packets.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    cuts: Arc<Cuts>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay of connections to `target`.
    ///
    /// # Panics
    /// If loopback has no free port.
    pub async fn start(target: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a listener has an address");
        let cuts = Arc::new(Cuts::default());
        let task = tokio::spawn(accept(listener, target, Arc::clone(&cuts)));
        Relay { address, cuts, task }
    }

    /// Returns the address to connect to.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Cuts both directions.
    pub fn cut(&self) {
        self.cut_to_target(true);
        self.cut_from_target(true);
    }

    /// Restores both directions.
    pub fn restore(&self) {
        self.cut_to_target(false);
        self.cut_from_target(false);
    }

    /// Cuts or restores the direction to the target.
    pub fn cut_to_target(&self, cut: bool) {
        self.cuts.to_target.store(cut, Ordering::SeqCst);
    }

    /// Cuts or restores the direction from the target.
    pub fn cut_from_target(&self, cut: bool) {
        self.cuts.from_target.store(cut, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections and relays each to `target`.
async fn accept(listener: TcpListener, target: String, cuts: Arc<Cuts>) {
    loop {
        let Ok((client, _)) = listener.accept().await else { return };
        let target = target.clone();
        let cuts = Arc::clone(&cuts);
        tokio::spawn(async move {
            wait_until_restored(&cuts.to_target).await;
            let Ok(upstream) = TcpStream::connect(target).await else { return };
            let (client_rx, client_tx) = client.into_split();
            let (target_rx, target_tx) = upstream.into_split();
            let return_cuts = Arc::clone(&cuts);
            tokio::spawn(async move { copy(client_rx, target_tx, &cuts.to_target).await });
            tokio::spawn(async move { copy(target_rx, client_tx, &return_cuts.from_target).await });
        });
    }
}

/// Copies data in one direction until the connection ends; waits while the direction is cut.
async fn copy(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, cut: &AtomicBool) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let Ok(count) = rx.read(&mut buf).await else { return };
        wait_until_restored(cut).await;
        if count == 0 || tx.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

/// Waits while the direction is cut.
async fn wait_until_restored(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
