//! How current a daemon's table and server list are.
//!
//! A daemon that watches the store knows both up to its last answer. One that
//! learns from peers is as current as the peer whose versions it has caught up
//! with, less the age that the peer told. Who is not current enough asks the
//! store itself, so that nobody depends on peers that are cut off from it.

use serde::Serialize;

use crate::Millis;

/// Until when the table and the server list are known to be complete.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Freshness {
    table_at: Option<Millis>,
    servers_at: Option<Millis>,
}

impl Freshness {
    /// The store told the table as it stood at `at`.
    pub fn table_read(&mut self, at: Millis) {
        self.table_at = self.table_at.max(Some(at));
    }

    /// The store told the server list as it stood at `at`.
    pub fn servers_read(&mut self, at: Millis) {
        self.servers_at = self.servers_at.max(Some(at));
    }

    /// A peer that knows nothing newer is this current.
    pub fn caught_up(&mut self, now: Millis, age: Millis) {
        let at = now.saturating_sub(age);
        self.table_read(at);
        self.servers_read(at);
    }

    /// Age of the older of the two; none before both were told once.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let at = self.table_at?.min(self.servers_at?);
        Some(now.saturating_sub(at))
    }

    /// Whether what is known may be older than `limit`.
    pub fn is_older_than(&self, limit: Millis, now: Millis) -> bool {
        self.age(now).is_none_or(|age| age > limit)
    }
}
