//! How current a daemon's table, server list and list of evacuated halls are.
//!
//! A daemon that watches the store knows both up to its last answer. One that
//! learns from peers is as current as the peer whose versions it has caught up
//! with, less the age that the peer told. Who is not current enough asks the
//! store itself, so that nobody depends on peers that are cut off from it.

use serde::Serialize;

use crate::Millis;

/// When an answer of the store was true at the latest: as it came, or as it was asked for if
/// it took longer than `longest_ms`. A host that stood still meanwhile finds answers waiting
/// that are as old as its sleep, and took them for new.
pub fn answer_time(asked_at: Millis, came_at: Millis, longest_ms: Millis) -> Millis {
    if came_at.saturating_sub(asked_at) > longest_ms { asked_at } else { came_at }
}

/// Until when the table and the lists are known to be complete.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Freshness {
    table_at: Option<Millis>,
    servers_at: Option<Millis>,
    halls_at: Option<Millis>,
    follows_halls: bool,
}

impl Freshness {
    /// Nothing is known yet. `follows_halls` tells whether the list of halls that take no
    /// new work counts too.
    pub fn new(follows_halls: bool) -> Self {
        Freshness { follows_halls, ..Freshness::default() }
    }

    /// The store told the table as it stood at `at`.
    pub fn record_table_read(&mut self, at: Millis) {
        self.table_at = self.table_at.max(Some(at));
    }

    /// The store told the server list as it stood at `at`.
    pub fn record_servers_read(&mut self, at: Millis) {
        self.servers_at = self.servers_at.max(Some(at));
    }

    /// The store told the list of halls as it stood at `at`.
    pub fn record_halls_read(&mut self, at: Millis) {
        self.halls_at = self.halls_at.max(Some(at));
    }

    /// A peer that knows nothing newer is this current.
    pub fn record_peer_sync(&mut self, now: Millis, age: Millis) {
        let at = now.saturating_sub(age);
        self.record_table_read(at);
        self.record_servers_read(at);
        self.record_halls_read(at);
    }

    /// Age of the oldest of them; none before all were told once.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let mut at = self.table_at?.min(self.servers_at?);
        if self.follows_halls {
            at = at.min(self.halls_at?);
        }
        Some(now.saturating_sub(at))
    }

    /// Whether what is known may be older than `limit`.
    pub fn is_older_than(&self, limit: Millis, now: Millis) -> bool {
        self.age(now).is_none_or(|age| age > limit)
    }
}
