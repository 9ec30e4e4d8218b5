//! Entries of the store that can't be read: told once each, not at every look.

use std::collections::BTreeSet;

use bankcove_core::server_list::Unreadable;
use parking_lot::Mutex;
use slog::Logger;

/// Entries that are remembered; beyond that all are told again, so that a writer without
/// end fills no memory.
const REMEMBERED: usize = 1_000;

/// Entries that were told.
#[derive(Debug, Default)]
pub struct UnreadableEntries {
    told: Mutex<BTreeSet<(&'static str, Unreadable)>>,
}

impl UnreadableEntries {
    /// Tells of those entries of a kind that were not told yet.
    pub fn log_new(&self, log: &Logger, kind: &'static str, entries: &[Unreadable]) {
        let mut told = self.told.lock();
        for entry in entries {
            if told.len() >= REMEMBERED {
                told.clear();
            }
            if told.insert((kind, entry.clone())) {
                let name = entry.name.as_ref().map(ToString::to_string);
                slog::error!(log, "an entry of the store can't be read";
                    "kind" => kind, "name" => name, "problem" => &entry.problem);
            }
        }
    }
}
