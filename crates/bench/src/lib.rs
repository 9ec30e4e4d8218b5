//! Drivers that run the decisions of `bankcove-core` in simulated time, in one
//! process and from a seed, to measure them. The decisions are the daemon's
//! own code; only the links and the store are counted instead of used.

pub mod budget_load;
pub mod budget_policy;
pub mod budget_simulation;
pub mod hint_simulation;
pub mod limit_simulation;
pub mod routing_simulation;
pub mod schedule;
