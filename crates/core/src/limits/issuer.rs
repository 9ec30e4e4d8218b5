//! Issues permits for requests to servers with a limit.
//!
//! Rendezvous hashing gives each server the same few ranked issuers on all daemons; a daemon asks
//! the first one that answers. Each issuer has its own token bucket and does not coordinate with
//! the others: the first issues at [`ISSUED_FRACTION`] of the limit, the second at a third of
//! that, the third at a ninth. In any network partition the sum is at most 1.3 times the limit.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::crashes::ServerInstance;
use crate::limits::RequestRate;
use crate::{Incarnation, Millis};

/// Number of daemons that issue permits for one server.
pub const ISSUERS_PER_SERVER: usize = 3;

/// Fraction of a limit that is issued. It is below 1 because the time windows of the server and
/// of the issuer differ.
const ISSUED_FRACTION: f64 = 0.9;

/// Rate of an issuer relative to the issuer ranked before it.
const NEXT_ISSUER_FACTOR: f64 = 1.0 / 3.0;

/// Minimum rate, in permits per second. The fleet learns only from a response of the server that
/// a limit of zero or nearly zero was lifted, so some requests must be sent.
const MIN_PER_S: f64 = 1.0 / 30.0;

/// Time for which an issuer that is new at its rank issues at the rate of the next rank, in
/// milliseconds: its predecessor may continue until it learns of the change in membership.
const HANDOVER_MS: Millis = 4_000;

/// Retry delay for a daemon that requested permits from a daemon that is not an issuer, in
/// milliseconds: by then heartbeats have updated its membership.
const NOT_ISSUER_RETRY_MS: Millis = 500;

/// Burst of the first issuer, in permits, so that unevenly spaced requests can use the whole
/// limit. The burst of the other issuers is 1.
const BURST: f64 = 2.0;

/// Burst at high limits, in seconds of the rate; several permits are then issued at once.
const BURST_S: f64 = 0.1;

/// Longest retry delay for a daemon that got no permit, in milliseconds.
const MAX_RETRY_MS: f64 = 10_000.0;

/// Maximum number of permits per request for permits.
pub const MAX_PERMITS_PER_REQUEST: u32 = 64;

/// Time for which an unserved, more urgent request has priority, in milliseconds.
const URGENT_PRIORITY_MS: Millis = 1_000;

/// A less urgent request gets a permit at the latest after the time in which this many permits
/// are issued.
const MAX_SKIPPED_PERMITS: f64 = 10.0;

/// Rank of an issuer among the issuers of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IssuerPosition {
    /// Number of issuers ranked before it.
    pub rank: usize,
    /// Time from which this daemon knows the current membership. For a while after it, other
    /// daemons may still ask an issuer ranked before, or act as one.
    pub since: Millis,
}

/// Request of a daemon for permits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Requesting daemon.
    pub from: Incarnation,
    /// Number of permits that the daemon can use.
    pub permits: u32,
    /// Urgency of the request to be sent; 0 is the most urgent.
    pub urgency: u32,
}

/// Response of an issuer to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Issued {
    /// Number of permits issued.
    pub permits: u32,
    /// Delay before the next request when no permit was issued, in milliseconds.
    pub retry_ms: Millis,
}

/// Token bucket for one server instance.
#[derive(Debug, Clone)]
struct Bucket {
    permits: f64,
    filled_at: Millis,
    rank: usize,
    full_rate_from: Millis,
    /// Next free retry time; retries of daemons that got no permit are spaced out.
    next_retry: f64,
    /// Retry time of each of them. A daemon that asks earlier keeps its time.
    retries: HashMap<Incarnation, f64>,
    /// Highest urgency that recently got no permit, and when.
    unserved: Option<(u32, Millis)>,
    /// Last time that a less urgent request was let through while a more urgent one was unserved.
    less_urgent_served_at: Millis,
}

/// Token buckets of one daemon, by server instance.
#[derive(Debug, Clone, Default)]
pub struct Issuer {
    buckets: HashMap<ServerInstance, Bucket>,
}

impl Issuer {
    /// Issues permits for a server with this limit, or returns a retry delay.
    pub fn issue(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        limit: RequestRate,
        position: IssuerPosition,
        request: PermitRequest,
    ) -> Issued {
        if position.rank >= ISSUERS_PER_SERVER {
            return Issued { permits: 0, retry_ms: NOT_ISSUER_RETRY_MS };
        }
        let bucket =
            self.buckets.entry(server.clone()).or_insert_with(|| Bucket::new(now, position));
        bucket.set_rank(now, position.rank);
        let permits_per_ms = bucket.refill(now, limit);
        let permits = bucket.take(now, permits_per_ms, request);
        let retry_ms =
            if permits > 0 { 0 } else { bucket.retry_after(now, permits_per_ms, request.from) };
        Issued { permits, retry_ms }
    }

