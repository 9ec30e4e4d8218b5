//! Admission control for the network link of this host.
//!
//! The platform distributes callers by a hash, so one host may get several times the
//! requests of others. When its link is full, every packet waits: connections can't be
//! made, streams are late and peers appear to be down. A request that is refused at once
//! is retried on another host instead.

mod saturation;
mod withdrawal;

pub use saturation::backlog;
use withdrawal::Withdrawal;

use crate::Millis;

/// Fraction of the link that requests may use; the rest is for packet headers,
/// acknowledgements and calls between daemons.
const USABLE_FRACTION: f64 = 0.8;

/// Longest time that bodies may occupy the link when a request of each priority rank is accepted,
/// in milliseconds; the last value applies to all further ranks. Bodies are sent at once, and
/// calls between daemons, some of which time out after 100 ms, wait behind them.
const MAX_BODY_BACKLOG_MS: [f64; 3] = [200.0, 150.0, 100.0];

/// Bytes that each chunk costs beyond its payload, for packet headers.
const CHUNK_OVERHEAD_BYTES: f64 = 60.0;

/// Longest backlog of reserved traffic at which a request of each priority rank is
/// accepted, in milliseconds of sending time; the last value applies to all further ranks.
/// Streams send their reserved bytes over some seconds, so packets wait for less than this.
const MAX_BACKLOG_MS: [f64; 3] = [1_500.0, 1_000.0, 600.0];

/// Factors from megabits per second to bytes per second.
const BITS_PER_MEGABIT: f64 = 1e6;
const BITS_PER_BYTE: f64 = 8.0;

/// Reservations of the sending side of a link. The bodies of refused requests occupy the receiving
/// side alone, and do not count: refusing more for their sake would relieve nothing.
#[derive(Debug, Clone)]
pub struct Link {
    bytes_per_ms: f64,
    /// Bytes of accepted requests that are not sent yet: bodies and answers.
    reserved_bytes: f64,
    /// Bytes of accepted requests' bodies that are not sent yet.
    body_bytes: f64,
    updated_at: Millis,
    withdrawal: Withdrawal,
}

/// Traffic that one request sends in total: its body to a server and its response to the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Traffic {
    /// Bytes of the request's body, a part of `bytes`.
    pub body_bytes: u64,
    /// Bytes of bodies and events.
    pub bytes: u64,
    /// Number of chunks in which they are sent.
    pub chunks: u64,
}

impl Traffic {
    /// Adds one chunk of `bytes` bytes.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.chunks += 1;
    }

    /// Returns the bytes on the link, with packet headers.
    fn cost(self) -> f64 {
        self.bytes as f64 + self.chunks as f64 * CHUNK_OVERHEAD_BYTES
    }
}

impl Link {
    /// Creates a link of `mbps` megabits per second without reservations.
    pub fn new(mbps: f64) -> Self {
        let width = mbps * BITS_PER_MEGABIT / BITS_PER_BYTE / 1_000.0;
        Link {
            bytes_per_ms: width * USABLE_FRACTION,
            reserved_bytes: 0.0,
            body_bytes: 0.0,
            updated_at: 0,
            withdrawal: Withdrawal::new(width),
        }
    }

    /// Removes what the link has carried until `now`.
    fn advance(&mut self, now: Millis) {
        let carried = now.saturating_sub(self.updated_at) as f64 * self.bytes_per_ms;
        self.reserved_bytes = (self.reserved_bytes - carried).max(0.0);
        self.body_bytes = (self.body_bytes - carried).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the time that sending the reserved bytes takes, in milliseconds.
    pub fn backlog_ms(&mut self, now: Millis) -> f64 {
        self.advance(now);
        self.reserved_bytes / self.bytes_per_ms
    }

    /// Returns the time for which bodies occupy the link, in milliseconds.
    pub fn body_backlog_ms(&mut self, now: Millis) -> f64 {
        self.advance(now);
        self.body_bytes / self.bytes_per_ms
    }

    /// Reserves the expected traffic of a request of this priority rank (0 is the highest), before
    /// its body is read. Returns `false`, without a reservation, when a backlog is above the
    /// rank's limit.
    pub fn reserve(&mut self, expected: Traffic, rank: u32, now: Millis) -> bool {
        let limit_of = |limits: [f64; 3]| limits[(rank as usize).min(limits.len() - 1)];
        let is_full = self.backlog_ms(now) > limit_of(MAX_BACKLOG_MS)
            || self.body_backlog_ms(now) > limit_of(MAX_BODY_BACKLOG_MS);
        if !is_full {
            self.reserved_bytes += expected.cost();
            self.body_bytes += expected.body_bytes as f64;
        }
        !is_full
    }

    /// Records traffic that has passed the link in one direction, whether of an accepted or of a
    /// refused request. Returns the duration of the withdrawal from the platform's load balancer
    /// that begins now, if one does.
    pub fn record_passed(&mut self, traffic: Traffic, now: Millis) -> Option<Millis> {
        self.withdrawal.record(traffic.cost(), now)
    }

    /// Returns whether this host is withdrawn from the platform's load balancer.
    pub fn is_withdrawn(&self, now: Millis) -> bool {
        self.withdrawal.is_active(now)
    }

    /// Returns whether the link is so full that calls to other hosts fail for it.
    pub fn is_saturated(&mut self, now: Millis) -> bool {
        self.withdrawal.is_saturated(now)
    }

    /// Replaces a request's reservation by the traffic that it has sent, once it has ended.
    pub fn settle(&mut self, expected: Traffic, sent: Traffic, now: Millis) {
        self.backlog_ms(now);
        self.reserved_bytes = (self.reserved_bytes + sent.cost() - expected.cost()).max(0.0);
        let body_bytes = sent.body_bytes as f64 - expected.body_bytes as f64;
        self.body_bytes = (self.body_bytes + body_bytes).max(0.0);
    }
}
