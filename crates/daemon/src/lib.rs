//! The bankcove daemon as a library, so that the demo can embed it.
//!
//! A thin shell around `bankcove-core`: it turns sockets, timers and answers
//! of the store into events and carries out the commands that come back.

pub mod admission;
pub mod allotment;
pub mod answer;
pub mod args;
pub mod backend;
pub mod billing;
pub mod borrow;
pub mod budget_owner;
pub mod budgets;
pub mod chat;
pub mod clock;
pub mod collect;
pub mod config;
pub mod controller;
pub mod crashes;
pub mod daemon;
pub mod draws;
pub mod dump;
pub mod entry;
pub mod error;
pub mod fleet;
pub mod hall_sync;
pub mod hand_over;
pub mod health;
pub mod host_list;
pub mod http;
pub mod identity;
pub mod logging;
pub mod mailbox;
pub mod membership;
pub mod metrics;
pub mod operator;
pub mod orders;
pub mod packed_table;
pub mod peer;
pub mod placement;
pub mod proxy;
pub mod pump;
pub mod ration;
pub mod request_log;
pub mod routing_table;
pub mod server_sync;
pub mod sse;
pub mod store_calls;
pub mod suspension;
pub mod table_sync;
pub mod tcp;
pub mod tend;
pub mod unread_news;
pub mod unreadable;

pub use error::{Error, Result};
