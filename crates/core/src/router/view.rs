//! State of one backend server as seen by this daemon: its load, and whether it is usable.

use serde::{Deserialize, Serialize};

use crate::crashes::ServerInstance;
use crate::router::full_servers::ServerRoom;
use crate::router::load::Load;
use crate::router::wait::Unanswered;
use crate::server_list::ListedServer;
use crate::table::{ListedState, Server, ServerKind, ServerState};
use crate::{Millis, Name, Tokens};

/// Number of failures in a row that eject a server.
pub(super) const FAILURES_TO_EJECT: u32 = 3;

/// Duration of a server's first ejection; each further one is twice as long.
pub(super) const FIRST_EJECTION_MS: Millis = 1_000;

/// Longest duration of an ejection.
pub(super) const MAX_EJECTION_MS: Millis = 30_000;

/// At most one in this many servers of a pool is ejected at the same time.
pub(super) const MIN_SERVERS_PER_EJECTION: usize = 2;

/// Time after an ejection, a limit or a rest over which a server's share of requests grows back
/// to its full value.
pub(super) const SLOW_START_MS: Millis = 5_000;

/// How long a load report or a refusal that names the server as leaving is valid.
pub(super) const LEAVING_REPORT_TTL_MS: Millis = 10_000;

/// Load report of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Whether the server is leaving and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// When this instance of the server was started, in milliseconds since 1970; 0 when the
    /// server does not report it.
    #[serde(default)]
    pub started_ms: Millis,
}

/// State of one server as seen by this daemon.
#[derive(Debug, Clone, Serialize)]
pub struct ServerView {
    /// Name of the server's row.
    pub name: Name,
    /// Hall of the server.
    pub hall: Name,
    /// Address of the server.
    pub address: String,
    /// When this instance of it was started, in milliseconds since 1970; 0 when unknown.
    pub started_ms: Millis,
    /// Version of its software; `None` when unknown.
    pub(super) version: Option<Name>,
    /// Whether its entry has named different versions, so that the version is unknown for good.
    pub(super) is_version_doubtful: bool,
    /// Start time from its load reports, for rows of the operators' table, which have none.
    pub(super) reported_start_ms: Millis,
    pub(super) cold_until: Millis,
    /// Weight of its row, by which it has points on the rings.
    pub(super) weight: f64,
    /// Number of the last adoption whose rows named it.
    #[serde(skip)]
    pub(super) seen_in: u32,
    pub(super) limit: u32,
    pub(super) reports_load: bool,
    pub(super) row_draining: bool,
    pub(super) listed_leaving: bool,
    pub(super) leaving_until: Millis,
    /// Whether it has announced in its responses that it is leaving; this is final.
    pub(super) said_leaving: bool,
    /// When the rest that it has asked this daemon for ends.
    pub(super) rests_until: Millis,
    pub(super) in_flight: u32,
    /// Tokens of the prompts that this daemon has sent and whose responses have not begun.
    pub(super) unread: Tokens,
    /// The same for peers, from their reports.
    pub(super) unread_elsewhere: Tokens,
    pub(super) reported: u32,
    pub(super) in_flight_at_report: u32,
    pub(super) failures: u32,
    pub(super) ejections: u32,
    pub(super) ejected_until: Millis,
    /// Until when this daemon has no permit to send to it, because of its limit.
    pub(super) no_permit_until: Millis,
    /// Requests per second that it accepts from all daemons together, if it announced a limit.
    pub(super) limit_per_s: Option<f64>,
    /// When its limit was last lifted.
    pub(super) lifted_at: Option<Millis>,
    /// Usual time between two events of its streams, in milliseconds.
    pub(super) event_ms: Option<f64>,
    /// Its capacity, and whether it counts as full.
    pub(super) room: ServerRoom,
    /// Requests of this daemon without a first event yet, oldest first.
    #[serde(skip)]
    pub(super) unanswered: Vec<Unanswered>,
}

impl ServerView {
    /// Creates the view of a server of the table, without load.
    pub(super) fn new(row: &Server) -> Self {
        ServerView {
            name: row.name.clone(),
            hall: row.hall.clone(),
            address: row.address.clone(),
            started_ms: row.listed.started_ms,
            version: row.listed.version.clone(),
            is_version_doubtful: false,
            reported_start_ms: 0,
            cold_until: row.listed.cold_until,
            weight: row.weight,
            seen_in: 0,
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
            room: ServerRoom::default(),
            unanswered: Vec::new(),
        }
    }

