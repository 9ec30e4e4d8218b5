//! Withdrawal of a host from the platform's load balancer while its link is overloaded.
//!
//! Load pattern: the load balancer sends all new connections of a caller to one host, chosen by a
//! hash. A large caller sends that host more than its link carries, while its neighbours are idle.
//! What is refused there has occupied the link already, so refusals alone never relieve it. While
//! the host is withdrawn, the caller's connections lead to other hosts.

use crate::Millis;

/// Length of the interval over which traffic is counted, in milliseconds: the load balancer asks
/// once a second, and withdraws a host after the second negative answer.
const INTERVAL_MS: Millis = 500;

/// Fraction of the link, in either direction, from which calls between daemons wait behind the
/// traffic of callers and time out.
const SATURATED_FRACTION: f64 = 0.75;

/// Duration of the first withdrawal, and the longest one, in milliseconds. Each that follows soon
/// after another is twice as long.
const FIRST_WITHDRAWAL_MS: Millis = 8_000;
const MAX_WITHDRAWAL_MS: Millis = 16_000;

/// Number of doublings from the first to the longest withdrawal.
const MAX_DOUBLINGS: u32 = (MAX_WITHDRAWAL_MS / FIRST_WITHDRAWAL_MS).ilog2();

/// Time after a withdrawal without overload after which the next one is short again, in
/// milliseconds.
const CALM_MS: Millis = 10_000;

/// Decides when a host is withdrawn.
#[derive(Debug, Clone)]
pub struct Withdrawal {
    /// Bytes that the link carries in one direction in an interval.
    capacity: f64,
    interval_start: Millis,
    bytes: f64,
    /// Whether the link was saturated in the last whole interval.
    is_saturated: bool,
    until: Millis,
    withdrawals: u32,
}

impl Withdrawal {
    /// Creates the state for a link of this many bytes a millisecond.
    pub(super) fn new(bytes_per_ms: f64) -> Self {
        Withdrawal {
            capacity: bytes_per_ms * INTERVAL_MS as f64,
            interval_start: 0,
            bytes: 0.0,
            is_saturated: false,
            until: 0,
            withdrawals: 0,
        }
    }

    /// Records bytes that have passed the link in one direction. Returns the duration of the
    /// withdrawal that begins now, if one does.
    pub(super) fn record(&mut self, bytes: f64, now: Millis) -> Option<Millis> {
        self.advance(now);
        self.bytes += bytes;
        let is_overloaded = self.bytes >= self.capacity * SATURATED_FRACTION;
        self.is_saturated |= is_overloaded;
        if !is_overloaded || now < self.until {
            return None;
        }
        if now >= self.until + CALM_MS {
            self.withdrawals = 0;
        }
        let duration = FIRST_WITHDRAWAL_MS << self.withdrawals.min(MAX_DOUBLINGS);
        self.withdrawals += 1;
        self.until = now + duration;
        Some(duration)
    }

    /// Begins a new interval when the current one is over.
    fn advance(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.interval_start) / INTERVAL_MS;
        if passed > 0 {
            self.is_saturated = passed == 1 && self.bytes >= self.capacity * SATURATED_FRACTION;
            self.interval_start = now;
            self.bytes = 0.0;
        }
    }

    /// Returns whether the host is withdrawn.
    pub(super) fn is_active(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Returns whether the link is saturated now.
    pub(super) fn is_saturated(&mut self, now: Millis) -> bool {
        self.advance(now);
        self.is_saturated
    }
}
