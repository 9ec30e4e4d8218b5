//! How fast a budget is spent at this daemon.

use serde::Serialize;

use crate::{Millis, Tokens};

/// Time constant of the spending rate, in milliseconds.
const RATE_WINDOW_MS: f64 = 10_000.0;

/// Spending is judged over this time at least, in milliseconds: one request
/// alone says little of a rate.
const SHORTEST_WINDOW_MS: f64 = 4_000.0;

/// An exponentially decaying rate.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct Rate {
    sum: f64,
    at: Millis,
    since: Option<Millis>,
}

impl Rate {
    /// Counts tokens spent now.
    pub(super) fn add(&mut self, tokens: Tokens, now: Millis) {
        self.sum = self.decayed(now) + tokens as f64;
        self.at = now;
        self.since.get_or_insert(now);
    }

    /// Counts what a level fell by, or takes off what it rose by.
    pub(super) fn record_drop(&mut self, before: Tokens, level: Tokens, now: Millis) {
        self.add(before.saturating_sub(level), now);
        self.sum = (self.sum - level.saturating_sub(before) as f64).max(0.0);
    }

    /// Time since something was counted last, in milliseconds.
    pub(super) fn idle_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.at)
    }

    /// Tokens a second, of late.
    pub(super) fn per_second(&self, now: Millis) -> f64 {
        self.decayed(now) * 1000.0 / self.window(now)
    }

    /// Tokens a second once `tokens` are spent now.
    pub(super) fn per_second_with(mut self, tokens: Tokens, now: Millis) -> f64 {
        self.add(tokens, now);
        self.per_second(now)
    }

    fn decayed(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.sum * (-age / RATE_WINDOW_MS).exp()
    }

    /// The time that the sum stands for: less than the whole window while the
    /// first spending is not long past.
    fn window(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.since.unwrap_or(now)) as f64;
        let seen = RATE_WINDOW_MS * (1.0 - (-age / RATE_WINDOW_MS).exp());
        seen.max(SHORTEST_WINDOW_MS)
    }
}
