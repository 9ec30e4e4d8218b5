//! Server instances that have announced that they are leaving.
//!
//! The announcement is final: only a later instance of the server accepts requests again.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;
use crate::crashes::ServerInstance;
use crate::hints::UNLISTED_RETENTION_MS;

/// A server instance that has announced that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingFact {
    /// The server instance.
    pub server: ServerInstance,
    /// Time since its first announcement, in milliseconds.
    pub age_ms: Millis,
}

/// The leaving server instances that one daemon knows.
#[derive(Debug, Clone, Default)]
pub struct LeavingServers {
    /// Time of the first announcement of each instance.
    known: HashMap<ServerInstance, Millis>,
    digest: u64,
}

impl LeavingServers {
    /// Returns whether this instance is leaving.
    pub fn contains(&self, server: &ServerInstance) -> bool {
        self.known.contains_key(server)
    }

    /// Adds an instance that announced `age_ms` ago that it is leaving; returns whether it is new.
    pub fn add(&mut self, now: Millis, server: &ServerInstance, age_ms: Millis) -> bool {
        if self.contains(server) {
            return false;
        }
        self.known.insert(server.clone(), now.saturating_sub(age_ms));
        self.digest ^= digest_term(server);
        true
    }

    /// Merges facts from a peer; returns the new ones. An unlisted instance that is old enough to
    /// be removed by [`LeavingServers::remove_expired`] is not added again.
    pub fn merge(
        &mut self,
        now: Millis,
        facts: &[LeavingFact],
        is_listed: impl Fn(&ServerInstance) -> bool,
    ) -> Vec<LeavingFact> {
        let is_kept =
            |fact: &&LeavingFact| fact.age_ms < UNLISTED_RETENTION_MS || is_listed(&fact.server);
        let kept = facts.iter().filter(is_kept);
        kept.filter(|fact| self.add(now, &fact.server, fact.age_ms)).cloned().collect()
    }

    /// Returns up to `max_count` instances, beginning at position `offset` and wrapping around.
    pub fn facts(&self, now: Millis, max_count: usize, offset: usize) -> Vec<LeavingFact> {
        let first = offset % self.known.len().max(1);
        let rotated = self.known.iter().skip(first).chain(self.known.iter().take(first));
        let fact = |(server, at): (&ServerInstance, &Millis)| LeavingFact {
            server: server.clone(),
            age_ms: now.saturating_sub(*at),
        };
        rotated.take(max_count).map(fact).collect()
    }

    /// Returns whether no leaving server is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns an order-independent hash of all instances; 0 if there are none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Removes instances that are unlisted and announced at least 600 s ago that they are leaving.
    pub fn remove_expired(&mut self, now: Millis, is_listed: impl Fn(&ServerInstance) -> bool) {
        let digest = &mut self.digest;
        self.known.retain(|server, at| {
            let is_kept = now.saturating_sub(*at) < UNLISTED_RETENTION_MS || is_listed(server);
            *digest ^= if is_kept { 0 } else { digest_term(server) };
            is_kept
        });
    }
}

fn digest_term(server: &ServerInstance) -> u64 {
    let mut buf = b"leaving ".to_vec();
    buf.extend_from_slice(server.name.as_str().as_bytes());
    buf.extend_from_slice(&server.started_ms.to_le_bytes());
    xxh3_64(&buf)
}
