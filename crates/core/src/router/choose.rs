//! The choice of a server for one request.

use crate::crashes::ServerStart;
use crate::router::Router;
use crate::router::load::Load;
use crate::router::pool::{HallPool, Pool};
use crate::router::view::ServerView;
use crate::table::HOURS;
use crate::{Millis, Name, Tokens};

/// Requests that a server may have beyond its part, so that idle halls keep affinity.
const SLACK_REQUESTS: f64 = 4.0;

/// Servers looked at along the ring before any usable one is taken.
const MAX_PROBES: usize = 16;

/// Why no server was found.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoServer {
    /// No row of the table serves this.
    NoneInTable,
    /// Servers exist, but all of them are leaving, ejected or full.
    NoneUsable,
    /// All halls that may serve this are evacuated, or lie outside its homes.
    NoHall,
    /// All that are left are cold; the first of them is warm after so many milliseconds.
    OnlyCold(Millis),
    /// All that are left, but for cold ones, take no more than the limits that they name.
    OnlyLimited(AtLimit),
    /// All that are left, but for cold ones, have asked this daemon for rest.
    OnlyResting(Resting),
}

/// Servers that have asked this daemon for rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resting {
    /// After so many milliseconds the first rest is over.
    pub first_ms: Millis,
    /// How many servers rest.
    pub servers: usize,
}

/// Servers that take no more than the limits that they name.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AtLimit {
    /// After so many milliseconds the first of them may be asked for again.
    pub first_ms: Millis,
    /// Requests a second that they take from all daemons together.
    pub per_second: f64,
}

/// Regions that may serve a request; where there are none all may.
#[derive(Debug, Clone, Copy, Default)]
pub struct Homes<'a> {
    /// Those of its route.
    pub route: &'a [Name],
    /// Those of its workspace.
    pub workspace: &'a [Name],
}

impl Homes<'_> {
    /// Whether a hall in this region may serve it: both bind. A hall whose region is not
    /// known is in none of them.
    pub fn allow(&self, region: Option<&Name>) -> bool {
        let is_in = |homes: &[Name]| {
            homes.is_empty() || region.is_some_and(|region| homes.contains(region))
        };
        is_in(self.route) && is_in(self.workspace)
    }
}

/// A server that was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The server's name.
    pub server: Name,
    /// The start of it that was chosen, as [`ServerView::started_ms`].
    pub started_ms: Millis,
    /// Its address.
    pub address: String,
    /// Address of the server that has read the prompt's shared parts, as far as this
    /// daemon can tell, when it is another one.
    pub copy_from: Option<String>,
}

impl Choice {
    /// The start of the server.
    pub fn start(&self) -> ServerStart {
        ServerStart { name: self.server.clone(), started_ms: self.started_ms }
    }
}

/// What a request asks the router for.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// The pool: a model's name, or a service route's name.
    pub pool: &'a str,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Length of the prompt; 0 when that is not known.
    pub prompt_tokens: Tokens,
    /// Hour of the day, UTC.
    pub hour: usize,
    /// A random number.
    pub seed: u64,
    /// Servers that this request has tried already.
    pub tried: &'a [Name],
    /// Regions that may serve it.
    pub homes: Homes<'a>,
}

/// What a search along the halls has come to.
#[derive(Debug, Default)]
struct HallSearch<'a> {
    /// The first server whose streams would not be disturbed: equal prefixes go there
    /// unless it has too much to do.
    first: Option<&'a ServerView>,
    /// The first of those that have room too.
    fitting: Option<&'a ServerView>,
}

impl Router {
    /// Chooses a server.
    ///
    /// # Errors
    /// [`NoServer`] tells whether the table has none or none is usable now.
    pub fn choose(&self, now: Millis, request: &RoutingRequest) -> Result<Choice, NoServer> {
        let pool = self.pools.get(request.pool).ok_or(NoServer::NoneInTable)?;
        let halls = self.ranked_halls(pool, request);
        if halls.is_empty() {
            return Err(NoServer::NoHall);
        }
        let search = self.search_halls(now, pool, &halls, request);
        let any = || halls.iter().find_map(|hall| self.least_loaded(now, hall, request));
        let view = search
            .fitting
            .or_else(any)
            .ok_or_else(|| self.no_server_reason(now, &halls, request))?;
        let other = search.first.filter(|first| first.name != view.name);
        Ok(Choice {
            server: view.name.clone(),
            started_ms: view.started_ms,
            address: view.address.clone(),
            copy_from: other.map(|first| first.address.clone()),
        })
    }

    /// Chooses a server that is not the choice of `rank` others with the same prefix, where
    /// there are so many.
    ///
    /// # Errors
    /// As [`Router::choose`].
    pub fn choose_ranked(
        &self,
        now: Millis,
        request: &RoutingRequest,
        rank: usize,
    ) -> Result<Choice, NoServer> {
        let mut taken = request.tried.to_vec();
        let mut choice = self.choose(now, request)?;
        for _ in 0..rank {
            taken.push(choice.server.clone());
            match self.choose(now, &RoutingRequest { tried: &taken, ..*request }) {
                Ok(next) => choice = next,
                Err(_) => return self.choose(now, request),
            }
        }
        Ok(choice)
    }

