//! Entries of the request log that wait until the store takes them.

use std::collections::VecDeque;

use bankcove_core::request_log::Entry;
use bankcove_ports::Store;
use parking_lot::Mutex;

use crate::bill::log_tasks::LogTasks;
use crate::fleet::Fleet;

/// Entries that wait.
pub struct Billing {
    /// The other daemons.
    pub fleet: Fleet,
    /// The platform's store.
    pub store: Store,
    /// Shards of the request log.
    pub logs: LogTasks,
    pub(super) pending: Mutex<VecDeque<Entry>>,
    pub(super) batch_lock: tokio::sync::Mutex<()>,
}

impl Billing {
    /// Nothing waits.
    pub fn new(fleet: Fleet, store: Store) -> Self {
        Billing {
            fleet,
            store,
            logs: LogTasks::default(),
            pending: Mutex::default(),
            batch_lock: tokio::sync::Mutex::default(),
        }
    }

    /// Keeps an entry until the store takes it.
    pub fn enqueue(&self, entry: Entry) {
        self.pending.lock().push_back(entry);
    }

    /// How many entries wait.
    pub fn pending_entries(&self) -> usize {
        self.pending.lock().len()
    }
}
