//! How many tokens a daemon prefetches, and for whom.
//!
//! Load pattern: hundreds of daemons and tens of budgets, where each pair of daemon and
//! budget gets a request every ten seconds or less often, and no daemon reaches the store
//! for some seconds. If each daemon prefetches for itself, the fleet's tokens are split
//! into parts smaller than one request. If the owner of each budget holds them, they serve
//! requests at any daemon.

use serde::{Deserialize, Serialize};

use crate::holder::account::SURPLUS_FACTOR;
use crate::holder::draw::DrawTerms;
use crate::holder::{Account, allot};
use crate::{Millis, Tokens};

/// How far ahead a daemon that leaves prefetching to the owners requests tokens, in seconds
/// of its own spending. Otherwise the busiest of the users' hosts would send a token request
/// for each of its some 200 requests per second.
const BATCH_S: f64 = 2.0;

/// Least prefetch of an owner, in mean requests, so that the next requests of a rarely used
/// budget find tokens while the store is unavailable.
const MIN_PREFETCHED_REQUESTS: Tokens = 2;

/// Time without a request, in milliseconds, after which a daemon gives any surplus back to
/// the owner, however small. Kept until the next request some ten seconds later, such
/// surpluses added up to a tenth of all budgets over 295 daemons, and the owners had no
/// tokens left to allot.
const IDLE_RETURN_MS: Millis = 3_000;

/// For whom a daemon prefetches tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum PrefetchScope {
    /// For its own callers: in a small fleet each daemon draws for itself.
    #[default]
    ForItself,
    /// For the whole fleet, as the owner of the budget's shard in a large fleet.
    ForFleet,
    /// For a few seconds of its own spending only: in a large fleet the budget's owner
    /// prefetches for it.
    LeftToOwner,
}

impl Account {
    /// Returns how many tokens to hold ahead: recent spending over the horizon, limited to what
    /// this holder may prefetch. `mean_request` is the mean cost of a request.
    pub(super) fn prefetch_target(
        &self,
        terms: &DrawTerms,
        mean_request: Tokens,
        now: Millis,
    ) -> Tokens {
        let within_share = |wanted: Tokens| wanted.min(self.max_prefetch().unwrap_or(wanted));
        let own_rate = self.rate.per_second(now);
        match terms.prefetch {
            PrefetchScope::ForItself => {
                within_share((own_rate * terms.horizon_s) as Tokens) + self.reserve_for_others(now)
            }
            PrefetchScope::ForFleet => {
                let fleet_rate = own_rate + self.allotted_rate.per_second(now);
                let wanted = (fleet_rate * terms.horizon_s) as Tokens;
                within_share(wanted.max(mean_request * MIN_PREFETCHED_REQUESTS)) + self.unmet
            }
            PrefetchScope::LeftToOwner => {
                let rate = self.rate_to_prefetch(now);
                let batch = (rate * BATCH_S.min(terms.horizon_s)) as Tokens;
                // Less than one request needs would stay unused here and be missing elsewhere.
                let covers_a_request = batch >= mean_request;
                self.unmet + if covers_a_request { within_share(batch) } else { 0 }
            }
        }
    }

    /// Returns the free tokens beyond the prefetch target and the minimum of `terms`; 0 while
    /// no more than `SURPLUS_FACTOR` times that is free, or the excess is not worth a call.
    pub(super) fn surplus(&self, terms: &DrawTerms, mean_request: Tokens, now: Millis) -> Tokens {
        let floor = self.min_held(terms);
        // The share limits one holder's own tokens, not those that an owner reserves for others.
        let reserves_for_others = terms.kept_for_others > 0.0;
        let cap = if reserves_for_others { floor } else { self.max_prefetch().unwrap_or(floor) };
        let kept = self.prefetch_target(terms, mean_request, now).max(floor.min(cap));
        let free = self.free();
        if free as f64 <= kept as f64 * SURPLUS_FACTOR
            || free - kept < self.min_returned(terms, mean_request, now)
        {
            return 0;
        }
        free - kept
    }

    /// Returns the smallest surplus that is worth a call to give it back now. What a request
    /// leaves unused is less than the mean request and may serve the next one here; near the
    /// budget's end all of it is missing elsewhere.
    fn min_returned(&self, terms: &DrawTerms, mean_request: Tokens, now: Millis) -> Tokens {
        if terms.prefetch != PrefetchScope::LeftToOwner || self.rate.idle_ms(now) >= IDLE_RETURN_MS
        {
            return 0;
        }
        let left = self.outlook.map_or(terms.tokens, |outlook| outlook.left);
        (mean_request as f64 * allot::end_taper(left, terms.tokens)) as Tokens
    }
}
