//! Exponentially decaying rate of tokens or requests.

use serde::Serialize;

use crate::{Millis, Tokens};

/// Time constant of the spending rate, in milliseconds.
const RATE_WINDOW_MS: f64 = 10_000.0;

/// Shortest time over which a rate is averaged, in milliseconds: one request alone does
/// not indicate a rate.
const MIN_WINDOW_MS: f64 = 4_000.0;

/// An exponentially decaying rate of counted units.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct Rate {
    sum: f64,
    at: Millis,
    since: Option<Millis>,
}

impl Rate {
    /// Counts `tokens` at the time `now`.
    pub(super) fn add(&mut self, tokens: Tokens, now: Millis) {
        self.sum = self.decayed(now) + tokens as f64;
        self.at = now;
        self.since.get_or_insert(now);
    }

    /// Counts `units` that came evenly during the last `span_ms` milliseconds.
    pub(super) fn add_over(&mut self, units: u64, span_ms: Millis, now: Millis) {
        let span = span_ms as f64 / RATE_WINDOW_MS;
        let remaining = if span_ms == 0 { 1.0 } else { (1.0 - (-span).exp()) / span };
        self.sum = self.decayed(now) + units as f64 * remaining;
        self.at = now;
        let began = now.saturating_sub(span_ms);
        self.since = Some(self.since.map_or(began, |since| since.min(began)));
    }

    /// Returns the decaying sum of all that was counted.
    pub(super) fn sum(&self, now: Millis) -> f64 {
        self.decayed(now)
    }

    /// Counts the decrease of a level from `before` to `level`, or subtracts its increase.
    pub(super) fn record_decrease(&mut self, before: Tokens, level: Tokens, now: Millis) {
        self.add(before.saturating_sub(level), now);
        self.sum = (self.sum - level.saturating_sub(before) as f64).max(0.0);
    }

    /// Takes back `tokens` that were counted at the time `counted_at`.
    pub(super) fn take_back(&mut self, tokens: Tokens, counted_at: Millis) {
        let left = tokens as f64 * decay(self.at.saturating_sub(counted_at));
        self.sum = (self.sum - left).max(0.0);
    }

    /// Returns the time since the last count, in milliseconds.
    pub(super) fn idle_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.at)
    }

    /// Returns the recent rate per second.
    pub(super) fn per_second(&self, now: Millis) -> f64 {
        self.decayed(now) * 1000.0 / self.window(now)
    }

    /// Returns the rate per second as if `tokens` were counted now.
    pub(super) fn per_second_with(mut self, tokens: Tokens, now: Millis) -> f64 {
        self.add(tokens, now);
        self.per_second(now)
    }

    fn decayed(&self, now: Millis) -> f64 {
        self.sum * decay(now.saturating_sub(self.at))
    }

    /// Returns the time span that the sum covers, in milliseconds: less than the whole window
    /// shortly after the first count.
    fn window(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.since.unwrap_or(now));
        let covered = RATE_WINDOW_MS * (1.0 - decay(age));
        covered.max(MIN_WINDOW_MS)
    }
}

/// Returns the part of a count that is left after `age` milliseconds.
fn decay(age: Millis) -> f64 {
    (-(age as f64) / RATE_WINDOW_MS).exp()
}