    /// Removes the buckets of servers for which `is_limited` is false.
    pub fn retain(&mut self, is_limited: impl Fn(&ServerInstance) -> bool) {
        self.buckets.retain(|server, _| is_limited(server));
    }

    /// Returns the rank and the permits in the bucket for each server of this issuer.
    pub fn levels(&self) -> impl Iterator<Item = (&ServerInstance, usize, f64)> {
        self.buckets.iter().map(|(server, bucket)| (server, bucket.rank, bucket.permits))
    }
}

impl Bucket {
    /// Creates an empty bucket, because it is unknown what an earlier incarnation of this
    /// daemon issued.
    fn new(now: Millis, position: IssuerPosition) -> Self {
        Bucket {
            permits: 0.0,
            filled_at: now,
            rank: position.rank,
            full_rate_from: position.since + HANDOVER_MS,
            next_retry: 0.0,
            retries: HashMap::new(),
            unserved: None,
            less_urgent_served_at: now,
        }
    }

    /// Sets the rank; after a promotion the full rate starts only after the handover time.
    fn set_rank(&mut self, now: Millis, rank: usize) {
        if rank < self.rank {
            self.full_rate_from = now + HANDOVER_MS;
        }
        self.rank = rank;
    }

    /// Refills the bucket up to `now`; returns the rate in permits per millisecond.
    fn refill(&mut self, now: Millis, limit: RequestRate) -> f64 {
        let is_new = now < self.full_rate_from;
        let part = NEXT_ISSUER_FACTOR.powi(self.rank as i32 + i32::from(is_new));
        let per_s = (limit.per_second() * ISSUED_FRACTION).max(MIN_PER_S) * part;
        let burst = if self.rank == 0 && !is_new { BURST } else { 1.0 };
        let capacity = burst.max(per_s * BURST_S);
        let elapsed_s = now.saturating_sub(self.filled_at) as f64 / 1_000.0;
        self.filled_at = self.filled_at.max(now);
        let permits = self.permits + elapsed_s * per_s;
        self.permits = permits.min(capacity);
        let permits_per_ms = per_s / 1_000.0;
        // Permits that overflowed the bucket shorten the wait of the scheduled retries.
        self.next_retry -= (permits - self.permits) / permits_per_ms;
        permits_per_ms
    }

    /// Takes permits for a request; 0 if the bucket is empty or a more urgent request has priority.
    fn take(&mut self, now: Millis, permits_per_ms: f64, request: PermitRequest) -> u32 {
        if self.permits < 1.0 || self.yields_to_urgent(now, permits_per_ms, request.urgency) {
            self.record_unserved(now, request.urgency);
            return 0;
        }
        // At most half of the bucket, because other daemons ask as well.
        let half = (self.permits / 2.0) as u32;
        let permits = request.permits.min(half).clamp(1, MAX_PERMITS_PER_REQUEST);
        self.permits -= f64::from(permits);
        permits
    }

    /// Returns whether a request has to wait because a more urgent one recently got no permit.
    fn yields_to_urgent(&mut self, now: Millis, permits_per_ms: f64, urgency: u32) -> bool {
        let Some((most_urgent, at)) = self.unserved else { return false };
        if urgency <= most_urgent || now > at + URGENT_PRIORITY_MS || self.permits >= BURST {
            return false;
        }
        // Prevents starvation of less urgent requests.
        let is_due = now.saturating_sub(self.less_urgent_served_at) as f64 * permits_per_ms
            >= MAX_SKIPPED_PERMITS;
        if is_due {
            self.less_urgent_served_at = now;
        }
        !is_due
    }

    /// Records that a request of this urgency got no permit.
    fn record_unserved(&mut self, now: Millis, urgency: u32) {
        let is_recent = |(_, at): &(u32, Millis)| now <= at + URGENT_PRIORITY_MS;
        let known = self.unserved.filter(is_recent);
        if known.is_none_or(|(most_urgent, _)| urgency <= most_urgent) {
            self.unserved = Some((urgency, now));
        }
    }

    /// Returns the retry delay for `from`. Retries are spaced by the time to issue one permit.
    fn retry_after(&mut self, now: Millis, permits_per_ms: f64, from: Incarnation) -> Millis {
        let now = now as f64;
        self.retries.retain(|_, slot| *slot > now);
        if let Some(slot) = self.retries.get(&from) {
            return (slot - now).ceil() as Millis;
        }
        let first = now + (1.0 - self.permits).max(0.0) / permits_per_ms;
        let slot = self.next_retry.max(first).min(now + MAX_RETRY_MS);
        self.next_retry = slot + 1.0 / permits_per_ms;
        self.retries.insert(from, slot);
        (slot - now).ceil() as Millis
    }
}
