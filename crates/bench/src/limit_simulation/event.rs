//! What happens in a simulated fleet, in order.

use bankcove_core::Millis;
use bankcove_core::limits::{Issued, LimitFact, LimitHeader, PermitRequest};

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub daemon: usize,
    pub first: usize,
    pub first_at: Millis,
    pub arrived_at: Millis,
    pub retries: u32,
    pub permit_requests: usize,
}

/// What happens at a moment.
#[derive(Debug)]
pub enum Event {
    NewRequest,
    Request(CallerRequest),
    Retry(CallerRequest),
    PermitRequested {
        from: usize,
        to: usize,
        server: usize,
        fact: LimitFact,
        request: PermitRequest,
        requested_at: Millis,
        call_id: u64,
    },
    PermitResponse {
        server: usize,
        issued: Issued,
        is_unlimited: bool,
        newer_fact: Option<LimitFact>,
        requested_at: Millis,
        call_id: u64,
    },
    PermitTimeout {
        call_id: u64,
        server: usize,
        peer: usize,
    },
    Response {
        daemon: usize,
        server: usize,
        requested_at: Millis,
        header: LimitHeader,
    },
    Facts {
        to: usize,
        facts: Vec<LimitFact>,
        sent_at: Millis,
    },
    Heartbeat {
        daemon: usize,
    },
    DaemonStart {
        daemon: usize,
    },
}
