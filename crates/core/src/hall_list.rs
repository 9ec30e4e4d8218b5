//! Halls that take no new work, as the platform lists them and daemons tell each other.
//!
//! The list is short, so that each heartbeat carries all of it: who is told of a change
//! tells others at once, and nobody has to ask.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::server_list::Unreadable;
use crate::{Millis, Name};

/// What the platform says of halls that take no new work.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HallChanges {
    /// Version of the platform's list after these changes.
    pub at: u64,
    /// Whether `evacuated` is the whole list, so that no other hall is evacuated.
    pub whole: bool,
    /// Halls that take no new work from now on.
    pub evacuated: Vec<Name>,
    /// Halls that take work again.
    pub reopened: Vec<Name>,
    /// Entries that can't be read; one with a name evacuates that hall all the same.
    pub unreadable: Vec<Unreadable>,
}

/// The list as daemons tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EvacuatedHalls {
    /// The platform's version at the last change; 0 before the list was read.
    pub at: u64,
    /// The halls, by name.
    pub halls: BTreeSet<Name>,
}

/// The list as one daemon knows it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct HallList {
    told: EvacuatedHalls,
    reopened_at: BTreeMap<Name, Millis>,
}

impl HallList {
    /// The list for a peer.
    pub fn evacuated(&self) -> &EvacuatedHalls {
        &self.told
    }

    /// When this hall has taken work again, if it was evacuated before.
    pub fn reopened_at(&self, hall: &Name) -> Option<Millis> {
        self.reopened_at.get(hall).copied()
    }

    /// Takes in what the platform told; returns whether any hall has changed.
    pub fn apply(&mut self, now: Millis, changes: HallChanges) -> bool {
        let mut halls = if changes.whole { BTreeSet::new() } else { self.told.halls.clone() };
        for hall in &changes.reopened {
            halls.remove(hall);
        }
        halls.extend(changes.evacuated);
        let is_first = self.told.at == 0;
        if halls == self.told.halls && !is_first {
            return false;
        }
        self.adopt(now, EvacuatedHalls { at: changes.at, halls })
    }

    /// Takes the list of a peer, if it is newer; returns whether any hall has changed.
    pub fn adopt(&mut self, now: Millis, told: EvacuatedHalls) -> bool {
        if told.at <= self.told.at {
            return false;
        }
        let before = std::mem::replace(&mut self.told, told).halls;
        for hall in before.difference(&self.told.halls) {
            self.reopened_at.insert(hall.clone(), now);
        }
        before != self.told.halls
    }
}
