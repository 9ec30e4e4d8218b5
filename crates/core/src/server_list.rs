//! The platform's list of backend servers, as one daemon knows it.
//!
//! The list comes as a whole or as changes, from the platform or from a peer.
//! While the platform is away, entries of servers that live may lapse there:
//! they are back soon after its return. An entry that is missing right after
//! an outage is therefore kept for [`LAPSE_GRACE_MS`].

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::{Millis, Name};

/// How long after the platform's return a missing entry is still believed, in
/// milliseconds: servers that live write their entry anew within two seconds.
pub const LAPSE_GRACE_MS: Millis = 2_000;

/// A server is news when it is cold for so much longer or shorter than was known, in
/// milliseconds: its word is up to a heartbeat of 1.2 s old when it is read.
const COLD_NEWS_MS: Millis = 1_500;

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// The server's name; another start may have the same one.
    pub name: Name,
    /// When this start began, in milliseconds since 1970; 0 where nobody tells.
    #[serde(default)]
    pub started_ms: Millis,
    /// The service that it belongs to.
    pub service: Name,
    /// Its address, IP number and port.
    pub address: String,
    /// The hall that it stands in.
    pub hall: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// How much longer it was cold when it said so, in milliseconds.
    #[serde(default)]
    pub cold_for_ms: Millis,
}

/// What the platform says of its list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServerChanges {
    /// Version of the list after these changes.
    pub at: u64,
    /// Whether `put` is the whole list, so that what is not in it is gone.
    pub whole: bool,
    /// Entries that are new or have changed.
    pub put: Vec<ListedServer>,
    /// Entries that were removed.
    pub gone: Vec<Gone>,
    /// Entries that can't be read: they name no server to use.
    pub unreadable: Vec<Unreadable>,
}

/// An entry that was removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// The server.
    pub name: Name,
    /// The start of it that the entry told of, as [`ListedServer::started_ms`].
    pub started_ms: Millis,
}

/// An entry that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Unreadable {
    /// The entry's name, if that can be read.
    pub name: Option<Name>,
    /// What is wrong, with the path of the field.
    pub problem: String,
}

/// Version of a daemon's list; a greater one replaces a smaller one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ListVersion {
    /// The platform's version of which the list has all changes; 0 before the
    /// first list.
    pub at: u64,
    /// Entries that lapsed since, each known to be gone only when its grace was
    /// over, at the same version of the platform.
    pub drops: u32,
}

impl ListVersion {
    /// Whether there is a list at all.
    pub fn is_some(self) -> bool {
        self.at > 0
    }
}

/// An entry as daemons tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedServer {
    /// The server.
    pub server: ListedServer,
    /// Time until it is dropped, for one whose entry is missing after an outage.
    /// It is there for those who still have it; to others it is gone.
    pub dropped_in: Option<Millis>,
    /// How much longer it is cold.
    pub cold_in: Millis,
}

#[derive(Debug, Clone, Serialize)]
struct Entry {
    server: ListedServer,
    /// Until when it is cold, by this daemon's clock.
    cold_until: Millis,
    /// When it is dropped, if it does not come back before.
    dropped_at: Option<Millis>,
}

impl Entry {
    /// Whether what the platform tells of the server now is what is known already: an entry
    /// that counts down how long its server is cold, or says that it is warm when that was
    /// expected, is no news. Each version of the list goes whole to every daemon: with a
    /// version for each server that turned warm, 300 daemons before 3,000 servers sent half
    /// as many bytes more.
    fn says_the_same(&self, now: Millis, told: &ListedServer) -> bool {
        if self.server == *told {
            return true;
        }
        let but_for_cold = ListedServer { cold_for_ms: self.server.cold_for_ms, ..told.clone() };
        let known = self.cold_until.max(now);
        self.server == but_for_cold && known.abs_diff(now + told.cold_for_ms) <= COLD_NEWS_MS
    }
}

/// The list.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ServerList {
    version: ListVersion,
    entries: BTreeMap<Name, Entry>,
    grace_until: Millis,
}

impl ServerList {
    /// Version of the last change.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Every server that may still be there.
    pub fn servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Every server that may still be there, and until when it is cold.
    pub fn servers_with_cold(&self) -> impl Iterator<Item = (&ListedServer, Millis)> {
        self.entries.values().map(|entry| (&entry.server, entry.cold_until))
    }

    /// Takes in that the platform answers again after it was away.
    pub fn platform_returned(&mut self, now: Millis) {
        self.grace_until = now + LAPSE_GRACE_MS;
    }

