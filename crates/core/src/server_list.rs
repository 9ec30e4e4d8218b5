//! One daemon's replica of the platform's list of backend servers.
//!
//! Updates are full lists or changes, received from the platform or from a peer.
//! During an outage of the platform, entries of live servers may expire there and
//! are registered again soon after its return. An entry that is missing right after
//! an outage is therefore kept for [`GRACE_PERIOD_MS`].

mod update;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

pub use update::ListUpdate;

use crate::{Millis, Name};

/// Time after the platform's return for which a missing entry is kept, in
/// milliseconds: live servers rewrite their entry within two seconds.
pub const GRACE_PERIOD_MS: Millis = 2_000;

/// Largest difference between the expected and the reported end of a server's cold start that
/// is not a change, in milliseconds: a report is up to one heartbeat of 1.2 s old when it is read.
const COLD_TOLERANCE_MS: Millis = 1_500;

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// The server's name; a later instance of the server may have the same one.
    pub name: Name,
    /// Time at which this instance was started, in milliseconds since 1970; 0 if unknown.
    #[serde(default)]
    pub started_ms: Millis,
    /// The service that it belongs to.
    pub service: Name,
    /// Version of its software; `None` if unknown.
    #[serde(default)]
    pub version: Option<Name>,
    /// Its address, IP number and port.
    pub address: String,
    /// The hall that it is located in.
    pub hall: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Remaining time of its cold start when the entry was written, in milliseconds.
    #[serde(default)]
    pub cold_for_ms: Millis,
}

/// An update of the list from the platform.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServerChanges {
    /// Version of the list after these changes.
    pub at: u64,
    /// Whether `put` is the full list, so that entries missing from it are removed.
    pub whole: bool,
    /// New and changed entries.
    pub put: Vec<ListedServer>,
    /// Removed entries.
    pub gone: Vec<RemovedServer>,
    /// Entries that can't be parsed; their servers are not used.
    pub unreadable: Vec<Unreadable>,
}

/// A removed entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedServer {
    /// The server.
    pub name: Name,
    /// Start time of the instance in the entry, as [`ListedServer::started_ms`].
    pub started_ms: Millis,
}

/// An entry that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Unreadable {
    /// The entry's name, if it can be parsed.
    pub name: Option<Name>,
    /// The error, with the path of the field.
    pub problem: String,
}

/// Version of a daemon's list; a greater one replaces a smaller one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ListVersion {
    /// The platform's version up to which the list has all changes; 0 before the
    /// first list.
    pub at: u64,
    /// Number of entries dropped since then because their grace period ended without a new
    /// version of the platform.
    pub drops: u32,
}

impl ListVersion {
    /// Returns whether a list was received.
    pub fn is_some(self) -> bool {
        self.at > 0
    }
}

/// An entry as daemons exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedServer {
    /// The server.
    pub server: ListedServer,
    /// Time until it is dropped, in milliseconds, if it is missing after an outage. Receivers
    /// that have the entry keep it until then; others treat it as removed.
    pub dropped_in: Option<Millis>,
    /// Remaining time of its cold start, in milliseconds.
    pub cold_in: Millis,
}

#[derive(Debug, Clone, Serialize)]
struct Entry {
    server: ListedServer,
    /// End of its cold start, by this daemon's clock.
    cold_until: Millis,
    /// Time at which it is dropped unless it is registered again before.
    dropped_at: Option<Millis>,
    /// Version of the platform's list at which it last changed in this replica.
    changed_at: u64,
    /// This entry's part of [`ServerList::digest`], which each exchange of changes computes.
    #[serde(skip)]
    digest_term: u64,
}

impl Entry {
    fn new(
        server: ListedServer,
        cold_until: Millis,
        dropped_at: Option<Millis>,
        changed_at: u64,
    ) -> Self {
        let digest_term = update::digest_term(&server);
        Entry { server, cold_until, dropped_at, changed_at, digest_term }
    }

