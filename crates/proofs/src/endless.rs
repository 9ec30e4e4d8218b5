//! Answers without end, and a relay that gives them in place of another program's.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Size of one write, in bytes.
const WRITE_BYTES: usize = 64 << 10;

/// What an answer without end consists of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endless {
    /// Interim answers.
    InterimAnswers,
    /// Header lines.
    Headers,
    /// The value of one header.
    HeaderValue,
    /// A body without length.
    Body,
    /// A body of chunks.
    Chunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// The body of a refusal.
    Refusal,
    /// An event of a stream.
    Event,
    /// Bytes that are no HTTP message.
    Noise,
}

impl Endless {
    /// Returns the start of the answer and what is repeated after it.
    fn parts(self) -> (&'static str, &'static str) {
        const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        match self {
            Endless::InterimAnswers => ("", "HTTP/1.1 102 Processing\r\n\r\n"),
            Endless::Headers => ("HTTP/1.1 200 OK\r\n", "x-a: b\r\n"),
            Endless::HeaderValue => ("HTTP/1.1 200 OK\r\nx-a: ", "b"),
            Endless::Body => ("HTTP/1.1 200 OK\r\n\r\n", "b"),
            Endless::Chunks => (CHUNKED, "1\r\nb\r\n"),
            Endless::ChunkExtension => {
                ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "b")
            }
            Endless::Refusal => ("HTTP/1.1 503 Service Unavailable\r\n\r\n", "b"),
            Endless::Event => {
                ("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ", "b")
            }
            Endless::Noise => ("", "\0"),
        }
    }

    /// Sends it until the connection is closed; `pause` separates the pieces, which otherwise fill whole
    /// writes. Counts the bytes that were sent.
    pub async fn send(self, stream: &mut TcpStream, pause: Option<Duration>, sent: &AtomicU64) {
        let (start, piece) = self.parts();
        let pieces = if pause.is_some() { 1 } else { WRITE_BYTES / piece.len() };
        let buf = piece.repeat(pieces);
        let mut next = start.as_bytes();
        while stream.write_all(next).await.is_ok() {
            sent.fetch_add(next.len() as u64, Ordering::Relaxed);
            next = buf.as_bytes();
            if let Some(pause) = pause {
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Which connections of a relay get answers without end.
#[derive(Debug, Clone, Copy)]
pub struct Flood {
    /// What is sent.
    pub kind: Endless,
    /// Pause between the pieces; without it as fast as they are read.
    pub pause: Option<Duration>,
    /// Every connection whose number this divides.
    pub every: u64,
}

/// The relay; dropping it closes it.
pub struct FloodingRelay {
    /// Address that it listens on.
    pub address: String,
    flood: watch::Sender<Option<Flood>>,
    sent: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for FloodingRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FloodingRelay {
    /// Starts the relay to the program at `target`.
    pub async fn start(target: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("a listener has an address").to_string();
        let (flood, floods) = watch::channel(None);
        let sent = Arc::<AtomicU64>::default();
        let counted = Arc::clone(&sent);
        let task = tokio::spawn(async move {
            let mut number = 0;
            while let Ok((stream, _)) = listener.accept().await {
                number += 1;
                let relayed =
                    relay(stream, target.clone(), number, floods.clone(), Arc::clone(&counted));
                tokio::spawn(relayed);
            }
        });
        FloodingRelay { address, flood, sent, task }
    }

    /// Sets what connections get; those that are open are closed.
    pub fn set(&self, flood: Option<Flood>) {
        self.flood.send_replace(flood);
    }

    /// Returns the number of bytes sent in answers without end.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }
}

/// Relays one connection until it ends or the flood changes.
async fn relay(
    mut client: TcpStream,
    target: String,
    number: u64,
    mut floods: watch::Receiver<Option<Flood>>,
    sent: Arc<AtomicU64>,
) {
    let flood = *floods.borrow_and_update();
    let relayed = async {
        match flood.filter(|flood| number % flood.every == 0) {
            Some(Flood { kind, pause, .. }) => {
                // The answer follows the request.
                if client.read(&mut [0; 4 << 10]).await.is_ok_and(|read| read > 0) {
                    kind.send(&mut client, pause, &sent).await;
                }
            }
            None => {
                let Ok(mut server) = TcpStream::connect(target).await else { return };
                let _broken = tokio::io::copy_bidirectional(&mut client, &mut server).await;
            }
        }
    };
    tokio::select! {
        () = relayed => {}
        _ = floods.changed() => {}
    }
}