    /// Takes in changes that the platform told; returns whether any server
    /// has changed for a request's choice.
    pub fn apply(&mut self, now: Millis, changes: ServerChanges) -> bool {
        let mut changed = false;
        if changes.whole {
            let missing: Vec<Name> = self.missing_from(&changes);
            missing.iter().for_each(|name| changed |= self.remove(now, name));
        }
        for gone in &changes.gone {
            if self.started_ms(&gone.name).is_none_or(|known| known <= gone.started_ms) {
                changed |= self.remove(now, &gone.name);
            }
        }
        for name in changes.unreadable.iter().filter_map(|entry| entry.name.as_ref()) {
            // No grace: the platform has an entry, and it names no server.
            changed |= self.entries.remove(name).is_some();
        }
        for server in changes.put {
            changed |= self.put(now, server);
        }
        if changed || !self.version.is_some() {
            self.version = self.version.max(ListVersion { at: changes.at, drops: 0 });
        }
        changed
    }

    /// The list for a peer.
    pub fn shared(&self, now: Millis) -> Vec<SharedServer> {
        let shared = |entry: &Entry| SharedServer {
            server: entry.server.clone(),
            dropped_in: entry.dropped_at.map(|at| at.saturating_sub(now)),
            cold_in: entry.cold_until.saturating_sub(now),
        };
        self.entries.values().map(shared).collect()
    }

    /// Takes the whole list of a peer, if it is newer; returns whether it was.
    ///
    /// Entries that lapse at the peer are kept only where they are known: this
    /// daemon may have heard before that they are gone for good.
    pub fn adopt(&mut self, now: Millis, version: ListVersion, servers: Vec<SharedServer>) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        let old = std::mem::take(&mut self.entries);
        let is_known = |shared: &SharedServer| {
            shared.dropped_in.is_none() || old.contains_key(&shared.server.name)
        };
        let entry = |shared: SharedServer| {
            let dropped_at = shared.dropped_in.map(|left| now + left);
            let told =
                Entry { cold_until: now + shared.cold_in, dropped_at, server: shared.server };
            let known = old.get(&told.server.name);
            let is_later = |known: &&Entry| known.server.started_ms > told.server.started_ms;
            let entry = known.filter(is_later).cloned().unwrap_or(told);
            (entry.server.name.clone(), entry)
        };
        self.entries = servers.into_iter().filter(is_known).map(entry).collect();
        true
    }

    /// Drops entries whose grace is over; returns whether there were any.
    pub fn drop_lapsed(&mut self, now: Millis) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.dropped_at.is_none_or(|at| now < at));
        let dropped = before - self.entries.len();
        // Peers that have the list from this daemon have to hear of it.
        self.version.drops += dropped as u32;
        dropped > 0
    }

    /// Time until the grace of the first missing entry is over.
    pub fn next_drop(&self, now: Millis) -> Option<Millis> {
        let drops = self.entries.values().filter_map(|entry| entry.dropped_at);
        drops.min().map(|at| at.saturating_sub(now))
    }

    fn missing_from(&self, whole: &ServerChanges) -> Vec<Name> {
        let put = whole.put.iter().map(|server| &server.name);
        let unreadable = whole.unreadable.iter().filter_map(|entry| entry.name.as_ref());
        let named: BTreeSet<&Name> = put.chain(unreadable).collect();
        self.entries.keys().filter(|name| !named.contains(name)).cloned().collect()
    }

    fn started_ms(&self, name: &Name) -> Option<Millis> {
        self.entries.get(name).map(|entry| entry.server.started_ms)
    }

    fn put(&mut self, now: Millis, server: ListedServer) -> bool {
        if self.started_ms(&server.name).is_some_and(|known| known > server.started_ms) {
            return false;
        }
        if let Some(known) = self.entries.get_mut(&server.name)
            && known.says_the_same(now, &server)
        {
            known.server = server;
            known.dropped_at = None;
            return false;
        }
        let cold_until = now + server.cold_for_ms;
        self.entries.insert(server.name.clone(), Entry { server, cold_until, dropped_at: None });
        true
    }

    fn remove(&mut self, now: Millis, name: &Name) -> bool {
        if now >= self.grace_until {
            return self.entries.remove(name).is_some();
        }
        let grace_until = self.grace_until;
        if let Some(entry) = self.entries.get_mut(name) {
            entry.dropped_at.get_or_insert(grace_until);
        }
        false
    }
}
