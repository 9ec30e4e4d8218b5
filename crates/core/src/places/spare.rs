//! Places that became free while no request waited.

use crate::Millis;
use crate::crashes::ServerInstance;
use crate::places::{FreedPlace, PlaceRequest};

/// Free places of a pool, each until it expires.
#[derive(Debug, Clone, Default)]
pub(super) struct SparePlaces(Vec<(FreedPlace, Millis)>);

impl SparePlaces {
    /// Adds a free place, unless there are `max` already.
    pub(super) fn add(&mut self, now: Millis, place: FreedPlace, until: Millis, max: usize) {
        self.remove_expired(now);
        if self.0.len() < max {
            self.0.push((place, until));
        }
    }

    /// Takes a free place that this request may use.
    pub(super) fn take(&mut self, request: &PlaceRequest) -> Option<FreedPlace> {
        let index = self.0.iter().rposition(|(place, _)| request.may_use(place.version()))?;
        Some(self.0.remove(index).0)
    }

    /// Removes one place at this server, which a request uses.
    pub(super) fn remove_one(&mut self, server: &ServerInstance) {
        if let Some(index) = self.0.iter().position(|(place, _)| place.server == *server) {
            self.0.remove(index);
        }
    }

    /// Removes all places at this server.
    pub(super) fn remove_all(&mut self, server: &ServerInstance) {
        self.0.retain(|(place, _)| place.server != *server);
    }

    /// Removes the places that are no longer expected to be free.
    pub(super) fn remove_expired(&mut self, now: Millis) {
        self.0.retain(|(_, until)| now < *until);
    }

    /// Returns the number of free places that this request may use.
    pub(super) fn count_for(&self, request: &PlaceRequest) -> usize {
        self.0.iter().filter(|(place, _)| request.may_use(place.version())).count()
    }
}
