//! Selection of the backend server for a request.
//!
//! Halls are ranked by weighted rendezvous hashing over the prompt's prefix, so
//! equal prefixes go to the same hall and halls share load in proportion to their
//! weights. Within a hall, a consistent-hash ring assigns each prefix a first
//! server. Requests move on to the next server on the ring when that one exceeds
//! its load bound, and long prompts skip servers whose streams would pause for too
//! long. Servers that are slower than their pool get fewer requests (`speed`), and a
//! late or busy one may be left for one that answers sooner (`search`, `wait`). A
//! decision costs a binary search and a few probes, whatever the number of servers;
//! one that compares servers probes up to 16 in each hall.

mod adoption;
mod choose;
mod closed_servers;
mod full_servers;
mod groups;
mod load;
mod peer_unread;
mod pool;
mod prefill;
mod search;
mod speed;
mod status;
mod versions;
mod view;
mod wait;

pub use adoption::{Adopted, ListedRow};
pub use choose::{AtLimit, Choice, Homes, NoServer, Passed, Resting, RoutingRequest};
pub use full_servers::{AnswerTimes, FullPool, PoolRoom};
pub use groups::ProbeTarget;
pub use peer_unread::{UnreadReport, UnreadTokens};
pub use prefill::{ServerPace, StreamPace};
pub use status::{Availability, ServerStatus};
pub use view::{LoadReport, ServerView};

use std::collections::{HashMap, HashSet};

use crate::crashes::ServerInstance;
use crate::hints::{LeavingServers, RestPeriods};
use crate::paths::ServerGroup;
use crate::router::adoption::Memberships;
use crate::router::peer_unread::PeerUnread;
use crate::router::pool::Pool;
use crate::router::prefill::{PrefillStats, moving_average};
use crate::router::view::{
    FAILURES_TO_EJECT, FIRST_EJECTION_MS, LEAVING_REPORT_TTL_MS, MAX_EJECTION_MS,
    MIN_SERVERS_PER_EJECTION, SLOW_START_MS,
};
use crate::stream_versions::VersionHistory;
use crate::{Millis, Name, Tokens};

/// Routing state of one daemon.
#[derive(Debug, Clone, Default)]
pub struct Router {
    servers: Vec<ServerView>,
    by_name: HashMap<Name, u32>,
    pools: Vec<Pool>,
    pools_by_name: HashMap<Name, u32>,
    /// Pools of each server, with the index of its hall in them.
    memberships: Vec<Memberships>,
    /// Number of the current adoption, by which servers that it does not name are found.
    generation: u32,
    /// Prompt and stream statistics by pool; kept when the table changes.
    prefill: HashMap<Name, PrefillStats>,
    /// Tokens that peers have sent and that servers have not read yet.
    peer_unread: PeerUnread,
    /// Server instances that are leaving, including those not in the current table.
    leaving: LeavingServers,
    /// Server instances that have asked this daemon for rest.
    rests: RestPeriods,
    /// Groups of servers to which no path leads.
    unreachable: HashSet<ServerGroup>,
    /// Versions of each pool's servers over time.
    versions: VersionHistory,
}

impl Router {
    /// Returns the pool of this name, if it has servers.
    fn pool(&self, name: &str) -> Option<&Pool> {
        let pool = &self.pools[*self.pools_by_name.get(name)? as usize];
        pool.halls.iter().any(|hall| !hall.members.is_empty()).then_some(pool)
    }

    /// Returns the views of all servers.
    pub fn servers(&self) -> &[ServerView] {
        &self.servers
    }

    /// Returns up to `max` model servers to ask for a load report, and the `offset` to pass
    /// next time. Servers with open requests of this daemon come first, then the others from
    /// index `offset` on.
    pub fn servers_to_ask(&self, max: usize, offset: usize) -> (Vec<Choice>, usize) {
        let count = self.servers.len();
        let choice = |view: &ServerView| Choice {
            server: view.name.clone(),
            hall: view.hall.clone(),
            started_ms: view.started_ms,
            address: view.address.clone(),
            version: view.version.clone(),
            copy_from: None,
            passed: None,
        };
        let busy = self.servers.iter().filter(|view| view.reports_load && view.in_flight > 0);
        // Servers with open requests come first in only half of the places, rounded up, so that the
        // reports of the others are renewed too.
        let mut asked: Vec<Choice> = busy.take(max.div_ceil(2)).map(choice).collect();
        let mut next = offset;
        for step in 0..count {
            if asked.len() >= max {
                break;
            }
            let view = &self.servers[(offset + step) % count];
            next = (offset + step + 1) % count;
            if view.reports_load && !asked.iter().any(|known| known.server == view.name) {
                asked.push(choice(view));
            }
        }
        (asked, next)
    }

    /// Sets which servers the platform lists as leaving; all others are not listed.
    pub fn set_listed_leaving(&mut self, leaving: &[Name]) {
        for view in &mut self.servers {
            view.listed_leaving = leaving.contains(&view.name);
        }
    }

