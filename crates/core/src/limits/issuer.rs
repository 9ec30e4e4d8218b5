//! Permits for requests to servers with a limit, as one daemon issues them.
//!
//! All daemons rank the same few of them for each server, by rendezvous hashing, and ask the
//! first that answers. Each of those issues by its own token bucket, without agreement: the
//! first at [`USED_PART`] of the limit, the second at a third of that, the third at a ninth.
//! However the fleet is cut, they add up to 1.3 times the limit at most.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::crashes::ServerStart;
use crate::limits::RequestRate;
use crate::{Incarnation, Millis};

/// Daemons that issue permits for one server.
pub const ISSUERS_PER_SERVER: usize = 3;

/// Part of a limit that is issued: windows of the server and of the issuer differ.
const USED_PART: f64 = 0.9;

/// Each further issuer of a server issues this part of what the one before it does.
const NEXT_PART: f64 = 1.0 / 3.0;

/// Least rate, in permits a second: through an answer of the server alone does the fleet
/// learn that a limit of nothing, or of hardly anything, was lifted.
const LEAST_PER_S: f64 = 1.0 / 30.0;

/// How long an issuer that is new in its rank issues as one of the next, in milliseconds: an
/// earlier one may go on until it hears of the change of the fleet.
const HANDOVER_MS: Millis = 4_000;

/// When a daemon that asked one which issues nothing asks again, in milliseconds: heartbeats
/// have told it of the fleet by then.
const NO_ISSUER_MS: Millis = 500;

/// Permits that the first issuer saves up, so that callers who don't come evenly use the
/// limit; the others save up one.
const SAVED: f64 = 2.0;

/// Permits are saved up for this long at high limits, in seconds, and issued several at once.
const SAVED_S: f64 = 0.1;

/// Longest time after which who got no permit is told to ask again, in milliseconds.
const MAX_RETRY_MS: f64 = 10_000.0;

/// Most permits of one ask.
pub const MAX_PERMITS_PER_REQUEST: u32 = 64;

/// How long who asks for more urgent requests and gets none comes first, in milliseconds.
const URGENT_HOLD_MS: Millis = 1_000;

/// Less urgent requests get a permit at the least each so many times that it takes to issue
/// one.
const LEAST_SHARE: f64 = 10.0;

/// What an issuer is to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IssuerRank {
    /// How many issuers come before it.
    pub rank: usize,
    /// Since when it knows the fleet as it is: until a while later others may still ask, or
    /// be, an earlier issuer.
    pub since: Millis,
}

/// What a daemon asks an issuer for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Who asks.
    pub from: Incarnation,
    /// Permits that it has a use for.
    pub permits: u32,
    /// How urgent the request is, 0 first.
    pub urgency: u32,
}

/// An issuer's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Issued {
    /// Permits.
    pub permits: u32,
    /// With none, when it is worth asking again, in milliseconds.
    pub retry_ms: Millis,
}

#[derive(Debug, Clone)]
struct Bucket {
    permits: f64,
    filled_at: Millis,
    rank: usize,
    full_from: Millis,
    /// When those that got none come back, one after the other.
    next_return: f64,
    /// When each of them does: one that asks before comes back no later for it.
    returns: HashMap<Incarnation, f64>,
    /// The most urgent that got none of late, and when.
    unserved: Option<(u32, Millis)>,
    /// When requests that had to let others go first got a permit last.
    less_urgent_at: Millis,
}

/// The buckets of one daemon.
#[derive(Debug, Clone, Default)]
pub struct Issuer {
    buckets: HashMap<ServerStart, Bucket>,
}

impl Issuer {
    /// Issues permits for a server with this limit.
    pub fn issue(
        &mut self,
        now: Millis,
        server: &ServerStart,
        limit: RequestRate,
        place: IssuerRank,
        wish: PermitRequest,
    ) -> Issued {
        if place.rank >= ISSUERS_PER_SERVER {
            return Issued { permits: 0, retry_ms: NO_ISSUER_MS };
        }
        let bucket = self.buckets.entry(server.clone()).or_insert_with(|| Bucket::new(now, place));
        bucket.take_rank(now, place.rank);
        let per_ms = bucket.fill(now, limit);
        let permits = bucket.take(now, per_ms, wish);
        let retry_ms = if permits > 0 { 0 } else { bucket.retry_after(now, per_ms, wish.from) };
        Issued { permits, retry_ms }
    }

