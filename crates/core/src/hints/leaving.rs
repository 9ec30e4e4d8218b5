//! Starts of servers that have said that they leave.
//!
//! The set only grows while a start lives: nothing but another start of the server ends it.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;
use crate::crashes::ServerStart;
use crate::hints::HOLD_MS;

/// A start of a server that has said that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingFact {
    /// The server.
    pub server: ServerStart,
    /// How long ago it said so first, in milliseconds.
    pub age_ms: Millis,
}

/// The starts that one daemon knows to be leaving.
#[derive(Debug, Clone, Default)]
pub struct LeavingServers {
    /// When each said so first.
    known: HashMap<ServerStart, Millis>,
    digest: u64,
}

impl LeavingServers {
    /// Whether this start leaves.
    pub fn contains(&self, server: &ServerStart) -> bool {
        self.known.contains_key(server)
    }

    /// Adds a start that said `age_ms` ago that it leaves; returns whether that is new.
    pub fn add(&mut self, now: Millis, server: &ServerStart, age_ms: Millis) -> bool {
        if self.contains(server) {
            return false;
        }
        self.known.insert(server.clone(), now.saturating_sub(age_ms));
        self.digest ^= hash(server);
        true
    }

    /// Adds what a peer has told; returns what is new. A start that nobody lists here is not
    /// added again once it would be forgotten.
    pub fn merge(
        &mut self,
        now: Millis,
        facts: &[LeavingFact],
        is_listed: impl Fn(&ServerStart) -> bool,
    ) -> Vec<LeavingFact> {
        let is_kept = |fact: &&LeavingFact| fact.age_ms < HOLD_MS || is_listed(&fact.server);
        let kept = facts.iter().filter(is_kept);
        kept.filter(|fact| self.add(now, &fact.server, fact.age_ms)).cloned().collect()
    }

    /// Up to `most` starts, from place `turn` on.
    pub fn facts(&self, now: Millis, most: usize, turn: usize) -> Vec<LeavingFact> {
        let first = turn % self.known.len().max(1);
        let around = self.known.iter().skip(first).chain(self.known.iter().take(first));
        let fact = |(server, at): (&ServerStart, &Millis)| LeavingFact {
            server: server.clone(),
            age_ms: now.saturating_sub(*at),
        };
        around.take(most).map(fact).collect()
    }

    /// Whether no server is known to leave.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Hash of all of them, whatever their order; 0 when there are none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Forgets starts that nobody lists any more.
    pub fn forget_old(&mut self, now: Millis, is_listed: impl Fn(&ServerStart) -> bool) {
        let digest = &mut self.digest;
        self.known.retain(|server, at| {
            let is_kept = now.saturating_sub(*at) < HOLD_MS || is_listed(server);
            *digest ^= if is_kept { 0 } else { hash(server) };
            is_kept
        });
    }
}

fn hash(server: &ServerStart) -> u64 {
    let mut buf = b"leaving ".to_vec();
    buf.extend_from_slice(server.name.as_str().as_bytes());
    buf.extend_from_slice(&server.started_ms.to_le_bytes());
    xxh3_64(&buf)
}
