//! The bankcove daemon as a library, so that the demo can embed it.
//!
//! A thin shell around `bankcove-core`: it turns sockets, timers and answers
//! of the store into events and carries out the commands that come back.

pub mod api;
pub mod args;
pub mod base;
pub mod bill;
pub mod budget;
pub mod crashes;
pub mod daemon;
pub mod entry;
pub mod error;
pub mod fleet;
pub mod hints;
pub mod http;
pub mod identity;
pub mod lifecycle;
pub mod membership;
pub mod operator;
pub mod peer;
pub mod peer_server;
pub mod requests;
pub mod view;

pub use error::{Error, Result};
