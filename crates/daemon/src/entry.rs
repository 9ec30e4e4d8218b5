//! HTTP proxy for callers and backend servers of a platform that has its own wire format.
//!
//! Budgets, table, membership and router are the same as for the daemon's own API (`api`). This
//! module, the entry proxy, forwards requests of the platform's callers to its listed servers and
//! returns the answers; a [`Wire`] reads and writes the platform's headers.

pub mod admission;
pub mod answer_buffer;
pub mod attempt;
pub mod backend;
pub mod call;
pub mod charge;
pub mod forward;
pub mod link_reservation;
pub mod outcome;
pub mod pace;
pub mod places;
pub mod plan;
pub mod ready;
pub mod refusal;
pub mod relay;
pub mod response;
pub mod sends;
pub mod serve;
pub mod stop;
pub mod tunnels;

use std::sync::Arc;

use bankcove_core::link::{Link, Traffic};
use bankcove_core::retry_budget::RetryBudget;
use bankcove_ports::wire::Wire;
use parking_lot::Mutex;

use crate::base::config::entry::EntrySettings;
use crate::entry::backend::BackendClient;
use crate::entry::places::Places;
use crate::requests::RequestContext;
use crate::view::View;

/// State shared by the modules of the entry proxy.
pub struct Entry {
    /// State for serving requests, shared with the daemon's own API.
    pub requests: Arc<RequestContext>,
    /// Table, servers, halls and hosts as known to this daemon.
    pub view: Arc<View>,
    /// Wire format of the platform.
    pub wire: Arc<dyn Wire>,
    /// Connections to backend servers.
    pub backend_client: BackendClient,
    /// This daemon's retry budget.
    pub retries: Mutex<RetryBudget>,
    /// Reservations of this host's link; `None` when the settings do not give its bandwidth.
    pub link: Mutex<Option<Link>>,
    /// Queues for places at the servers of full pools.
    pub places: Arc<Places>,
    /// Settings of the entry proxy.
    pub settings: EntrySettings,
}

impl Entry {
    /// Returns whether new connections should lead to other hosts: this one is shutting down, or its
    /// link is overloaded.
    pub fn is_withdrawn(&self) -> bool {
        let now = self.requests.base.clock.now();
        let link = self.link.lock();
        self.requests.leaving.is_cancelled() || link.as_ref().is_some_and(|l| l.is_withdrawn(now))
    }

    /// Returns whether this host's link is so full that calls to other hosts fail for it.
    pub fn is_link_saturated(&self) -> bool {
        let now = self.requests.base.clock.now();
        self.link.lock().as_mut().is_some_and(|link| link.is_saturated(now))
    }

    /// Returns whether new work may be sent to servers: not while an overloaded link delays the news
    /// of servers that are leaving.
    pub fn may_send(&self) -> bool {
        let now = self.requests.base.clock.now();
        let fleet = &self.requests.fleet;
        let (news_age, max_age) =
            (fleet.connectivity.news_age(now), fleet.view_bounds.trusted_age());
        self.link.lock().as_mut().is_none_or(|link| link.may_send(news_age, max_age, now))
    }

    /// Records traffic that has passed the link in one direction.
    pub fn record_passed(&self, traffic: Traffic) {
        let now = self.requests.base.clock.now();
        let begins = self.link.lock().as_mut().and_then(|link| link.record_passed(traffic, now));
        if let Some(for_ms) = begins {
            self.requests.base.metrics.count("link.withdrawn");
            slog::warn!(self.requests.base.log, "link overloaded, leaving the load balancer";
                "for_ms" => for_ms);
        }
    }

    /// Applies those settings that may change at run time.
    pub fn reload(&self, settings: EntrySettings) {
        self.retries.lock().set_allowance(settings.retry_allowance());
        self.requests.body_memory.set_max_bytes(settings.max_held_body_bytes());
        self.requests.answer_memory.set_max_bytes(settings.max_held_answer_bytes());
        self.requests.gather_memory.set_max_bytes(settings.max_held_answer_bytes());
    }

    /// Creates the entry proxy of a daemon.
    pub fn new(
        requests: Arc<RequestContext>,
        view: Arc<View>,
        wire: Arc<dyn Wire>,
        settings: EntrySettings,
    ) -> Arc<Self> {
        Arc::new(Entry {
            backend_client: BackendClient::new(settings.source_ip),
            retries: Mutex::new(RetryBudget::new(settings.retry_allowance())),
            link: Mutex::new(settings.link_mbps.map(Link::new)),
            places: Places::new(Arc::clone(&requests), settings.place_queue),
            requests,
            view,
            wire,
            settings,
        })
    }
}
