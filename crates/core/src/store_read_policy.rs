//! When a daemon reads the store itself, and when it relies on peers.
//!
//! This limits the load on the store in two cases: hundreds of daemons lose the store, and each
//! would probe it five times a second; all daemons start within a second, and each would read
//! the lists, which two daemons of its hall could send to it. Calls to an unavailable store are
//! charged too.
//!
//! A few daemons of each hall, the readers, read the store for all of it. The others receive
//! the state from peers after heartbeats, and read the store when their view is too old, so
//! that no daemon depends on peers that are cut off from the store.

use crate::Millis;

/// Time within which the platform counts a daemon as connected again, in milliseconds: a longer promise
/// would not let views be older.
const CONNECTED_MS: Millis = 3_000;

/// Longest time from the moment at which a daemon finds its view too old to the moment at which what it
/// reads from the store is in force, in milliseconds.
const READ_MS: Millis = 150;

/// Longest time from the choice of a server to the arrival of the request there, in milliseconds.
const SEND_MS: Millis = 100;

/// Additional wait for each further rank after the readers, in milliseconds, so that a few
/// daemons replace failed readers, not all of the hall at once, and its upper bound.
const RANK_DELAY_MS: Millis = 25;
const MAX_RANK_DELAY_MS: Millis = 250;

/// Shortest and longest duration of one watch call to the store, in milliseconds. A lost connection shows
/// only when no response arrives, so this is also how long it may go unnoticed.
const WATCH_RANGE_MS: (Millis, Millis) = (500, 1_500);

/// Number of heartbeat intervals after which news of a reader has usually reached the daemons that rely
/// on it.
const NEWS_HEARTBEATS: Millis = 2;

/// Ages that a view may have, by the time within which a change in the store must be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewBounds {
    in_force_ms: Millis,
}

impl ViewBounds {
    /// Creates the bounds for changes that must be in force within `in_force_ms`.
    pub fn new(in_force_ms: Millis) -> Self {
        ViewBounds { in_force_ms: in_force_ms.min(CONNECTED_MS) }
    }

    /// Returns the greatest age of a view by which a request may be sent while the store is read, in
    /// milliseconds.
    pub fn max_age(self) -> Millis {
        self.in_force_ms.saturating_sub(READ_MS + SEND_MS)
    }

    /// Returns the age up to which a view is current, in milliseconds: that of a reader whose watch has just
    /// ended is.
    pub fn current_age(self) -> Millis {
        let (_, longest_watch) = WATCH_RANGE_MS;
        self.trusted_age().max(longest_watch + READ_MS)
    }

    /// Returns the age of its view after which a daemon that learns of changes from peers begins to read
    /// the store itself, in milliseconds; further ranks wait longer, the last until [`Self::max_age`].
    pub fn trusted_age(self) -> Millis {
        self.max_age().saturating_sub(MAX_RANK_DELAY_MS)
    }
}

/// Additional wait for each further rank at startup, where all daemons would read at once, and
/// its upper bound, in milliseconds.
const STARTUP_RANK_DELAY_MS: Millis = 50;
const MAX_STARTUP_RANK_DELAY_MS: Millis = 500;

/// Interval at which a reader probes an unavailable store, in milliseconds: a server's
/// announcement that it is leaving must be known within two seconds of the end of an outage.
const READER_PROBE_MS: Millis = 200;

/// Shortest and longest probe interval of other daemons, in milliseconds. Readers detect a
/// return within 0.2 s, and the notification reaches all of 300 daemons in some 0.1 s; a daemon
/// that is not notified has 3 s, the shortest time within which the users' hosts must be
/// connected again.
const NON_READER_PROBE_RANGE_MS: (Millis, Millis) = (500, 1_500);

/// Number of consecutive failed probes after which the store counts as unavailable. One may fail
/// while the store is available, if the remote end has closed a kept-alive connection.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// Time for which a daemon that starts in a running fleet waits to receive the store's state
/// from peers, in milliseconds: a handshake and a fetch take some 50 ms.
const RESTART_WAIT_MS: Millis = 300;

/// The same when all of the fleet starts, or while the store is unavailable, in milliseconds:
/// 300 daemons had the table from each other after 0.8 s and the list of servers after 1 s; the
/// host list is read again 1.3 s after the start. Hosts must be connected 3 s after their
/// start.
const FLEET_START_WAIT_MS: Millis = 1_800;

