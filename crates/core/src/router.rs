//! Which backend server serves a request.
//!
//! Halls are taken by weighted rendezvous over the prompt's prefix, so equal
//! prefixes go to the same hall and halls share work by their weights. Within
//! a hall a ring of hashed points gives each prefix a first server; the load
//! bound passes work on when that server has more than its part. A decision
//! costs a binary search and a few looks, whatever the number of servers.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::id::rendezvous_score;
use crate::table::{HOURS, RouteTarget, Server, ServerKind, ServerState, Table};
use crate::{Millis, Name};

/// Points on a hall's ring for a server of weight 1.
const POINTS_PER_SERVER: f64 = 32.0;

/// Most points of one server, whatever its weight.
const MAX_POINTS: u32 = 512;

/// A server may have this many times its hall's mean load.
const LOAD_BOUND: f64 = 1.25;

/// Load that is allowed beyond the bound, so that idle halls keep affinity.
const LOAD_SLACK: f64 = 4.0;

/// Servers looked at along the ring before any usable one is taken.
const LOOKS: usize = 16;

/// Failures in a row that eject a server.
const EJECT_AFTER: u32 = 3;

/// First ejection; each further one is twice as long.
const EJECT_MS: Millis = 1_000;

/// Longest ejection.
const EJECT_MAX_MS: Millis = 30_000;

/// After an ejection a server takes its full share again only after this long.
const SLOW_RETURN_MS: Millis = 5_000;

/// A server's own word that it leaves is believed this long.
const LEAVING_WORD_MS: Millis = 10_000;

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
}

/// Why no server was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoServer {
    /// No row of the table serves this.
    NoneInTable,
    /// Servers exist, but all of them are leaving, ejected or full.
    NoneUsable,
}

/// A server that was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The server's name.
    pub server: Name,
    /// Its address.
    pub address: String,
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
    limit: u32,
    reports_load: bool,
    row_draining: bool,
    listed_leaving: bool,
    leaving_until: Millis,
    in_flight: u32,
    reported: u32,
    in_flight_at_report: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
}

impl ServerView {
    fn new(row: &Server) -> Self {
        ServerView {
            name: row.name.clone(),
            hall: row.hall.clone(),
            address: row.address.clone(),
            limit: row.limit,
            reports_load: row.kind == ServerKind::Model,
            row_draining: row.state == ServerState::Draining,
            listed_leaving: false,
            leaving_until: 0,
            in_flight: 0,
            reported: 0,
            in_flight_at_report: 0,
            failures: 0,
            ejections: 0,
            ejected_until: 0,
        }
    }

    /// The late report, corrected by what this daemon has sent since.
    pub fn load(&self) -> f64 {
        let since = i64::from(self.in_flight) - i64::from(self.in_flight_at_report);
        let load = i64::from(self.reported) + since;
        load.max(i64::from(self.in_flight)) as f64
    }

    /// Whether it must not be given new work.
    pub fn is_leaving(&self, now: Millis) -> bool {
        self.row_draining || self.listed_leaving || now < self.leaving_until
    }

    fn is_usable(&self, now: Millis) -> bool {
        !self.is_leaving(now) && now >= self.ejected_until && self.in_flight < self.limit
    }

    /// Whether a slow return passes this request on.
    fn holds_back(&self, now: Millis, seed: u64) -> bool {
        let since = now.saturating_sub(self.ejected_until);
        if self.ejections == 0 || since >= SLOW_RETURN_MS {
            return false;
        }
        seed % SLOW_RETURN_MS >= since
    }
}

/// Servers of one hall that serve the same thing.
#[derive(Debug, Clone)]
struct HallPool {
    hall: Name,
    hall_key: u64,
    weights: [f64; HOURS],
    /// Hashed points in ascending order, each with an index into the servers.
    ring: Vec<(u64, u32)>,
    members: Vec<u32>,
    load: f64,
}

