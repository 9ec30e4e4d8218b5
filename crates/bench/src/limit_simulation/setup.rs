//! Parameters and outcome of a run.

use bankcove_core::Millis;
use hdrhistogram::Histogram;

use super::fault::Faults;

/// How a fleet enforces a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Enforcement {
    /// The limit is ignored.
    None,
    /// Each daemon has an equal share, of which it saves up at most one request.
    EqualParts,
    /// Only three daemons use the server, with a third of the limit each.
    FewHosts,
    /// Issuers issue permits, as in the daemon.
    Permits,
}

/// What happens to a request while no server can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitPolicy {
    /// It is refused at once.
    None,
    /// It waits up to this time, in milliseconds.
    Up(Millis),
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Limits that each server announces, in requests per second, with their start times; `None`
    /// lifts the limit.
    pub servers: Vec<Vec<(Millis, Option<f64>)>>,
    /// Requests per second of all callers together.
    pub per_second: f64,
    /// Length of the run, in milliseconds.
    pub length_ms: Millis,
    /// How the fleet enforces limits.
    pub enforcement: Enforcement,
    /// What happens to requests while no server can be used.
    pub wait_policy: WaitPolicy,
    /// Faults of the daemons.
    pub faults: Faults,
}

/// Outcome of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Times of the requests that count against the limit, by server.
    pub counted_arrivals: Vec<Vec<Millis>>,
    /// Times of all requests, by server.
    pub arrivals: Vec<Vec<Millis>>,
    /// Number of requests sent to a server.
    pub served: usize,
    /// Number of callers' requests, without their retries.
    pub requests: usize,
    /// Number of requests that were refused and not retried.
    pub refused: usize,
    /// Time from a caller's first attempt until its request is sent to a server, in milliseconds.
    pub delay: Histogram<u64>,
    /// Bytes sent between daemons for limits and permits.
    pub bytes: u64,
    /// Number of permit requests sent to other daemons.
    pub permit_requests: u64,
    /// Time from the first response with the limit of server 0 until all daemons know it, in
    /// milliseconds.
    pub propagation_ms: Option<Millis>,
}
