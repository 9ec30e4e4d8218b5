//! Requests that wait for a place, and what becomes of them.

use crate::crashes::ServerInstance;
use crate::{Millis, Name};

/// Priority rank of a request; the lowest one is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlaceRank {
    /// Rank of its workspace, compared first.
    pub workspace: u32,
    /// Rank of its route.
    pub route: u32,
}

/// A request for a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlaceRequest {
    /// Priority rank.
    pub rank: PlaceRank,
    /// Workspace of the caller, if known.
    pub workspace: Option<Name>,
    /// Time from which the goal counts.
    pub since: Millis,
    /// Time within which the answer should begin, in milliseconds.
    pub goal_ms: Millis,
    /// Deadline of the caller.
    pub deadline: Millis,
    /// Version of the only servers that it may use; `None` if it may use all.
    pub version: Option<Name>,
}

impl PlaceRequest {
    /// Returns whether it may use a server of this version.
    pub(super) fn may_use(&self, version: Option<&Name>) -> bool {
        self.version.is_none() || self.version.as_ref() == version
    }

    /// Returns whether there is a version whose servers both requests may use.
    pub(super) fn is_rival_of(&self, other: &PlaceRequest) -> bool {
        self.version.is_none() || other.version.is_none() || self.version == other.version
    }
}

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(super) u64);

/// Reason why a request gets no place, with the inputs of the decision.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct NoPlace {
    /// Number of requests that get places before it.
    pub position: usize,
    /// Number of requests that get places in a second.
    pub per_second: f64,
    /// Time since which its goal counts, in milliseconds.
    pub age_ms: Millis,
    /// Age of the latest rejection or end of a request at the pool, in milliseconds.
    pub heard_ms_ago: Millis,
    /// Time until its answer would begin once it has a place, in milliseconds.
    pub answer_ms: Millis,
    /// Time until a place is expected for it, in milliseconds.
    pub expected_ms: Millis,
    /// Retry delay, in milliseconds.
    pub retry_ms: Millis,
}

/// Place at a server where a request has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FreedPlace {
    /// The server.
    pub server: ServerInstance,
    /// Version of its software; `None` when unknown.
    pub version: Option<Name>,
}

impl FreedPlace {
    pub(super) fn version(&self) -> Option<&Name> {
        self.version.as_ref()
    }
}

/// State of a request that has joined the queue.
#[derive(Debug, Clone, PartialEq)]
pub enum PlaceState {
    /// It waits until it is called, at the latest until this time.
    Waiting(Millis),
    /// It may ask for a server now; a request of this daemon has just ended at this server.
    Called(Option<ServerInstance>),
    /// It has been removed in favor of a more urgent request.
    Removed(NoPlace),
}