/// Servers that serve the same thing, by hall.
#[derive(Debug, Clone, Default)]
struct Pool {
    halls: Vec<HallPool>,
}

/// What a request asks the router for.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The pool: a model's name, or a service route's name.
    pub pool: &'a str,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Hour of the day, UTC.
    pub hour: usize,
    /// A random number.
    pub seed: u64,
    /// Servers that this request has tried already.
    pub tried: &'a [Name],
}

/// The routing state of one daemon.
#[derive(Debug, Clone, Default)]
pub struct Router {
    servers: Vec<ServerView>,
    by_name: HashMap<Name, u32>,
    pools: HashMap<Name, Pool>,
    pools_of_server: Vec<Vec<(Name, usize)>>,
}

impl Router {
    /// Takes in a table; what is known of servers that stay is kept.
    pub fn adopt(&mut self, table: &Table) {
        let mut servers: Vec<ServerView> = table.servers.iter().map(ServerView::new).collect();
        for view in &mut servers {
            let old = self.by_name.get(&view.name).map(|index| &self.servers[*index as usize]);
            if let Some(old) = old.filter(|old| old.address == view.address) {
                let row = view.clone();
                *view = ServerView {
                    limit: row.limit,
                    hall: row.hall,
                    row_draining: row.row_draining,
                    ..old.clone()
                };
            }
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
        let choice =
            |view: &ServerView| Choice { server: view.name.clone(), address: view.address.clone() };
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
    pub fn listed_leaving(&mut self, leaving: &[Name]) {
        for view in &mut self.servers {
            view.listed_leaving = leaving.contains(&view.name);
        }
    }

    /// Takes in a server's load report.
    pub fn report(&mut self, now: Millis, name: &Name, report: LoadReport) {
        self.change_load(name, |view| {
            view.reported = report.running + report.waiting;
            view.in_flight_at_report = view.in_flight;
            view.leaving_until = if report.leaving { now + LEAVING_WORD_MS } else { 0 };
        });
    }

    /// Takes in that a server refused work because it is leaving.
    pub fn said_leaving(&mut self, now: Millis, name: &Name) {
        self.change_load(name, |view| view.leaving_until = now + LEAVING_WORD_MS);
    }

    /// Takes in that a request was sent there.
    pub fn sent(&mut self, name: &Name) {
        self.change_load(name, |view| view.in_flight += 1);
    }

    /// Takes in that a request there has ended, well or not.
    pub fn ended(&mut self, now: Millis, name: &Name, well: bool) {
        self.change_load(name, |view| {
            view.in_flight = view.in_flight.saturating_sub(1);
            if well {
                view.failures = 0;
                if now >= view.ejected_until + SLOW_RETURN_MS {
                    view.ejections = 0;
                }
                return;
            }
            view.failures += 1;
            if view.failures >= EJECT_AFTER {
                let pause = EJECT_MS << view.ejections.min(5);
                view.ejected_until = now + pause.min(EJECT_MAX_MS);
                view.ejections += 1;
                view.failures = 0;
            }
        });
    }

    /// Chooses a server.
    ///
    /// # Errors
    /// [`NoServer`] tells whether the table has none or none is usable now.
    pub fn choose(&self, now: Millis, wanted: &Wanted) -> Result<Choice, NoServer> {
        let pool = self.pools.get(wanted.pool).ok_or(NoServer::NoneInTable)?;
        // A hall where this request has failed already comes last: when one
        // server does not answer, its neighbours may not either.
        let failed: Vec<&Name> = wanted.tried.iter().filter_map(|n| self.hall_of(n)).collect();
        let mut halls: Vec<(bool, f64, &HallPool)> = pool
            .halls
            .iter()
            .filter(|hall| hall.weights[wanted.hour % HOURS] > 0.0)
            .map(|hall| (failed.contains(&&hall.hall), hall.score(wanted), hall))
            .collect();
        halls.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        for (_, _, hall) in halls {
            if let Some(view) = self.choose_in_hall(now, hall, wanted) {
                return Ok(Choice { server: view.name.clone(), address: view.address.clone() });
            }
        }
        Err(NoServer::NoneUsable)
    }

    fn hall_of(&self, server: &Name) -> Option<&Name> {
        let index = self.by_name.get(server)?;
        self.servers.get(*index as usize).map(|view| &view.hall)
    }

    fn choose_in_hall<'a>(
        &'a self,
        now: Millis,
        hall: &'a HallPool,
        wanted: &Wanted,
    ) -> Option<&'a ServerView> {
        let bound = LOAD_BOUND * hall.load / hall.members.len().max(1) as f64 + LOAD_SLACK;
        let mut least: Option<&ServerView> = None;
        for view in self.looks(hall, wanted.prefix) {
            if !view.is_usable(now) || wanted.tried.contains(&view.name) {
                continue;
            }
            if view.load() <= bound && !view.holds_back(now, wanted.seed) {
                return Some(view);
            }
            if least.is_none_or(|known| view.load() < known.load()) {
                least = Some(view);
            }
        }
        // Few servers are usable near the prefix: look at all from a random one.
        least.or_else(|| {
            let start = wanted.seed as usize % hall.members.len().max(1);
            let around = hall.members[start..].iter().chain(&hall.members[..start]);
            let mut views = around.map(|index| &self.servers[*index as usize]);
            views.find(|view| view.is_usable(now) && !wanted.tried.contains(&view.name))
        })
    }

