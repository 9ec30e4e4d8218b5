//! What is played, and what came of it.

use bankcove_core::Millis;
use hdrhistogram::Histogram;

use super::fault::Faults;

/// How a fleet keeps to a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Enforcement {
    /// Nobody reads it.
    None,
    /// Each daemon has an equal part, of which it saves up one request.
    EqualParts,
    /// Three daemons alone use the server, with a third each.
    FewHosts,
    /// The product: permits of an issuer.
    Permits,
}

/// What callers do while no server has a permit for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitPolicy {
    /// They are refused at once.
    None,
    /// They wait this long for a permit.
    Up(Millis),
}

/// One run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// Daemons of the fleet.
    pub daemons: usize,
    /// What each server names: from when on, and the limit; none lifts it.
    pub servers: Vec<Vec<(Millis, Option<f64>)>>,
    /// Requests a second of all callers.
    pub per_second: f64,
    /// Length of the run.
    pub length_ms: Millis,
    /// How the fleet keeps to limits.
    pub enforcement: Enforcement,
    /// What callers without a permit do.
    pub wait_policy: WaitPolicy,
    /// What befalls the daemons.
    pub faults: Faults,
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// For each server: when requests came that the rule counts.
    pub counted_arrivals: Vec<Vec<Millis>>,
    /// For each server: when requests came.
    pub arrivals: Vec<Vec<Millis>>,
    /// Requests that a server took, of how many.
    pub served: usize,
    /// Requests of callers.
    pub requests: usize,
    /// Requests that were refused at the last.
    pub refused: usize,
    /// From a caller's first request to a server, in milliseconds.
    pub delay: Histogram<u64>,
    /// Bytes between daemons for limits.
    pub bytes: u64,
    /// Calls of issuers.
    pub permit_requests: u64,
    /// When the last daemon knew of the first limit, in milliseconds after its first word.
    pub propagation_ms: Option<Millis>,
}
