//! Rollouts: the move of a service's requests onto servers of another version.
//!
//! Operators order a rollout through the platform. Each daemon sends the new version a bounded
//! fraction of its own requests, so the bound holds for the fleet whatever its size. One daemon,
//! the decider, holds a lease in the store. It adds up the outcomes that all daemons report,
//! determines the fraction, and ends the rollout as done or rolled back. A daemon without a recent
//! answer of the decider sends the new version nothing.

mod exposure;
mod lease;
mod order;
mod outcomes;
mod plan;
mod speeds;

pub use exposure::{DECISION_VALID_MS, Exposure, Versions};
pub use lease::{LEASE_MS, Lease, LeaseRecord};
pub use order::{
    RolloutChanges, RolloutKey, RolloutList, RolloutOrder, RolloutOrders, RolloutState,
};
pub use outcomes::{Fault, Outcomes, RouteOutcomes, ServiceOutcomes};
pub use plan::{Decision, Plan};
