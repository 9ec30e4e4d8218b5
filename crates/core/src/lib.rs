//! The logic of bankcove as pure state machines, without I/O.
//!
//! Nothing in this crate reads a clock, opens a socket, spawns a task or generates a random
//! number: times, seeds and responses of the store are arguments, and the actions to take are
//! return values. The daemon is a thin I/O layer around these state machines; tests and benchmarks
//! run the same code directly.

pub mod bill;
pub mod crashes;
pub mod edit;
pub mod error;
pub mod events;
pub mod freshness;
pub mod hall_list;
pub mod held_answers;
pub mod held_bodies;
pub mod hints;
pub mod holder;
pub mod id;
pub mod lifecycle;
pub mod limits;
pub mod link;
pub mod members;
pub mod name;
pub mod outage;
pub mod owner;
pub mod paths;
pub mod places;
pub mod request_log;
pub mod retry_budget;
pub mod rollout;
pub mod router;
pub mod server_list;
pub mod shard;
pub mod slot_leases;
pub mod store_read_policy;
pub mod stream;
pub mod stream_bounds;
pub mod stream_versions;
pub mod table;
pub mod table_check;
pub mod witness;

pub use error::{Error, Result};
pub use id::{AttemptId, Fingerprint, Incarnation, RequestHash};
pub use name::Name;

/// A duration in milliseconds, or a time in milliseconds since an arbitrary fixed time of the
/// caller's clock.
pub type Millis = u64;

/// Number of language model tokens, the unit of every budget.
pub type Tokens = u64;
