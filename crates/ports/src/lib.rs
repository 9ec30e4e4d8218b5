//! Ports of the daemon: what it asks of its surroundings, in its own words.
//!
//! The store port has an implementation of its own here, [`Client`], for
//! bankcove's object API and host list. The wire port has none here: callers and
//! backend servers of bankcove's own interfaces are served by the daemon itself.
//!
//! An answer that was lost after the write took effect is a value of its own,
//! [`WriteOutcome::Ambiguous`]: the caller settles it by reading the object.

pub mod calls;
mod client;
mod error;
mod objects;
mod store;
pub mod wire;

pub use client::{Client, ListPage};
pub use error::{Error, Result};
pub use objects::{Kind, Version, Versioned, WriteOutcome, segment_name};
pub use store::{Store, StoreApi, WatchResult};
