//! State for serving callers' requests, over bankcove's own interface (`api`) and over the
//! platform's protocol (`entry`).
//!
//! Owns the set of open requests (`open_request`, [`RequestContext::in_flight`]), their bodies
//! (`held_bodies`), the answers held for callers (`held_answers`), what is gathered of incomplete ones
//! (`gathering`), the versions at which streams have begun (`stream_versions`) and the flags by which a graceful shutdown stops the acceptance of new ones. May call the layers that hold
//! state, the store and peers; called by `api`, `entry`, `lifecycle` and `peer_server`.

pub mod gathering;
pub mod held_answers;
pub mod held_bodies;
pub mod open_request;
pub mod stream_versions;

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bankcove_core::Millis;
use bankcove_core::router::Router;
use bankcove_core::table::Table;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::base::Base;
use crate::budget::budgets::Budgets;
use crate::crashes::Crashes;
use crate::fleet::Fleet;
use crate::hints::Hints;
use crate::paths::Paths;
use crate::requests::gathering::GatherMemory;
use crate::requests::held_answers::AnswerMemory;
use crate::requests::held_bodies::BodyMemory;
use crate::requests::stream_versions::StreamVersions;
use crate::rollouts::Rollouts;

/// Shared state for serving requests of callers.
pub struct RequestContext {
    /// Settings, clock, logger and metrics.
    pub base: Base,
    /// This daemon's view of the fleet.
    pub fleet: Fleet,
    /// The current table; `None` until the first one is adopted.
    pub table: Arc<ArcSwapOption<Table>>,
    /// Routing state of the backend servers.
    pub router: Arc<Mutex<Router>>,
    /// Budget tokens held by this daemon and budget shards that it owns.
    pub budgets: Arc<Budgets>,
    /// Crashes of backend servers, and the requests that were running there.
    pub crashes: Arc<Crashes>,
    /// Hints of backend servers, and the permits derived from their limits.
    pub hints: Arc<Hints>,
    /// Rollouts that were ordered, and the outcomes of requests by version.
    pub rollouts: Arc<Rollouts>,
    /// Network paths to the backend servers.
    pub paths: Arc<Paths>,
    /// Versions of the servers at which streams have begun.
    pub stream_versions: Arc<StreamVersions>,
    /// Notified when the unread prompt tokens that this daemon has sent to servers have changed.
    pub unread_changed: Arc<Notify>,
    /// Cancelled when the platform's load balancer should send no new connections; requests are
    /// still accepted then.
    pub leaving: CancellationToken,
    /// During a graceful shutdown: a request is only accepted if it is expected to end by this
    /// time.
    pub latest_end: Mutex<Option<Millis>>,
    /// Cancelled when no more requests are accepted because of a graceful shutdown.
    pub stopping: CancellationToken,
    /// Requests in flight.
    pub in_flight: TaskTracker,
    /// Bodies of requests that may still be sent.
    pub body_memory: Arc<BodyMemory>,
    /// Answers that are held for callers.
    pub answer_memory: Arc<AnswerMemory>,
    /// Events and answers that are not complete yet.
    pub gather_memory: Arc<GatherMemory>,
}

impl RequestContext {
    /// Returns the revision of the current table, or 0 if there is none yet.
    pub fn revision(&self) -> u64 {
        self.table.load().as_ref().map_or(0, |table| table.revision)
    }
}
