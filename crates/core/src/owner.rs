//! The owner of one budget shard: batches draws into conditional updates and
//! collects unspent tokens from other holders before anybody is refused.
//!
//! Ownership is a hint for batching. A grant exists only once the conditional
//! update that records it has succeeded, and nobody is told of it before. Two
//! owners at once, or one that was paused, cost conflicts and never tokens.

mod draft;
mod gather;
mod machine;
mod message;

pub use machine::{Owner, OwnerCounts};
pub use message::{Command, Event, HolderRef, Reply, Request, Ticket};

use crate::Millis;

/// Mean time between two writes of one shard that is always busy.
pub const WRITE_INTERVAL_MS: Millis = 1_000;

/// How long a draw ahead may wait for others, so that one write serves them all;
/// only where grants are open as a whole, since sealed ones are drawn in time. With
/// 1 s, what holders wanted was there 2 to 3 s later, and hosts that lost the store
/// 6 s after the first request held too little.
pub const PREFETCH_DELAY_MS: Millis = 300;

/// A request that waited longer is dropped: its asker has given up on it, and
/// an owner that was frozen must not act on what it was asked long ago.
pub const MAX_REQUEST_AGE_MS: Millis = 30_000;

/// When to come back while running requests may still give tokens back.
pub const RETRY_SOON_MS: Millis = 1_000;

/// When to come back when the budget is used up.
pub const RETRY_LATER_MS: Millis = 30_000;
