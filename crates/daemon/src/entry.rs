//! Callers and backend servers of a platform with a wire of its own.
//!
//! The daemon's parts below (budgets, table, membership, router) are the same
//! as for its own interfaces; this folder adds the way of a request from such a
//! caller to a listed server and back. What the wire looks like is the
//! [`Wire`]'s matter.

pub mod admitted;
pub mod attempt;
pub mod backends;
pub mod call;
pub mod charge;
pub mod forward;
pub mod link_use;
pub mod pace;
pub mod plan;
pub mod ready;
pub mod refusal;
pub mod relay;
pub mod serve;
pub mod stop;

use std::sync::Arc;

use bankcove_core::link::Link;
use bankcove_core::retry_budget::RetryBudget;
use bankcove_ports::wire::Wire;
use parking_lot::Mutex;

use crate::base::config::entry::EntrySettings;
use crate::entry::backends::Backends;
use crate::requests::RequestContext;
use crate::view::View;

/// What the parts of the entry side share.
pub struct Entry {
    /// What its requests are served with.
    pub requests: Arc<RequestContext>,
    /// What is known of the platform.
    pub view: Arc<View>,
    /// The platform's wire.
    pub wire: Arc<dyn Wire>,
    /// Connections to backend servers.
    pub backends: Backends,
    /// Repeats that this daemon may still spend.
    pub retries: Mutex<RetryBudget>,
    /// The link of this host; none when the settings do not tell its width.
    pub link: Mutex<Option<Link>>,
    /// Settings of this side.
    pub settings: EntrySettings,
}

impl Entry {
    /// Puts the settings in force that may change while the daemon serves.
    pub fn reload(&self, settings: EntrySettings) {
        self.retries.lock().set_allowance(settings.retry_allowance());
    }

    /// The entry side of a daemon.
    pub fn new(
        requests: Arc<RequestContext>,
        view: Arc<View>,
        wire: Arc<dyn Wire>,
        settings: EntrySettings,
    ) -> Arc<Self> {
        Arc::new(Entry {
            backends: Backends::new(),
            retries: Mutex::new(RetryBudget::new(settings.retry_allowance())),
            link: Mutex::new(settings.link_mbps.map(Link::new)),
            requests,
            view,
            wire,
            settings,
        })
    }
}
