//! Tunnels: connections of one daemon to a backend server through another daemon.
//!
//! The daemon that needs one sends a [`TunnelRequest`] over a new connection; the other daemon
//! connects to the server and sends a [`TunnelAnswer`]. What follows is the data of the connection:
//! as it is towards the server, in frames from it. The last frame is empty. Without it the
//! connection broke: the end of a connection does not distinguish a response that ended from a
//! daemon that did.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bankcove_core::Incarnation;
use bankcove_core::crashes::ServerInstance;
use bytes::{Bytes, BytesMut};
use futures::{SinkExt, Stream, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Join};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{Framed, FramedRead, FramedWrite, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

/// Size of the buffer for each direction, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Maximum size of a frame, in bytes: a request with its names fits, and so does a buffer.
const MAX_FRAME_BYTES: usize = 16 << 10;

/// Request for a tunnel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// The sender.
    pub from: Incarnation,
    /// Server to connect to.
    pub server: ServerInstance,
    /// Identifier of the caller's request, for logs.
    pub request: String,
}

/// Answer to a [`TunnelRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelAnswer {
    /// The server has accepted the connection.
    Connected,
    /// There is no connection, and nothing was sent to the server.
    Refused(TunnelRefusal),
}

/// Reason for which a daemon refuses a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum TunnelRefusal {
    /// The sender is not known as a daemon of the fleet.
    #[error("the sender is not a known daemon")]
    UnknownSender,
    /// The daemon is shutting down.
    #[error("the daemon is stopping")]
    Stopping,
    /// The daemon carries as many tunnels as it may.
    #[error("the daemon carries too many tunnels")]
    Full,
    /// The network link of its host is overloaded.
    #[error("the link of the host is overloaded")]
    LinkFull,
    /// The daemon has lost its own path to the server.
    #[error("the daemon has no path to the server")]
    NoPath,
    /// The server is not listed, is leaving, or has asked that daemon for rest.
    #[error("nothing may be sent to the server")]
    Closed,
    /// The server did not accept the connection in time.
    #[error("the server did not accept the connection")]
    NotConnected,
    /// The server's host is up, and no process listens at the address.
    #[error("the server refused the connection")]
    ServerRefused,
}

impl TunnelRefusal {
    /// Returns the code for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            TunnelRefusal::UnknownSender => "unknown_sender",
            TunnelRefusal::Stopping => "stopping",
            TunnelRefusal::Full => "full",
            TunnelRefusal::LinkFull => "link_full",
            TunnelRefusal::NoPath => "no_path",
            TunnelRefusal::Closed => "closed",
            TunnelRefusal::NotConnected => "not_connected",
            TunnelRefusal::ServerRefused => "server_refused",
        }
    }
}

/// Data from the server; ends with an error unless the last frame was received.
type ServerData = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// The open tunnel at the daemon that requested it: reads and writes like a connection to the server.
pub type TunnelStream = Join<StreamReader<ServerData, Bytes>, OwnedWriteHalf>;

/// Requests a tunnel over a new connection to a peer.
///
/// # Errors
/// Returns an error if the connection breaks.
pub async fn open(
    stream: TcpStream,
    request: &TunnelRequest,
) -> io::Result<Result<TunnelStream, TunnelRefusal>> {
    let mut framed = codec().new_framed(stream);
    framed.send(encode(request)?).await?;
    let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    if let TunnelAnswer::Refused(refusal) = decode(&frame)? {
        return Ok(Err(refusal));
    }
    let parts = framed.into_parts();
    let (rx, tx) = parts.io.into_split();
    let mut frames = codec().new_read(rx);
    // The server's first data may have arrived with the answer.
    *frames.read_buffer_mut() = parts.read_buf;
    let reader = StreamReader::new(server_data(frames));
    Ok(Ok(tokio::io::join(reader, tx)))
}

/// Returns the contents of the frames up to the empty one.
fn server_data(frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>) -> ServerData {
    let next = |frames: Option<FramedRead<OwnedReadHalf, LengthDelimitedCodec>>| async move {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(frame)) if frame.is_empty() => None,
            Some(Ok(frame)) => Some((Ok(frame.freeze()), Some(frames))),
            Some(Err(e)) => Some((Err(e), None)),
            None => Some((Err(io::ErrorKind::UnexpectedEof.into()), None)),
        }
    };
    Box::pin(futures::stream::unfold(Some(frames), next))
}

