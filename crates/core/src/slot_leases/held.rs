//! Slots that one daemon holds, by server instance.

use std::collections::{BTreeSet, HashMap};

use crate::crashes::ServerInstance;
use crate::slot_leases::SlotId;

/// Slots of the open requests of one daemon. They are counted at every server, since a server may
/// become brittle while requests are open there.
#[derive(Debug, Clone, Default)]
pub struct HeldSlots {
    last: u64,
    servers: HashMap<ServerInstance, BTreeSet<SlotId>>,
}

impl HeldSlots {
    /// Returns an id that was not used before.
    pub fn next_id(&mut self) -> SlotId {
        self.last += 1;
        SlotId(self.last)
    }

    /// Adds a slot.
    pub fn add(&mut self, server: &ServerInstance, id: SlotId) {
        match self.servers.get_mut(server) {
            Some(held) => _ = held.insert(id),
            None => _ = self.servers.insert(server.clone(), BTreeSet::from([id])),
        }
    }

    /// Removes a slot.
    pub fn remove(&mut self, server: &ServerInstance, id: SlotId) {
        let Some(held) = self.servers.get_mut(server) else { return };
        held.remove(&id);
        if held.is_empty() {
            self.servers.remove(server);
        }
    }

    /// Returns the slots held at a server.
    pub fn at(&self, server: &ServerInstance) -> impl Iterator<Item = SlotId> {
        self.servers.get(server).into_iter().flatten().copied()
    }

    /// Returns the servers at which slots are held.
    pub fn servers(&self) -> impl Iterator<Item = &ServerInstance> {
        self.servers.keys()
    }
}
