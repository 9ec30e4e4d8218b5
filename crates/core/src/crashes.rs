//! Requests that crash the servers which run them.
//!
//! A caller may send such a request again and again, by way of any host; no host sees more
//! than a part of it. So daemons tell each other facts: that a start of a server crashed, and
//! which requests it was running. Facts only add up, each crash once however many tell it,
//! and from the same facts every daemon draws the same verdict: a request under which
//! [`CRASHES_TO_BLOCK`] servers have crashed runs nowhere any more.
//!
//! A crash takes along all that its server was running, so that most requests aboard are
//! innocent. What tells them apart: they succeed the next time ([`CrashTracker::record_success`]);
//! many servers that crash at the same moment have a cause of their own, and count once; a
//! crash under a request that is blocked already is explained by that one; and two requests
//! with the same crashes run apart from each other once more before either is blocked.

mod decision;
mod facts;
mod history;
mod tracker;

pub use decision::{CRASHES_TO_BLOCK, DECISION_DELAY_MS, Placement};
pub use facts::{Block, Cleared, Crash, CrashFacts, ServerStart};
pub use tracker::{BLOCK_DURATION_MS, CrashStats, CrashTracker, Verdict};
