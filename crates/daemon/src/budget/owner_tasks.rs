//! The tasks of the shards that this daemon owns, and asking them.

use std::collections::HashMap;

use bankcove_core::owner::{Event, OwnerCounts, Request};
use bankcove_core::shard::Shard;
use parking_lot::Mutex;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::peer::OwnerAnswer;

/// What a task is told.
pub(super) enum Message {
    /// It is asked as the owner.
    Request(Request, oneshot::Sender<OwnerAnswer>),
    /// Something has happened.
    Event(Event),
    /// It is to tell of itself.
    Dump(oneshot::Sender<OwnerDump>),
}

/// What an owner tells of itself.
#[derive(Debug, Clone, Serialize)]
pub struct OwnerDump {
    /// Its figures.
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
    /// What the owners in this daemon tell of themselves, by shard.
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

    /// Asks the owner of a shard; none when this daemon has none, or it has ended.
    pub(super) async fn ask(&self, shard: u32, request: Request) -> Option<OwnerAnswer> {
        let task = self.tasks.lock().get(&shard).cloned()?;
        let (tx, rx) = oneshot::channel();
        task.send(Message::Request(request, tx)).ok()?;
        rx.await.ok()
    }
}
