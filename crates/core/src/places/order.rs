//! Order of the requests that wait for a place: rank, fairness between workspaces, deadline.

use std::collections::{BTreeMap, HashMap};

use crate::places::{PlaceRank, PlaceRequest, Ticket};
use crate::{Millis, Name};

/// One in this many places goes to a rank that is not the most urgent one waiting, so that no rank
/// starves; issuers of permits use the same fraction.
pub(super) const OTHER_RANKS_EVERY: u64 = 10;

/// Turns of the workspaces within each rank: each workspace has one turn for each place that its
/// requests have got, and the workspace with the lowest turn is next.
#[derive(Debug, Clone, Default)]
pub(super) struct Turns {
    next: HashMap<(PlaceRank, Option<Name>), u64>,
    /// Highest turn of each rank that has got a place. A workspace that comes back does not get the
    /// places that it has not asked for.
    floor: BTreeMap<PlaceRank, u64>,
    /// Number of the last call of each rank.
    called: BTreeMap<PlaceRank, u64>,
}

impl Turns {
    /// Returns the turn of the next request of a workspace.
    fn next(&self, rank: PlaceRank, workspace: Option<&Name>) -> u64 {
        let next = self.next.get(&(rank, workspace.cloned())).copied().unwrap_or_default();
        next.max(self.floor.get(&rank).copied().unwrap_or_default())
    }

    /// Records that a request of this workspace has got a place.
    pub(super) fn record_taken(&mut self, rank: PlaceRank, workspace: Option<&Name>) {
        let turn = self.next(rank, workspace);
        self.next.insert((rank, workspace.cloned()), turn + 1);
        self.floor.insert(rank, turn);
    }

    /// Records the number of a call for a request of this rank.
    pub(super) fn record_call(&mut self, rank: PlaceRank, call: u64) {
        self.called.insert(rank, call);
    }

    /// Returns which of these ranks was called least recently.
    pub(super) fn least_recently_called(
        &self,
        ranks: impl Iterator<Item = PlaceRank>,
    ) -> Option<PlaceRank> {
        ranks.min_by_key(|rank| (self.called.get(rank).copied().unwrap_or_default(), *rank))
    }

    /// Forgets all turns, when no request waits.
    pub(super) fn clear(&mut self) {
        *self = Turns::default();
    }

    /// Returns the indexes of the waiting requests in the order in which they get places.
    pub(super) fn order(&self, waiting: &[(Ticket, &PlaceRequest)]) -> Vec<usize> {
        let mut by_workspace: Vec<usize> = (0..waiting.len()).collect();
        by_workspace.sort_unstable_by_key(|index| {
            let (ticket, request) = waiting[*index];
            (request.rank, request.workspace.as_ref(), request.deadline, ticket)
        });
        let mut ordered: Vec<(PlaceRank, u64, Millis, Ticket, usize)> =
            Vec::with_capacity(waiting.len());
        let mut previous: Option<(PlaceRank, Option<&Name>, u64)> = None;
        for index in by_workspace {
            let (ticket, request) = waiting[index];
            let workspace = request.workspace.as_ref();
            let turn = match previous {
                Some((rank, name, turn)) if rank == request.rank && name == workspace => turn + 1,
                _ => self.next(request.rank, workspace),
            };
            previous = Some((request.rank, workspace, turn));
            ordered.push((request.rank, turn, request.deadline, ticket, index));
        }
        ordered.sort_unstable();
        ordered.into_iter().map(|(_, _, _, _, index)| index).collect()
    }
}
