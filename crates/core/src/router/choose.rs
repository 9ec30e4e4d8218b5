//! Choice of a server for one request.

use crate::crashes::ServerInstance;
use crate::rollout::Versions;
use crate::router::Router;
use crate::router::full_servers::FullPool;
use crate::router::pool::{HallPool, Pool};
use crate::router::search::Search;
use crate::router::view::ServerView;
use crate::table::HOURS_PER_DAY;
use crate::{Millis, Name, Tokens};

/// Servers probed along the ring before any usable one is taken.
const MAX_PROBES: usize = 16;

/// Reason why no server was found.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoServer {
    /// No row of the table serves this pool.
    NoneInTable,
    /// Servers exist, but all of them are leaving, ejected or full.
    NoneUsable,
    /// All halls of the pool are evacuated or outside the request's home regions.
    NoHall,
    /// No path leads from this host to the servers that may serve the request.
    NoPath,
    /// All remaining servers are cold; the first of them is warm after this many milliseconds.
    OnlyCold(Millis),
    /// All remaining servers that are not cold have reached the limits that they announced.
    OnlyLimited(AtLimit),
    /// All remaining servers that are not cold have asked this daemon for rest.
    OnlyResting(Resting),
    /// All remaining servers that are neither cold, limited nor resting have rejected a request
    /// because they are full.
    OnlyFull(FullPool),
}

/// Servers that have asked this daemon for rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resting {
    /// Milliseconds until the first rest ends.
    pub first_ms: Millis,
    /// Number of resting servers.
    pub servers: usize,
}

/// Servers that have reached the limits that they announced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AtLimit {
    /// Milliseconds until a permit for the first of them may be requested again.
    pub first_ms: Millis,
    /// Requests per second that they accept from all daemons together.
    pub per_second: f64,
}

/// Home regions of a request: the regions that may serve it. An empty list allows all regions.
#[derive(Debug, Clone, Copy, Default)]
pub struct Homes<'a> {
    /// Home regions of its route.
    pub route: &'a [Name],
    /// Home regions of its workspace.
    pub workspace: &'a [Name],
}

impl Homes<'_> {
    /// Returns whether a hall in this region may serve the request: the region has to be in
    /// both lists. A hall of unknown region is in neither, unless the list is empty.
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
    /// Its hall.
    pub hall: Name,
    /// When the chosen instance of it was started, as [`ServerView::started_ms`].
    pub started_ms: Millis,
    /// Its address.
    pub address: String,
    /// Version of its software; `None` when unknown.
    pub version: Option<Name>,
    /// Address of the server that presumably holds the prompt's shared prefix in its cache,
    /// when it is another one.
    pub copy_from: Option<String>,
    /// The server that was passed over for its expected time to the first event.
    pub passed: Option<Passed>,
}

/// State of a server that was passed over because another one is expected to answer sooner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Passed {
    /// The server's name.
    pub server: Name,
    /// Its speed relative to the fast servers of the pool, in percent.
    pub speed_percent: u32,
    /// Time for which its oldest unanswered request of this daemon has waited, in milliseconds.
    pub oldest_wait_ms: Millis,
    /// That time as a multiple of the expected one, in percent; 100 unless it is late.
    pub slowness_percent: u32,
    /// Tokens that it has still to read, as known to this daemon.
    pub unread_tokens: Tokens,
}

impl Choice {
    /// Returns the chosen instance of the server.
    pub fn instance(&self) -> ServerInstance {
        ServerInstance { name: self.server.clone(), started_ms: self.started_ms }
    }

    /// Returns the version for a log line; `None` when unknown.
    pub fn version_text(&self) -> Option<&str> {
        self.version.as_ref().map(Name::as_str)
    }
}