/// A connection of a peer that has requested a tunnel, which is not answered yet.
pub struct RequestedTunnel {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    /// The request.
    pub request: TunnelRequest,
}

/// A tunnel whose server has accepted the connection.
pub struct ConnectedTunnel {
    peer_rx: OwnedReadHalf,
    peer_tx: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    server: TcpStream,
}

impl RequestedTunnel {
    /// Reads the request from a new connection.
    ///
    /// # Errors
    /// Returns an error if the connection breaks or its first frame is not a request.
    pub async fn read(stream: TcpStream) -> io::Result<Self> {
        let mut framed = codec().new_framed(stream);
        let frame = framed.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
        let request = decode(&frame)?;
        Ok(RequestedTunnel { framed, request })
    }

    /// Refuses the tunnel.
    ///
    /// # Errors
    /// Returns an error if the connection breaks.
    pub async fn refuse(mut self, refusal: TunnelRefusal) -> io::Result<()> {
        self.framed.send(encode(&TunnelAnswer::Refused(refusal))?).await
    }

    /// Accepts the tunnel to a connected server.
    ///
    /// # Errors
    /// Returns an error if the connection breaks.
    pub async fn accept(mut self, server: TcpStream) -> io::Result<ConnectedTunnel> {
        self.framed.send(encode(&TunnelAnswer::Connected)?).await?;
        let (peer_rx, peer_tx) = self.framed.into_parts().io.into_split();
        Ok(ConnectedTunnel { peer_rx, peer_tx: codec().new_write(peer_tx), server })
    }
}

impl ConnectedTunnel {
    /// Passes data on until one side closes its connection, then closes the other. `on_data` is
    /// called with the length of each chunk. The server may be silent for `silence_timeout`, and for
    /// longer while it sends an answer and does not read the request yet.
    ///
    /// # Errors
    /// Returns an error if a connection breaks. The peer is not sent the last frame then.
    pub async fn run(
        mut self,
        silence_timeout: Duration,
        on_data: impl Fn(usize),
    ) -> io::Result<()> {
        let (mut server_rx, mut server_tx) = self.server.into_split();
        let is_writing = AtomicBool::new(false);
        let to_server = async {
            let mut buf = BytesMut::with_capacity(BUFFER_BYTES);
            while self.peer_rx.read_buf(&mut buf).await? > 0 {
                on_data(buf.len());
                is_writing.store(true, Ordering::Relaxed);
                server_tx.write_all_buf(&mut buf).await?;
                if !is_writing.swap(false, Ordering::Relaxed) {
                    set_silence_timeout(server_tx.as_ref(), Some(silence_timeout));
                }
                buf.reserve(BUFFER_BYTES);
            }
            io::Result::Ok(())
        };
        let to_peer = async {
            let mut buf = BytesMut::with_capacity(BUFFER_BYTES);
            while server_rx.read_buf(&mut buf).await? > 0 {
                on_data(buf.len());
                if is_writing.swap(false, Ordering::Relaxed) {
                    set_silence_timeout(server_rx.as_ref(), None);
                }
                self.peer_tx.send(buf.split().freeze()).await?;
                buf.reserve(BUFFER_BYTES);
            }
            self.peer_tx.send(Bytes::new()).await
        };
        tokio::select! {
            ended = to_server => ended,
            ended = to_peer => ended,
        }
    }
}

fn set_silence_timeout(stream: &TcpStream, timeout: Option<Duration>) {
    // A connection that is gone already needs no options.
    let _gone = SockRef::from(stream).set_tcp_user_timeout(timeout);
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}

fn encode<T: Serialize>(message: &T) -> io::Result<Bytes> {
    bincode::serialize(message).map(Bytes::from).map_err(io::Error::other)
}

fn decode<T: DeserializeOwned>(frame: &[u8]) -> io::Result<T> {
    bincode::deserialize(frame).map_err(io::Error::other)
}