/// Rank of a daemon among the possible readers of the store in its hall, and the delays that
/// follow from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReadPolicy {
    /// Number of peers in the hall that rank before this daemon.
    pub rank: usize,
    /// Number of readers per hall.
    pub readers: usize,
    /// Number of daemons in the fleet, by the platform's list; none while the list may be
    /// incomplete.
    pub fleet: Option<usize>,
    /// Largest fleet in which each daemon reads the store by itself at startup.
    pub small_fleet: usize,
    /// Whether the settings name seed peers.
    pub has_seeds: bool,
    /// Whether this daemon is a seed peer, named in the settings of all daemons.
    pub is_seed: bool,
    /// Number of daemons in the hall, this one included.
    pub hall_size: usize,
    /// Interval of heartbeats, in milliseconds.
    pub heartbeat_ms: Millis,
    /// Ages that a view may have.
    pub bounds: ViewBounds,
}

impl StoreReadPolicy {
    /// Returns whether this daemon reads the store for its hall.
    fn is_reader(&self) -> bool {
        let is_top_ranked = self.rank < self.readers;
        // Before the list is received, each daemon ranks itself first.
        if self.fleet.is_none() && self.has_seeds { self.is_seed } else { is_top_ranked }
    }

    /// Returns the rank after the readers, counted from 1; 0 for readers.
    fn rank_after_readers(&self) -> Millis {
        (self.rank + 1).saturating_sub(self.readers) as Millis
    }

    fn startup_rank_delay(&self) -> Millis {
        (self.rank_after_readers() * STARTUP_RANK_DELAY_MS).min(MAX_STARTUP_RANK_DELAY_MS)
    }

    /// Returns the age of its view, in milliseconds, from which on this daemon reads the store
    /// itself; none for a reader, which watches the store all the time.
    pub fn stale_after(&self) -> Option<Millis> {
        let is_top_ranked = self.rank < self.readers;
        let rank_delay = (self.rank_after_readers() * RANK_DELAY_MS).min(MAX_RANK_DELAY_MS);
        let stale_after = (self.bounds.trusted_age() + rank_delay).min(self.bounds.max_age());
        (!is_top_ranked).then_some(stale_after)
    }

    /// Returns the longest duration of one watch call, in milliseconds: so short that news of readers
    /// reaches the others of the hall before their views are stale, unless it takes fewer calls that
    /// these read the store themselves.
    pub fn watch_ms(&self) -> Millis {
        let (shortest, longest) = WATCH_RANGE_MS;
        let news_ms = NEWS_HEARTBEATS * self.heartbeat_ms;
        let timely = self.bounds.trusted_age().saturating_sub(news_ms).clamp(shortest, longest);
        let followers = self.hall_size.saturating_sub(self.readers) as Millis;
        let calls_of_followers = followers * timely;
        let further_calls_of_readers = self.readers as Millis * (longest - timely);
        if further_calls_of_readers < calls_of_followers { timely } else { longest }
    }

    /// Returns the time, in milliseconds, for which this daemon still relies on peers with a view
    /// of age `view_age`; none if it reads the store itself.
    pub fn time_until_stale(&self, view_age: Option<Millis>) -> Option<Millis> {
        let left = self.stale_after()?.checked_sub(view_age?)?;
        (left > 0).then_some(left)
    }

    /// Returns the time after its start, in milliseconds, for which this daemon waits to receive
    /// the store's state from peers; 0 if it reads the store at once.
    pub fn startup_wait(&self) -> Millis {
        if !self.has_seeds || self.is_seed {
            return 0;
        }
        match self.fleet {
            None => FLEET_START_WAIT_MS + self.startup_rank_delay(),
            Some(daemons) if daemons <= self.small_fleet || self.is_reader() => 0,
            Some(_) => RESTART_WAIT_MS + self.startup_rank_delay(),
        }
    }

    /// Returns the time until the next probe of the store after this many consecutive `failures`,
    /// in milliseconds. `jitter`, a random number from 0 to 1, keeps daemons that lost the store
    /// together from probing it together.
    pub fn probe_interval(&self, failures: u32, jitter: f64) -> Millis {
        if self.is_reader() || failures < UNAVAILABLE_AFTER_FAILURES {
            return READER_PROBE_MS;
        }
        let (shortest, longest) = NON_READER_PROBE_RANGE_MS;
        shortest + ((longest - shortest) as f64 * jitter) as Millis
    }
}
