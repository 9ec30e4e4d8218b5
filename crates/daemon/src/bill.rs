//! Bills, and the log of requests that keeps each from being billed twice.
//!
//! Owns what is still to be written (`billing`, handed over by `bills`) and the shards of the log
//! (`request_log`, by `log_tasks`).
//! May call the store, `fleet` and peers; called by bankcove's own interface and by the
//! answers to peers.

pub mod billing;
pub mod bills;
pub mod log_tasks;
pub mod request_log;
