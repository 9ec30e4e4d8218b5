//! One waiting request of a queue.

use crate::Millis;
use crate::places::{FreedPlace, PlaceRequest, Ticket};

/// A request that waits.
#[derive(Debug, Clone)]
pub(super) struct Waiter {
    pub(super) ticket: Ticket,
    pub(super) request: PlaceRequest,
    pub(super) until: Millis,
    pub(super) call: Option<Call>,
    /// Number of the last call after which it found no server.
    pub(super) declined: u64,
}

/// A call for one request to ask for a server. It is passed on if the request finds none.
#[derive(Debug, Clone)]
pub(super) struct Call {
    pub(super) number: u64,
    pub(super) freed: Option<FreedPlace>,
}
