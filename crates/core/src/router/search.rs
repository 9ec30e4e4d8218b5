//! Search for a server along the ranked halls of a pool.

use crate::Millis;
use crate::router::Router;
use crate::router::choose::{Passed, RoutingRequest};
use crate::router::load::Load;
use crate::router::pool::{HallPool, Pool};
use crate::router::prefill::PrefillStats;
use crate::router::view::ServerView;

/// Requests that a server may have above its share of the hall's load, so that idle halls keep
/// prefix affinity.
const SLACK_REQUESTS: f64 = 4.0;

/// Factor by which the wait for a server has to exceed the time to read the prompt's shared part
/// elsewhere. With 1 instead of 2, queues under a load of 1.6 times the usual made requests leave
/// their prefixes, and reading these elsewhere made the queues longer: 33 instead of 20 % of the
/// replay's short prompts were late (tests/uneven_servers).
const AFFINITY_FACTOR: f64 = 2.0;

/// Result of the search along the ranked halls.
#[derive(Debug, Default)]
pub(super) struct HallSearch<'a> {
    /// First usable server where the prompt would not exceed the pause goal. Equal prefixes go
    /// there unless it is above its load bound.
    pub(super) first: Option<&'a ServerView>,
    /// First of these servers that is also within its load bound.
    pub(super) fitting: Option<&'a ServerView>,
}

/// Inputs of one search.
#[derive(Clone, Copy)]
pub(super) struct Search<'a> {
    pub(super) router: &'a Router,
    pub(super) now: Millis,
    pub(super) pool: &'a Pool,
    pub(super) halls: &'a [&'a HallPool],
    pub(super) request: &'a RoutingRequest<'a>,
    prefill: PrefillStats,
}

impl<'a> Search<'a> {
    pub(super) fn new(
        router: &'a Router,
        now: Millis,
        pool: &'a Pool,
        halls: &'a [&'a HallPool],
        request: &'a RoutingRequest<'a>,
    ) -> Self {
        let prefill = router.prefill.get(request.pool).copied().unwrap_or_default();
        Search { router, now, pool, halls, request, prefill }
    }

    /// Searches the halls in order until a server fits. Going to another hall costs less than
    /// a long wait or paused streams.
    pub(super) fn run(&self) -> HallSearch<'a> {
        let mut search = HallSearch::default();
        for hall in self.halls {
            let bound = self.bound(hall);
            for view in self.preferred(hall) {
                search.first.get_or_insert(view);
                if self.has_room(view, &bound) {
                    search.fitting = Some(view);
                    return search;
                }
            }
        }
        search
    }

    /// Returns a server with room where the first event of the request is expected sooner than at
    /// `chosen`, if there is one. A server that holds the prompt's prefix is kept unless the wait
    /// exceeds the reading of the shared part elsewhere by [`AFFINITY_FACTOR`]. In a pool of equal
    /// servers only a late one is left: there, taking the least expected time always lost 8 % of
    /// the replay's prefix hits.
    pub(super) fn sooner(
        &self,
        chosen: &'a ServerView,
        holds_prefix: bool,
    ) -> Option<(&'a ServerView, Passed)> {
        let (speed, slowness) = (self.pool.speed(chosen), chosen.slowness(self.now));
        let prompt = self.request.prompt_tokens;
        if prompt == 0 || (!self.pool.is_uneven() && slowness <= 1.0) {
            return None;
        }
        // Times are in tokens read by a server of speed 1.
        let shared = if holds_prefix { self.request.shared_tokens.min(prompt) } else { 0 };
        let own = (prompt - shared) as f64 / speed;
        let wait = chosen.total_load().unread / speed * slowness + own * (slowness - 1.0);
        if wait <= AFFINITY_FACTOR * shared as f64 / speed {
            return None;
        }
        let mut soonest = None;
        let mut least = wait + own;
        for hall in self.halls {
            let bound = self.bound(hall);
            for view in self.preferred(hall) {
                let tokens = view.total_load().unread + prompt as f64;
                let expected = tokens / self.pool.present_speed(self.now, view);
                if expected < least && self.has_room(view, &bound) {
                    (soonest, least) = (Some(view), expected);
                }
            }
        }
        let passed = Passed {
            server: chosen.name.clone(),
            speed_percent: (speed * 100.0) as u32,
            oldest_wait_ms: chosen.oldest_wait_ms(self.now),
            slowness_percent: (slowness * 100.0) as u32,
            unread_tokens: chosen.total_load().unread as u64,
        };
        soonest.map(|view| (view, passed))
    }

    /// Returns the usable servers near the prefix on the hall's ring that the request prefers.
    fn preferred(&self, hall: &'a HallPool) -> impl Iterator<Item = &'a ServerView> {
        let Search { router, now, pool, request, prefill, .. } = *self;
        let is_long = prefill.is_long(request.prompt_tokens);
        router.usable_candidates(now, hall, request).filter(move |view| {
            let exceeds_goal =
                is_long && prefill.exceeds_pause_goal(view, pool.pause_goal, &pool.mean_pace);
            !exceeds_goal && pool.may_prefer(view, request.prefix)
        })
    }

    /// Returns the load bound of the hall's servers, at speed 1.
    fn bound(&self, hall: &HallPool) -> Load {
        let slack = Load { requests: SLACK_REQUESTS, unread: self.prefill.unread_slack() };
        hall.load.bound(hall.capacity, slack)
    }

    /// Returns whether the server is within its load bound and has returned fully. Late answers do
    /// not count here, as the prompt's prefix may be worth the wait ([`Search::sooner`]).
    fn has_room(&self, view: &ServerView, bound: &Load) -> bool {
        let speed = self.pool.speed(view);
        view.total_load().at_speed(speed).is_within(bound)
            && !view.is_shed_by_slow_start(self.now, self.request.seed)
    }
}
