//! Entries, outcomes, events and commands of the request log.

use serde::{Deserialize, Serialize};

use crate::bill::Bill;
use crate::request_log::{LOG_SHARDS, Ticket};
use crate::{AttemptId, Millis, RequestHash};

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// An attempt claims the exclusive right to run a request.
    Claim {
        /// The request.
        request: RequestHash,
        /// The attempt that claims it.
        attempt: AttemptId,
    },
    /// The attempt releases its claim; it has not run the request and never will.
    Release {
        /// The request.
        request: RequestHash,
        /// The attempt that had claimed it.
        attempt: AttemptId,
    },
    /// The request has run and has this cost.
    Bill(Bill),
}

impl Entry {
    /// Returns the request that the entry concerns.
    pub fn request(&self) -> RequestHash {
        match self {
            Entry::Claim { request, .. } | Entry::Release { request, .. } => *request,
            Entry::Bill(bill) => bill.request,
        }
    }

    /// Returns the log shard that the entry belongs to.
    pub fn shard(&self) -> u32 {
        self.request().shard(LOG_SHARDS)
    }
}

/// One stored object of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Time of writing by the writer's clock, in milliseconds since 1970.
    pub at: Millis,
    /// Number of the oldest segment that was within the deduplication window at that time.
    pub window_start: u64,
    /// The entries.
    pub entries: Vec<Entry>,
}

/// The outcome of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The attempt holds the claim, and it alone may run the request.
    ClaimWon,
    /// Another attempt holds the claim and may have run the request.
    ClaimLost {
        /// The attempt that holds the claim.
        by: AttemptId,
        /// Whether the request has already been billed.
        billed: bool,
    },
    /// The claim has been released.
    Released,
    /// The request has been billed, by this bill or by another one.
    Billed {
        /// Whether this bill is the one that counts.
        first: bool,
    },
    /// The store is unavailable; the entry may or may not be in the log.
    StoreAway,
}

/// An input of a log shard.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An entry was submitted for appending.
    Submitted(Ticket, Entry),
    /// The number of the newest segment was read; `None` if there are no segments.
    NewestFound(Option<u64>),
    /// A segment was read; `None` if it does not exist.
    SegmentRead(u64, Option<Segment>),
    /// The append took effect.
    Appended,
    /// Another writer has already created that segment.
    Conflict,
    /// It is unknown whether the append took effect.
    Ambiguous,
    /// The store is unavailable; a pending append did not take effect.
    StoreUnavailable,
    /// The time given in a [`Command::WakeAt`] has been reached.
    Tick,
}

/// An action that the caller of the log shard has to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Find the number of the newest segment.
    FindNewest,
    /// Read this segment.
    Read(u64),
    /// Create this segment if it is absent.
    Append(u64, Segment),
    /// Report the outcome of a submitted entry.
    Answer(Ticket, Outcome),
    /// Send [`Event::Tick`] at this time.
    WakeAt(Millis),
}