    /// Records a load report of a server.
    pub fn record_load_report(&mut self, now: Millis, name: &Name, report: LoadReport) {
        self.record_reported_start(now, name, report.started_ms);
        self.change_load(name, |view| {
            view.reported = report.running + report.waiting;
            view.in_flight_at_report = view.in_flight;
            view.leaving_until = if report.leaving { now + LEAVING_REPORT_TTL_MS } else { 0 };
        });
    }

    /// Returns whether this instance of a server is the one in the table.
    pub fn is_current_instance(&self, name: &Name, started_ms: Millis) -> bool {
        self.index_of_instance(name, started_ms).is_some()
    }

    /// Returns whether this instance of a server is the one in the table and not leaving.
    pub fn is_current_and_not_leaving(&self, now: Millis, name: &Name, started_ms: Millis) -> bool {
        let index = self.index_of_instance(name, started_ms);
        index.is_some_and(|index| !self.servers[index].is_leaving(now))
    }

    /// Records that this instance of a server refused a request because it is leaving.
    pub fn record_leaving_refusal(&mut self, now: Millis, name: &Name, started_ms: Millis) {
        if self.index_of_instance(name, started_ms).is_none() {
            return;
        }
        self.change_load(name, |view| view.leaving_until = now + LEAVING_REPORT_TTL_MS);
    }

    /// Sets the limit, in requests per second from all daemons together, that this instance of
    /// a server has announced; `None` when it announces no limit any more.
    pub fn set_rate_limit(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        per_second: Option<f64>,
    ) {
        let Some(index) = self.index_of_instance(&server.name, server.started_ms) else { return };
        let view = &mut self.servers[index];
        if view.limit_per_s.is_some() && per_second.is_none() {
            view.lifted_at = Some(now);
            view.no_permit_until = 0;
        }
        view.limit_per_s = per_second;
    }

    /// Stops sending to this instance of a server until `until`, because of its limit of
    /// `per_second` requests from all daemons together.
    pub fn block_for_rate_limit(
        &mut self,
        server: &ServerInstance,
        per_second: f64,
        until: Millis,
    ) {
        let Some(index) = self.index_of_instance(&server.name, server.started_ms) else { return };
        self.servers[index].limit_per_s = Some(per_second);
        self.servers[index].no_permit_until = until;
    }

    /// Returns the servers of a pool that this daemon does not send to because they are at their
    /// limits or have asked for rest.
    pub fn throttled_servers(&self, now: Millis, pool: &Name) -> Vec<String> {
        let halls = self.pool(pool.as_str()).map(|pool| &pool.halls);
        let members = halls.into_iter().flatten().flat_map(|hall| &hall.members);
        let views = members.map(|index| &self.servers[*index as usize]);
        let throttled = views.filter(|view| view.is_at_limit(now) || view.is_resting(now));
        throttled.map(|view| view.name.to_string()).collect()
    }

    /// Records that a request with a prompt of this length was sent to this instance of a
    /// server; 0 for a request without a prompt.
    pub fn record_sent(&mut self, name: &Name, started_ms: Millis, prompt: Tokens) {
        let Some(index) = self.index_of_instance(name, started_ms) else { return };
        self.change_load(name, |view| {
            view.in_flight += 1;
            view.unread += prompt;
        });
        if prompt > 0 {
            for (pool, _) in &self.memberships[index] {
                let name = self.pools[*pool as usize].name.clone();
                self.prefill.entry(name).or_default().record_prompt(prompt);
            }
        }
    }

    /// Records that this instance of a server has read a prompt of this length, or that the
    /// request was abandoned.
    pub fn record_prompt_read(&mut self, name: &Name, started_ms: Millis, prompt: Tokens) {
        if self.index_of_instance(name, started_ms).is_none() {
            return;
        }
        self.change_load(name, |view| view.unread = view.unread.saturating_sub(prompt));
    }

    /// Records that a request to this instance of a server has ended. Failures in a row eject
    /// the server for a time that doubles with each ejection.
    pub fn record_ended(&mut self, now: Millis, name: &Name, started_ms: Millis, succeeded: bool) {
        let Some(index) = self.index_of_instance(name, started_ms) else { return };
        // `may_eject` visits all servers of the pool, so it is called only when needed.
        let is_due = !succeeded && self.servers[index].failures + 1 >= FAILURES_TO_EJECT;
        let may_eject = is_due && self.may_eject(now, index);
        self.change_load(name, |view| {
            view.in_flight = view.in_flight.saturating_sub(1);
            if succeeded {
                view.failures = 0;
                if now >= view.ejected_until + SLOW_START_MS {
                    view.ejections = 0;
                }
                return;
            }
            view.failures += 1;
            if may_eject {
                let ejection_ms = FIRST_EJECTION_MS << view.ejections.min(5);
                view.ejected_until = now + ejection_ms.min(MAX_EJECTION_MS);
                view.ejections += 1;
                view.failures = 0;
            }
        });
    }

    /// Records that a request to this instance of a server was given up before anything was known of
    /// how the server serves it.
    pub fn record_abandoned(&mut self, name: &Name, started_ms: Millis) {
        if self.index_of_instance(name, started_ms).is_some() {
            self.change_load(name, |view| view.in_flight = view.in_flight.saturating_sub(1));
        }
    }