    /// Merges this entry, received from a peer, with the local one. The local entry wins if it
    /// describes a later instance, or the same instance at a later version. A later instance that
    /// is unknown to the peer inherits the drop time of the earlier one.
    fn merged_with(self, known: Option<&Entry>) -> Entry {
        let Some(known) = known else { return self };
        let is_read_since = known.changed_at > self.changed_at;
        if known.server.started_ms > self.server.started_ms {
            let inherited = self.dropped_at.filter(|_| !is_read_since);
            return Entry { dropped_at: known.dropped_at.or(inherited), ..known.clone() };
        }
        let is_same_start = known.server.started_ms == self.server.started_ms;
        if is_same_start && is_read_since { known.clone() } else { self }
    }

    /// Returns whether the platform's entry `update` is no change to this one. An entry that only
    /// counts down the cold start, or ends it at the expected time, is no change: each version of
    /// the list is sent to every daemon.
    fn is_unchanged_by(&self, now: Millis, update: &ListedServer) -> bool {
        if self.server == *update {
            return true;
        }
        let with_known_cold =
            ListedServer { cold_for_ms: self.server.cold_for_ms, ..update.clone() };
        let known = self.cold_until.max(now);
        self.server == with_known_cold
            && known.abs_diff(now + update.cold_for_ms) <= COLD_TOLERANCE_MS
    }
}

/// One daemon's replica of the server list.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ServerList {
    version: ListVersion,
    entries: BTreeMap<Name, Entry>,
    grace_until: Millis,
    /// Removed entries, with the version of the platform's list at which each was removed.
    removed: VecDeque<(u64, RemovedServer)>,
    /// First version of the platform's list from which on all changes are known.
    changes_from: u64,
    /// Version up to which this daemon has read the list from the platform itself.
    read_to: u64,
    /// See [`ServerList::needs_full_list`].
    #[serde(rename = "is_doubtful")]
    needs_full_list: bool,
}

impl ServerList {
    /// Returns the version of the last change.
    pub fn version(&self) -> ListVersion {
        self.version
    }

    /// Iterates over all servers, including those in their grace period.
    pub fn servers(&self) -> impl Iterator<Item = &ListedServer> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Iterates over all servers, including those in their grace period, each with the end of
    /// its cold start.
    pub fn servers_with_cold_until(&self) -> impl Iterator<Item = (&ListedServer, Millis)> {
        self.entries.values().map(|entry| (&entry.server, entry.cold_until))
    }

    /// Starts the grace period for missing entries when the platform answers again after an
    /// outage.
    pub fn start_grace_period(&mut self, now: Millis) {
        self.grace_until = now + GRACE_PERIOD_MS;
    }

    /// Applies an update from the platform; returns whether any server has changed in a way that
    /// matters to routing.
    pub fn apply(&mut self, now: Millis, changes: ServerChanges) -> bool {
        let mut changed = false;
        self.read_to = self.read_to.max(changes.at);
        // Peers with an older version than this have not seen these changes.
        let platform_version = changes.at.max(self.version.at);
        if changes.whole {
            let missing: Vec<Name> = self.missing_from(&changes);
            for name in missing {
                changed |= self.remove(
                    now,
                    platform_version,
                    RemovedServer { name, started_ms: Millis::MAX },
                );
            }
        }
        for gone in &changes.gone {
            match self.started_ms(&gone.name) {
                // It was added and removed between two reads; peers may have seen it.
                None => self.record_removal(platform_version, gone.clone()),
                Some(known) if known == gone.started_ms => {
                    changed |= self.remove(now, platform_version, gone.clone());
                }
                // No grace period: the known instance ended before the removed one.
                Some(known) if known < gone.started_ms => {
                    changed |= self.remove_now(platform_version, gone.clone());
                }
                Some(_) => {}
            }
        }
        for name in changes.unreadable.iter().filter_map(|entry| entry.name.as_ref()) {
            // No grace period: the platform has the entry, but it describes no usable server.
            changed |= self.remove_now(
                platform_version,
                RemovedServer { name: name.clone(), started_ms: Millis::MAX },
            );
        }
        for server in changes.put {
            changed |= self.put(now, platform_version, server);
        }
        if changed || !self.version.is_some() {
            self.version = self.version.max(ListVersion { at: changes.at, drops: 0 });
        }
        if changes.whole {
            // Entries that were added and removed before are unknown.
            self.discard_removals(platform_version);
        }
        changed
    }

