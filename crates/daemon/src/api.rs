//! bankcove's own interface for callers: chat completions and plain service calls.
//!
//! Owns a request's way from `admission` over `placement` to its answer (`delivery`, `proxy`).
//! May call `requests`, `bill` and the layers below; called by HTTP alone. A platform's wire
//! of its own is served by `entry` instead.

pub mod admission;
pub mod backend;
pub mod chat;
pub mod delivery;
pub mod placement;
pub mod proxy;
pub mod response;
pub mod sse;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bankcove_core::AttemptId;
use salvo::Depot;

use crate::bill::billing::Billing;
use crate::requests::RequestContext;

/// What the parts of this side share.
pub struct Api {
    /// What its requests are served with.
    pub requests: Arc<RequestContext>,
    /// Bills that wait for the store.
    pub billing: Arc<Billing>,
    /// Connections to backend servers.
    pub http: reqwest::Client,
    attempts: AtomicU64,
}

impl Api {
    /// This side of a daemon.
    pub fn new(
        requests: Arc<RequestContext>,
        billing: Arc<Billing>,
        http: reqwest::Client,
    ) -> Arc<Self> {
        Arc::new(Api { requests, billing, http, attempts: AtomicU64::new(0) })
    }

    /// Identity for a new attempt.
    pub fn next_attempt(&self) -> AttemptId {
        let sequence = self.attempts.fetch_add(1, Ordering::Relaxed);
        AttemptId { incarnation: self.requests.base.incarnation, sequence }
    }
}

/// The side that a request came to.
pub fn api_state(depot: &Depot) -> Arc<Api> {
    let api = depot.obtain::<Arc<Api>>();
    Arc::clone(api.expect("this side is injected into every route"))
}
