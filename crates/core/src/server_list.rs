//! The platform's list of backend servers, as one daemon knows it.
//!
//! The list comes as a whole or as changes, from the platform or from a peer.
//! While the platform is away, entries of servers that live may lapse there:
//! they are back soon after its return. An entry that is missing right after
//! an outage is therefore kept for [`LAPSE_GRACE_MS`].

mod update;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

pub use update::ListUpdate;

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
    pub gone: Vec<RemovedServer>,
    /// Entries that can't be read: they name no server to use.
    pub unreadable: Vec<Unreadable>,
}

/// An entry that was removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedServer {
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
    /// Version of the platform's list at which it changed last here.
    changed_at: u64,
}

impl Entry {
    /// This entry of a peer, or what this daemon knows already: of a later start, or of what it
    /// has read since. A later start of which the peer has not heard lapses with the earlier one.
    fn merged_with(self, known: Option<&Entry>) -> Entry {
        let Some(known) = known else { return self };
        let is_read_since = known.changed_at > self.changed_at;
        if known.server.started_ms > self.server.started_ms {
            let lapses = self.dropped_at.filter(|_| !is_read_since);
            return Entry { dropped_at: known.dropped_at.or(lapses), ..known.clone() };
        }
        let is_same_start = known.server.started_ms == self.server.started_ms;
        if is_same_start && is_read_since { known.clone() } else { self }
    }

    /// Whether what the platform tells of the server now is what is known already: an entry
    /// that counts down how long its server is cold, or says that it is warm when that was
    /// expected, is no news: each version of the list goes to every daemon.
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
    /// Entries that were removed, and at which version of the platform's list.
    removed: VecDeque<(u64, RemovedServer)>,
    /// The version of the platform's list from which on all changes are known.
    changes_from: u64,
    /// The version up to which this daemon has read the platform's list itself.
    read_to: u64,
    /// See [`ServerList::needs_full_list`].
    is_doubtful: bool,
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
    pub fn servers_with_cold_until(&self) -> impl Iterator<Item = (&ListedServer, Millis)> {
        self.entries.values().map(|entry| (&entry.server, entry.cold_until))
    }

    /// Takes in that the platform answers again after it was away.
    pub fn start_lapse_grace(&mut self, now: Millis) {
        self.grace_until = now + LAPSE_GRACE_MS;
    }

    /// Takes in changes that the platform told; returns whether any server
    /// has changed for a request's choice.
    pub fn apply(&mut self, now: Millis, changes: ServerChanges) -> bool {
        let mut changed = false;
        self.read_to = self.read_to.max(changes.at);
        // Whoever has an older version than this one has not seen them.
        let at = changes.at.max(self.version.at);
        if changes.whole {
            let missing: Vec<Name> = self.missing_from(&changes);
            for name in missing {
                changed |= self.remove(now, at, RemovedServer { name, started_ms: Millis::MAX });
            }
        }
        for gone in &changes.gone {
            match self.started_ms(&gone.name) {
                // It came and went between two reads; peers may have seen it.
                None => self.remember_removed(at, gone.clone()),
                Some(known) if known == gone.started_ms => {
                    changed |= self.remove(now, at, gone.clone());
                }
                // No grace: the start that is known was over before.
                Some(known) if known < gone.started_ms => changed |= self.erase(at, gone.clone()),
                Some(_) => {}
            }
        }
        for name in changes.unreadable.iter().filter_map(|entry| entry.name.as_ref()) {
            // No grace: the platform has an entry, and it names no server.
            changed |=
                self.erase(at, RemovedServer { name: name.clone(), started_ms: Millis::MAX });
        }
        for server in changes.put {
            changed |= self.put(now, at, server);
        }
        if changed || !self.version.is_some() {
            self.version = self.version.max(ListVersion { at: changes.at, drops: 0 });
        }
        if changes.whole {
            // What came and went before is not known.
            self.forget_changes(at);
        }
        changed
    }

    /// The list for a peer.
    pub fn shared(&self, now: Millis) -> Vec<SharedServer> {
        self.entries.values().map(|entry| entry.shared(now)).collect()
    }

    /// Takes the whole list of a peer, if it is newer; returns whether it was.
    ///
    /// Entries that lapse at the peer are kept only where they are known: this
    /// daemon may have heard before that they are gone for good.
    pub fn adopt(&mut self, now: Millis, version: ListVersion, servers: Vec<SharedServer>) -> bool {
        let replaces = self.is_doubtful && version == self.version;
        if !replaces && (version <= self.version || self.has_read(version)) {
            return false;
        }
        self.is_doubtful = false;
        self.version = version;
        self.forget_changes(version.at + u64::from(version.drops > 0));
        let old = std::mem::take(&mut self.entries);
        let is_known = |shared: &SharedServer| {
            shared.dropped_in.is_none() || old.contains_key(&shared.server.name)
        };
        let entry = |shared: SharedServer| {
            let dropped_at = shared.dropped_in.map(|left| now + left);
            let told = Entry {
                cold_until: now + shared.cold_in,
                dropped_at,
                server: shared.server,
                changed_at: version.at,
            };
            let known = old.get(&told.server.name);
            let entry = if replaces { told } else { told.merged_with(known) };
            (entry.server.name.clone(), entry)
        };
        self.entries = servers.into_iter().filter(is_known).map(entry).collect();
        true
    }

    /// Whether this daemon has read all of a peer's version from the platform itself, with
    /// changes that came and went since: the peer's list would bring them back.
    fn has_read(&mut self, version: ListVersion) -> bool {
        let has_read = version.at <= self.read_to;
        if has_read {
            self.version = self.version.max(version);
        }
        has_read
    }

    /// Drops entries whose grace is over; returns whether there were any.
    pub fn drop_lapsed(&mut self, now: Millis) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.dropped_at.is_none_or(|at| now < at));
        let dropped = before - self.entries.len();
        // Peers that have the list from this daemon have to hear of it.
        self.version.drops += dropped as u32;
        if dropped > 0 {
            // A drop has no version of the platform.
            self.forget_changes(self.version.at.max(self.read_to) + 1);
        }
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

    fn put(&mut self, now: Millis, at: u64, server: ListedServer) -> bool {
        if self.started_ms(&server.name).is_some_and(|known| known > server.started_ms) {
            return false;
        }
        if let Some(known) = self.entries.get_mut(&server.name)
            && known.says_the_same(now, &server)
        {
            known.server = server;
            // It may have said something else between two reads, and peers have heard that.
            known.changed_at = at;
            // Peers that were told that it lapses have to hear that it is back.
            return known.dropped_at.take().is_some();
        }
        let cold_until = now + server.cold_for_ms;
        let entry = Entry { cold_until, dropped_at: None, changed_at: at, server };
        self.entries.insert(entry.server.name.clone(), entry);
        true
    }

    fn remove(&mut self, now: Millis, at: u64, gone: RemovedServer) -> bool {
        if now >= self.grace_until {
            return self.erase(at, gone);
        }
        let grace_until = self.grace_until;
        if let Some(entry) = self.entries.get_mut(&gone.name) {
            entry.dropped_at.get_or_insert(grace_until);
            entry.changed_at = at;
        }
        false
    }

    /// Removes an entry; peers may know a later start of it than this daemon, up to that of `gone`.
    fn erase(&mut self, at: u64, gone: RemovedServer) -> bool {
        let is_known = self.entries.remove(&gone.name).is_some();
        if is_known {
            self.remember_removed(at, gone);
        }
        is_known
    }
}
