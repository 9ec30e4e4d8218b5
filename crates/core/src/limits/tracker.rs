//! What is known of the limits that servers name.
//!
//! Answers pass each other, on one daemon and between daemons. What is stricter is taken at
//! once; what is laxer, only on the word of an answer whose request was sent after the
//! stricter word had come: it can't be the older of the two.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;
use crate::crashes::ServerStart;
use crate::limits::{LimitHeader, RequestRate};

/// How much younger a fact may seem than it is, in milliseconds: nobody counts the time for
/// which it is under way between daemons. A call that takes longer is given up.
pub const MAX_TRANSIT_MS: Millis = 300;

/// How long it is remembered that a limit was lifted, and a limit of a server that nobody
/// lists, in milliseconds: longer than words are under way and lists lag.
const RETENTION_MS: Millis = 60_000;

/// What an answer of one start of a server has said.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitFact {
    /// The server.
    pub server: ServerStart,
    /// Its limit; none when it names none any more.
    pub limit: Option<RequestRate>,
    /// How long ago the request of that answer was sent, in milliseconds.
    pub asked_age_ms: Millis,
    /// How long ago the answer, or the last that said the same, came, in milliseconds.
    #[serde(rename = "heard_age_ms")]
    pub received_age_ms: Millis,
}

/// A limit that is not what it was.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// The limit before.
    pub before: Option<RequestRate>,
    /// What is known now.
    pub fact: LimitFact,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    limit: Option<RequestRate>,
    asked_at: Millis,
    received_at: Millis,
}

impl Known {
    fn fact(&self, now: Millis, server: &ServerStart) -> LimitFact {
        LimitFact {
            server: server.clone(),
            limit: self.limit,
            asked_age_ms: now.saturating_sub(self.asked_at),
            received_age_ms: now.saturating_sub(self.received_at),
        }
    }
}

/// The limits that one daemon knows.
#[derive(Debug, Clone, Default)]
pub struct LimitTracker {
    known: HashMap<ServerStart, Known>,
    /// See [`LimitTracker::digest`].
    digest: u64,
}

impl LimitTracker {
    /// Takes in the head of an answer that came now to a request sent at `asked_at`.
    pub fn record_response(
        &mut self,
        now: Millis,
        server: &ServerStart,
        asked_at: Millis,
        word: &LimitHeader,
    ) -> Option<LimitChange> {
        let limit = match word {
            LimitHeader::Malformed(_) => return None,
            LimitHeader::Absent => None,
            LimitHeader::Limit(rate) => Some(*rate),
        };
        let known = self.known.get(server);
        let is_older =
            known.is_some_and(|known| is_laxer(limit, known.limit) && asked_at < known.received_at);
        if is_older || known.is_none() && limit.is_none() {
            return None;
        }
        self.put(now, server, Known { limit, asked_at, received_at: now })
    }

    /// Takes in what a peer has told; returns what is new.
    pub fn merge(&mut self, now: Millis, facts: &[LimitFact]) -> Vec<LimitChange> {
        facts.iter().filter_map(|fact| self.merge_one(now, fact)).collect()
    }

    fn merge_one(&mut self, now: Millis, fact: &LimitFact) -> Option<LimitChange> {
        let told = Known {
            limit: fact.limit,
            asked_at: now.saturating_sub(fact.asked_age_ms),
            received_at: now.saturating_sub(fact.received_age_ms),
        };
        let is_newer = match self.known.get(&fact.server) {
            None => told.limit.is_some(),
            Some(known) if is_laxer(told.limit, known.limit) => {
                told.asked_at > known.received_at + MAX_TRANSIT_MS
            }
            Some(known) => told.received_at + MAX_TRANSIT_MS >= known.asked_at,
        };
        is_newer.then(|| self.put(now, &fact.server, told)).flatten()
    }

    fn put(&mut self, now: Millis, server: &ServerStart, said: Known) -> Option<LimitChange> {
        let known = self.known.entry(server.clone()).or_insert(Known { limit: None, ..said });
        let before = known.limit;
        if before == said.limit {
            known.asked_at = known.asked_at.max(said.asked_at);
            known.received_at = known.received_at.max(said.received_at);
            return None;
        }
        *known = said;
        self.digest ^= hash(server, before) ^ hash(server, said.limit);
        Some(LimitChange { before, fact: said.fact(now, server) })
    }

    /// The limit of this start of a server.
    pub fn limit(&self, server: &ServerStart) -> Option<RequestRate> {
        self.known.get(server)?.limit
    }

    /// What is known of this start of a server.
    pub fn fact(&self, now: Millis, server: &ServerStart) -> Option<LimitFact> {
        self.known.get(server).map(|known| known.fact(now, server))
    }

    /// What is known of up to `most` servers, from place `turn` on.
    pub fn facts(&self, now: Millis, most: usize, turn: usize) -> Vec<LimitFact> {
        let start = turn % self.known.len().max(1);
        let around = self.known.iter().skip(start).chain(self.known.iter().take(start));
        around.take(most).map(|(server, known)| known.fact(now, server)).collect()
    }

    /// Whether no server is known to have a limit, or to have had one of late.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Hash of all limits in force; 0 when there are none. Two daemons that know the same
    /// limits have the same one.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Forgets limits that were lifted long ago, and servers that nobody lists any more.
    pub fn forget_old(&mut self, now: Millis, is_listed: impl Fn(&ServerStart) -> bool) {
        let digest = &mut self.digest;
        self.known.retain(|server, known| {
            let is_recent = now.saturating_sub(known.received_at) < RETENTION_MS;
            let is_kept = is_recent || known.limit.is_some() && is_listed(server);
            *digest ^= if is_kept { 0 } else { hash(server, known.limit) };
            is_kept
        });
    }
}

/// Whether the first limit lets more through than the second.
fn is_laxer(limit: Option<RequestRate>, than: Option<RequestRate>) -> bool {
    match (limit, than) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(limit), Some(than)) => limit > than,
    }
}

/// What a limit adds to the digest; nothing where there is none.
fn hash(server: &ServerStart, limit: Option<RequestRate>) -> u64 {
    let Some(limit) = limit else { return 0 };
    let mut buf = server.name.as_str().as_bytes().to_vec();
    buf.extend_from_slice(&server.started_ms.to_le_bytes());
    buf.extend_from_slice(&limit.per_second().to_le_bytes());
    xxh3_64(&buf)
}
