//! Which backend server serves a request.
//!
//! Halls are taken by weighted rendezvous over the prompt's prefix, so equal
//! prefixes go to the same hall and halls share work by their weights. Within
//! a hall a ring of hashed points gives each prefix a first server; the load
//! bound passes work on when that server has more than its part, and long
//! prompts pass by servers whose streams would pause for too long. A decision
//! costs a binary search and a few looks, whatever the number of servers.

mod choose;
mod closed_servers;
mod load;
mod peer_unread;
mod pool;
mod prefill;
mod status;
mod view;

pub use choose::{AtLimit, Choice, Homes, NoServer, Resting, RoutingRequest};
pub use peer_unread::{UnreadReport, UnreadTokens};
pub use prefill::{ServerPace, StreamPace};
pub use status::{Availability, ServerStatus};
pub use view::{LoadReport, ServerView};

use std::collections::HashMap;

use crate::crashes::ServerStart;
use crate::hints::{LeavingStarts, Rests};
use crate::router::peer_unread::PeerUnread;
use crate::router::pool::{HallPool, Pool};
use crate::router::prefill::{PrefillStats, mean};
use crate::router::view::{
    FAILURES_TO_EJECT, FIRST_EJECTION_MS, LEAVING_REPORT_TTL_MS, MAX_EJECTION_MS, POOL_PER_EJECTED,
    SLOW_START_MS,
};
use crate::table::{RouteTarget, Server, ServerKind, Table};
use crate::{Millis, Name, Tokens};

/// The routing state of one daemon.
#[derive(Debug, Clone, Default)]
pub struct Router {
    servers: Vec<ServerView>,
    by_name: HashMap<Name, u32>,
    pools: HashMap<Name, Pool>,
    pools_of_server: Vec<Vec<(Name, usize)>>,
    /// What streams have shown, by pool; it outlives the table.
    prefill: HashMap<Name, PrefillStats>,
    /// What peers have under way.
    peer_unread: PeerUnread,
    /// Starts of servers that leave, also of those that are not in the table now.
    leaving: LeavingStarts,
    /// Starts of servers that rest.
    rests: Rests,
}

impl Router {
    /// Takes in a table; what is known of servers that stay is kept.
    pub fn adopt(&mut self, table: &Table) {
        let mut servers: Vec<ServerView> = table.servers.iter().map(ServerView::new).collect();
        for view in &mut servers {
            let old = self.by_name.get(&view.name).map(|index| &self.servers[*index as usize]);
            // Another start knows and holds nothing of the one before.
            let is_same = |old: &&ServerView| {
                old.address == view.address && old.started_ms == view.started_ms
            };
            if let Some(old) = old.filter(is_same) {
                let row = view.clone();
                *view = ServerView {
                    cold_until: row.cold_until,
                    limit: row.limit,
                    hall: row.hall,
                    row_draining: row.row_draining,
                    ..old.clone()
                };
            }
            let start = view.known_start();
            view.said_leaving = self.leaving.contains(&start);
            view.rests_until = self.rests.end(&start);
        }
        let indexed = servers.iter().enumerate();
        self.by_name = indexed.map(|(index, view)| (view.name.clone(), index as u32)).collect();
        self.servers = servers;
        self.rebuild_pools(table);
    }

    /// Every server's view.
    pub fn servers(&self) -> &[ServerView] {
        &self.servers
    }

    /// Up to `most` model servers to ask for a load report: those with open
    /// requests first, the others from place `turn` on; and the next turn.
    pub fn servers_to_ask(&self, most: usize, turn: usize) -> (Vec<Choice>, usize) {
        let count = self.servers.len();
        let choice = |view: &ServerView| Choice {
            server: view.name.clone(),
            started_ms: view.started_ms,
            address: view.address.clone(),
            copy_from: None,
        };
        let busy = self.servers.iter().filter(|view| view.reports_load && view.in_flight > 0);
        // Half of the round goes to the others, so that no report is for ever old.
        let mut asked: Vec<Choice> = busy.take(most.div_ceil(2)).map(choice).collect();
        let mut next = turn;
        for step in 0..count {
            if asked.len() >= most {
                break;
            }
            let view = &self.servers[(turn + step) % count];
            next = (turn + step + 1) % count;
            if view.reports_load && !asked.iter().any(|known| known.server == view.name) {
                asked.push(choice(view));
            }
        }
        (asked, next)
    }

