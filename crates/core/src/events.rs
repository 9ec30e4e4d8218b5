//! Server-sent events with increasing ids: splitting a byte stream into events,
//! and detecting duplicates and gaps.

use std::iter;

use memchr::memchr_iter;

/// Maximum size of an event, in bytes; a stream with a larger one is invalid.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Maximum capacity that an empty splitter keeps, in bytes.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// Error: an event exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is too large")]
pub struct EventTooLarge;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
    /// Its bytes as received, including the empty line that ends it.
    pub raw: Vec<u8>,
}

impl RawEvent {
    /// Returns whether it may contain a part of the response: a comment does not.
    pub fn has_content(&self) -> bool {
        self.id.is_some() || lines(&self.raw).any(|line| line.starts_with(b"data"))
    }
}

/// Splits a byte stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    /// Length of the events at the start of `buf` that were returned. They are removed with the next
    /// push: removing each by itself would move the rest of a read for each event.
    returned: usize,
    /// Length of the partial event after these that contains no end.
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes; [`EventSplitter::next_event`] returns the complete events.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.drain(..self.returned);
        self.returned = 0;
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; none if more bytes are needed.
    ///
    /// # Errors
    /// [`EventTooLarge`] as soon as the next event exceeds [`MAX_EVENT_BYTES`], complete or not; no
    /// further event is returned then.
    pub fn next_event(&mut self) -> Result<Option<RawEvent>, EventTooLarge> {
        let rest = &self.buf[self.returned..];
        let end = end_of_event(rest, self.searched);
        if end.unwrap_or(rest.len()) > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        let Some(end) = end else {
            self.searched = rest.len();
            self.release_if_empty();
            return Ok(None);
        };
        let raw = rest[..end].to_vec();
        self.returned += end;
        self.searched = 0;
        Ok(Some(RawEvent { id: id_of(&raw), raw }))
    }

    /// Returns the size of what was received of the next event, in bytes.
    pub fn partial_bytes(&self) -> usize {
        self.buf.len() - self.returned
    }

    /// Frees the memory of a large event that was returned.
    fn release_if_empty(&mut self) {
        if self.is_empty() && self.buf.capacity() > MAX_KEPT_BYTES {
            *self = EventSplitter::default();
        }
    }

    /// Returns whether the buffer is empty, without a partial event.
    pub fn is_empty(&self) -> bool {
        self.returned == self.buf.len()
    }
}

/// Returns the length of the first event in `buf`, of which the first `searched` bytes contain no
/// end.
fn end_of_event(buf: &[u8], searched: usize) -> Option<usize> {
    let mut line_ends = memchr_iter(b'\n', &buf[searched..]).map(|at| searched + at + 1);
    line_ends.find(|end| buf[..*end].ends_with(b"\n\n") || buf[..*end].ends_with(b"\r\n\r\n"))
}

fn id_of(raw: &[u8]) -> Option<u64> {
    let id = lines(raw).filter_map(|line| line.strip_prefix(b"id:")).last()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

/// Iterates over the lines, without the line feeds that end them.
fn lines(raw: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut begin = 0;
    memchr_iter(b'\n', raw).chain(iter::once(raw.len())).map(move |end| {
        let line = &raw[begin..end];
        begin = end + 1;
        line
    })
}

/// How a received event is handled, by its position in the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventAction {
    /// The next event, which must be delivered.
    Deliver,
    /// An event that was delivered before.
    Duplicate,
    /// An event after a gap: events before it are missing.
    Gap,
}

/// Tracks the id of the last delivered event of a stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventSequence {
    last: Option<u64>,
}

impl EventSequence {
    /// Creates the sequence of a stream that resumes after the event `last`, or
    /// of a new stream if there is none.
    pub fn after(last: Option<u64>) -> Self {
        EventSequence { last }
    }

    /// Returns the id of the last delivered event.
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Classifies the event with this id, and records it if it must be delivered.
    /// Events without an id contain no part of the response and are delivered; a
    /// new stream may start with any id.
    pub fn accept(&mut self, id: Option<u64>) -> EventAction {
        let Some(id) = id else { return EventAction::Deliver };
        let action = match self.last {
            None => EventAction::Deliver,
            Some(last) if id <= last => EventAction::Duplicate,
            Some(last) if id == last + 1 => EventAction::Deliver,
            Some(_) => EventAction::Gap,
        };
        if action == EventAction::Deliver {
            self.last = Some(id);
        }
        action
    }
}