    fn looks<'a>(
        &'a self,
        hall: &'a HallPool,
        prefix: u64,
    ) -> impl Iterator<Item = &'a ServerView> {
        let start = hall.ring.partition_point(|(point, _)| *point < prefix);
        let around = hall.ring[start..].iter().chain(&hall.ring[..start]);
        let mut last = u32::MAX;
        let distinct =
            around.filter(move |(_, index)| std::mem::replace(&mut last, *index) != *index);
        distinct.take(LOOKS).map(|(_, index)| &self.servers[*index as usize])
    }

    fn change_load(&mut self, name: &Name, change: impl FnOnce(&mut ServerView)) {
        let Some(index) = self.by_name.get(name).map(|index| *index as usize) else { return };
        let before = self.servers[index].load();
        change(&mut self.servers[index]);
        let difference = self.servers[index].load() - before;
        for (pool, hall) in &self.pools_of_server[index] {
            if let Some(pool) = self.pools.get_mut(pool) {
                pool.halls[*hall].load += difference;
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
        let hall = &mut pool.halls[place];
        hall.members.push(index as u32);
        hall.load += self.servers[index].load();
        let key = xxh3_64(row.name.as_str().as_bytes());
        let points = ((row.weight * POINTS_PER_SERVER).ceil() as u32).clamp(1, MAX_POINTS);
        for point in 0..points {
            hall.ring.push((rendezvous_score(u64::from(point), key), index as u32));
        }
        self.pools_of_server[index].push((name.clone(), place));
    }
}

impl HallPool {
    fn new(table: &Table, hall: &Name) -> Self {
        let row = table.halls.iter().find(|row| row.name == *hall);
        let mut weights = [row.map_or(1.0, |row| row.weight); HOURS];
        if let Some(row) = row {
            for (weight, by_hour) in weights.iter_mut().zip(&row.weights_by_hour) {
                *weight = *by_hour;
            }
        }
        HallPool {
            hall: hall.clone(),
            hall_key: xxh3_64(hall.as_str().as_bytes()),
            weights,
            ring: Vec::new(),
            members: Vec::new(),
            load: 0.0,
        }
    }

    /// Score in weighted rendezvous hashing: a hall wins in proportion to its
    /// weight in this hour.
    fn score(&self, wanted: &Wanted) -> f64 {
        let hash = rendezvous_score(wanted.prefix, self.hall_key);
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -self.weights[wanted.hour % HOURS] / uniform.ln()
    }
}
