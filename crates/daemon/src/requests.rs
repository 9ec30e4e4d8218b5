//! What requests of callers are served with, on bankcove's own interface and on a platform's wire.
//!
//! Owns which requests are open (`open_request`, [`RequestContext::in_flight`]) and whether more are taken.
//! May call the layers of state; called by `api` and `entry`, and by a planned stop.

pub mod open_request;

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

/// What requests of callers are served with.
pub struct RequestContext {
    /// Settings, clocks, logger and metrics.
    pub base: Base,
    /// The other daemons.
    pub fleet: Fleet,
    /// The table in force; none until the first one is adopted.
    pub table: Arc<ArcSwapOption<Table>>,
    /// The routing state.
    pub router: Arc<Mutex<Router>>,
    /// Budgets held and shards owned.
    pub budgets: Arc<Budgets>,
    /// What is known of servers that crashed, and under which requests.
    pub crashes: Arc<Crashes>,
    /// What servers have said of themselves, and the permits that follow from it.
    pub hints: Arc<Hints>,
    /// Told when what servers have to read for this daemon has changed.
    pub unread_changed: Arc<Notify>,
    /// Cancelled when the platform's balancer is to send no new connections;
    /// requests are still taken then.
    pub leaving: CancellationToken,
    /// In a planned stop, the time by which a request that is still taken has
    /// to be expected to end.
    pub latest_end: Mutex<Option<Millis>>,
    /// Cancelled when a planned stop takes no more requests.
    pub stopping: CancellationToken,
    /// Requests in flight.
    pub in_flight: TaskTracker,
}

impl RequestContext {
    /// Revision of the table in force; 0 when there is none yet.
    pub fn revision(&self) -> u64 {
        self.table.load().as_ref().map_or(0, |table| table.revision)
    }
}