    /// Returns the full list for a peer.
    pub fn shared(&self, now: Millis) -> Vec<SharedServer> {
        self.entries.values().map(|entry| entry.shared(now)).collect()
    }

    /// Adopts the full list of a peer if it is newer; returns whether it was.
    ///
    /// Entries in their grace period at the peer are adopted only if they are known here:
    /// otherwise this daemon may already have learned of their removal.
    pub fn adopt(&mut self, now: Millis, version: ListVersion, servers: Vec<SharedServer>) -> bool {
        let replaces = self.needs_full_list && version == self.version;
        if !replaces && (version <= self.version || self.has_read(version)) {
            return false;
        }
        self.needs_full_list = false;
        self.version = version;
        self.discard_removals(version.at + u64::from(version.drops > 0));
        let old = std::mem::take(&mut self.entries);
        let is_known = |shared: &SharedServer| {
            shared.dropped_in.is_none() || old.contains_key(&shared.server.name)
        };
        let entry = |shared: SharedServer| {
            let dropped_at = shared.dropped_in.map(|left| now + left);
            let received = Entry::new(shared.server, now + shared.cold_in, dropped_at, version.at);
            let known = old.get(&received.server.name);
            let entry = if replaces { received } else { received.merged_with(known) };
            (entry.server.name.clone(), entry)
        };
        self.entries = servers.into_iter().filter(is_known).map(entry).collect();
        true
    }

    /// Returns whether this daemon has itself read the platform's list up to a peer's version; if
    /// so, the version is raised to the peer's. The peer's list could restore entries that were
    /// added and removed since.
    fn has_read(&mut self, version: ListVersion) -> bool {
        let has_read = version.at <= self.read_to;
        if has_read {
            self.version = self.version.max(version);
        }
        has_read
    }

    /// Drops entries whose grace period has ended; returns whether there were any.
    pub fn drop_expired(&mut self, now: Millis) -> bool {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.dropped_at.is_none_or(|at| now < at));
        let dropped = before - self.entries.len();
        // Peers that have the list from this daemon need to receive the drops.
        self.version.drops += dropped as u32;
        if dropped > 0 {
            // Drops have no version of the platform.
            self.discard_removals(self.version.at.max(self.read_to) + 1);
        }
        dropped > 0
    }

    /// Returns the time until the first drop, in milliseconds; `None` if no entry will be dropped.
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

    fn put(&mut self, now: Millis, platform_version: u64, server: ListedServer) -> bool {
        if self.started_ms(&server.name).is_some_and(|known| known > server.started_ms) {
            return false;
        }
        if let Some(known) = self.entries.get_mut(&server.name)
            && known.is_unchanged_by(now, &server)
        {
            known.server = server;
            // Peers may have received a different entry that was written between two reads.
            known.changed_at = platform_version;
            // Peers that received its drop time need to learn that it is registered again.
            return known.dropped_at.take().is_some();
        }
        let cold_until = now + server.cold_for_ms;
        let entry = Entry::new(server, cold_until, None, platform_version);
        self.entries.insert(entry.server.name.clone(), entry);
        true
    }

    /// Removes an entry, after the grace period if one is running; returns whether it was
    /// removed now.
    fn remove(&mut self, now: Millis, platform_version: u64, gone: RemovedServer) -> bool {
        if now >= self.grace_until {
            return self.remove_now(platform_version, gone);
        }
        let grace_until = self.grace_until;
        if let Some(entry) = self.entries.get_mut(&gone.name) {
            entry.dropped_at.get_or_insert(grace_until);
            entry.changed_at = platform_version;
        }
        false
    }

    /// Removes an entry at once; returns whether it was known. The removal is recorded with the
    /// start time in `gone`, since peers may know a later instance than this daemon.
    fn remove_now(&mut self, platform_version: u64, gone: RemovedServer) -> bool {
        let is_known = self.entries.remove(&gone.name).is_some();
        if is_known {
            self.record_removal(platform_version, gone);
        }
        is_known
    }
}
