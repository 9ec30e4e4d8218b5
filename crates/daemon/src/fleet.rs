//! The fleet of daemons: its size, this daemon's rank in it, and which daemons read the store.
//!
//! Owns the list of known peers and the record of recent contact with peers and the store
//! (`connectivity`). Depends on `base` alone; all layers above depend on it. The heartbeats, which
//! maintain this state, are in `membership`.

pub mod connectivity;
pub mod fetch_throttle;
pub mod suspension;

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::freshness::{answer_time, unchanged_since};
use bankcove_core::members::{FleetSize, Members};
use bankcove_core::store_read_policy::{StoreReadPolicy, ViewBounds};

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::base::Base;
use crate::fleet::connectivity::Connectivity;

/// Interval of checks, while the store is unavailable, whether this daemon learns of changes from
/// peers.
const PEER_SYNC_POLL: Duration = Duration::from_millis(200);

/// Poll interval while a starting daemon waits to receive the store's state from peers.
pub const STARTUP_POLL: Duration = Duration::from_millis(20);

/// Longest time from the end of a watch call's duration to its response, in milliseconds: the adapter
/// waits 0.7 s beyond it, and 0.3 s more for a connection.
const WATCH_DELAY_MS: Millis = 1_000;

/// Pause after a failed watch call.
pub const STORE_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Interval of checks whether an unavailable store is available again.
const UNAVAILABLE_POLL: Duration = Duration::from_millis(100);

/// Next step of a task that follows an object or list of the store.
pub enum WatchStep {
    /// Read the store.
    ReadStore,
    /// Check again: peers provide the changes, or the store is unavailable.
    Wait,
    /// Stop, since the daemon ends.
    Stop,
}

/// This daemon's view of the fleet; clones share it.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// The layer below: configuration, clock, log, metrics and connections.
    pub base: Base,
    /// The other daemons.
    pub members: Arc<Mutex<Members>>,
    /// Recent contact with peers and the store.
    pub connectivity: Arc<Connectivity>,
    /// Ages that this daemon's view may have.
    pub view_bounds: ViewBounds,
    /// Notified to send heartbeats at once, which announce this daemon's state to peers.
    pub heartbeat_now: Arc<Notify>,
    /// Notified when a task that relies on peers must check again what is due: this daemon's rank
    /// among the possible readers of the store has changed, or an entry expires soon.
    pub recheck_sync: Arc<Notify>,
    /// Notified (all waiting tasks) when servers were added, removed or closed, or may serve other
    /// requests than before.
    pub servers_changed: Arc<Notify>,
}

impl Fleet {
    /// Creates a view without known peers.
    pub fn new(base: Base) -> Self {
        let members = Arc::new(Mutex::new(Members::new(base.cfg.name.clone())));
        let connectivity =
            Arc::new(Connectivity::new(base.cfg.follows_evacuations(), base.cfg.entry_lapse_ms()));
        let view_bounds = ViewBounds::new(base.cfg.in_force_ms());
        Fleet {
            base,
            members,
            connectivity,
            view_bounds,
            heartbeat_now: Arc::default(),
            recheck_sync: Arc::default(),
            servers_changed: Arc::default(),
        }
    }

    /// Returns the longest duration of one watch call to the store.
    pub fn watch_timeout(&self) -> Duration {
        Duration::from_millis(self.store_read_policy().watch_ms())
    }

    /// Returns the time as of which the response to a watch, asked to last for `wait`, counts as current;
    /// it has just arrived. See [`answer_time`] and [`unchanged_since`].
    pub fn watch_answer_time(&self, asked_at: Millis, wait: Duration, has_changes: bool) -> Millis {
        let now = self.base.clock.now();
        let wait_ms = wait.as_millis() as Millis;
        let longest_ms = wait_ms + WATCH_DELAY_MS;
        if has_changes {
            return answer_time(asked_at, now, longest_ms);
        }
        unchanged_since(asked_at, now, wait_ms, longest_ms)
    }

    /// Returns the number of daemons in the fleet, by the platform's list; `None` while the list
    /// may be that of a fleet that is still starting.
    pub fn size(&self) -> Option<usize> {
        match self.members.lock().fleet_size() {
            FleetSize::Listed(size) => Some(size),
            // Settings without other seed peers are not those of a fleet that starts as a whole.
            FleetSize::AtLeast(size) => (!self.base.cfg.has_other_seeds()).then_some(size),
            FleetSize::Unknown => None,
        }
    }

