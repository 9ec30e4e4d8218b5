//! What one daemon tells another of the list: what changed since the other's version, and the
//! whole list only where that is not known.

use serde::{Deserialize, Serialize};

use xxhash_rust::xxh3::xxh3_64;

use super::{Entry, ListVersion, ListedServer, RemovedServer, ServerList, SharedServer};
use crate::Millis;

/// Removals that are remembered at most: some 60 bytes each, and more than half of 10,000
/// servers are replaced in a release.
const MOST_REMOVED: usize = 8_192;

/// What a daemon tells of its list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListUpdate {
    /// All of it.
    Whole(Vec<SharedServer>),
    /// What changed.
    Changes {
        /// The version from which on.
        since: ListVersion,
        /// Entries that are new or have changed.
        put: Vec<SharedServer>,
        /// Entries that were removed.
        gone: Vec<RemovedServer>,
        /// [`ServerList::digest`] of the list after them.
        digest: u64,
    },
}

impl ServerList {
    /// What a peer with this version has not seen, and this list's version; none when there is
    /// nothing.
    pub fn update_since(
        &self,
        now: Millis,
        known: ListVersion,
    ) -> Option<(ListVersion, ListUpdate)> {
        if self.version <= known {
            return None;
        }
        // Entries that lapsed are dropped at no version of the platform: lists with the same
        // number of them may differ.
        let has_drops = known.drops > 0 || self.version.drops > 0;
        if !known.is_some() || has_drops || known.at < self.changes_from {
            return Some((self.version, ListUpdate::Whole(self.shared(now))));
        }
        // That an entry lapses has no version of the platform either.
        let is_news = |entry: &&Entry| entry.changed_at > known.at || entry.dropped_at.is_some();
        let changed = self.entries.values().filter(is_news);
        let removed = self.removed.iter().filter(|(at, _)| *at > known.at);
        let news = ListUpdate::Changes {
            since: known,
            put: changed.map(|entry| entry.shared(now)).collect(),
            gone: removed.map(|(_, gone)| gone.clone()).collect(),
            digest: self.digest(),
        };
        Some((self.version, news))
    }

    /// Hash of all entries that don't lapse, whatever their order.
    pub fn digest(&self) -> u64 {
        let staying = self.entries.values().filter(|entry| entry.dropped_at.is_none());
        staying.fold(0, |sum, entry| sum ^ hash(&entry.server))
    }

    /// Whether changes that a peer told have not led to the peer's list: outages and lapses may
    /// hide some. The whole list is to be asked for.
    pub fn needs_full_list(&self) -> bool {
        self.is_doubtful
    }

    /// The version from which on this list is to be told news.
    pub fn version_for_update(&self) -> ListVersion {
        if self.is_doubtful { ListVersion::default() } else { self.version }
    }

    /// Takes what a peer has told, if that is newer and follows on what is known; returns
    /// whether it was.
    pub fn apply_update(&mut self, now: Millis, version: ListVersion, news: ListUpdate) -> bool {
        match news {
            ListUpdate::Whole(servers) => self.adopt(now, version, servers),
            ListUpdate::Changes { since, .. } if since != self.version || version <= since => false,
            ListUpdate::Changes { .. } if self.has_read(version) => false,
            ListUpdate::Changes { put, gone, digest, .. } => {
                for gone in gone {
                    match self.started_ms(&gone.name) {
                        // Others may have seen it.
                        None => self.remember_removed(version.at, gone),
                        Some(known) if known <= gone.started_ms => {
                            self.erase(version.at, gone);
                        }
                        Some(_) => {}
                    }
                }
                for shared in put {
                    self.put_told(now, version.at, shared);
                }
                self.version = version;
                self.is_doubtful = self.digest() != digest;
                true
            }
        }
    }

    fn put_told(&mut self, now: Millis, at: u64, shared: SharedServer) {
        let SharedServer { server, dropped_in, cold_in } = shared;
        let (cold_until, dropped_at) = (now + cold_in, dropped_in.map(|left| now + left));
        let entry = Entry { cold_until, dropped_at, changed_at: at, server };
        let known = self.entries.get(&entry.server.name);
        if dropped_at.is_some() && known.is_none() {
            // It is gone for good here.
            return;
        }
        let entry = entry.merged_with(known);
        self.entries.insert(entry.server.name.clone(), entry);
    }

    pub(super) fn remember_removed(&mut self, at: u64, gone: RemovedServer) {
        self.removed.push_back((at, gone));
        while self.removed.len() > MOST_REMOVED
            && let Some((at, _)) = self.removed.pop_front()
        {
            self.changes_from = self.changes_from.max(at);
        }
    }

    /// Peers with a version below `from` are told the whole list from here on.
    pub(super) fn forget_changes(&mut self, from: u64) {
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

fn hash(server: &ListedServer) -> u64 {
    let mut buf = server.name.as_str().as_bytes().to_vec();
    buf.extend_from_slice(&server.started_ms.to_le_bytes());
    buf.extend_from_slice(server.address.as_bytes());
    buf.push(u8::from(server.draining));
    xxh3_64(&buf)
}