    /// Takes in which servers the platform lists as leaving.
    pub fn set_listed_leaving(&mut self, leaving: &[Name]) {
        for view in &mut self.servers {
            view.listed_leaving = leaving.contains(&view.name);
        }
    }

    /// Takes in a server's load report.
    pub fn record_load_report(&mut self, now: Millis, name: &Name, report: LoadReport) {
        self.record_reported_start(now, name, report.started_ms);
        self.change_load(name, |view| {
            view.reported = report.running + report.waiting;
            view.in_flight_at_report = view.in_flight;
            view.leaving_until = if report.leaving { now + LEAVING_REPORT_TTL_MS } else { 0 };
        });
    }

    /// Whether this start of a server is the one that is known.
    pub fn is_current_start(&self, name: &Name, start: Millis) -> bool {
        self.index_of_start(name, start).is_some()
    }

    /// Whether this start of a server is known and does not leave.
    pub fn is_current_and_staying(&self, now: Millis, name: &Name, start: Millis) -> bool {
        let index = self.index_of_start(name, start);
        index.is_some_and(|index| !self.servers[index].is_leaving(now))
    }

    /// Takes in that this start of a server refused work because it is leaving.
    pub fn record_leaving_refusal(&mut self, now: Millis, name: &Name, start: Millis) {
        if self.index_of_start(name, start).is_none() {
            return;
        }
        self.change_load(name, |view| view.leaving_until = now + LEAVING_REPORT_TTL_MS);
    }

    /// Takes in how many requests a second this start of a server takes from all daemons, by
    /// its own word; none when it names no limit any more.
    pub fn set_rate_limit(&mut self, now: Millis, server: &ServerStart, per_second: Option<f64>) {
        let Some(index) = self.index_of_start(&server.name, server.started_ms) else { return };
        let view = &mut self.servers[index];
        if view.limit_per_s.is_some() && per_second.is_none() {
            view.lifted_at = Some(now);
            view.no_permit_until = 0;
        }
        view.limit_per_s = per_second;
    }

    /// Takes in that this start of a server gets nothing from this daemon until then, by its
    /// limit of so many requests a second.
    pub fn block_for_rate_limit(&mut self, server: &ServerStart, per_second: f64, until: Millis) {
        let Some(index) = self.index_of_start(&server.name, server.started_ms) else { return };
        self.servers[index].limit_per_s = Some(per_second);
        self.servers[index].no_permit_until = until;
    }

    /// The servers of a pool that get nothing from this daemon for their limits or rests.
    pub fn throttled_servers(&self, now: Millis, pool: &Name) -> Vec<String> {
        let halls = self.pools.get(pool).map(|pool| &pool.halls);
        let members = halls.into_iter().flatten().flat_map(|hall| &hall.members);
        let views = members.map(|index| &self.servers[*index as usize]);
        let held_back = views.filter(|view| view.is_at_limit(now) || view.is_resting(now));
        held_back.map(|view| view.name.to_string()).collect()
    }

    /// Takes in that a request with a prompt of this length was sent to this start of a
    /// server; 0 for a request without a prompt.
    pub fn record_sent(&mut self, name: &Name, start: Millis, prompt: Tokens) {
        let Some(index) = self.index_of_start(name, start) else { return };
        self.change_load(name, |view| {
            view.in_flight += 1;
            view.unread += prompt;
        });
        if prompt > 0 {
            for (pool, _) in &self.pools_of_server[index] {
                self.prefill.entry(pool.clone()).or_default().record_prompt(prompt);
            }
        }
    }

