//! The check that a piece of an answer belongs to the stream it arrived on.

/// What is to become of one arriving piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is the next piece: deliver it.
    Deliver,
    /// It was delivered before: drop it.
    Repeat,
    /// Pieces before it are missing: the stream must be resumed.
    Gap,
    /// It belongs to another request: drop it and log it.
    Foreign,
}

/// Where a stream stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sequence {
    run: String,
    next: u64,
}

impl Sequence {
    /// The start of the stream of this run.
    pub fn new(run: String) -> Self {
        Sequence { run, next: 0 }
    }

    /// Offset of the piece that comes next.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Judges the piece that says it has this run and this offset.
    pub fn accept(&mut self, run: &str, offset: u64) -> Verdict {
        if run != self.run {
            return Verdict::Foreign;
        }
        if offset < self.next {
            return Verdict::Repeat;
        }
        if offset > self.next {
            return Verdict::Gap;
        }
        self.next += 1;
        Verdict::Deliver
    }
}
