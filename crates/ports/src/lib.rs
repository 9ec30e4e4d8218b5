//! Ports of the daemon: the interfaces through which it uses its environment, independent of the
//! protocols of a platform.
//!
//! The store port is implemented here by [`Client`], for bankcove's object API and host list. The
//! wire port has no implementation here: bankcove's own interfaces for callers and backend
//! servers are implemented in the daemon.
//!
//! If the response to a write is lost, the write may or may not have taken effect. This is
//! reported as [`WriteOutcome::Ambiguous`]; the caller resolves it by reading the object.

pub mod calls;
mod client;
mod connections;
mod error;
mod http;
mod objects;
pub mod observed;
mod store;
pub mod wire;

pub use client::{Client, ListPage};
pub use connections::{Answer, CallError, Connections, Generation, Try};
pub use error::{Error, Result};
pub use http::{HttpClient, SendError};
pub use objects::{Kind, Version, Versioned, WriteOutcome, segment_name};
pub use store::{Store, StoreApi, WatchResult};
