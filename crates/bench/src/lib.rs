//! Discrete-event simulations that measure the decisions of `bankcove-core`.
//!
//! Each runs in one process, in simulated time and from a seed. The decision code is the daemon's
//! own; network links and the store are simulated, and their use is counted.

pub mod budget_policy;
pub mod budget_simulation;
pub mod budget_workload;
pub mod hint_simulation;
pub mod limit_simulation;
pub mod routing_simulation;
pub mod schedule;
