//! When callers come back that no server has a permit for.

use std::collections::HashMap;

use crate::{Millis, Name};

/// Longest time after which a caller is told to come back, in milliseconds: few wait longer.
const MAX_MS: f64 = 5_000.0;

/// The callers that one daemon has told to come back, by service.
#[derive(Debug, Clone, Default)]
pub struct RetrySchedule {
    next: HashMap<Name, f64>,
}

impl RetrySchedule {
    /// When the next caller comes back, in milliseconds from now: `first_ms` at the earliest,
    /// and each after the one before by its share of what the servers take. Beyond the
    /// longest time `seed` spreads them.
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
        if slot >= now + MAX_MS {
            let spread = seed as f64 / u64::MAX as f64;
            return (MAX_MS * (0.5 + 0.5 * spread)) as Millis;
        }
        *next = slot + (1_000.0 / share_per_s).min(MAX_MS);
        (slot - now).ceil() as Millis
    }
}
