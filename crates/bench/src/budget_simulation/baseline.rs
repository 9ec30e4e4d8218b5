//! Baseline policies without owners: one conditionally updated object, and a cached sum.

use bankcove_core::Millis;

use crate::budget_simulation::{MAX_DRAWS, STORE_CALL_MS, Simulation, SimulationEvent};
use crate::budget_workload::Arrival;

/// Time between two reads of [`CachedSum`](crate::budget_policy::Policy::CachedSum), in milliseconds.
const CACHE_REFRESH_MS: Millis = 1_000;

impl Simulation {
    /// Reads the budget, and schedules the conditional update for the request.
    pub(super) fn start_cas(&mut self, arrival: Arrival, tries: u32) {
        self.outcome.reads += 1;
        let version = self.versions[arrival.budget];
        self.schedule
            .at(self.now + 2 * STORE_CALL_MS, SimulationEvent::CasDone { arrival, tries, version });
    }

    /// Admits the request if the budget suffices and `version` is unchanged; retries on a conflict.
    pub(super) fn finish_cas(&mut self, arrival: Arrival, tries: u32, version: u64) {
        if !self.can_reach_store(arrival.daemon) {
            return self.refuse(arrival);
        }
        let committed = self.spent[arrival.budget] + self.reserved[arrival.budget];
        if committed + arrival.max_tokens > self.allowed[arrival.budget] {
            return self.refuse(arrival);
        }
        self.outcome.writes += 1;
        if version != self.versions[arrival.budget] {
            return match tries {
                0..MAX_DRAWS => self.start_cas(arrival, tries + 1),
                _ => self.refuse(arrival),
            };
        }
        self.versions[arrival.budget] += 1;
        self.admit(arrival, None);
    }

    /// Reads the spent sums, and schedules the next read.
    pub(super) fn refresh_cache(&mut self, daemon: usize) {
        self.outcome.reads += 1;
        if self.can_reach_store(daemon) {
            self.cached[daemon].clone_from(&self.spent);
        }
        if self.now < self.workload.length_ms {
            self.schedule.at(self.now + CACHE_REFRESH_MS, SimulationEvent::CacheRead { daemon });
        }
    }
}
