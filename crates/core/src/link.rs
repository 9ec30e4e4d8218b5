//! How much more the link of this host can carry.
//!
//! The platform spreads callers by a hash, so one host may get several times the
//! requests of others. When its link is full, every packet waits: connections
//! can't be made, streams are late and peers seem gone. A request that is refused
//! at once comes to another host instead.

use crate::Millis;

/// Part of the link that requests may use: the rest is for packets' headers,
/// acknowledgements and calls between daemons.
const USABLE_FRACTION: f64 = 0.8;

/// Bytes that each piece sent costs beyond its own: headers of a packet.
const CHUNK_OVERHEAD_BYTES: f64 = 60.0;

/// How far ahead the link may be promised to requests of each rank, in
/// milliseconds; the last one is for all further ranks. Streams send what they
/// were promised over some seconds, so this is more than packets wait.
const MAX_BACKLOG_MS: [f64; 3] = [1_500.0, 1_000.0, 600.0];

/// Bits in a megabit, and in a byte.
const BITS_PER_MEGABIT: f64 = 1e6;
const BITS_PER_BYTE: f64 = 8.0;

/// The sending side of a link; what comes in is about as much, since a daemon
/// hands on what it gets.
#[derive(Debug, Clone)]
pub struct Link {
    bytes_per_ms: f64,
    reserved_bytes: f64,
    updated_at: Millis,
}

/// What one request sends in all: its body to a server, its answer to the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Traffic {
    /// Bytes of bodies and events.
    pub bytes: u64,
    /// Pieces that they are sent in.
    pub chunks: u64,
}

impl Traffic {
    /// Adds a piece.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes as u64;
        self.chunks += 1;
    }

    fn cost(self) -> f64 {
        self.bytes as f64 + self.chunks as f64 * CHUNK_OVERHEAD_BYTES
    }
}

impl Link {
    /// A link of so many megabits a second.
    pub fn new(mbps: f64) -> Self {
        let bytes_per_ms = mbps * BITS_PER_MEGABIT / BITS_PER_BYTE / 1_000.0 * USABLE_FRACTION;
        Link { bytes_per_ms, reserved_bytes: 0.0, updated_at: 0 }
    }

    /// Time that what is promised takes to be sent, in milliseconds.
    pub fn backlog_ms(&mut self, now: Millis) -> f64 {
        let sent = now.saturating_sub(self.updated_at) as f64 * self.bytes_per_ms;
        self.reserved_bytes = (self.reserved_bytes - sent).max(0.0);
        self.updated_at = self.updated_at.max(now);
        self.reserved_bytes / self.bytes_per_ms
    }

    /// Promises the link to a request of this rank (0 is the highest), unless it
    /// is promised too far ahead already.
    pub fn reserve(&mut self, expected: Traffic, rank: u32, now: Millis) -> bool {
        let last = MAX_BACKLOG_MS.len() - 1;
        let limit = MAX_BACKLOG_MS[(rank as usize).min(last)];
        if self.backlog_ms(now) > limit {
            return false;
        }
        self.reserved_bytes += expected.cost();
        true
    }

    /// Corrects a promise once the request has ended.
    pub fn settle(&mut self, expected: Traffic, sent: Traffic, now: Millis) {
        self.backlog_ms(now);
        self.reserved_bytes = (self.reserved_bytes + sent.cost() - expected.cost()).max(0.0);
    }
}
