//! Budget tokens that this daemon holds, and the budget shards that it owns.
//!
//! Each module depends only on modules in the lines above it:
//!
//! * `owner_tasks`, `budgets`: the state; `ownership`: the owners of a budget in a large fleet
//! * `terms`: how many tokens are prefetched, and for which daemons
//! * `collect`, `borrow`, `hand_over`, `token_request`, `statement`: token transfers between
//!   daemons, and reports about tokens
//! * `owner`: the shards that this daemon writes; `ration`, `draws`: reads of the store and draws
//!   on it
//! * `protection`: keeps the last tokens of a budget for more urgent requests
//! * `reserve`: reserves tokens for a request and obtains more
//! * `allotment`, `rebalance`: allots tokens to other daemons, prefetches, and gives back surplus
//!   tokens
//!
//! The modules call the store, `fleet` and peers; they are called by the `api` and `entry` layers
//! and by the peer server.

pub mod allotment;
pub mod borrow;
pub mod budgets;
pub mod collect;
pub mod draws;
pub mod hand_over;
pub mod owner;
pub mod owner_tasks;
pub mod ownership;
pub mod protection;
pub mod ration;
pub mod rebalance;
pub mod reserve;
pub mod statement;
pub mod terms;
pub mod token_request;
