//! Handles to the tasks of the log shards that this daemon has appended to.

use std::collections::HashMap;

use bankcove_core::request_log::{Entry, Event, Outcome};
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

/// A message to a log task.
pub(super) enum Message {
    /// An entry to append, with the channel for its outcome.
    Submitted(Entry, oneshot::Sender<Outcome>),
    /// An event for the log's state machine.
    Event(Event),
    /// A request for the state of the shard.
    Dump(oneshot::Sender<LogDump>),
}

/// State of a log shard, for the dump.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LogDump {
    /// Number of requests in the deduplication window.
    pub remembered: usize,
    /// Number of pending entries.
    pub waiting: usize,
    /// Number of attempted appends.
    pub appends: u64,
    /// Number of segment reads.
    pub reads: u64,
}

/// Tasks of the log shards that this daemon has appended to.
#[derive(Debug, Default)]
pub struct LogTasks {
    pub(super) tasks: Mutex<HashMap<u32, mpsc::UnboundedSender<Message>>>,
}

impl LogTasks {
    /// Returns the states of the log shards, by shard.
    pub async fn dump(&self) -> HashMap<u32, LogDump> {
        let tasks: Vec<_> = self.tasks.lock().iter().map(|(n, tx)| (*n, tx.clone())).collect();
        let mut dumps = HashMap::new();
        for (shard, log) in tasks {
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
