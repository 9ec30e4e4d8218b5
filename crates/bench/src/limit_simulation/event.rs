//! Events of the limit simulation.

use bankcove_core::Millis;
use bankcove_core::limits::{Issued, LimitFact, LimitHeader, PermitRequest};

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub daemon: usize,
    /// First server to try; the others follow in order.
    pub first: usize,
    /// Time of the caller's first attempt.
    pub first_at: Millis,
    /// Time of this attempt.
    pub arrived_at: Millis,
    /// Number of earlier attempts of the caller.
    pub retries: u32,
    /// Permit requests in this attempt.
    pub permit_requests: usize,
}

/// An event. Daemons and servers are given by index.
#[derive(Debug)]
pub enum Event {
    /// A caller starts a new request.
    NewRequest,
    /// A request reaches a daemon.
    Request(CallerRequest),
    /// A waiting request is routed again.
    Retry(CallerRequest),
    /// A permit request reaches an issuer.
    PermitRequested {
        from: usize,
        to: usize,
        server: usize,
        fact: LimitFact,
        request: PermitRequest,
        requested_at: Millis,
        call_id: u64,
    },
    /// The response to a permit request reaches the daemon.
    PermitResponse {
        server: usize,
        issued: Issued,
        /// The issuer knows of no limit.
        is_unlimited: bool,
        /// The limit that the issuer knows, if it differs.
        newer_fact: Option<LimitFact>,
        requested_at: Millis,
        call_id: u64,
    },
    /// The time to wait for the response to a permit request has passed.
    PermitTimeout { call_id: u64, server: usize, peer: usize },
    /// A server's response headers reach a daemon.
    Response { daemon: usize, server: usize, requested_at: Millis, header: LimitHeader },
    /// Limits sent by a peer reach a daemon.
    Facts { to: usize, facts: Vec<LimitFact>, sent_at: Millis },
    /// A daemon sends heartbeats.
    Heartbeat { daemon: usize },
    /// A daemon starts without any state.
    DaemonStart { daemon: usize },
}
