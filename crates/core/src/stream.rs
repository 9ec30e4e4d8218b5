//! The check that a piece of an answer belongs to the stream it arrived on.

/// What is to become of one arriving piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SequenceCheck {
    /// It is the next piece: deliver it.
    Deliver,
    /// It was delivered before: drop it.
    Duplicate,
    /// Pieces before it are missing: the stream must be resumed.
    Gap,
    /// It belongs to another request: drop it and log it.
    WrongRun,
}

/// Where a stream stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventSequence {
    run: String,
    next: u64,
}

impl EventSequence {
    /// The start of the stream of this run.
    pub fn new(run: String) -> Self {
        EventSequence { run, next: 0 }
    }

    /// Offset of the piece that comes next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Judges the piece that says it has this run and this offset.
    pub fn accept(&mut self, run: &str, offset: u64) -> SequenceCheck {
        if run != self.run {
            return SequenceCheck::WrongRun;
        }
        if offset < self.next {
            return SequenceCheck::Duplicate;
        }
        if offset > self.next {
            return SequenceCheck::Gap;
        }
        self.next += 1;
        SequenceCheck::Deliver
    }
}
