//! Detection and blocking of requests that crash backend servers.
//!
//! A caller may repeat such a request through any host, and each host sees only some of the
//! attempts. Daemons therefore exchange facts: which server instances crashed, and which requests
//! each was running. Merging facts is idempotent, so a crash counts once however many daemons
//! report it, and the same facts lead to the same verdict on every daemon: a request that was
//! running on [`CRASHES_TO_BLOCK`] servers when they crashed is blocked everywhere.
//!
//! A crash ends all requests of its server, and most of them did not cause it. These rules tell
//! them from the cause: they succeed on the next attempt ([`CrashTracker::record_success`]); many
//! servers that crash at the same time have an external cause and count once; a crash of a server
//! that was running a blocked request is attributed to that request; and two requests with the
//! same crashes run once more, on different servers, before either is blocked.
//!
//! The cause may also be a part of the prompt that requests have in common, of which no two are
//! alike. Parts are recorded and exchanged as requests are, by fingerprints of their own, and decided
//! on by rules of their own (`parts`).

mod decision;
mod facts;
mod history;
mod parts;
mod tracker;

pub use decision::{CRASHES_TO_BLOCK, DECISION_DELAY_MS, Placement};
pub use facts::{Block, Cleared, Crash, CrashFacts, ServerInstance};
pub use parts::CRASHES_TO_BLOCK_PART;
pub use tracker::{BLOCK_DURATION_MS, CrashStats, CrashTracker, Verdict};
