//! Records of the versions of streams, each until its stream can't go on any more.

use std::collections::{BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{Millis, Name};

/// Maximum number of records; with the index by expiry each takes some 120 bytes.
pub const MAX_RECORDS: usize = 65_536;

/// Identity of a stream on all daemons: a hash of its service, its workspace and the identifier of
/// the caller's attempt that received its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream whose first event this attempt has received.
    pub fn of(service: &Name, workspace: Option<&Name>, attempt: &str) -> Self {
        let mut hash = Xxh3::new();
        for part in [service.as_str(), workspace.map_or("", Name::as_str), attempt] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        StreamKey(hash.digest())
    }

    /// Returns the hash by which daemons are selected that keep a record of the stream.
    pub fn hash(self) -> u64 {
        self.0
    }
}

/// Origin of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// This daemon has carried the stream.
    Own,
    /// A peer has told it.
    Peer,
}

#[derive(Debug, Clone)]
struct Record {
    /// `None` after two versions were recorded.
    version: Option<Name>,
    source: Source,
    recorded_at: Millis,
    expires_at: Millis,
}

/// Result of a search for a stream's record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// The version, the origin of the record and its age in milliseconds.
    Recorded(Name, Source, Millis),
    /// Two versions were recorded.
    Contradictory,
    /// There is no record.
    Unknown,
}

/// Records of one daemon.
#[derive(Debug, Clone, Default)]
pub struct StreamRecords {
    records: HashMap<StreamKey, Record>,
    by_expiry: BTreeSet<(Millis, StreamKey)>,
    /// Number of records that were removed early because there were too many.
    evicted: u64,
}

impl StreamRecords {
    /// Records the version of a stream that can go on for `life_ms`. A second version makes the
    /// record contradictory for good.
    pub fn record(
        &mut self,
        now: Millis,
        key: StreamKey,
        version: &Name,
        source: Source,
        life_ms: Millis,
    ) {
        self.remove_expired(now);
        let expires_at = now + life_ms;
        let known = self.records.remove(&key);
        let record = match known {
            None => Record { version: Some(version.clone()), source, recorded_at: now, expires_at },
            Some(known) => {
                self.by_expiry.remove(&(known.expires_at, key));
                let version = known.version.filter(|known| known == version);
                Record { version, expires_at: known.expires_at.max(expires_at), ..known }
            }
        };
        self.by_expiry.insert((record.expires_at, key));
        self.records.insert(key, record);
        if self.records.len() > MAX_RECORDS {
            self.remove_first();
            self.evicted += 1;
        }
    }

    /// Returns what is recorded of a stream.
    pub fn lookup(&self, now: Millis, key: StreamKey) -> Lookup {
        match self.records.get(&key).filter(|record| now < record.expires_at) {
            None => Lookup::Unknown,
            Some(Record { version: None, .. }) => Lookup::Contradictory,
            Some(Record { version: Some(version), source, recorded_at, .. }) => {
                Lookup::Recorded(version.clone(), *source, now.saturating_sub(*recorded_at))
            }
        }
    }

    /// Removes the records of streams that can't go on any more.
    pub fn remove_expired(&mut self, now: Millis) {
        while self.by_expiry.first().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.remove_first();
        }
    }

    /// Removes the record that expires first.
    fn remove_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.records.remove(&key);
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of records that were removed early because there were too many.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }
}
