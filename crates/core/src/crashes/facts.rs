//! Facts about crashes that daemons exchange. Times are sent as ages because the clocks of hosts
//! differ.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Fingerprint, Millis, Name};

/// One instance of a backend server: one run of its process. A restart makes a new instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerInstance {
    /// Name of the server.
    pub name: Name,
    /// Time at which this instance was started, in milliseconds since 1970; 0 if unknown.
    pub started_ms: Millis,
}

impl ServerInstance {
    /// Returns the rendezvous hashing key that selects the daemons responsible for this
    /// instance.
    pub fn key(&self) -> u64 {
        xxh3_64(self.name.as_str().as_bytes()) ^ self.started_ms
    }
}

/// Crash of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Server instance that crashed.
    pub server: ServerInstance,
    /// Time since its connections broke, in milliseconds.
    pub age_ms: Millis,
    /// Requests that it was running, as far as the sender knows.
    #[serde(rename = "aboard")]
    pub running: BTreeSet<Fingerprint>,
}

/// Clearance of a request: earlier crashes don't count against it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cleared {
    /// Cleared request.
    pub request: Fingerprint,
    /// Time since it succeeded or an operator lifted its block, in milliseconds.
    pub age_ms: Millis,
}

/// Block of a request that crashed servers; no host sends it any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    /// Blocked request.
    pub request: Fingerprint,
    /// Time since it was blocked, in milliseconds.
    pub age_ms: Millis,
    /// Servers that crashed while running it.
    pub servers: Vec<Name>,
}

/// Facts sent to a peer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFacts {
    /// Crashes of servers.
    pub crashes: Vec<Crash>,
    /// Clearances of requests.
    pub cleared: Vec<Cleared>,
    /// Blocks of requests.
    pub blocks: Vec<Block>,
}

impl CrashFacts {
    /// Returns whether there are no facts.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.blocks.is_empty()
    }

    /// Returns the facts with all ages increased by `by` milliseconds, the time for which they
    /// waited to be sent.
    #[must_use]
    pub fn aged(mut self, by: Millis) -> Self {
        self.crashes.iter_mut().for_each(|crash| crash.age_ms += by);
        self.cleared.iter_mut().for_each(|cleared| cleared.age_ms += by);
        self.blocks.iter_mut().for_each(|block| block.age_ms += by);
        self
    }

    /// Adds other facts; reports of the same crash are merged into one.
    pub fn merge(&mut self, other: &CrashFacts) {
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
