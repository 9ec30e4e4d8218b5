//! Age of a daemon's table, server list and list of evacuated halls.
//!
//! A daemon that watches the store is current as of the store's last response. One that
//! learns from peers is as current as the peer whose versions it has reached: as of the time
//! of its request to that peer, less the age that the peer reported. A daemon whose view is
//! too old reads the store itself, so that no daemon depends on peers that are cut off from
//! the store.

use serde::Serialize;

use crate::Millis;

/// Returns the time as of which a response of the store counts as current: `received_at`, or
/// `asked_at`, the time of the request, if the call took longer than `longest_ms`. A host that was
/// suspended meanwhile finds queued responses that are as old as the suspension and must not count
/// as new.
pub fn answer_time(asked_at: Millis, received_at: Millis, longest_ms: Millis) -> Millis {
    if received_at.saturating_sub(asked_at) > longest_ms { asked_at } else { received_at }
}

/// Returns the time as of which the response to a watch counts as current if it reports no change
/// after `wait_ms`, the time for which the store was asked to wait: the store gave it no later than
/// that. A response that was delayed on its way counted as new, and a server that had said that it
/// leaves got a request 3.1 s later.
pub fn unchanged_since(
    asked_at: Millis,
    received_at: Millis,
    wait_ms: Millis,
    longest_ms: Millis,
) -> Millis {
    answer_time(asked_at, received_at, longest_ms).min(asked_at + wait_ms)
}

/// Time of an event, which may have happened before this daemon started at 0. If it could not, a
/// daemon that has just started would take an old view of a peer for a recent one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct EventTime(i64);

impl EventTime {
    /// Returns the time of an event that happened `age` before `now`.
    pub fn before(now: Millis, age: Millis) -> Self {
        EventTime(now as i64 - age as i64)
    }

    /// Returns the time from this event to a later one, in milliseconds; 0 if the other is earlier.
    pub fn time_until(self, later: EventTime) -> Millis {
        (later.0 - self.0).max(0) as Millis
    }

    /// Returns the time since the event, in milliseconds; 0 if it is yet to come.
    pub fn age(self, now: Millis) -> Millis {
        (now as i64 - self.0).max(0) as Millis
    }
}

/// Times up to which the table and the lists are known to be complete.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Freshness {
    table_at: Option<EventTime>,
    servers_at: Option<EventTime>,
    halls_at: Option<EventTime>,
    follows_halls: bool,
}

impl Freshness {
    /// Creates a record without reads. `follows_halls` sets whether the list of evacuated halls
    /// counts too.
    pub fn new(follows_halls: bool) -> Self {
        Freshness { follows_halls, ..Freshness::default() }
    }

    /// Records that the table was read from the store as of `at`.
    pub fn record_table_read(&mut self, at: Millis) {
        self.table_at = self.table_at.max(Some(EventTime::before(at, 0)));
    }

    /// Records that the server list was read from the store as of `at`.
    pub fn record_servers_read(&mut self, at: Millis) {
        self.servers_at = self.servers_at.max(Some(EventTime::before(at, 0)));
    }

    /// Records that the list of evacuated halls was read from the store as of `at`.
    pub fn record_halls_read(&mut self, at: Millis) {
        self.halls_at = self.halls_at.max(Some(EventTime::before(at, 0)));
    }

    /// Records that this daemon has all versions of a peer which, asked at `asked_at`, reported
    /// a view of this `age`.
    pub fn record_peer_sync(&mut self, asked_at: Millis, age: Millis) {
        let at = Some(EventTime::before(asked_at, age));
        self.table_at = self.table_at.max(at);
        self.servers_at = self.servers_at.max(at);
        self.halls_at = self.halls_at.max(at);
    }

    /// Returns the age of the oldest part of the view; none before all parts were received.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let mut at = self.table_at?.min(self.servers_at?);
        if self.follows_halls {
            at = at.min(self.halls_at?);
        }
        Some(at.age(now))
    }

    /// Returns whether the view may be older than `limit`; true before all parts were received.
    pub fn is_older_than(&self, limit: Millis, now: Millis) -> bool {
        self.age(now).is_none_or(|age| age > limit)
    }
}
