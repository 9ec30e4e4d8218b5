//! One daemon's replica of the platform's list of evacuated halls, which take no new work.
//!
//! The list is short, so each heartbeat carries all of it: a change spreads with the next
//! heartbeats, without separate requests.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::server_list::Unreadable;
use crate::{Millis, Name};

/// An update of the list of evacuated halls from the platform.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HallChanges {
    /// Version of the platform's list after these changes.
    pub at: u64,
    /// Whether `evacuated` is the full list, so that no other hall is evacuated.
    pub whole: bool,
    /// Halls that take no new work from now on.
    pub evacuated: Vec<Name>,
    /// Halls that take new work again.
    pub reopened: Vec<Name>,
    /// Entries that can't be parsed; one with a name still evacuates that hall.
    pub unreadable: Vec<Unreadable>,
}

/// The list as daemons exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    /// The platform's version at the last change; 0 before the list was read.
    pub at: u64,
    /// The halls, by name.
    pub halls: BTreeSet<Name>,
}

/// One daemon's replica of the list.
#[derive(Debug, Clone, Default, Serialize)]
pub struct HallList {
    #[serde(rename = "told")]
    evacuated: EvacuatedHalls,
    reopened_at: BTreeMap<Name, Millis>,
}

impl HallList {
    /// Returns the list of evacuated halls.
    pub fn evacuated(&self) -> &EvacuatedHalls {
        &self.evacuated
    }

    /// Returns when this hall was last reopened; none if this daemon has not seen it reopened.
    pub fn reopened_at(&self, hall: &Name) -> Option<Millis> {
        self.reopened_at.get(hall).copied()
    }

    /// Applies an update from the platform; returns whether any hall has changed.
    pub fn apply(&mut self, now: Millis, changes: HallChanges) -> bool {
        let mut halls = if changes.whole { BTreeSet::new() } else { self.evacuated.halls.clone() };
        for hall in &changes.reopened {
            halls.remove(hall);
        }
        halls.extend(changes.evacuated);
        let is_first = self.evacuated.at == 0;
        if halls == self.evacuated.halls && !is_first {
            return false;
        }
        self.adopt(now, EvacuatedHalls { at: changes.at, halls })
    }

    /// Adopts the list of a peer if it is newer; returns whether any hall has changed.
    pub fn adopt(&mut self, now: Millis, evacuated: EvacuatedHalls) -> bool {
        if evacuated.at <= self.evacuated.at {
            return false;
        }
        let before = std::mem::replace(&mut self.evacuated, evacuated).halls;
        for hall in before.difference(&self.evacuated.halls) {
            self.reopened_at.insert(hall.clone(), now);
        }
        before != self.evacuated.halls
    }
}
