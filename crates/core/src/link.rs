//! Admission control for the network link of this host.
//!
//! The platform distributes callers by a hash, so one host may get several times the
//! requests of others. When its link is full, every packet waits: connections can't be
//! made, streams are late and peers appear to be down. A request that is refused at once
//! is retried on another host instead.

use crate::Millis;

/// Fraction of the link that requests may use; the rest is for packet headers,
/// acknowledgements and calls between daemons.
const USABLE_FRACTION: f64 = 0.8;

/// Bytes that each chunk costs beyond its payload, for packet headers.
const CHUNK_OVERHEAD_BYTES: f64 = 60.0;

/// Longest backlog of reserved traffic at which a request of each priority rank is
/// accepted, in milliseconds of sending time; the last value applies to all further ranks.
/// Streams send their reserved bytes over some seconds, so packets wait for less than this.
const MAX_BACKLOG_MS: [f64; 3] = [1_500.0, 1_000.0, 600.0];

/// Factors from megabits per second to bytes per second.
const BITS_PER_MEGABIT: f64 = 1e6;
const BITS_PER_BYTE: f64 = 8.0;

/// Reservations of the sending side of a link. Incoming traffic is about the same, since a
/// daemon forwards what it receives.
#[derive(Debug, Clone)]
pub struct Link {
    bytes_per_ms: f64,
    reserved_bytes: f64,
    updated_at: Millis,
}

/// Traffic that one request sends in total: its body to a server and its response to the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Traffic {
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
        let bytes_per_ms = mbps * BITS_PER_MEGABIT / BITS_PER_BYTE / 1_000.0 * USABLE_FRACTION;
        Link { bytes_per_ms, reserved_bytes: 0.0, updated_at: 0 }
    }

    /// Returns the time that sending the reserved bytes takes, in milliseconds.
    pub fn backlog_ms(&mut self, now: Millis) -> f64 {
        let sent = now.saturating_sub(self.updated_at) as f64 * self.bytes_per_ms;
        self.reserved_bytes = (self.reserved_bytes - sent).max(0.0);
        self.updated_at = self.updated_at.max(now);
        self.reserved_bytes / self.bytes_per_ms
    }

    /// Reserves the expected traffic of a request of this priority rank (0 is the highest).
    /// Returns `false`, without a reservation, when the backlog is above the rank's limit.
    pub fn reserve(&mut self, expected: Traffic, rank: u32, now: Millis) -> bool {
        let last = MAX_BACKLOG_MS.len() - 1;
        let limit = MAX_BACKLOG_MS[(rank as usize).min(last)];
        if self.backlog_ms(now) > limit {
            return false;
        }
        self.reserved_bytes += expected.cost();
        true
    }

    /// Replaces a request's reservation by the traffic that it has sent, once it has ended.
    pub fn settle(&mut self, expected: Traffic, sent: Traffic, now: Millis) {
        self.backlog_ms(now);
        self.reserved_bytes = (self.reserved_bytes + sent.cost() - expected.cost()).max(0.0);
    }
}