    /// Takes in that a prompt of this length has been read there, or is given up.
    pub fn record_prompt_read(&mut self, name: &Name, start: Millis, prompt: Tokens) {
        if self.index_of_start(name, start).is_none() {
            return;
        }
        self.change_load(name, |view| view.unread = view.unread.saturating_sub(prompt));
    }

    /// Takes in that a request there has ended, well or not.
    pub fn record_ended(&mut self, now: Millis, name: &Name, start: Millis, well: bool) {
        let Some(index) = self.index_of_start(name, start) else { return };
        // Counts the pool's servers, so only where it matters.
        let is_due = !well && self.servers[index].failures + 1 >= FAILURES_TO_EJECT;
        let may_eject = is_due && self.may_eject(now, index);
        self.change_load(name, |view| {
            view.in_flight = view.in_flight.saturating_sub(1);
            if well {
                view.failures = 0;
                if now >= view.ejected_until + SLOW_START_MS {
                    view.ejections = 0;
                }
                return;
            }
            view.failures += 1;
            if may_eject {
                let pause = FIRST_EJECTION_MS << view.ejections.min(5);
                view.ejected_until = now + pause.min(MAX_EJECTION_MS);
                view.ejections += 1;
                view.failures = 0;
            }
        });
    }

    /// Whether one more server may be ejected: where most of a pool fail, the trouble is
    /// this host's, and no server is better than another. A host whose link was full for
    /// 8 s refused 1,162 requests in 20 s for want of a server, half of them after it was
    /// free again.
    fn may_eject(&self, now: Millis, index: usize) -> bool {
        self.pools_of_server[index].iter().all(|(pool, _)| {
            let Some(pool) = self.pools.get(pool) else { return true };
            let members = pool.halls.iter().flat_map(|hall| &hall.members);
            let views = members.map(|index| &self.servers[*index as usize]);
            let (mut all, mut ejected) = (0_usize, 0_usize);
            for view in views.filter(|view| !view.is_leaving(now)) {
                all += 1;
                ejected += usize::from(now < view.ejected_until);
            }
            (ejected + 1) * POOL_PER_EJECTED <= all
        })
    }

    /// What this daemon has sent that is still to be read, by server.
    pub fn unread_by_server(&self) -> Vec<UnreadTokens> {
        let unread = self.servers.iter().filter(|view| view.unread > 0);
        let news = |view: &ServerView| UnreadTokens {
            server: view.name.clone(),
            started_ms: view.started_ms,
            tokens: view.unread,
        };
        unread.map(news).collect()
    }

    /// Takes in what a peer has sent that is still to be read.
    pub fn merge_unread_report(&mut self, now: Millis, news: &UnreadReport) {
        let Some(before) = self.peer_unread.merge(now, news) else { return };
        for part in &before {
            self.subtract_unread(part);
        }
        for part in &news.unread {
            if self.index_of_start(&part.server, part.started_ms).is_none() {
                continue;
            }
            self.change_load(&part.server, |view| view.unread_elsewhere += part.tokens);
        }
    }

    /// Forgets what peers have told too long ago.
    pub fn expire_unread_reports(&mut self, now: Millis) {
        for part in self.peer_unread.expire(now) {
            self.subtract_unread(&part);
        }
    }

    fn subtract_unread(&mut self, part: &UnreadTokens) {
        if self.index_of_start(&part.server, part.started_ms).is_none() {
            return;
        }
        let less = |tokens: Tokens| tokens.saturating_sub(part.tokens);
        self.change_load(&part.server, |view| view.unread_elsewhere = less(view.unread_elsewhere));
    }

    /// Takes in how a stream came that has ended there.
    pub fn record_stream_pace(&mut self, name: &Name, start: Millis, pace: StreamPace) {
        let Some(index) = self.index_of_start(name, start) else { return };
        self.change_pace(index, pace.event_ms);
        for (name, _) in &self.pools_of_server[index] {
            let Some(pool) = self.pools.get(name) else { continue };
            let prefill = self.prefill.entry(name.clone()).or_default();
            prefill.record_stream(&self.servers[index], pace, &pool.mean_pace);
        }
    }

