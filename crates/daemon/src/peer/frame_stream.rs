//! Connections on which incomplete messages are bounded in time, and all of them together in memory.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Sleep;
use tokio_util::sync::PollSemaphore;

/// Size of the length in front of a message, in bytes; it is big-endian.
const LENGTH_BYTES: usize = 4;

/// Size up to which a message is not counted, in bytes.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// Maximum size of all larger messages that are received at the same time, in KiB. A message of the
/// maximum size fits three times.
const MAX_COUNTED_KIB: usize = 24 << 10;

/// Timeout for the rest of a message whose first byte was received; calls have shorter ones.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Memory for large messages of all peers; clones share it.
#[derive(Debug, Clone)]
pub struct MessageMemory {
    /// A permit for each KiB.
    room: Arc<Semaphore>,
}

impl Default for MessageMemory {
    fn default() -> Self {
        MessageMemory { room: Arc::new(Semaphore::new(MAX_COUNTED_KIB)) }
    }
}

/// Connection to a peer. Reading fails if the end of a message is not received in time.
#[derive(Debug)]
pub struct FrameStream {
    stream: TcpStream,
    room: PollSemaphore,
    message: Message,
}

/// The message that is received.
#[derive(Debug, Default)]
struct Message {
    length: [u8; LENGTH_BYTES],
    length_read: usize,
    /// Bytes that are still missing, once the length is known.
    missing: usize,
    /// Memory of a large message.
    memory: Option<OwnedSemaphorePermit>,
    timeout: Option<Pin<Box<Sleep>>>,
}

impl Message {
    /// Records received data, which may contain the ends of several messages.
    fn record(&mut self, mut data: &[u8]) {
        while !data.is_empty() {
            if self.length_read < LENGTH_BYTES {
                self.length[self.length_read] = data[0];
                self.length_read += 1;
                data = &data[1..];
                if self.length_read == LENGTH_BYTES {
                    self.missing = u32::from_be_bytes(self.length) as usize;
                }
            } else {
                let read = data.len().min(self.missing);
                self.missing -= read;
                data = &data[read..];
            }
            if self.length_read == LENGTH_BYTES && self.missing == 0 {
                *self = Message::default();
            }
        }
        if self.length_read > 0 && self.timeout.is_none() {
            self.timeout = Some(Box::pin(tokio::time::sleep(MESSAGE_TIMEOUT)));
        }
    }

    /// Returns the memory that is required before more is read, in KiB.
    fn required_kib(&self) -> Option<u32> {
        let is_counted = self.missing > UNCOUNTED_BYTES && self.memory.is_none();
        is_counted.then(|| u32::try_from(self.missing >> 10).unwrap_or(u32::MAX))
    }

    /// Completes with an error when the message has timed out.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.timeout {
            Some(timeout) => {
                ready!(timeout.as_mut().poll(cx));
                let problem = "the end of a message was not received in time";
                Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, problem)))
            }
            None => Poll::Pending,
        }
    }
}

impl FrameStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, memory: &MessageMemory) -> Self {
        let room = PollSemaphore::new(Arc::clone(&memory.room));
        FrameStream { stream, room, message: Message::default() }
    }

    /// Waits for the memory of the message.
    fn poll_memory(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if let Some(kib) = self.message.required_kib() {
            // The semaphore is never closed.
            self.message.memory = ready!(self.room.poll_acquire_many(cx, kib));
        }
        Poll::Ready(())
    }

    /// Reads what was received, once there is memory for the message.
    fn poll_received(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_memory(cx));
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.message.record(&buf.filled()[before..]);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for FrameStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.poll_received(cx, buf) {
            Poll::Pending => self.message.poll_timeout(cx),
            received => received,
        }
    }
}

impl AsyncWrite for FrameStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
