//! Rate at which places of a pool become free.

use std::collections::BTreeMap;

use crate::router::PoolRoom;
use crate::{Millis, Name};

/// Time constant of the measured rate, in milliseconds: the goals of the deployed routes are 150 to
/// 1,000 ms, so a rate that is a second old says little about a wait.
const WINDOW_MS: f64 = 300.0;

/// Time for which ends are counted before their rate is used, as a multiple of the time of an
/// answer.
const MIN_OBSERVED_ANSWERS: f64 = 2.0;

/// Decaying counts of this daemon's requests that have ended at a pool.
#[derive(Debug, Clone)]
pub(super) struct FreedRate {
    since: Millis,
    all: DecayingCount,
    /// By version of the servers, if it is known.
    by_version: BTreeMap<Name, DecayingCount>,
}

#[derive(Debug, Clone, Copy)]
struct DecayingCount {
    counted_at: Millis,
    count: f64,
}

impl DecayingCount {
    fn new(now: Millis) -> Self {
        DecayingCount { counted_at: now, count: 0.0 }
    }

    fn record(&mut self, now: Millis) {
        *self = DecayingCount { counted_at: now, count: self.decayed(now) + 1.0 };
    }

    fn decayed(&self, now: Millis) -> f64 {
        let age_ms = now.saturating_sub(self.counted_at) as f64;
        self.count * (-age_ms / WINDOW_MS).exp()
    }
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
        FreedRate { since: now, all: DecayingCount::new(now), by_version: BTreeMap::new() }
    }

    /// Counts one request that has ended at a server of this version.
    pub(super) fn record(&mut self, now: Millis, version: Option<&Name>) {
        self.all.record(now);
        if let Some(version) = version {
            let new = || DecayingCount::new(now);
            self.by_version.entry(version.clone()).or_insert_with(new).record(now);
        }
    }

    /// Returns the time of the last count.
    pub(super) fn counted_at(&self) -> Millis {
        self.all.counted_at
    }

    /// Returns the rates at which requests are called that may use only servers of this version, or
    /// all servers. `room` is that of these servers.
    pub(super) fn rates(&self, now: Millis, room: &PoolRoom, version: Option<&Name>) -> CallRates {
        let answer_ms = room.answer_ms.max(1.0);
        let observed_ms = now.saturating_sub(self.since) as f64;
        // By Little's law, until enough requests have ended to measure the rate. A measured rate
        // falls when a server stops answering, while its open requests stay.
        let freed = if observed_ms < MIN_OBSERVED_ANSWERS * answer_ms {
            f64::from(room.in_flight) / answer_ms
        } else {
            let covered_ms = WINDOW_MS * (1.0 - (-observed_ms / WINDOW_MS).exp());
            let count = version.map_or(Some(&self.all), |version| self.by_version.get(version));
            count.map_or(0.0, |count| count.decayed(now)) / covered_ms
        };
        // A full server is tried once for each mark; a usable one at the pace of its slots.
        let probes = room.full as f64 + f64::from(room.usable_slots);
        CallRates { freed, probed: probes / answer_ms }
    }
}

/// Returns the time until the request at `position` is expected to be called, in milliseconds.
pub(super) fn expected_wait(position: usize, rates: CallRates, room: &PoolRoom) -> f64 {
    let ahead = position as f64;
    let by_rate = (ahead + 1.0) / rates.total();
    let probes_begin_ms = if room.usable > 0 { 0.0 } else { room.first_full_ms as f64 };
    by_rate.min(probes_begin_ms + ahead / rates.probed)
}
