//! Retry delays for callers when no server has a permit.

use std::collections::HashMap;

use crate::{Millis, Name};

/// Longest retry delay given to a caller, in milliseconds: few callers wait longer.
const MAX_DELAY_MS: f64 = 5_000.0;

/// Next free retry time of one daemon, by service.
#[derive(Debug, Clone, Default)]
pub struct RetrySchedule {
    next: HashMap<Name, f64>,
}

impl RetrySchedule {
    /// Returns the retry delay for the next caller, in milliseconds: at least `first_ms`, and
    /// spaced so that callers return at `share_per_s`, this daemon's share of the servers' rate, in
    /// requests per second. Delays that would exceed the maximum are spread over its second half
    /// by `seed`.
    pub fn next_delay(
        &mut self,
        now: Millis,
        service: &Name,
        first_ms: Millis,
        share_per_s: f64,
        seed: u64,
    ) -> Millis {
        let now = now as f64;
        let next = self.next.entry(service.clone()).or_default();
        let slot = next.max(now + first_ms as f64);
        if slot >= now + MAX_DELAY_MS {
            let spread = seed as f64 / u64::MAX as f64;
            return (MAX_DELAY_MS * (0.5 + 0.5 * spread)) as Millis;
        }
        *next = slot + (1_000.0 / share_per_s).min(MAX_DELAY_MS);
        (slot - now).ceil() as Millis
    }
}
