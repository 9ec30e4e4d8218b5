//! A link between two processes that can be cut, one way or both.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Bytes moved at once.
const BUFFER: usize = 16 * 1024;

/// Pause between two looks whether a cut has been mended.
const POLL: std::time::Duration = std::time::Duration::from_millis(10);

#[derive(Debug, Default)]
struct Cuts {
    to_target: AtomicBool,
    from_target: AtomicBool,
}

/// A relay; bytes that meet a cut wait, as on a network that drops packets.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    cuts: Arc<Cuts>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Relays connections to `target`.
    ///
    /// # Panics
    /// When the loopback has no port left.
    pub async fn start(target: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a listener has an address");
        let cuts = Arc::new(Cuts::default());
        let task = tokio::spawn(accept(listener, target, Arc::clone(&cuts)));
        Relay { address, cuts, task }
    }

    /// Where to connect.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Cuts both ways.
    pub fn cut(&self) {
        self.cut_to_target(true);
        self.cut_from_target(true);
    }

    /// Mends both ways.
    pub fn restore(&self) {
        self.cut_to_target(false);
        self.cut_from_target(false);
    }

    /// Cuts or mends the way to the target.
    pub fn cut_to_target(&self, cut: bool) {
        self.cuts.to_target.store(cut, Ordering::SeqCst);
    }

    /// Cuts or mends the way back.
    pub fn cut_from_target(&self, cut: bool) {
        self.cuts.from_target.store(cut, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: String, cuts: Arc<Cuts>) {
    loop {
        let Ok((near, _)) = listener.accept().await else { return };
        let target = target.clone();
        let cuts = Arc::clone(&cuts);
        tokio::spawn(async move {
            wait_for(&cuts.to_target).await;
            let Ok(far) = TcpStream::connect(target).await else { return };
            let (near_rx, near_tx) = near.into_split();
            let (far_rx, far_tx) = far.into_split();
            let back = Arc::clone(&cuts);
            tokio::spawn(async move { carry(near_rx, far_tx, &cuts.to_target).await });
            tokio::spawn(async move { carry(far_rx, near_tx, &back.from_target).await });
        });
    }
}

async fn carry(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, cut: &AtomicBool) {
    let mut buf = vec![0; BUFFER];
    loop {
        let Ok(count) = rx.read(&mut buf).await else { return };
        wait_for(cut).await;
        if count == 0 || tx.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

async fn wait_for(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        tokio::time::sleep(POLL).await;
    }
}
