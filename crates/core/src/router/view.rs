//! One backend server as a daemon sees it: its load, and whether it is usable.

use serde::{Deserialize, Serialize};

use crate::crashes::ServerStart;
use crate::router::load::Load;
use crate::table::{Server, ServerKind, ServerState};
use crate::{Millis, Name, Tokens};

/// Failures in a row that eject a server.
pub(super) const FAILURES_TO_EJECT: u32 = 3;

/// First ejection; each further one is twice as long.
pub(super) const FIRST_EJECTION_MS: Millis = 1_000;

/// Longest ejection.
pub(super) const MAX_EJECTION_MS: Millis = 30_000;

/// At most one in so many servers of a pool is ejected at once.
pub(super) const POOL_PER_EJECTED: usize = 2;

/// After an ejection, a limit or a rest a server takes its full share again only after this long.
pub(super) const SLOW_START_MS: Millis = 5_000;

/// A server's own word that it leaves is believed this long.
pub(super) const LEAVING_REPORT_TTL_MS: Millis = 10_000;

/// A load report, as servers tell it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Whether the server takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// When this start of the server began, in milliseconds since 1970; 0 where it doesn't say.
    #[serde(default)]
    pub started_ms: Millis,
}

/// One server as this daemon sees it.
#[derive(Debug, Clone, Serialize)]
pub struct ServerView {
    /// The row's name.
    pub name: Name,
    /// Its hall.
    pub hall: Name,
    /// Its address.
    pub address: String,
    /// When this start of it began, in milliseconds since 1970; 0 where nobody tells.
    pub started_ms: Millis,
    /// The same by its load reports, for a row of the operators, which doesn't tell.
    pub(super) reported_start_ms: Millis,
    pub(super) cold_until: Millis,
    pub(super) limit: u32,
    pub(super) reports_load: bool,
    pub(super) row_draining: bool,
    pub(super) listed_leaving: bool,
    pub(super) leaving_until: Millis,
    /// Whether it has said itself that it leaves, for good.
    pub(super) said_leaving: bool,
    /// It has asked this daemon for rest until then.
    pub(super) rests_until: Millis,
    pub(super) in_flight: u32,
    /// Tokens of prompts that were sent there and of which no answer has begun.
    pub(super) unread: Tokens,
    /// The same of peers, as they have told.
    pub(super) unread_elsewhere: Tokens,
    pub(super) reported: u32,
    pub(super) in_flight_at_report: u32,
    pub(super) failures: u32,
    pub(super) ejections: u32,
    pub(super) ejected_until: Millis,
    /// It takes no more than its limit until then, as far as this daemon may send.
    pub(super) no_permit_until: Millis,
    /// Requests a second that it takes from all daemons, when it said so.
    pub(super) limit_per_s: Option<f64>,
    /// When its limit was lifted last.
    pub(super) lifted_at: Option<Millis>,
    /// Usual time between two events of a stream there, in milliseconds.
    pub(super) event_ms: Option<f64>,
}

impl ServerView {
    pub(super) fn new(row: &Server) -> Self {
        ServerView {
            name: row.name.clone(),
            hall: row.hall.clone(),
            address: row.address.clone(),
            started_ms: row.listed.started_ms,
            reported_start_ms: 0,
            cold_until: row.listed.cold_until,
            limit: row.limit,
            reports_load: row.kind == ServerKind::Model,
            row_draining: row.state == ServerState::Draining,
            listed_leaving: false,
            leaving_until: 0,
            said_leaving: false,
            rests_until: 0,
            in_flight: 0,
            unread: 0,
            unread_elsewhere: 0,
            reported: 0,
            in_flight_at_report: 0,
            failures: 0,
            ejections: 0,
            ejected_until: 0,
            no_permit_until: 0,
            limit_per_s: None,
            lifted_at: None,
            event_ms: None,
        }
    }

    /// The start of it.
    pub fn start(&self) -> ServerStart {
        ServerStart { name: self.name.clone(), started_ms: self.started_ms }
    }

    /// The start of it, also when only its load reports tell.
    pub(super) fn known_start(&self) -> ServerStart {
        let is_listed = self.started_ms != 0;
        let started_ms = if is_listed { self.started_ms } else { self.reported_start_ms };
        ServerStart { name: self.name.clone(), started_ms }
    }

    /// The late report, corrected by what this daemon has sent since.
    pub fn load(&self) -> f64 {
        let since = i64::from(self.in_flight) - i64::from(self.in_flight_at_report);
        let load = i64::from(self.reported) + since;
        load.max(i64::from(self.in_flight)) as f64
    }

    /// Requests and unread prompts, as far as this daemon knows.
    pub(super) fn total_load(&self) -> Load {
        Load { requests: self.load(), unread: (self.unread + self.unread_elsewhere) as f64 }
    }

    /// Whether it must not be given new work.
    pub fn is_leaving(&self, now: Millis) -> bool {
        self.said_leaving || self.row_draining || self.listed_leaving || now < self.leaving_until
    }

    pub(super) fn is_usable(&self, now: Millis) -> bool {
        let is_held_back = self.is_cold(now) || self.is_at_limit(now) || self.is_resting(now);
        self.is_eligible(now) && !is_held_back
    }

    /// Whether it has asked this daemon for rest.
    pub(super) fn is_resting(&self, now: Millis) -> bool {
        now < self.rests_until
    }

    /// Whether this daemon may send it nothing for its limit.
    pub(super) fn is_at_limit(&self, now: Millis) -> bool {
        now < self.no_permit_until
    }

    /// Whether it is slow after its start, and collapses under more than a few requests.
    pub(super) fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Whether it would be usable if it were neither cold nor at its limit, and did not rest.
    pub(super) fn is_eligible(&self, now: Millis) -> bool {
        !self.is_leaving(now) && now >= self.ejected_until && self.in_flight < self.limit
    }

    /// Whether a slow return passes this request on.
    pub(super) fn is_shed_by_slow_start(&self, now: Millis, seed: u64) -> bool {
        let ejected_until = (self.ejections > 0).then_some(self.ejected_until);
        let rested_until = (self.rests_until > 0).then_some(self.rests_until);
        let returned_at = ejected_until.max(self.lifted_at).max(rested_until);
        let Some(returned_at) = returned_at else { return false };
        let since = now.saturating_sub(returned_at);
        since < SLOW_START_MS && seed % SLOW_START_MS >= since
    }
}
