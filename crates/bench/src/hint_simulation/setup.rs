//! What is played, and what came of it.

use bankcove_core::Millis;
use hdrhistogram::Histogram;

use crate::limit_simulation::Faults;

/// Who keeps to a rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestHandling {
    /// Nobody.
    Ignored,
    /// The daemon that was asked for it.
    Kept,
    /// All daemons: the one that was asked tells the others.
    Told,
}

/// What a server does from a moment on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Its answers say that it leaves.
    Leave,
    /// It turns everything away and asks for so much rest.
    Shed(Millis),
    /// It turns away what goes beyond its slots, and asks for so much rest then.
    Serve(Option<Millis>),
    /// Another start of it is listed, and serves.
    Restart,
}

/// One run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// Daemons of the fleet.
    pub daemons: usize,
    /// Servers, and requests that each runs at once.
    pub servers: usize,
    /// Requests that a server runs at once.
    pub slots: usize,
    /// Shortest and longest time of a run.
    pub run_ms: (Millis, Millis),
    /// What a server does, and from when on.
    pub actions: Vec<(Millis, usize, Action)>,
    /// Requests a second of all callers.
    pub per_second: f64,
    /// Length of the run.
    pub length_ms: Millis,
    /// Who keeps to rests.
    pub rest_handling: RestHandling,
    /// How long a request waits for a rest to end.
    pub max_wait_ms: Millis,
    /// What befalls the daemons.
    pub faults: Faults,
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Requests that reached a server from a daemon over half a second after that daemon had
    /// read that it leaves.
    pub late_requests: usize,
    /// Most requests of one daemon within one rest that it was asked for.
    pub max_in_rest: usize,
    /// Requests of callers, and those that were served.
    pub requests: usize,
    /// Requests that a server ran.
    pub served: usize,
    /// Requests that a server turned away.
    pub rejected: usize,
    /// Refusals to callers, who may have come back.
    pub refused: usize,
    /// From a caller's first request to the answer, in milliseconds.
    pub delay: Histogram<u64>,
    /// From the first word that a server leaves until all daemons know, the longest.
    pub propagation_ms: Option<Millis>,
    /// Bytes of words between daemons.
    pub bytes: u64,
}
