//! Limits in force, as known to one daemon.
//!
//! Responses can arrive out of order, on one daemon and between daemons. A stricter limit takes
//! effect at once. A laxer limit takes effect only if the request of its response was sent after
//! the stricter limit had been received, because only then is it certainly the newer one.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;
use crate::crashes::ServerInstance;
use crate::limits::{LimitHeader, RequestRate};

/// Longest time that a fact is in transit between daemons, in milliseconds. The ages in a fact
/// don't include this time. Calls that take longer time out.
pub const MAX_TRANSIT_MS: Millis = 300;

/// Retention of lifted limits and of limits of unlisted servers, in milliseconds: longer than
/// messages are in transit and server lists lag.
const RETENTION_MS: Millis = 60_000;

/// Limit announced in a response of one server instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitFact {
    /// Server instance that sent the response.
    pub server: ServerInstance,
    /// Announced limit; `None` when the server has no limit any more.
    pub limit: Option<RequestRate>,
    /// Time since the request of that response was sent, in milliseconds.
    #[serde(rename = "asked_age_ms")]
    pub request_age_ms: Millis,
    /// Time since the last response with this limit was received, in milliseconds.
    #[serde(rename = "heard_age_ms")]
    pub received_age_ms: Millis,
}

/// A change of a server's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitChange {
    /// Previous limit.
    pub before: Option<RequestRate>,
    /// Current limit.
    pub fact: LimitFact,
}

/// Limit of one server instance, with the times of the request and of the response.
#[derive(Debug, Clone, Copy)]
struct KnownLimit {
    limit: Option<RequestRate>,
    sent_at: Millis,
    received_at: Millis,
}

impl KnownLimit {
    fn fact(&self, now: Millis, server: &ServerInstance) -> LimitFact {
        LimitFact {
            server: server.clone(),
            limit: self.limit,
            request_age_ms: now.saturating_sub(self.sent_at),
            received_age_ms: now.saturating_sub(self.received_at),
        }
    }
}

/// Limits that one daemon knows, by server instance.
#[derive(Debug, Clone, Default)]
pub struct LimitTracker {
    known: HashMap<ServerInstance, KnownLimit>,
    /// See [`LimitTracker::digest`].
    digest: u64,
}

impl LimitTracker {
    /// Records the limit header of a response received at `now` to a request sent at `sent_at`.
    /// Returns the change, if the limit has changed.
    pub fn record_response(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        sent_at: Millis,
        header: &LimitHeader,
    ) -> Option<LimitChange> {
        let limit = match header {
            LimitHeader::Unreadable(_) => return None,
            LimitHeader::Absent => None,
            LimitHeader::Limit(rate) => Some(*rate),
        };
        let known = self.known.get(server);
        let is_older =
            known.is_some_and(|known| is_laxer(limit, known.limit) && sent_at < known.received_at);
        if is_older || known.is_none() && limit.is_none() {
            return None;
        }
        self.update(now, server, KnownLimit { limit, sent_at, received_at: now })
    }

    /// Merges facts received from a peer; returns the limits that have changed.
    pub fn merge(&mut self, now: Millis, facts: &[LimitFact]) -> Vec<LimitChange> {
        facts.iter().filter_map(|fact| self.merge_fact(now, fact)).collect()
    }

    fn merge_fact(&mut self, now: Millis, fact: &LimitFact) -> Option<LimitChange> {
        let received = KnownLimit {
            limit: fact.limit,
            sent_at: now.saturating_sub(fact.request_age_ms),
            received_at: now.saturating_sub(fact.received_age_ms),
        };
        let is_new = match self.known.get(&fact.server) {
            None => received.limit.is_some(),
            Some(known) if is_laxer(received.limit, known.limit) => {
                received.sent_at > known.received_at + MAX_TRANSIT_MS
            }
            Some(known) => received.received_at + MAX_TRANSIT_MS >= known.sent_at,
        };
        is_new.then(|| self.update(now, &fact.server, received)).flatten()
    }

    /// Replaces what is known of the server, or refreshes its times if the limit is the same.
    fn update(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        update: KnownLimit,
    ) -> Option<LimitChange> {
        let known =
            self.known.entry(server.clone()).or_insert(KnownLimit { limit: None, ..update });
        let before = known.limit;
        if before == update.limit {
            known.sent_at = known.sent_at.max(update.sent_at);
            known.received_at = known.received_at.max(update.received_at);
            return None;
        }
        *known = update;
        self.digest ^= digest_term(server, before) ^ digest_term(server, update.limit);
        Some(LimitChange { before, fact: update.fact(now, server) })
    }

    /// Returns the limit of this server instance.
    pub fn limit(&self, server: &ServerInstance) -> Option<RequestRate> {
        self.known.get(server)?.limit
    }

    /// Returns what is known of this server instance, for peers.
    pub fn fact(&self, now: Millis, server: &ServerInstance) -> Option<LimitFact> {
        self.known.get(server).map(|known| known.fact(now, server))
    }

    /// Returns up to `max_count` facts, starting with the one at `offset` and wrapping around.
    pub fn facts(&self, now: Millis, max_count: usize, offset: usize) -> Vec<LimitFact> {
        let start = offset % self.known.len().max(1);
        let rotated = self.known.iter().skip(start).chain(self.known.iter().take(start));
        rotated.take(max_count).map(|(server, known)| known.fact(now, server)).collect()
    }

    /// Returns whether no limit is stored, neither one in force nor a lifted one.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns an order-independent hash of all limits in force, equal on all daemons that know the
    /// same limits; 0 if there are none.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Removes lifted limits and the limits of unlisted servers when their retention has ended.
    pub fn remove_expired(&mut self, now: Millis, is_listed: impl Fn(&ServerInstance) -> bool) {
        let digest = &mut self.digest;
        self.known.retain(|server, known| {
            let is_recent = now.saturating_sub(known.received_at) < RETENTION_MS;
            let is_kept = is_recent || known.limit.is_some() && is_listed(server);
            *digest ^= if is_kept { 0 } else { digest_term(server, known.limit) };
            is_kept
        });
    }
}

/// Returns whether `limit` allows more requests than `other`.
fn is_laxer(limit: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    match (limit, other) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(limit), Some(other)) => limit > other,
    }
}

/// Contribution of one limit to the digest; 0 without a limit.
fn digest_term(server: &ServerInstance, limit: Option<RequestRate>) -> u64 {
    let Some(limit) = limit else { return 0 };
    let mut buf = server.name.as_str().as_bytes().to_vec();
    buf.extend_from_slice(&server.started_ms.to_le_bytes());
    buf.extend_from_slice(&limit.per_second().to_le_bytes());
    xxh3_64(&buf)
}
