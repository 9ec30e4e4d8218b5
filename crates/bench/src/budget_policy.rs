//! Policies of the budget simulation: the daemon's own, and baselines to compare it with.

/// How a budget is enforced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The daemon's policy: grants, which are collected before a request is refused and
    /// transferred between peers during an outage.
    Design,
    /// Grants that are neither collected nor transferred.
    GrantsOnly,
    /// One conditional update of the store per request.
    UpdatePerRequest,
    /// A fixed, equal share for each daemon.
    EqualSplit,
    /// Each daemon checks the spent sum that it reads once per second. It overspends, which shows
    /// that the check for overspending can fail.
    CachedSum,
}

/// All policies.
pub const POLICIES: [Policy; 5] = [
    Policy::Design,
    Policy::GrantsOnly,
    Policy::UpdatePerRequest,
    Policy::EqualSplit,
    Policy::CachedSum,
];
