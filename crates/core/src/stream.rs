//! Check that a chunk of a response belongs to the stream on which it was received.

/// How to handle one received chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkAction {
    /// It is the next chunk: deliver it.
    Deliver,
    /// It was delivered before: drop it.
    Duplicate,
    /// Chunks before it are missing: resume the stream.
    Gap,
    /// It belongs to another run: drop it and log it.
    WrongRun,
}

/// Position in the stream of one run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkSequence {
    run: String,
    next: u64,
}

impl ChunkSequence {
    /// Creates the position at the start of the stream of `run`.
    pub fn new(run: String) -> Self {
        ChunkSequence { run, next: 0 }
    }

    /// Returns the offset of the next chunk.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Checks a chunk by its run and offset; advances the position when it is the next one.
    pub fn accept(&mut self, run: &str, offset: u64) -> ChunkAction {
        if run != self.run {
            return ChunkAction::WrongRun;
        }
        if offset < self.next {
            return ChunkAction::Duplicate;
        }
        if offset > self.next {
            return ChunkAction::Gap;
        }
        self.next += 1;
        ChunkAction::Deliver
    }
}
