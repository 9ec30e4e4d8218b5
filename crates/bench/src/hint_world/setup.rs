//! What is played, and what came of it.

use bankcove_core::Millis;
use hdrhistogram::Histogram;

use crate::limit_world::Troubles;

/// Who keeps to a rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestWay {
    /// Nobody.
    Ignored,
    /// The daemon that was asked for it.
    Kept,
    /// All daemons: the one that was asked tells the others.
    Told,
}

/// What a server does from a moment on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Act {
    /// Its answers say that it leaves.
    Leaves,
    /// It turns everything away and asks for so much rest.
    Sheds(Millis),
    /// It turns away what goes beyond its slots, and asks for so much rest then.
    Serves(Option<Millis>),
    /// Another start of it is listed, and serves.
    StartsAgain,
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
    pub acts: Vec<(Millis, usize, Act)>,
    /// Requests a second of all callers.
    pub per_second: f64,
    /// Length of the run.
    pub length_ms: Millis,
    /// Who keeps to rests.
    pub way: RestWay,
    /// How long a request waits for a rest to end.
    pub patience_ms: Millis,
    /// What befalls the daemons.
    pub troubles: Troubles,
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Requests that reached a server from a daemon over half a second after that daemon had
    /// read that it leaves.
    pub late: usize,
    /// Most requests of one daemon within one rest that it was asked for.
    pub worst_rest: usize,
    /// Requests of callers, and those that were served.
    pub requests: usize,
    /// Requests that a server ran.
    pub served: usize,
    /// Requests that a server turned away.
    pub turned_away: usize,
    /// Refusals to callers, who may have come back.
    pub refused: usize,
    /// From a caller's first request to the answer, in milliseconds.
    pub delay: Histogram<u64>,
    /// From the first word that a server leaves until all daemons know, the longest.
    pub known_ms: Option<Millis>,
    /// Bytes of words between daemons.
    pub bytes: u64,
}