    /// Returns whether the fleet is so small that each daemon writes to the store by itself. Does
    /// not depend on how many peers answer now: when it did, each of hundreds of restarted daemons
    /// assumed a small fleet, and their writes to four ledgers conflicted for 15 s.
    pub fn is_small(&self) -> bool {
        self.size().is_some_and(|size| size <= self.base.cfg.limits.direct_daemons)
    }

    /// Returns the policy by which this daemon reads the store, with its rank among the possible
    /// readers of its hall.
    pub fn store_read_policy(&self) -> StoreReadPolicy {
        let me = self.base.cfg.peer_address();
        let fleet = self.size();
        let (rank, hall_size) = {
            let members = self.members.lock();
            let hall = &self.base.cfg.hall;
            (members.store_reader_rank(hall), members.hall_size(hall))
        };
        StoreReadPolicy {
            rank,
            hall_size,
            heartbeat_ms: self.base.cfg.limits.heartbeat_ms,
            bounds: self.view_bounds,
            readers: self.base.cfg.limits.store_readers,
            fleet,
            small_fleet: self.base.cfg.limits.direct_daemons,
            has_seeds: self.base.cfg.has_other_seeds(),
            is_seed: self.base.cfg.seed_peers.iter().any(|seed| seed == me),
        }
    }

    /// Returns whether this daemon learns of changes in the store from peers and need not read it:
    /// other daemons of its hall do, and its view is recent.
    pub fn is_synced_by_peers(&self) -> bool {
        self.time_until_stale().is_some()
    }

    /// Returns the time for which this daemon still relies on peers; `None` if it reads the store
    /// itself.
    pub fn time_until_stale(&self) -> Option<Duration> {
        let view_age = self.connectivity.view_age(self.base.clock.now());
        self.store_read_policy().time_until_stale(view_age).map(Duration::from_millis)
    }

    /// Returns the next step of a task that follows something in the store. Pauses first if the
    /// store need not be read: peers provide the changes or will do so soon, or the store is
    /// unavailable, which the watch of the servers detects. `is_known` is whether the followed
    /// object or list was received before.
    pub async fn next_watch_step(&self, is_known: bool) -> WatchStep {
        let pause = if let Some(pause) = self.time_until_stale().filter(|_| is_known) {
            pause
        } else if self.is_in_startup_wait() {
            STARTUP_POLL
        } else if self.connectivity.is_store_unavailable(self.base.clock.now()) {
            UNAVAILABLE_POLL
        } else {
            return WatchStep::ReadStore;
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => WatchStep::Wait,
            () = self.recheck_sync.notified() => WatchStep::Wait,
            () = self.base.shutdown.cancelled() => WatchStep::Stop,
        }
    }

    /// Returns whether this daemon has just started and still waits to receive the store's state
    /// from peers.
    pub fn is_in_startup_wait(&self) -> bool {
        self.base.clock.now() < self.store_read_policy().startup_wait()
    }

    /// Returns whether this daemon's view of the table and the lists is recent enough for a daemon
    /// that learns of changes from peers.
    pub fn is_current(&self) -> bool {
        !self.connectivity.is_view_older_than(self.view_bounds.current_age(), self.base.clock.now())
    }

    /// Triggers heartbeats if this daemon has become current again: after an outage the state read
    /// by one reader then reaches 300 daemons in some 50 ms, instead of 1.5 s with regular
    /// heartbeats, before most of them have read the store themselves. `was_current` is the
    /// result of [`Fleet::is_current`] before the update.
    pub fn announce_if_current_again(&self, was_current: bool) {
        if !was_current && self.is_current() {
            self.heartbeat_now.notify_one();
        }
    }

    /// Waits, after this many consecutive `failures`, until the next probe of the store is due or
    /// this daemon learns of changes from peers.
    pub async fn wait_for_store_probe(&self, failures: u32) {
        let pause = self.store_read_policy().probe_interval(failures, rand::random());
        let until = self.base.clock.now() + pause;
        loop {
            let left = self.base.clock.time_until(until);
            tokio::select! {
                () = tokio::time::sleep(left.min(PEER_SYNC_POLL)) => {}
                () = self.base.shutdown.cancelled() => return,
            }
            if self.base.clock.now() >= until || self.is_synced_by_peers() {
                return;
            }
        }
    }
}
