//! The tasks of the log shards that this daemon has appended to.

use std::collections::HashMap;

use bankcove_core::request_log::{Entry, Event, Outcome};
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

/// What a task is told.
pub(super) enum Message {
    /// An entry is to be appended.
    Submitted(Entry, oneshot::Sender<Outcome>),
    /// Something has happened.
    Event(Event),
    /// It is to tell of itself.
    Dump(oneshot::Sender<LogDump>),
}

/// What a log shard tells of itself.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LogDump {
    /// Requests remembered.
    pub remembered: usize,
    /// Entries that wait.
    pub waiting: usize,
    /// Appends tried.
    pub appends: u64,
    /// Segments read.
    pub reads: u64,
}

/// The log shards that this daemon has appended to.
#[derive(Debug, Default)]
pub struct LogTasks {
    pub(super) shards: Mutex<HashMap<u32, mpsc::UnboundedSender<Message>>>,
}

impl LogTasks {
    /// What the log shards tell of themselves.
    pub async fn dump(&self) -> HashMap<u32, LogDump> {
        let shards: Vec<_> = self.shards.lock().iter().map(|(n, tx)| (*n, tx.clone())).collect();
        let mut dumps = HashMap::new();
        for (shard, log) in shards {
            let (tx, rx) = oneshot::channel();
            if log.send(Message::Dump(tx)).is_ok()
                && let Ok(dump) = rx.await
            {
                dumps.insert(shard, dump);
            }
        }
        dumps
    }
}