    /// Returns whether one more server may be ejected. When most servers of a pool fail, the
    /// fault is on this host, and ejecting servers only makes requests fail: without this check
    /// a host whose link was full for 8 s refused 1,162 requests in 20 s for lack of a usable
    /// server, half of them after the link was free again.
    fn may_eject(&self, now: Millis, index: usize) -> bool {
        self.memberships[index].iter().all(|(pool, _)| {
            let pool = &self.pools[*pool as usize];
            let members = pool.halls.iter().flat_map(|hall| &hall.members);
            let views = members.map(|index| &self.servers[*index as usize]);
            let (mut all, mut ejected) = (0_usize, 0_usize);
            for view in views.filter(|view| !view.is_leaving(now)) {
                all += 1;
                ejected += usize::from(now < view.ejected_until);
            }
            (ejected + 1) * MIN_SERVERS_PER_EJECTION <= all
        })
    }

    /// Returns the prompt tokens that this daemon has sent and that are not read yet, by server.
    pub fn unread_by_server(&self) -> Vec<UnreadTokens> {
        let unread = self.servers.iter().filter(|view| view.unread > 0);
        let tokens_of = |view: &ServerView| UnreadTokens {
            server: view.name.clone(),
            started_ms: view.started_ms,
            tokens: view.unread,
        };
        unread.map(tokens_of).collect()
    }

    /// Merges a peer's report of the prompt tokens that it has sent and that are not read yet.
    pub fn merge_unread_report(&mut self, now: Millis, report: &UnreadReport) {
        let Some(replaced) = self.peer_unread.merge(now, report) else { return };
        for part in &replaced {
            self.subtract_unread(part);
        }
        for part in &report.unread {
            if self.index_of_instance(&part.server, part.started_ms).is_none() {
                continue;
            }
            self.change_load(&part.server, |view| view.unread_elsewhere += part.tokens);
        }
    }

    /// Removes peers' expired reports of unread tokens.
    pub fn remove_expired_unread_reports(&mut self, now: Millis) {
        for part in self.peer_unread.take_expired(now) {
            self.subtract_unread(&part);
        }
    }

    /// Subtracts a replaced or expired report entry from the load of its server.
    fn subtract_unread(&mut self, part: &UnreadTokens) {
        if self.index_of_instance(&part.server, part.started_ms).is_none() {
            return;
        }
        let reduce = |tokens: Tokens| tokens.saturating_sub(part.tokens);
        self.change_load(&part.server, |view| {
            view.unread_elsewhere = reduce(view.unread_elsewhere)
        });
    }

    /// Records the pace of a stream from this instance of a server, once it has ended.
    pub fn record_stream_pace(&mut self, name: &Name, started_ms: Millis, pace: StreamPace) {
        let Some(index) = self.index_of_instance(name, started_ms) else { return };
        self.change_pace(index, pace.event_ms);
        for (pool, _) in &self.memberships[index] {
            let pool = &self.pools[*pool as usize];
            let prefill = self.prefill.entry(pool.name.clone()).or_default();
            prefill.record_stream(&self.servers[index], pace, &pool.mean_pace);
        }
    }

    /// Returns up to `max` servers' paces to send to peers, from index `offset` on.
    pub fn paces(&self, max: usize, offset: usize) -> Vec<ServerPace> {
        let start = offset % self.servers.len().max(1);
        let around = self.servers[start..].iter().chain(&self.servers[..start]);
        around.filter_map(ServerPace::of).take(max).collect()
    }

    /// Merges server paces received from a peer.
    pub fn merge_paces(&mut self, paces: &[ServerPace]) {
        for pace in paces {
            if let Some(index) = self.index_of_instance(&pace.server, pace.started_ms) {
                self.change_pace(index, pace.event_ms());
            }
        }
    }

    /// Adds a sample to a server's event interval and updates the means of its pools.
    fn change_pace(&mut self, index: usize, event_ms: f64) {
        let before = self.servers[index].event_ms;
        let after = Some(moving_average(before.unwrap_or(0.0), event_ms));
        self.servers[index].event_ms = after;
        for place in 0..self.memberships[index].len() {
            let pool = self.memberships[index][place].0 as usize;
            self.pools[pool].mean_pace.change(before, after);
            self.count_pace(pool);
        }
    }

    /// Returns the index of this instance of a server, or `None` when the table has another
    /// one or none.
    fn index_of_instance(&self, name: &Name, started_ms: Millis) -> Option<usize> {
        let index = *self.by_name.get(name)? as usize;
        (self.servers[index].started_ms == started_ms).then_some(index)
    }

    /// Changes the view of a server and updates the load totals of its halls.
    fn change_load(&mut self, name: &Name, change: impl FnOnce(&mut ServerView)) {
        let Some(index) = self.by_name.get(name).map(|index| *index as usize) else { return };
        let before = self.servers[index].total_load();
        change(&mut self.servers[index]);
        let after = self.servers[index].total_load();
        for (pool, hall) in &self.memberships[index] {
            self.pools[*pool as usize].halls[*hall as usize].load.change(&before, &after);
        }
    }
}
