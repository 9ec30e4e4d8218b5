//! Logs entries of the store that can't be parsed, each once instead of at every read.

use std::collections::BTreeSet;

use bankcove_core::server_list::Unreadable;
use parking_lot::Mutex;
use slog::Logger;

/// Maximum number of remembered entries. When it is reached, all are forgotten and may be logged
/// again, so that an endless stream of bad entries does not exhaust memory.
const MAX_REMEMBERED: usize = 1_000;

/// Record of the entries that were logged.
#[derive(Debug, Default)]
pub struct UnreadableEntries {
    logged: Mutex<BTreeSet<(&'static str, Unreadable)>>,
}

impl UnreadableEntries {
    /// Logs those entries of a `kind` that were not logged before.
    pub fn log_new(&self, log: &Logger, kind: &'static str, entries: &[Unreadable]) {
        let mut logged = self.logged.lock();
        for entry in entries {
            if logged.len() >= MAX_REMEMBERED {
                logged.clear();
            }
            if logged.insert((kind, entry.clone())) {
                let name = entry.name.as_ref().map(ToString::to_string);
                slog::error!(log, "an entry of the store can't be read";
                    "kind" => kind, "name" => name, "problem" => &entry.problem);
            }
        }
    }
}
