//! Decisions of bankcove as pure state machines.
//!
//! Nothing in this package reads a clock, opens a socket, starts a task or
//! draws a random number: times, seeds and answers of the store are arguments,
//! and what is to be done comes back as commands. The daemon is a thin shell
//! around these machines; tests and benches drive the same code directly.

pub mod bill;
pub mod crashes;
pub mod edit;
pub mod error;
pub mod events;
pub mod freshness;
pub mod hall_list;
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
pub mod reqlog;
pub mod retry_budget;
pub mod router;
pub mod server_list;
pub mod shard;
pub mod store_read_policy;
pub mod stream;
pub mod table;
pub mod table_check;
pub mod witness;

pub use error::{Error, Result};
pub use id::{AttemptId, Fingerprint, Incarnation, RequestHash};
pub use name::Name;

/// Milliseconds since some fixed start, as the shell's clock counts them.
pub type Millis = u64;

/// Language-model tokens, the unit of every budget.
pub type Tokens = u64;
