//! Policies without owners, as a measure: one object for all, and a sum that is read now and then.

use bankcove_core::Millis;

use crate::budget_load::Arrival;
use crate::budget_world::{DRAWS, Happening, STORE_MS, World};

/// Time between two reads of [`Policy::CachedSum`].
const CACHE_MS: Millis = 1_000;

impl World {
    pub(super) fn start_cas(&mut self, arrival: Arrival, tries: u32) {
        self.outcome.reads += 1;
        let version = self.versions[arrival.budget];
        self.schedule.at(self.now + 2 * STORE_MS, Happening::CasDone { arrival, tries, version });
    }

    pub(super) fn cas_done(&mut self, arrival: Arrival, tries: u32, version: u64) {
        if !self.store_answers(arrival.daemon) {
            return self.refuse(arrival);
        }
        let gone = self.spent[arrival.budget] + self.set_aside[arrival.budget];
        if gone + arrival.limit > self.total[arrival.budget] {
            return self.refuse(arrival);
        }
        self.outcome.writes += 1;
        if version != self.versions[arrival.budget] {
            return match tries {
                0..DRAWS => self.start_cas(arrival, tries + 1),
                _ => self.refuse(arrival),
            };
        }
        self.versions[arrival.budget] += 1;
        self.admit(arrival, None);
    }

    pub(super) fn cache_read(&mut self, daemon: usize) {
        self.outcome.reads += 1;
        if self.store_answers(daemon) {
            self.cached[daemon].clone_from(&self.spent);
        }
        if self.now < self.load.length {
            self.schedule.at(self.now + CACHE_MS, Happening::CacheRead { daemon });
        }
    }
}
