//! Rate at which places of a pool become free.

use crate::Millis;
use crate::router::PoolRoom;

/// Time constant of the measured rate, in milliseconds: the goals of the deployed routes are 150 to
/// 1,000 ms, so a rate that is a second old says little about a wait.
const WINDOW_MS: f64 = 300.0;

/// Time for which ends are counted before their rate is used, as a multiple of the time of an
/// answer.
const MIN_OBSERVED_ANSWERS: f64 = 2.0;

/// Decaying count of this daemon's requests that have ended at a pool.
#[derive(Debug, Clone)]
pub(super) struct FreedRate {
    since: Millis,
    counted_at: Millis,
    count: f64,
}

/// Rates at which requests are called, in requests per millisecond.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct CallRates {
    /// Because requests of this daemon end at the pool.
    pub(super) freed: f64,
    /// Because servers no longer count as full.
    pub(super) probed: f64,
}

impl CallRates {
    /// Returns the sum of both rates.
    pub(super) fn total(&self) -> f64 {
        self.freed + self.probed
    }
}

impl FreedRate {
    pub(super) fn new(now: Millis) -> Self {
        FreedRate { since: now, counted_at: now, count: 0.0 }
    }

    /// Counts one request that has ended.
    pub(super) fn record(&mut self, now: Millis) {
        self.count = self.decayed(now) + 1.0;
        self.counted_at = now;
    }

    /// Returns the time of the last count.
    pub(super) fn counted_at(&self) -> Millis {
        self.counted_at
    }

    /// Returns the rates at which requests are called.
    pub(super) fn rates(&self, now: Millis, room: &PoolRoom) -> CallRates {
        let answer_ms = room.answer_ms.max(1.0);
        let observed_ms = now.saturating_sub(self.since) as f64;
        // By Little's law, until enough requests have ended to measure the rate. A measured rate
        // falls when a server stops answering, while its open requests stay.
        let freed = if observed_ms < MIN_OBSERVED_ANSWERS * answer_ms {
            f64::from(room.in_flight) / answer_ms
        } else {
            let covered_ms = WINDOW_MS * (1.0 - (-observed_ms / WINDOW_MS).exp());
            self.decayed(now) / covered_ms
        };
        // A full server is tried once for each mark; a usable one at the pace of its slots.
        let probes = room.full as f64 + f64::from(room.usable_slots);
        CallRates { freed, probed: probes / answer_ms }
    }

    fn decayed(&self, now: Millis) -> f64 {
        let age_ms = now.saturating_sub(self.counted_at) as f64;
        self.count * (-age_ms / WINDOW_MS).exp()
    }
}

/// Returns the time until the request at `position` is expected to be called, in milliseconds.
pub(super) fn expected_wait(position: usize, rates: CallRates, room: &PoolRoom) -> f64 {
    let ahead = position as f64;
    let by_rate = (ahead + 1.0) / rates.total();
    let probes_begin_ms = if room.usable > 0 { 0.0 } else { room.first_full_ms as f64 };
    by_rate.min(probes_begin_ms + ahead / rates.probed)
}
