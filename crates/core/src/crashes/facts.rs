//! What daemons tell each other of crashes. Times are told as ages: no two hosts have the
//! same clock.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Fingerprint, Millis, Name};

/// One start of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerStart {
    /// The server.
    pub name: Name,
    /// When this start began, in milliseconds since 1970; 0 where nobody tells.
    pub started_ms: Millis,
}

impl ServerStart {
    /// Key by which the daemons that have something to do with it are found.
    pub fn key(&self) -> u64 {
        xxh3_64(self.name.as_str().as_bytes()) ^ self.started_ms
    }
}

/// A server that has crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The start of it that is gone.
    pub server: ServerStart,
    /// How long ago its connections broke, in milliseconds.
    pub age_ms: Millis,
    /// Requests that it was running, as far as the teller knows.
    #[serde(rename = "aboard")]
    pub running: BTreeSet<Fingerprint>,
}

/// Word that a request does not crash its servers: crashes before it don't count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cleared {
    /// The request.
    pub request: Fingerprint,
    /// How long ago it ended well, or an operator lifted its block, in milliseconds.
    pub age_ms: Millis,
}

/// A request that runs nowhere any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// The request.
    pub request: Fingerprint,
    /// How long ago it was blocked, in milliseconds.
    pub age_ms: Millis,
    /// Servers that crashed under it.
    pub servers: Vec<Name>,
}

/// Facts for a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFacts {
    /// Servers that have crashed.
    pub crashes: Vec<Crash>,
    /// Requests that don't crash their servers.
    pub cleared: Vec<Cleared>,
    /// Requests that run nowhere any more.
    pub blocks: Vec<Block>,
}

impl CrashFacts {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.blocks.is_empty()
    }

    /// The same facts, told so much later.
    #[must_use]
    pub fn aged(mut self, by: Millis) -> Self {
        self.crashes.iter_mut().for_each(|crash| crash.age_ms += by);
        self.cleared.iter_mut().for_each(|cleared| cleared.age_ms += by);
        self.blocks.iter_mut().for_each(|block| block.age_ms += by);
        self
    }

    /// Adds other facts; what is new of one crash is told as one.
    pub fn add(&mut self, other: &CrashFacts) {
        for crash in &other.crashes {
            match self.crashes.iter_mut().find(|known| known.server == crash.server) {
                Some(known) => known.running.extend(&crash.running),
                None => self.crashes.push(crash.clone()),
            }
        }
        self.cleared.extend(&other.cleared);
        self.blocks.extend(other.blocks.iter().cloned());
    }
}
