//! Collections of unspent tokens from other holders: when to start one, and its result.

use std::collections::HashMap;

use crate::holder::Draw;
use crate::owner::message::HolderRef;
use crate::{Millis, Name, Tokens};

/// Minimum interval between the starts of two collections for one budget, in
/// milliseconds; with more than 100 holders, one millisecond per holder. Requests that
/// arrive within the interval reuse the last result, so that most refusals are immediate
/// and the load on each holder stays bounded.
const MIN_COLLECTION_INTERVAL_MS: Millis = 100;

/// State and result of the last collection for one budget.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Collection {
    running: bool,
    started: Option<Millis>,
    interval: Millis,
    finished: bool,
    /// Collected tokens that are not yet assigned to a request.
    pub(super) free: Tokens,
    /// Whether a later collection may return more: some tokens are reserved elsewhere, or
    /// some holders did not respond.
    pub(super) more_expected: bool,
}

impl Collection {
    /// Returns whether the result is recent enough for a request that arrived at `arrived`.
    fn is_valid_for(&self, now: Millis, arrived: Millis) -> bool {
        let is_fresh = |started: Millis| started >= arrived || now < started + self.interval;
        self.finished && self.started.is_some_and(is_fresh)
    }
}

/// Outcome of looking up a collection for a request.
pub(super) enum Lookup {
    /// A finished collection whose result is recent enough.
    Finished(Collection),
    /// A collection is in progress.
    Running,
    /// A new collection has to be requested from these holders.
    Start(Vec<HolderRef>),
}

/// The last collection for each budget.
#[derive(Debug, Default)]
pub(super) struct Collections {
    by_budget: HashMap<Name, Collection>,
    disabled: bool,
}

impl Collections {
    /// Returns a state that never starts a collection, as a baseline for comparison.
    pub(super) fn disabled() -> Self {
        Collections { disabled: true, ..Collections::default() }
    }

    /// Looks up the collection for a request that arrived at `arrived`, and marks one as
    /// running if it has to be started.
    pub(super) fn for_request(
        &mut self,
        now: Millis,
        arrived: Millis,
        budget: &Name,
        holders: impl FnOnce() -> Vec<HolderRef>,
    ) -> Lookup {
        if self.disabled {
            return Lookup::Finished(Collection::default());
        }
        let collection = self.by_budget.entry(budget.clone()).or_default();
        if collection.running {
            return Lookup::Running;
        }
        if collection.is_valid_for(now, arrived) {
            return Lookup::Finished(*collection);
        }
        let holders = holders();
        let interval = MIN_COLLECTION_INTERVAL_MS.max(holders.len() as Millis);
        *collection =
            Collection { running: true, started: Some(now), interval, ..Collection::default() };
        Lookup::Start(holders)
    }

    /// Records the result of a finished collection.
    pub(super) fn finish(&mut self, budget: Name, free: Tokens, more_expected: bool) {
        let collection = self.by_budget.entry(budget).or_default();
        *collection =
            Collection { running: false, finished: true, free, more_expected, ..*collection };
    }

    /// Deducts the tokens for a draw from the collected ones: `need`, or more if the
    /// draw's terms allow it. Returns the amount.
    pub(super) fn take(&mut self, draw: &Draw, need: Tokens) -> Tokens {
        let collection = self.by_budget.entry(draw.budget.clone()).or_default();
        let amount = draw.terms.draw_amount(draw.want, collection.free).max(need);
        collection.free = collection.free.saturating_sub(amount);
        amount
    }

    /// Discards the results of finished collections.
    pub(super) fn discard_finished(&mut self) {
        self.by_budget.retain(|_, collection| collection.running);
    }
}
