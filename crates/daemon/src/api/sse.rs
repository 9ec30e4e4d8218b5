//! Server-sent events of a stream of chat completions.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Largest event, in bytes; a larger one ends the stream.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Text that ends a stream.
const END_MARK: &str = "[DONE]";

/// Tokens that an engine says a run has cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// What bankcove reads of a piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Chunk {
    /// Name of the run.
    pub id: String,
    /// Place in the stream; engines that do not number their pieces give none.
    pub offset: Option<u64>,
    /// What the run has cost; in the last piece.
    pub usage: Option<Usage>,
    /// The choices of this piece.
    #[serde(default)]
    pub choices: Vec<Choice>,
}

/// What bankcove reads of a choice.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Choice {
    /// Why the choice ended, in its last piece.
    pub finish_reason: Option<String>,
}

impl Chunk {
    /// Whether this piece ends the answer.
    pub fn is_last(&self) -> bool {
        self.usage.is_some() || self.choices.iter().any(|choice| choice.finish_reason.is_some())
    }

    /// Whether the run was cancelled, so that the answer is not whole.
    pub fn is_cancelled(&self) -> bool {
        self.choices.iter().any(|choice| choice.finish_reason.as_deref() == Some("cancelled"))
    }
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A piece of an answer, with its bytes as they came.
    Chunk(Chunk, Bytes),
    /// The mark that ends the stream.
    End,
    /// Something that can't be read.
    Unreadable,
}

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
}

impl EventSplitter {
    /// Takes in bytes; complete events come out of [`EventSplitter::next_event`].
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        if let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
            let raw = self.buf.split_to(end + 2).freeze();
            return Some(read(raw));
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            self.buf.clear();
            return Some(Event::Unreadable);
        }
        None
    }
}

fn read(raw: Bytes) -> Event {
    let text = std::str::from_utf8(&raw).unwrap_or_default();
    let Some(data) = text.trim().strip_prefix("data:").map(str::trim) else {
        return Event::Unreadable;
    };
    if data == END_MARK {
        return Event::End;
    }
    match serde_json::from_str(data) {
        Ok(piece) => Event::Chunk(piece, raw),
        Err(_) => Event::Unreadable,
    }
}
