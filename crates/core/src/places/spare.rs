//! Places that became free while no request waited.

use crate::Millis;
use crate::crashes::ServerInstance;

/// Free places of a pool, each until it expires.
#[derive(Debug, Clone, Default)]
pub(super) struct SparePlaces(Vec<(ServerInstance, Millis)>);

impl SparePlaces {
    /// Adds a free place, unless there are `max` already.
    pub(super) fn add(&mut self, now: Millis, server: ServerInstance, until: Millis, max: usize) {
        self.remove_expired(now);
        if self.0.len() < max {
            self.0.push((server, until));
        }
    }

    /// Takes a free place.
    pub(super) fn take(&mut self) -> Option<ServerInstance> {
        self.0.pop().map(|(server, _)| server)
    }

    /// Removes one place at this server, which a request uses.
    pub(super) fn remove_one(&mut self, server: &ServerInstance) {
        if let Some(index) = self.0.iter().position(|(known, _)| known == server) {
            self.0.remove(index);
        }
    }

    /// Removes all places at this server.
    pub(super) fn remove_all(&mut self, server: &ServerInstance) {
        self.0.retain(|(known, _)| known != server);
    }

    /// Removes the places that are no longer expected to be free.
    pub(super) fn remove_expired(&mut self, now: Millis) {
        self.0.retain(|(_, until)| now < *until);
    }

    /// Returns the number of free places.
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