    /// Why no server of these halls is usable.
    fn no_server_reason(
        &self,
        now: Millis,
        halls: &[&HallPool],
        request: &RoutingRequest,
    ) -> NoServer {
        let members = halls.iter().flat_map(|hall| &hall.members);
        let views = members.map(|index| &self.servers[*index as usize]);
        let left: Vec<&ServerView> = views
            .filter(|view| view.is_eligible(now) && !request.tried.contains(&view.name))
            .collect();
        let (cold, warm): (Vec<&ServerView>, Vec<&ServerView>) =
            left.into_iter().partition(|view| view.is_cold(now));
        let (resting, awake): (Vec<&ServerView>, Vec<&ServerView>) =
            warm.into_iter().partition(|view| view.is_resting(now));
        let limited = awake.iter().filter(|view| view.is_at_limit(now));
        if let Some(first_at) = limited.clone().map(|view| view.no_permit_until).min() {
            let per_second = limited.filter_map(|view| view.limit_per_s).sum();
            return NoServer::OnlyLimited(AtLimit { first_ms: first_at - now, per_second });
        }
        // One that is at its limit as well comes back when both are over.
        let opens_at = resting.iter().map(|view| view.rests_until.max(view.no_permit_until));
        if let Some(first_at) = opens_at.min() {
            let servers = resting.len();
            return NoServer::OnlyResting(Resting { first_ms: first_at - now, servers });
        }
        let warm_at = cold.iter().map(|view| view.cold_until).min();
        warm_at.map_or(NoServer::NoneUsable, |at| NoServer::OnlyCold(at - now))
    }

    /// Goes along the halls until a server fits: another hall is nearer than a long
    /// wait, or than streams that are disturbed.
    fn search_halls<'a>(
        &'a self,
        now: Millis,
        pool: &Pool,
        halls: &[&'a HallPool],
        request: &'a RoutingRequest,
    ) -> HallSearch<'a> {
        let prefill = self.prefill.get(request.pool).copied().unwrap_or_default();
        let is_long = prefill.is_long(request.prompt_tokens);
        let exceeds_goal = |view: &ServerView| {
            is_long && prefill.exceeds_pause_goal(view, pool.pause_goal, &pool.mean_pace)
        };
        let slack = Load { requests: SLACK_REQUESTS, unread: prefill.unread_slack() };
        let mut search = HallSearch::default();
        for hall in halls {
            let bound = hall.load.bound(hall.members.len(), slack);
            let has_room = |view: &ServerView| {
                view.total_load().is_within(&bound)
                    && !view.is_shed_by_slow_start(now, request.seed)
            };
            for view in
                self.usable_candidates(now, hall, request).filter(|view| !exceeds_goal(view))
            {
                search.first.get_or_insert(view);
                if has_room(view) {
                    search.fitting = Some(view);
                    return search;
                }
            }
        }
        search
    }

    /// The pool's halls that take requests in this hour, the prefix's first hall first.
    fn ranked_halls<'a>(&self, pool: &'a Pool, request: &RoutingRequest) -> Vec<&'a HallPool> {
        // A hall where this request has failed already comes last: when one
        // server does not answer, its neighbours may not either.
        let failed: Vec<&Name> = request.tried.iter().filter_map(|n| self.hall_of(n)).collect();
        let mut halls: Vec<(bool, f64, &HallPool)> = pool
            .halls
            .iter()
            .filter(|hall| hall.weights[request.hour % HOURS] > 0.0)
            .filter(|hall| hall.may_serve(&request.homes))
            .map(|hall| (failed.contains(&&hall.hall), hall.score(request), hall))
            .collect();
        halls.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        halls.into_iter().map(|(_, _, hall)| hall).collect()
    }

    fn hall_of(&self, server: &Name) -> Option<&Name> {
        let index = self.by_name.get(server)?;
        self.servers.get(*index as usize).map(|view| &view.hall)
    }

    /// The usable servers of a hall among the first ones along its ring.
    fn usable_candidates<'a>(
        &'a self,
        now: Millis,
        hall: &'a HallPool,
        request: &'a RoutingRequest,
    ) -> impl Iterator<Item = &'a ServerView> {
        let is_usable =
            move |view: &&ServerView| view.is_usable(now) && !request.tried.contains(&view.name);
        self.probe_ring(hall, request.prefix).filter(is_usable)
    }

    /// The least loaded of them; when there is none, any usable server of the hall.
    fn least_loaded<'a>(
        &'a self,
        now: Millis,
        hall: &'a HallPool,
        request: &'a RoutingRequest,
    ) -> Option<&'a ServerView> {
        let near = self.usable_candidates(now, hall, request);
        let least =
            near.reduce(
                |least, view| {
                    if view.total_load().is_less(&least.total_load()) { view } else { least }
                },
            );
        least.or_else(|| {
            let start = request.seed as usize % hall.members.len().max(1);
            let around = hall.members[start..].iter().chain(&hall.members[..start]);
            let mut views = around.map(|index| &self.servers[*index as usize]);
            views.find(|view| view.is_usable(now) && !request.tried.contains(&view.name))
        })
    }

    fn probe_ring<'a>(
        &'a self,
        hall: &'a HallPool,
        prefix: u64,
    ) -> impl Iterator<Item = &'a ServerView> {
        let start = hall.ring.partition_point(|(point, _)| *point < prefix);
        let around = hall.ring[start..].iter().chain(&hall.ring[..start]);
        let mut last = u32::MAX;
        let distinct =
            around.filter(move |(_, index)| std::mem::replace(&mut last, *index) != *index);
        distinct.take(MAX_PROBES).map(|(_, index)| &self.servers[*index as usize])
    }
}
