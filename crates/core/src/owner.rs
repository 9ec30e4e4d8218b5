//! The owner of one budget shard: batches draws into conditional updates and
//! collects unspent tokens from other holders before it refuses a draw.
//!
//! Ownership is only a hint for batching. A grant exists once the conditional
//! update that records it has succeeded, and is reported only after that. Two
//! simultaneous owners, or an owner that resumes after a pause, cause write
//! conflicts but never grant more tokens than the budget holds.

mod collection;
mod draft;
mod machine;
mod message;

pub use machine::{Owner, OwnerCounts};
pub use message::{Command, Event, HolderRef, Reply, Request, Ticket};

use crate::Millis;

/// Mean interval between two writes of a shard under continuous load, in milliseconds.
pub const WRITE_INTERVAL_MS: Millis = 1_000;

/// Longest time that a prefetching draw (one without an immediate need) waits for other
/// requests to share its write, in milliseconds. Applies only to draws without witnesses,
/// whose grants are opened as a whole; draws with witnesses are sent early enough. A delay
/// of 1 s delivered the tokens 2 to 3 s after they were wanted, so that hosts which lost
/// the store 6 s after the first request held too little.
pub const PREFETCH_DELAY_MS: Millis = 300;

/// Maximum age of a request in milliseconds; an older one is dropped. Its sender has
/// timed out by then, and an owner that was suspended must not act on stale requests.
pub const MAX_REQUEST_AGE_MS: Millis = 30_000;

/// Retry delay in milliseconds while running requests may still return tokens.
pub const RETRY_SOON_MS: Millis = 1_000;

/// Retry delay in milliseconds when the budget is used up.
pub const RETRY_LATER_MS: Millis = 30_000;
