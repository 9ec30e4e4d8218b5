//! What the request log is told, answers, and wants done.

use serde::{Deserialize, Serialize};

use crate::bill::Bill;
use crate::request_log::{LOG_SHARDS, Ticket};
use crate::{AttemptId, Millis, RequestHash};

/// One line of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// An attempt wants to be the only one to run a request.
    Claim {
        /// The request.
        request: RequestHash,
        /// The attempt that claims it.
        attempt: AttemptId,
    },
    /// The attempt gave its claim up; it has not run and never will.
    Release {
        /// The request.
        request: RequestHash,
        /// The attempt that had claimed it.
        attempt: AttemptId,
    },
    /// A request ran and cost this.
    Bill(Bill),
}

impl Entry {
    /// The request that the entry is about.
    pub fn request(&self) -> RequestHash {
        match self {
            Entry::Claim { request, .. } | Entry::Release { request, .. } => *request,
            Entry::Bill(bill) => bill.request,
        }
    }

    /// The log shard that the entry belongs to.
    pub fn shard(&self) -> u32 {
        self.request().shard(LOG_SHARDS)
    }
}

/// One stored object of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// When it was written, in milliseconds since 1970 by its writer's clock.
    pub at: Millis,
    /// The oldest segment that was still within the window.
    pub window_start: u64,
    /// The lines.
    pub entries: Vec<Entry>,
}

/// What an entry came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The attempt alone may run the request.
    ClaimWon,
    /// Another attempt may run it, or has.
    ClaimLost {
        /// The attempt that holds the claim.
        by: AttemptId,
        /// Whether the request is billed already.
        billed: bool,
    },
    /// The claim is given up.
    Released,
    /// The request is billed; `first` tells whether by this bill.
    Billed {
        /// Whether this bill is the one that counts.
        first: bool,
    },
    /// The store does not answer; the entry may or may not be in the log.
    StoreAway,
}

/// What happens to a log shard.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Somebody wants an entry appended.
    Submitted(Ticket, Entry),
    /// The newest segment's number, if there is any.
    NewestFound(Option<u64>),
    /// A segment was read; none means that it does not exist.
    SegmentRead(u64, Option<Segment>),
    /// The append took effect.
    Appended,
    /// Somebody else has written that segment.
    Conflict,
    /// It is not known whether the append took effect.
    Ambiguous,
    /// The store does not answer; an append did not take effect.
    StoreUnavailable,
    /// A time asked for by [`Command::WakeAt`] has come.
    Tick,
}

/// What a log shard wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Find the newest segment's number.
    FindNewest,
    /// Read this segment.
    Read(u64),
    /// Create this segment if it is absent.
    Append(u64, Segment),
    /// Answer.
    Answer(Ticket, Outcome),
    /// Send [`Event::Tick`] at this time.
    WakeAt(Millis),
}
