//! Bills, and the request log that ensures that no request is billed twice.
//!
//! * `billing`: entries that still have to be written, which `bills` submits
//! * `log_tasks`, `request_log`: the tasks of the log shards, and appending to them
//!
//! The modules call the store, `fleet` and peers; they are called by the `api` layer and by the
//! peer server.

pub mod billing;
pub mod bills;
pub mod log_tasks;
pub mod request_log;
