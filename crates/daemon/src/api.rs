//! bankcove's own HTTP interface for callers: chat completions and calls of plain services.
//!
//! Handles a request from `admission` through `dispatch` to its response (`delivery`, `proxy`).
//! May call `requests`, `bill` and the layers below; called only by HTTP routes. The platform's
//! own protocol is served by `entry` instead.

pub mod admission;
pub mod backend;
pub mod chat;
pub mod delivery;
pub mod dispatch;
pub mod proxy;
pub mod response;
pub mod sse;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bankcove_core::AttemptId;
use bankcove_ports::Connections;
use salvo::Depot;

use crate::bill::billing::Billing;
use crate::requests::RequestContext;

/// Shared state of the handlers of this interface.
pub struct Api {
    /// State that requests are served with.
    pub requests: Arc<RequestContext>,
    /// Bills and other request log entries that wait for the store.
    pub billing: Arc<Billing>,
    /// Connections to backend servers.
    pub connections: Connections,
    attempts: AtomicU64,
}

impl Api {
    /// Creates the state of this interface.
    pub fn new(
        requests: Arc<RequestContext>,
        billing: Arc<Billing>,
        connections: Connections,
    ) -> Arc<Self> {
        Arc::new(Api { requests, billing, connections, attempts: AtomicU64::new(0) })
    }

    /// Returns the identifier for a new attempt.
    pub fn next_attempt(&self) -> AttemptId {
        let sequence = self.attempts.fetch_add(1, Ordering::Relaxed);
        AttemptId { incarnation: self.requests.base.incarnation, sequence }
    }
}

/// Returns the state that is injected into the routes of this interface.
pub fn injected_api(depot: &Depot) -> Arc<Api> {
    let api = depot.obtain::<Arc<Api>>();
    Arc::clone(api.expect("Api is injected into every route"))
}
