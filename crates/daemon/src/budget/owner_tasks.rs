//! Handles to the tasks of the budget shards that this daemon owns.

use std::collections::HashMap;

use bankcove_core::owner::{Event, OwnerCounts, Request};
use bankcove_core::shard::Shard;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::peer::OwnerAnswer;

/// A message to an owner task.
pub(super) enum Message {
    /// A request to the owner, with the channel for the answer.
    Request(Request, oneshot::Sender<OwnerAnswer>),
    /// An event for the owner's state machine.
    Event(Event),
    /// A request for the owner's state.
    Dump(oneshot::Sender<OwnerDump>),
}

/// State of an owner, for the dump.
#[derive(Debug, Clone, Serialize)]
pub struct OwnerDump {
    /// Counters of the owner.
    pub counts: OwnerCounts,
    /// The shard as last read or written.
    pub shard: Option<Shard>,
}

/// The shards that this daemon owns, or has acted as the owner of.
#[derive(Debug, Default)]
pub struct OwnerTasks {
    pub(super) tasks: Mutex<HashMap<u32, mpsc::UnboundedSender<Message>>>,
}

impl OwnerTasks {
    /// Returns the states of the owners in this daemon, by shard.
    pub async fn dump(&self) -> HashMap<u32, OwnerDump> {
        let owners: Vec<_> = self.tasks.lock().iter().map(|(n, tx)| (*n, tx.clone())).collect();
        let mut dumps = HashMap::new();
        for (shard, owner) in owners {
            let (tx, rx) = oneshot::channel();
            if owner.send(Message::Dump(tx)).is_ok()
                && let Ok(dump) = rx.await
            {
                dumps.insert(shard, dump);
            }
        }
        dumps
    }

    /// Sends a request to the owner task of a shard and returns its answer; `None` if this daemon
    /// has no such task or the task has ended.
    pub(super) async fn send_request(&self, shard: u32, request: Request) -> Option<OwnerAnswer> {
        let task = self.tasks.lock().get(&shard).cloned()?;
        let (tx, rx) = oneshot::channel();
        task.send(Message::Request(request, tx)).ok()?;
        rx.await.ok()
    }
}
