//! Entries of the request log that wait until the store is available.

use std::collections::VecDeque;

use bankcove_core::request_log::Entry;
use bankcove_ports::Store;
use parking_lot::Mutex;

use crate::bill::log_tasks::LogTasks;
use crate::fleet::Fleet;

/// Billing state of one daemon: pending entries and the tasks of the request log.
pub struct Billing {
    /// This daemon's view of the fleet.
    pub fleet: Fleet,
    /// The platform's store.
    pub store: Store,
    /// Tasks of the request log's shards.
    pub log_tasks: LogTasks,
    /// Pending entries, in the order of their next submission.
    pub(super) pending: Mutex<VecDeque<Entry>>,
    /// Held while a batch is submitted, so that only one is at a time.
    pub(super) batch_lock: tokio::sync::Mutex<()>,
}

impl Billing {
    /// Creates the state without pending entries.
    pub fn new(fleet: Fleet, store: Store) -> Self {
        Billing {
            fleet,
            store,
            log_tasks: LogTasks::default(),
            pending: Mutex::default(),
            batch_lock: tokio::sync::Mutex::default(),
        }
    }

    /// Adds an entry that is submitted again and again until the store has it.
    pub fn enqueue(&self, entry: Entry) {
        self.pending.lock().push_back(entry);
    }

    /// Returns the number of pending entries.
    pub fn pending_entries(&self) -> usize {
        self.pending.lock().len()
    }
}
