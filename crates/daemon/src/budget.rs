//! Tokens of budgets, as this daemon holds and owns them.
//!
//! Owns what is held, reserved and handed on (`budgets`, `allotment`, `ration`, `tend`, `borrow`,
//! `statement`) and the shards that this daemon writes for others (`owner`, `draws`, `collect`,
//! `hand_over`). May call the store, `fleet` and peers; called by the sides for callers and by
//! the answers to peers.

pub mod allotment;
pub mod borrow;
pub mod budgets;
pub mod collect;
pub mod draws;
pub mod hand_over;
pub mod owner;
pub mod ration;
pub mod statement;
pub mod tend;