    /// Forgets the buckets of servers for which nobody has asked for long, and of those
    /// without a limit.
    pub fn retain(&mut self, is_limited: impl Fn(&ServerStart) -> bool) {
        self.buckets.retain(|server, _| is_limited(server));
    }

    /// The rank and the permits of each server for which this daemon issues.
    pub fn levels(&self) -> impl Iterator<Item = (&ServerStart, usize, f64)> {
        self.buckets.iter().map(|(server, bucket)| (server, bucket.rank, bucket.permits))
    }
}

impl Bucket {
    /// An empty bucket: what an earlier start has issued is not known.
    fn new(now: Millis, place: IssuerRank) -> Self {
        Bucket {
            permits: 0.0,
            filled_at: now,
            rank: place.rank,
            full_from: place.since + HANDOVER_MS,
            next_return: 0.0,
            returns: HashMap::new(),
            unserved: None,
            less_urgent_at: now,
        }
    }

    fn take_rank(&mut self, now: Millis, rank: usize) {
        if rank < self.rank {
            self.full_from = now + HANDOVER_MS;
        }
        self.rank = rank;
    }

    /// Fills it up to now; returns the permits a millisecond.
    fn fill(&mut self, now: Millis, limit: RequestRate) -> f64 {
        let is_new = now < self.full_from;
        let part = NEXT_PART.powi(self.rank as i32 + i32::from(is_new));
        let per_s = (limit.per_second() * USED_PART).max(LEAST_PER_S) * part;
        let saved = if self.rank == 0 && !is_new { SAVED } else { 1.0 };
        let most = saved.max(per_s * SAVED_S);
        let passed_s = now.saturating_sub(self.filled_at) as f64 / 1_000.0;
        self.filled_at = self.filled_at.max(now);
        let permits = self.permits + passed_s * per_s;
        self.permits = permits.min(most);
        let per_ms = per_s / 1_000.0;
        // Permits that nobody came for: others need not wait for their turn as long.
        self.next_return -= (permits - self.permits) / per_ms;
        per_ms
    }

    fn take(&mut self, now: Millis, per_ms: f64, wish: PermitRequest) -> u32 {
        if self.permits < 1.0 || self.lets_others_first(now, per_ms, wish.urgency) {
            self.remember_unserved(now, wish.urgency);
            return 0;
        }
        // Half of what there is: others come as well.
        let several = (self.permits / 2.0) as u32;
        let permits = wish.permits.min(several).clamp(1, MAX_PERMITS_PER_REQUEST);
        self.permits -= f64::from(permits);
        permits
    }

    fn lets_others_first(&mut self, now: Millis, per_ms: f64, urgency: u32) -> bool {
        let Some((most_urgent, at)) = self.unserved else { return false };
        if urgency <= most_urgent || now > at + URGENT_HOLD_MS || self.permits >= SAVED {
            return false;
        }
        // Nobody waits for ever.
        let is_due = now.saturating_sub(self.less_urgent_at) as f64 * per_ms >= LEAST_SHARE;
        if is_due {
            self.less_urgent_at = now;
        }
        !is_due
    }

    fn remember_unserved(&mut self, now: Millis, urgency: u32) {
        let is_recent = |(_, at): &(u32, Millis)| now <= at + URGENT_HOLD_MS;
        let known = self.unserved.filter(is_recent);
        if known.is_none_or(|(most_urgent, _)| urgency <= most_urgent) {
            self.unserved = Some((urgency, now));
        }
    }

    /// Those that got none come back one after the other, as permits are issued.
    fn retry_after(&mut self, now: Millis, per_ms: f64, from: Incarnation) -> Millis {
        let now = now as f64;
        self.returns.retain(|_, slot| *slot > now);
        if let Some(slot) = self.returns.get(&from) {
            return (slot - now).ceil() as Millis;
        }
        let first = now + (1.0 - self.permits).max(0.0) / per_ms;
        let slot = self.next_return.max(first).min(now + MAX_RETRY_MS);
        self.next_return = slot + 1.0 / per_ms;
        self.returns.insert(from, slot);
        (slot - now).ceil() as Millis
    }
}
