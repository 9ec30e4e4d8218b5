//! Tokens of budgets, as this daemon holds and owns them.
//!
//! Each file uses those of the lines above it alone:
//!
//! * `owner_tasks`, `budgets`: the state; `ownership`: who owns a budget in a large fleet
//! * `terms`: how much is held ahead, and for whom
//! * `collect`, `borrow`, `hand_over`, `ask`, `statement`: tokens and word of them from peers
//! * `owner`: the shards that this daemon writes; `ration`, `draws`: what the store has
//! * `reserve`: sets tokens aside for a request and obtains more
//! * `allotment`, `tend`: hands tokens on, and gives back what is not needed
//!
//! May call the store, `fleet` and peers; called by the sides for callers and by the answers to
//! peers.

pub mod allotment;
pub mod borrow;
pub mod budgets;
pub mod collect;
pub mod draws;
pub mod hand_over;
pub mod owner;
pub mod owner_tasks;
pub mod ownership;
pub mod ration;
pub mod rebalance;
pub mod reserve;
pub mod statement;
pub mod terms;
pub mod token_request;
