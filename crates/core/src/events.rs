//! Server-sent events with rising numbers: where one ends, and whether it is
//! the next.

/// Largest event, in bytes; a stream with a larger one is broken.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawEvent {
    /// Its number, when it has one.
    pub id: Option<u64>,
    /// Its bytes as they came, with the empty line that ends it.
    pub raw: Vec<u8>,
}

/// Splits bytes into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
}

impl EventSplitter {
    /// Takes in bytes; whole events come out of [`EventSplitter::next_event`].
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = end_of_event(&self.buf)?;
        let rest = self.buf.split_off(end);
        let raw = std::mem::replace(&mut self.buf, rest);
        Some(RawEvent { id: id_of(&raw), raw })
    }

    /// Whether nothing of a further event has come.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

fn end_of_event(buf: &[u8]) -> Option<usize> {
    let plain = buf.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let carriage = buf.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.into_iter().chain(carriage).min()
}

fn id_of(raw: &[u8]) -> Option<u64> {
    let lines = raw.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}

/// What is to become of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventAction {
    /// It is the next one.
    Deliver,
    /// It was delivered before.
    Duplicate,
    /// Events before it are missing.
    Gap,
}

/// Where a stream stands.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventSequence {
    last: Option<u64>,
}

impl EventSequence {
    /// The order of a stream that goes on after this event; of a new one when
    /// there is none.
    pub fn after(last: Option<u64>) -> Self {
        EventSequence { last }
    }

    /// Number of the last event that was delivered.
    pub fn last(self) -> Option<u64> {
        self.last
    }

    /// Judges the event of this number. Events without one carry no piece of
    /// the answer and are delivered; the first number of a stream may be any.
    pub fn accept(&mut self, id: Option<u64>) -> EventAction {
        let Some(id) = id else { return EventAction::Deliver };
        let verdict = match self.last {
            None => EventAction::Deliver,
            Some(last) if id <= last => EventAction::Duplicate,
            Some(last) if id == last + 1 => EventAction::Deliver,
            Some(_) => EventAction::Gap,
        };
        if verdict == EventAction::Deliver {
            self.last = Some(id);
        }
        verdict
    }
}
