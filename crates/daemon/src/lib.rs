//! The bankcove daemon as a library, so that the demo can embed it.
//!
//! A thin I/O layer around `bankcove-core`: it converts data from sockets, timers and the store
//! into events for the state machines there and executes the commands that they return.

pub mod api;
pub mod args;
pub mod auth;
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
pub mod lifecycle;
pub mod membership;
pub mod operator;
pub mod paths;
pub mod peer;
pub mod peer_server;
pub mod requests;
pub mod rollouts;
pub mod view;

pub use error::{Error, Result};