    /// Up to `most` servers' paces to tell peers, from place `turn` on.
    pub fn paces(&self, most: usize, turn: usize) -> Vec<ServerPace> {
        let start = turn % self.servers.len().max(1);
        let around = self.servers[start..].iter().chain(&self.servers[..start]);
        around.filter_map(ServerPace::of).take(most).collect()
    }

    /// Takes in what a peer has told of servers.
    pub fn merge_paces(&mut self, paces: &[ServerPace]) {
        for pace in paces {
            if let Some(index) = self.index_of_start(&pace.server, pace.started_ms) {
                self.change_pace(index, pace.event_ms());
            }
        }
    }

    fn change_pace(&mut self, index: usize, event_ms: f64) {
        let before = self.servers[index].event_ms;
        let after = Some(mean(before.unwrap_or(0.0), event_ms));
        self.servers[index].event_ms = after;
        for (name, _) in &self.pools_of_server[index] {
            if let Some(pool) = self.pools.get_mut(name) {
                pool.mean_pace.change(before, after);
            }
        }
    }

    /// Where this start of a server stands; none when it is not the one that is known.
    fn index_of_start(&self, name: &Name, start: Millis) -> Option<usize> {
        let index = *self.by_name.get(name)? as usize;
        (self.servers[index].started_ms == start).then_some(index)
    }

    fn change_load(&mut self, name: &Name, change: impl FnOnce(&mut ServerView)) {
        let Some(index) = self.by_name.get(name).map(|index| *index as usize) else { return };
        let before = self.servers[index].total_load();
        change(&mut self.servers[index]);
        let after = self.servers[index].total_load();
        for (pool, hall) in &self.pools_of_server[index] {
            if let Some(pool) = self.pools.get_mut(pool) {
                pool.halls[*hall].load.change(&before, &after);
            }
        }
    }

    fn rebuild_pools(&mut self, table: &Table) {
        self.pools.clear();
        self.pools_of_server = vec![Vec::new(); self.servers.len()];
        for (index, row) in table.servers.iter().enumerate() {
            if row.kind == ServerKind::Model {
                for model in &row.models {
                    self.add_to_pool(table, model, index, row);
                }
            }
        }
        for route in &table.routes {
            if let RouteTarget::Service { servers, .. } = &route.target {
                for name in servers {
                    if let Some(index) = self.by_name.get(name).map(|index| *index as usize) {
                        self.add_to_pool(table, &route.name, index, &table.servers[index]);
                    }
                }
            }
        }
        for pool in self.pools.values_mut() {
            for hall in &mut pool.halls {
                hall.ring.sort_unstable();
            }
        }
        self.set_pause_goals(table);
    }

    /// The tightest goal of the routes that lead to a pool holds for its streams.
    fn set_pause_goals(&mut self, table: &Table) {
        for route in &table.routes {
            let RouteTarget::Host { split, .. } = &route.target else { continue };
            let Some(goal) = route.pause_goal_ms else { continue };
            for share in split {
                if let Some(pool) = self.pools.get_mut(&share.service) {
                    pool.pause_goal = pool.pause_goal.min(goal);
                }
            }
        }
    }

    fn add_to_pool(&mut self, table: &Table, name: &Name, index: usize, row: &Server) {
        if row.weight == 0.0 {
            return;
        }
        let pool = self.pools.entry(name.clone()).or_default();
        let place = pool.halls.iter().position(|hall| hall.hall == row.hall);
        let place = place.unwrap_or_else(|| {
            pool.halls.push(HallPool::new(table, &row.hall));
            pool.halls.len() - 1
        });
        pool.mean_pace.change(None, self.servers[index].event_ms);
        pool.halls[place].add(row, index as u32, self.servers[index].total_load());
        self.pools_of_server[index].push((name.clone(), place));
    }
}
