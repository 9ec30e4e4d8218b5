//! Parser for the server-sent events of a chat completion stream.

use bytes::{Bytes, BytesMut};
use memchr::memmem;
use serde::Deserialize;

/// Maximum size of an event in bytes; a larger one ends the connection.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Data of the event that ends a stream.
const END_MARK: &str = "[DONE]";

/// Token usage of a run, as reported by its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
}

/// Chunk of a completion; fields that bankcove does not use are omitted.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Chunk {
    /// Identifier of the run.
    pub id: String,
    /// Offset in the stream; `None` from engines that don't number their chunks.
    pub offset: Option<u64>,
    /// Cost of the run; only in the last chunk.
    pub usage: Option<Usage>,
    /// Choices in this chunk.
    #[serde(default)]
    pub choices: Vec<Choice>,
}

/// Choice of a completion; fields that bankcove does not use are omitted.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Choice {
    /// Reason why the choice ended; only in its last chunk.
    pub finish_reason: Option<String>,
}

impl Chunk {
    /// Returns whether this chunk ends the completion.
    pub fn is_last(&self) -> bool {
        self.usage.is_some() || self.choices.iter().any(|choice| choice.finish_reason.is_some())
    }

    /// Returns whether the run was cancelled, so that the completion is incomplete.
    pub fn is_cancelled(&self) -> bool {
        self.choices.iter().any(|choice| choice.finish_reason.as_deref() == Some("cancelled"))
    }
}

/// An event of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A chunk, with the bytes of the event as received.
    Chunk(Chunk, Bytes),
    /// The end of the stream.
    End,
    /// An event that can't be parsed.
    Malformed,
}

/// Incremental splitter of a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Length of the start of `buf` that contains no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes; [`EventSplitter::next_event`] returns the complete events.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the length of what was received and not returned yet, in bytes.
    pub fn incomplete_len(&self) -> usize {
        self.buf.len()
    }

    /// Removes and returns the next complete event, or `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<Event> {
        if let Some(at) = memmem::find(&self.buf[self.searched..], b"\n\n") {
            let raw = self.buf.split_to(self.searched + at + 2).freeze();
            self.searched = 0;
            return Some(parse_event(raw));
        }
        // The last byte may be the first of the end.
        self.searched = self.buf.len().saturating_sub(1);
        if self.buf.len() > MAX_EVENT_BYTES {
            self.buf.clear();
            self.searched = 0;
            return Some(Event::Malformed);
        }
        None
    }
}

/// Parses an event from its bytes.
fn parse_event(raw: Bytes) -> Event {
    let text = std::str::from_utf8(&raw).unwrap_or_default();
    let Some(data) = text.trim().strip_prefix("data:").map(str::trim) else {
        return Event::Malformed;
    };
    if data == END_MARK {
        return Event::End;
    }
    match serde_json::from_str(data) {
        Ok(chunk) => Event::Chunk(chunk, raw),
        Err(_) => Event::Malformed,
    }
}
