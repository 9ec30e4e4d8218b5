//! Buffer between a stream from a server and a caller that reads it more slowly.
//!
//! While the caller keeps up, the HTTP server polls the stream directly. Once too much of the answer
//! waits in the HTTP server's write queue, a task takes over the stream: it reads on into a buffer,
//! within the bounds of [`HeldAnswer::wait_for_room`], and ends with the answer or when the buffer
//! is dropped.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use parking_lot::Mutex;
use slog::Logger;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::requests::held_answers::{HeldAmount, HeldAnswer};

/// Amount of an answer that waits in the HTTP server's write queue above which its caller counts as
/// slow. The HTTP server polls a stream until 16 pieces or 400 KB wait, so it still does at this
/// amount.
const SLOW_CALLER: HeldAmount = HeldAmount { bytes: 32 << 10, pieces: 4 };

/// Size of the pieces in which small events are held: an event of some 60 bytes would otherwise
/// take up several times its size.
const PIECE_BYTES: usize = 4 << 10;

/// Stream of an answer to the caller, read from `S`.
pub struct AnswerBuffer<S> {
    source: Source<S>,
    answer: Arc<HeldAnswer>,
    log: Logger,
}

/// Where the next part of the answer comes from.
enum Source<S> {
    /// The stream itself, which the caller's connection polls.
    Direct(Pin<Box<S>>),
    /// The buffer that a task fills. Dropping the guard ends the task.
    Buffer { buffer: Arc<Buffer>, _guard: DropGuard },
    /// Waits until what was received has been passed to the kernel, then aborts the answer: the
    /// HTTP server drops its write queue when a stream fails.
    Failed(Pin<Box<dyn Future<Output = io::Error> + Send>>),
    /// The answer has ended.
    Ended,
}

impl<S> AnswerBuffer<S>
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    /// Creates the answer that is read from `stream` and accounted in `answer`. `log` adds the
    /// request's id.
    pub fn new(stream: S, answer: Arc<HeldAnswer>, log: Logger) -> Self {
        AnswerBuffer { source: Source::Direct(Box::pin(stream)), answer, log }
    }

    /// Lets a task read the stream from now on if the caller is slow.
    fn start_buffering_if_slow(&mut self) {
        let waiting = self.answer.amount();
        let is_slow = waiting.bytes >= SLOW_CALLER.bytes || waiting.pieces >= SLOW_CALLER.pieces;
        if !is_slow || !matches!(self.source, Source::Direct(_)) {
            return;
        }
        let Source::Direct(stream) = std::mem::replace(&mut self.source, Source::Ended) else {
            return;
        };
        slog::info!(self.log, "slow caller, buffering its answer"; "waiting_bytes" => waiting.bytes);
        self.answer.count_buffered();
        let buffer = Arc::new(Buffer { state: Mutex::default(), answer: Arc::clone(&self.answer) });
        let dropped = CancellationToken::new();
        let writer = BufferWriter(Arc::clone(&buffer));
        tokio::spawn(fill(stream, writer, dropped.clone()));
        self.source = Source::Buffer { buffer, _guard: dropped.drop_guard() };
    }

    /// Ends the answer with an error once everything before it has been passed to the kernel.
    fn fail(&mut self, e: io::Error) {
        let answer = Arc::clone(&self.answer);
        self.source = Source::Failed(Box::pin(async move {
            answer.wait_until_released().await;
            e
        }));
    }
}

impl<S> Stream for AnswerBuffer<S>
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        this.start_buffering_if_slow();
        loop {
            let item = match &mut this.source {
                Source::Direct(stream) => std::task::ready!(stream.as_mut().poll_next(cx))
                    .map(|part| part.map(|events| this.answer.hold(events))),
                Source::Buffer { buffer, .. } => std::task::ready!(buffer.poll_take(cx)),
                Source::Failed(released) => {
                    let e = std::task::ready!(released.as_mut().poll(cx));
                    this.source = Source::Ended;
                    return Poll::Ready(Some(Err(e)));
                }
                Source::Ended => return Poll::Ready(None),
            };
            match item {
                Some(Ok(events)) => return Poll::Ready(Some(Ok(events))),
                // Dropping the stream settles the request.
                Some(Err(e)) => this.fail(e),
                None => this.source = Source::Ended,
            }
        }
    }
}

/// Reads the stream into the buffer until it ends or the caller is gone. The stream is dropped
/// then, which closes its connection to the server if it has not ended, and settles the request.
async fn fill<S>(mut stream: Pin<Box<S>>, writer: BufferWriter, dropped: CancellationToken)
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let end = tokio::select! {
        biased;
        () = dropped.cancelled() => return,
        end = read_to_end(&mut stream, &writer) => end,
    };
    drop(stream);
    writer.0.end(end);
}

/// Reads the stream into the buffer until it ends or fails.
async fn read_to_end<S>(stream: &mut Pin<Box<S>>, writer: &BufferWriter) -> io::Result<()>
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    loop {
        writer.0.answer.wait_for_room().await;
        match stream.next().await {
            Some(events) => writer.0.push(&events?),
            None => return Ok(()),
        }
    }
}

/// Parts of an answer that its caller has not taken yet.
struct Buffer {
    state: Mutex<BufferState>,
    answer: Arc<HeldAnswer>,
}

#[derive(Default)]
struct BufferState {
    pieces: VecDeque<Vec<u8>>,
    end: Option<io::Result<()>>,
    /// Wakes the caller's connection when there is more to take.
    waker: Option<Waker>,
}

impl Buffer {
    /// Appends events. Small ones are joined in one piece.
    fn push(&self, events: &[u8]) {
        // Recorded first: the piece may be taken and released as soon as it is in the buffer.
        self.answer.record(events.len());
        let waker = {
            let mut state = self.state.lock();
            let last = state.pieces.back_mut();
            match last.filter(|last| last.capacity() - last.len() >= events.len()) {
                Some(last) => last.extend_from_slice(events),
                None => {
                    let mut piece = Vec::with_capacity(PIECE_BYTES.max(events.len()));
                    piece.extend_from_slice(events);
                    state.pieces.push_back(piece);
                }
            }
            state.waker.take()
        };
        waker.into_iter().for_each(Waker::wake);
    }

    /// Records how the stream has ended, unless that is known.
    fn end(&self, end: io::Result<()>) {
        let waker = {
            let mut state = self.state.lock();
            state.end.get_or_insert(end);
            state.waker.take()
        };
        waker.into_iter().for_each(Waker::wake);
    }

    /// Takes the next piece; `None` at the end of the answer.
    fn poll_take(&self, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let piece = {
            let mut state = self.state.lock();
            match state.pieces.pop_front() {
                Some(piece) => piece,
                None => match state.end.take() {
                    Some(Ok(())) => return Poll::Ready(None),
                    Some(Err(e)) => return Poll::Ready(Some(Err(e))),
                    None => {
                        state.waker = Some(cx.waker().clone());
                        return Poll::Pending;
                    }
                },
            }
        };
        Poll::Ready(Some(Ok(self.answer.recorded_piece(piece))))
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        for piece in self.state.get_mut().pieces.drain(..) {
            drop(self.answer.recorded_piece(piece));
        }
    }
}

/// The writing side of a buffer. If it is dropped before the stream has ended, the answer fails, so
/// that it does not look complete.
struct BufferWriter(Arc<Buffer>);

impl Drop for BufferWriter {
    fn drop(&mut self) {
        self.0.end(Err(io::Error::other("the stream was given up")));
    }
}