/// Inputs for choosing a server for one request.
#[derive(Debug, Clone, Copy)]
pub struct RoutingRequest<'a> {
    /// The pool: a model's name, or a service route's name.
    pub pool: &'a str,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Length of the prompt in tokens; 0 when unknown.
    pub prompt_tokens: Tokens,
    /// Tokens of the prompt's parts that other requests share; 0 when unknown.
    pub shared_tokens: Tokens,
    /// Hour of the day, UTC.
    pub hour: usize,
    /// Random number, by which slow start and the last fallback select.
    pub seed: u64,
    /// Servers that this request has tried already.
    pub tried: &'a [Name],
    /// Regions that may serve the request.
    pub homes: Homes<'a>,
    /// Versions of the servers that may serve it.
    pub versions: Versions<'a>,
}

impl RoutingRequest<'_> {
    /// Returns whether the request may be sent to this server, as far as it depends on the request.
    fn may_try(&self, view: &ServerView) -> bool {
        self.versions.allow(view.version.as_ref()) && !self.tried.contains(&view.name)
    }
}

impl Router {
    /// Chooses a server.
    ///
    /// # Errors
    /// [`NoServer`] when the table has no server for the pool or none is usable now.
    pub fn choose(&self, now: Millis, request: &RoutingRequest) -> Result<Choice, NoServer> {
        let pool = self.pool(request.pool).ok_or(NoServer::NoneInTable)?;
        let mut halls = self.ranked_halls(pool, request);
        if halls.is_empty() {
            return Err(NoServer::NoHall);
        }
        halls.retain(|hall| self.is_reachable(&pool.name, &hall.hall));
        if halls.is_empty() {
            return Err(NoServer::NoPath);
        }
        let search = Search::new(self, now, pool, &halls, request);
        let found = search.run();
        let any = || halls.iter().find_map(|hall| self.least_loaded(now, pool, hall, request));
        let view = found
            .fitting
            .or_else(any)
            .or_else(|| self.ejected_for_stream(now, &halls, request))
            .ok_or_else(|| self.no_server_reason(now, &halls, request))?;
        let holds_prefix = found.first.is_some_and(|first| first.name == view.name);
        let (view, passed) = match search.sooner(view, holds_prefix) {
            Some((sooner, passed)) => (sooner, Some(passed)),
            None => (view, None),
        };
        let other = found.first.filter(|first| first.name != view.name && first.shares_cache(view));
        Ok(Choice {
            server: view.name.clone(),
            hall: view.hall.clone(),
            started_ms: view.started_ms,
            address: view.address.clone(),
            version: view.version.clone(),
            copy_from: other.map(|first| first.address.clone()),
            passed,
        })
    }

    /// Chooses the server at position `rank` (0 is the first) in the order of preference, so
    /// that requests of equal prefix and different ranks go to different servers. Where there
    /// are too few servers, the first one is chosen.
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

    /// Returns the reason why no server of these halls is usable.
    fn no_server_reason(
        &self,
        now: Millis,
        halls: &[&HallPool],
        request: &RoutingRequest,
    ) -> NoServer {
        let members = halls.iter().flat_map(|hall| &hall.members);
        let views = members.map(|index| &self.servers[*index as usize]);
        let eligible: Vec<&ServerView> =
            views.filter(|view| view.is_eligible(now) && request.may_try(view)).collect();
        let (cold, warm): (Vec<&ServerView>, Vec<&ServerView>) =
            eligible.into_iter().partition(|view| view.is_cold(now));
        let (resting, active): (Vec<&ServerView>, Vec<&ServerView>) =
            warm.into_iter().partition(|view| view.is_resting(now));
        // A full server has room again sooner than others become usable.
        let full = active.iter().filter(|view| view.is_only_full(now));
        if let Some(first_at) = full.filter_map(|view| view.full_until(now)).min() {
            return NoServer::OnlyFull(FullPool { first_ms: first_at - now });
        }
        let limited = active.iter().filter(|view| view.is_at_limit(now));
        if let Some(first_at) = limited.clone().map(|view| view.no_permit_until).min() {
            let per_second = limited.filter_map(|view| view.limit_per_s).sum();
            return NoServer::OnlyLimited(AtLimit { first_ms: first_at - now, per_second });
        }
        // A resting server that is also at its limit is usable again when both have ended.
        let usable_at = resting.iter().map(|view| view.rests_until.max(view.no_permit_until));
        if let Some(first_at) = usable_at.min() {
            let servers = resting.len();
            return NoServer::OnlyResting(Resting { first_ms: first_at - now, servers });
        }
        let warm_at = cold.iter().map(|view| view.cold_until).min();
        warm_at.map_or(NoServer::NoneUsable, |at| NoServer::OnlyCold(at - now))
    }

