//! Parameters and outcome of a run.

use bankcove_core::Millis;
use hdrhistogram::Histogram;

use crate::limit_simulation::Faults;

/// Which daemons send nothing to a server in a rest period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestHandling {
    /// None: rest periods are ignored.
    Ignored,
    /// The daemon that the server asked.
    Kept,
    /// All daemons: the one that the server asked notifies the others.
    Told,
}

/// Change of a server's behavior.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Its responses announce that it is leaving.
    Leave,
    /// It rejects all requests and asks for this rest, in milliseconds.
    Shed(Millis),
    /// It rejects only requests beyond its slots, and asks for this rest then, in milliseconds.
    Serve(Option<Millis>),
    /// It restarts; the new instance is listed and serves.
    Restart,
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of servers.
    pub servers: usize,
    /// Number of requests that a server runs at once.
    pub slots: usize,
    /// Shortest and longest time that a server takes for a request, in milliseconds.
    pub run_ms: (Millis, Millis),
    /// Changes of the servers' behavior, with their time and the index of the server.
    pub actions: Vec<(Millis, usize, Action)>,
    /// Requests per second of all callers together.
    pub per_second: f64,
    /// Length of the run, in milliseconds.
    pub length_ms: Millis,
    /// Which daemons observe rest periods.
    pub rest_handling: RestHandling,
    /// Longest time that a request waits for a rest period to end, in milliseconds.
    pub max_wait_ms: Millis,
    /// Faults of the daemons.
    pub faults: Faults,
}

/// Outcome of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Number of requests that reached a server more than half a second after their daemon had
    /// received the announcement that it is leaving.
    pub late_requests: usize,
    /// Largest number of requests of one daemon within one rest period that it was asked for.
    pub max_in_rest: usize,
    /// Number of callers' requests, without their retries.
    pub requests: usize,
    /// Number of requests that a server ran.
    pub served: usize,
    /// Number of requests that a server rejected.
    pub rejected: usize,
    /// Number of refusals to callers, who may have retried.
    pub refused: usize,
    /// Time from a caller's first attempt to the response, in milliseconds.
    pub delay: Histogram<u64>,
    /// Longest time from the first announcement that a server is leaving until all daemons know
    /// it, in milliseconds.
    pub propagation_ms: Option<Millis>,
    /// Bytes of hints sent between daemons.
    pub bytes: u64,
}
