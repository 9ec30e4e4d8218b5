//! The design and the baselines that it is measured against.

/// How a budget is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Grants, collected before a refusal, moved between peers in an outage.
    Design,
    /// Grants without collecting or moving them.
    GrantsOnly,
    /// One conditional update of the store for each request.
    UpdatePerRequest,
    /// An equal part for each daemon, once and for all.
    EqualSplit,
    /// Each daemon checks a sum that it reads once a second: it overspends,
    /// which shows that the check can fail.
    CachedSum,
}

/// Every policy.
pub const POLICIES: [Policy; 5] = [
    Policy::Design,
    Policy::GrantsOnly,
    Policy::UpdatePerRequest,
    Policy::EqualSplit,
    Policy::CachedSum,
];