    /// Returns the pool's halls that accept the request in this hour, ranked by rendezvous
    /// score.
    fn ranked_halls<'a>(&self, pool: &'a Pool, request: &RoutingRequest) -> Vec<&'a HallPool> {
        // Halls where this request has already failed come last: when one server does not
        // answer, others in its hall may not either.
        let failed: Vec<&Name> = request.tried.iter().filter_map(|n| self.hall_of(n)).collect();
        let mut halls: Vec<(bool, f64, &HallPool)> = pool
            .halls
            .iter()
            .filter(|hall| hall.weights[request.hour % HOURS_PER_DAY] > 0.0)
            .filter(|hall| !hall.members.is_empty() && hall.may_serve(&request.homes))
            .map(|hall| (failed.contains(&&hall.hall), hall.score(request), hall))
            .collect();
        halls.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        halls.into_iter().map(|(_, _, hall)| hall).collect()
    }

    /// Returns the hall of a server, if the server is in the table.
    fn hall_of(&self, server: &Name) -> Option<&Name> {
        let index = self.by_name.get(server)?;
        self.servers.get(*index as usize).map(|view| &view.hall)
    }

    /// Returns the usable servers among the first [`MAX_PROBES`] on the hall's ring.
    pub(super) fn usable_candidates<'a>(
        &'a self,
        now: Millis,
        hall: &'a HallPool,
        request: &'a RoutingRequest,
    ) -> impl Iterator<Item = &'a ServerView> {
        let is_usable = move |view: &&ServerView| view.is_usable(now) && request.may_try(view);
        self.probe_ring(hall, request.prefix).filter(is_usable)
    }

    /// Returns the least loaded of the usable candidates; without candidates, any usable server
    /// of the hall.
    fn least_loaded<'a>(
        &'a self,
        now: Millis,
        pool: &Pool,
        hall: &'a HallPool,
        request: &'a RoutingRequest,
    ) -> Option<&'a ServerView> {
        let near = self.usable_candidates(now, hall, request);
        let load = |view: &ServerView| view.total_load().at_speed(pool.present_speed(now, view));
        let least =
            near.reduce(|least, view| if load(view).is_less(&load(least)) { view } else { least });
        least.or_else(|| {
            let start = request.seed as usize % hall.members.len().max(1);
            let around = hall.members[start..].iter().chain(&hall.members[..start]);
            let mut views = around.map(|index| &self.servers[*index as usize]);
            views.find(|view| view.is_usable(now) && request.may_try(view))
        })
    }

    /// Returns a server that is unusable only because it is ejected, for a stream that may not go
    /// on at servers of other versions.
    fn ejected_for_stream<'a>(
        &'a self,
        now: Millis,
        halls: &[&'a HallPool],
        request: &RoutingRequest,
    ) -> Option<&'a ServerView> {
        if !matches!(request.versions, Versions::OfStream(_)) {
            return None;
        }
        let members = halls.iter().flat_map(|hall| &hall.members);
        let mut views = members.map(|index| &self.servers[*index as usize]);
        views.find(|view| view.is_usable_unless_ejected(now) && request.may_try(view))
    }

    /// Returns the first [`MAX_PROBES`] servers on the hall's ring from the prefix on; adjacent
    /// points of one server count once.
    fn probe_ring<'a>(
        &'a self,
        hall: &'a HallPool,
        prefix: u64,
    ) -> impl Iterator<Item = &'a ServerView> {
        let start = hall.ring_position(prefix);
        let around = hall.ring[start..].iter().chain(&hall.ring[..start]);
        let mut last = u32::MAX;
        let distinct =
            around.filter(move |(_, index)| std::mem::replace(&mut last, *index) != *index);
        distinct.take(MAX_PROBES).map(|(_, index)| &self.servers[*index as usize])
    }
}
