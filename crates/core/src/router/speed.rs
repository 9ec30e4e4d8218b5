//! Speed of each server relative to the other servers of its pool.
//!
//! The time between two events of a server's streams tells how fast it is. Servers within
//! `SLOW_SERVER_FACTOR` (`prefill`) of the pool's mean, and all servers of a pool without
//! slower ones, have speed 1, so that pools of equal servers are routed by load and prefix alone.
//! A slower server has the fraction of that speed at which it generates events: it gets that
//! fraction of the prefixes, and its load counts for so much more.
//!
//! The fast servers' mean interval is computed over all servers of a pool, after a number of new
//! paces in proportion to the pool's size, so that its cost per pace does not grow with the pool.

use crate::Millis;
use crate::id::rendezvous_score;
use crate::router::Router;
use crate::router::pool::{HallPool, Pool};
use crate::router::view::ServerView;
use xxhash_rust::xxh3::xxh3_64;

/// New paces, as a part of the number of servers, after which the speeds of a pool are computed
/// again.
const PACES_PER_SERVER: f64 = 0.125;

/// Lowest speed: a server has to get some requests, or its pace would never be measured again.
const MIN_SPEED: f64 = 0.05;

/// Speeds of the servers of one pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolSpeeds {
    /// Mean event interval of the servers that are not slower, in milliseconds; `None` when the
    /// pool has no slower servers.
    fast_ms: Option<f64>,
    /// Mean speed, which is assumed for servers of unknown pace.
    mean: f64,
    /// Paces recorded since the speeds were computed.
    new_paces: u32,
}

impl Default for PoolSpeeds {
    fn default() -> Self {
        PoolSpeeds { fast_ms: None, mean: 1.0, new_paces: 0 }
    }
}

impl Pool {
    /// Returns whether some servers of the pool are slower than others.
    pub(super) fn is_uneven(&self) -> bool {
        self.speeds.fast_ms.is_some()
    }

    /// Returns the speed of a server relative to the fast servers of this pool, at most 1.
    pub(super) fn speed(&self, view: &ServerView) -> f64 {
        let Some(fast_ms) = self.speeds.fast_ms else { return 1.0 };
        match view.event_ms {
            None => self.speeds.mean,
            Some(event_ms) if self.mean_pace.is_slower(view) => {
                (fast_ms / event_ms).clamp(MIN_SPEED, 1.0)
            }
            Some(_) => 1.0,
        }
    }

    /// Returns the speed of a server at present, which a passing slowness lowers.
    pub(super) fn present_speed(&self, now: Millis, view: &ServerView) -> f64 {
        self.speed(view) / view.slowness(now)
    }

    /// Returns whether the server may be the preferred one of requests with this prefix: a slower
    /// server is for a part of the prefixes equal to its speed. The result is the same for equal
    /// prefixes as long as the server's speed stays the same.
    pub(super) fn may_prefer(&self, view: &ServerView, prefix: u64) -> bool {
        let speed = self.speed(view);
        if speed >= 1.0 {
            return true;
        }
        let key = xxh3_64(view.name.as_str().as_bytes());
        (rendezvous_score(prefix, key) as f64) < speed * u64::MAX as f64
    }

    /// Computes the speeds anew from the servers' paces.
    fn refresh_speeds(&mut self, servers: &[ServerView]) {
        let members = self.halls.iter().flat_map(|hall| &hall.members);
        let views = members.map(|index| &servers[*index as usize]);
        let (mut fast, mut fast_sum_ms, mut known) = (0_u32, 0.0, 0_u32);
        for (view, event_ms) in views.filter_map(|view| view.event_ms.map(|ms| (view, ms))) {
            known += 1;
            if !self.mean_pace.is_slower(view) {
                fast += 1;
                fast_sum_ms += event_ms;
            }
        }
        self.speeds = PoolSpeeds::default();
        if fast < known && fast > 0 {
            self.speeds.fast_ms = Some(fast_sum_ms / f64::from(fast));
            self.speeds.mean = self.mean_speed(servers);
        }
        for index in 0..self.halls.len() {
            self.halls[index].capacity = self.hall_capacity(&self.halls[index], servers);
        }
    }

    /// Returns the mean speed of the servers whose pace is known.
    fn mean_speed(&self, servers: &[ServerView]) -> f64 {
        let members = self.halls.iter().flat_map(|hall| &hall.members);
        let known = members.map(|index| &servers[*index as usize]);
        let (sum, count) = known
            .filter(|view| view.event_ms.is_some())
            .fold((0.0, 0.0), |(sum, count), view| (sum + self.speed(view), count + 1.0));
        if count > 0.0 { sum / count } else { 1.0 }
    }

    /// Returns the sum of the speeds of a hall's servers.
    fn hall_capacity(&self, hall: &HallPool, servers: &[ServerView]) -> f64 {
        if !self.is_uneven() {
            return hall.members.len() as f64;
        }
        hall.members.iter().map(|index| self.speed(&servers[*index as usize])).sum()
    }
}

impl HallPool {
    /// Returns the mean speed of the hall's servers; 1 in a pool of equal servers.
    pub(super) fn mean_speed(&self) -> f64 {
        self.capacity / self.members.len().max(1) as f64
    }
}

impl Router {
    /// Counts a new pace in a pool, and computes the pool's speeds anew when enough have come.
    pub(super) fn count_pace(&mut self, pool: usize) {
        let pool = &mut self.pools[pool];
        pool.speeds.new_paces += 1;
        let members: usize = pool.halls.iter().map(|hall| hall.members.len()).sum();
        if f64::from(pool.speeds.new_paces) >= members as f64 * PACES_PER_SERVER {
            pool.refresh_speeds(&self.servers);
        }
    }

    /// Computes the speeds of all pools anew, after their servers have changed.
    pub(super) fn refresh_speeds(&mut self) {
        for pool in &mut self.pools {
            pool.refresh_speeds(&self.servers);
        }
    }
}