    /// Creates the view of a server of the platform's list, without load.
    pub(super) fn of_listed(server: &ListedServer, cold_until: Millis) -> Self {
        let mut view = ServerView::new(&Server {
            name: server.name.clone(),
            hall: server.hall.clone(),
            address: server.address.clone(),
            kind: ServerKind::Model,
            models: Vec::new(),
            weight: 1.0,
            limit: u32::MAX,
            state: if server.draining { ServerState::Draining } else { ServerState::Serving },
            checks_orders: false,
            listed: ListedState {
                version: server.version.clone(),
                started_ms: server.started_ms,
                cold_until,
            },
            version: 0,
        });
        view.room.slots = server.slots;
        view
    }

    /// Applies the version in the entry of this instance, whose software does not change: after two
    /// different ones the version is unknown.
    pub(super) fn update_version(&mut self, listed: Option<&Name>) {
        let Some(listed) = listed.filter(|_| !self.is_version_doubtful) else { return };
        self.is_version_doubtful = self.version.as_ref().is_some_and(|known| known != listed);
        self.version = (!self.is_version_doubtful).then(|| listed.clone());
    }

    /// Returns whether the cache of this server can be used by another one: both have the same known
    /// version.
    pub(super) fn shares_cache(&self, other: &ServerView) -> bool {
        self.version.is_some() && self.version == other.version
    }

    /// Returns the instance of the server that is in the table.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance { name: self.name.clone(), started_ms: self.started_ms }
    }

    /// Returns the instance of the server, with the start time from its load reports when the
    /// table has none.
    pub(super) fn known_instance(&self) -> ServerInstance {
        let is_listed = self.started_ms != 0;
        let started_ms = if is_listed { self.started_ms } else { self.reported_start_ms };
        ServerInstance { name: self.name.clone(), started_ms }
    }

    /// Returns the number of requests from the last load report, corrected by the requests that
    /// this daemon has opened and ended since.
    pub fn load(&self) -> f64 {
        let change = i64::from(self.in_flight) - i64::from(self.in_flight_at_report);
        let load = i64::from(self.reported) + change;
        load.max(i64::from(self.in_flight)) as f64
    }

    /// Returns the known load of the server in requests and unread prompt tokens.
    pub(super) fn total_load(&self) -> Load {
        Load { requests: self.load(), unread: (self.unread + self.unread_elsewhere) as f64 }
    }

    /// Returns whether the server is leaving and must get no new requests.
    pub fn is_leaving(&self, now: Millis) -> bool {
        self.said_leaving || self.row_draining || self.listed_leaving || now < self.leaving_until
    }

    /// Returns whether requests may be sent to the server now.
    pub(super) fn is_usable(&self, now: Millis) -> bool {
        now >= self.ejected_until && self.is_usable_unless_ejected(now)
    }

    /// Returns whether requests may be sent to the server now, or could be if it were not ejected.
    pub(super) fn is_usable_unless_ejected(&self, now: Millis) -> bool {
        let is_held_back = self.is_cold(now) || self.is_at_limit(now) || self.is_resting(now);
        let may_take = !self.is_leaving(now) && self.in_flight < self.limit;
        may_take && !is_held_back && self.full_until(now).is_none()
    }

    /// Returns whether a rest that the server has asked this daemon for is in force.
    pub(super) fn is_resting(&self, now: Millis) -> bool {
        now < self.rests_until
    }

    /// Returns whether this daemon may not send to the server because of its limit.
    pub(super) fn is_at_limit(&self, now: Millis) -> bool {
        now < self.no_permit_until
    }

    /// Returns whether the server is still slow after its start and would be overloaded by more
    /// than a few requests.
    pub(super) fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Returns whether the server would be usable if it were not cold, at its limit or resting.
    pub(super) fn is_eligible(&self, now: Millis) -> bool {
        !self.is_leaving(now) && now >= self.ejected_until && self.in_flight < self.limit
    }

    /// Returns whether slow start keeps this request from the server: the share of requests that it
    /// gets grows linearly over [`SLOW_START_MS`]. `seed` is random.
    pub(super) fn is_shed_by_slow_start(&self, now: Millis, seed: u64) -> bool {
        let ejected_until = (self.ejections > 0).then_some(self.ejected_until);
        let rested_until = (self.rests_until > 0).then_some(self.rests_until);
        let returned_at = ejected_until.max(self.lifted_at).max(rested_until);
        let Some(returned_at) = returned_at else { return false };
        let since = now.saturating_sub(returned_at);
        since < SLOW_START_MS && seed % SLOW_START_MS >= since
    }
}
