//! Incremental replication of the server list between daemons: the changes since the receiver's
//! version, or the full list where these are unknown.

use serde::{Deserialize, Serialize};

use xxhash_rust::xxh3::xxh3_64;

use super::{Entry, ListVersion, ListedServer, RemovedServer, ServerList, SharedServer};
use crate::{Millis, Name};

/// Maximum number of recorded removals: some 60 bytes each, and enough for a release, which
/// replaces more than half of 10,000 servers.
const MAX_RECORDED_REMOVALS: usize = 8_192;

/// An update of the list from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListUpdate {
    /// The full list.
    Whole(Vec<SharedServer>),
    /// Changes to a known version.
    Changes {
        /// The version that the changes apply to.
        since: ListVersion,
        /// New and changed entries.
        put: Vec<SharedServer>,
        /// Removed entries.
        gone: Vec<RemovedServer>,
        /// [`ServerList::digest`] of the list after the changes.
        digest: u64,
    },
}

impl ServerList {
    /// Returns this list's version and the update for a peer at version `known`; none if the
    /// peer is up to date.
    pub fn update_since(
        &self,
        now: Millis,
        known: ListVersion,
    ) -> Option<(ListVersion, ListUpdate)> {
        if self.version <= known {
            return None;
        }
        // Drops have no version of the platform: lists with the same number of drops may differ.
        let has_drops = known.drops > 0 || self.version.drops > 0;
        if !known.is_some() || has_drops || known.at < self.changes_from {
            return Some((self.version, ListUpdate::Whole(self.shared(now))));
        }
        // The start of a grace period has no version of the platform either.
        let is_changed = |entry: &&Entry| entry.changed_at > known.at || entry.dropped_at.is_some();
        let changed = self.entries.values().filter(is_changed);
        let removed = self.removed.iter().filter(|(at, _)| *at > known.at);
        let update = ListUpdate::Changes {
            since: known,
            put: changed.map(|entry| entry.shared(now)).collect(),
            gone: removed.map(|(_, gone)| gone.clone()).collect(),
            digest: self.digest(),
        };
        Some((self.version, update))
    }

    /// Returns an order-independent hash of all entries that are not in their grace period; 0 if
    /// there are none.
    pub fn digest(&self) -> u64 {
        let registered = self.entries.values().filter(|entry| entry.dropped_at.is_none());
        registered.fold(0, |sum, entry| sum ^ entry.digest_term)
    }

    /// Returns whether this list differs from a peer's after the peer's changes were applied:
    /// outages and expired entries may hide changes. The full list must then be requested.
    pub fn needs_full_list(&self) -> bool {
        self.needs_full_list
    }

    /// Returns the version to request an update for; the default version requests the full list.
    pub fn version_for_update(&self) -> ListVersion {
        if self.needs_full_list { ListVersion::default() } else { self.version }
    }

    /// Applies an update from a peer if it is newer and is a full list or starts at this list's
    /// version; returns whether it was applied.
    pub fn apply_update(&mut self, now: Millis, version: ListVersion, update: ListUpdate) -> bool {
        match update {
            ListUpdate::Whole(servers) => self.adopt(now, version, servers),
            ListUpdate::Changes { since, .. } if since != self.version || version <= since => false,
            ListUpdate::Changes { .. } if self.has_read(version) => false,
            ListUpdate::Changes { put, gone, digest, .. } => {
                for gone in gone {
                    match self.started_ms(&gone.name) {
                        // Other peers may have seen it.
                        None => self.record_removal(version.at, gone),
                        Some(known) if known <= gone.started_ms => {
                            self.remove_now(version.at, gone);
                        }
                        Some(_) => {}
                    }
                }
                for shared in put {
                    self.put_shared(now, version.at, shared);
                }
                self.version = version;
                self.needs_full_list = self.digest() != digest;
                true
            }
        }
    }

    /// Adds or merges one entry received from a peer.
    fn put_shared(&mut self, now: Millis, platform_version: u64, shared: SharedServer) {
        let SharedServer { server, dropped_in, cold_in } = shared;
        let (cold_until, dropped_at) = (now + cold_in, dropped_in.map(|left| now + left));
        let entry = Entry::new(server, cold_until, dropped_at, platform_version);
        let known = self.entries.get(&entry.server.name);
        if dropped_at.is_some() && known.is_none() {
            // This daemon has already removed it.
            return;
        }
        let entry = entry.merged_with(known);
        self.entries.insert(entry.server.name.clone(), entry);
    }

    pub(super) fn record_removal(&mut self, platform_version: u64, gone: RemovedServer) {
        self.removed.push_back((platform_version, gone));
        while self.removed.len() > MAX_RECORDED_REMOVALS
            && let Some((at, _)) = self.removed.pop_front()
        {
            self.changes_from = self.changes_from.max(at);
        }
    }

    /// Discards the recorded removals: peers with a version below `from` now receive the full
    /// list.
    pub(super) fn discard_removals(&mut self, from: u64) {
        self.removed.clear();
        self.changes_from = from;
    }
}

impl Entry {
    pub(super) fn shared(&self, now: Millis) -> SharedServer {
        SharedServer {
            server: self.server.clone(),
            dropped_in: self.dropped_at.map(|at| at.saturating_sub(now)),
            cold_in: self.cold_until.saturating_sub(now),
        }
    }
}

/// Returns the part of one entry in [`ServerList::digest`].
pub(super) fn digest_term(server: &ListedServer) -> u64 {
    let mut buf = server.name.as_str().as_bytes().to_vec();
    buf.extend_from_slice(&server.started_ms.to_le_bytes());
    buf.extend_from_slice(server.address.as_bytes());
    buf.extend_from_slice(server.version.as_ref().map_or("", Name::as_str).as_bytes());
    buf.push(u8::from(server.draining));
    xxh3_64(&buf)
}
