//! For whom a daemon keeps tokens ahead, and how much that is.
//!
//! Load pattern: hundreds of daemons and tens of budgets, where a pair of the two meets
//! a request every ten seconds or more, and the store is away from all for some seconds.
//! Held by each daemon for itself, what the fleet has is in parts that are smaller than
//! one request. Held by the owner of each budget it serves whoever comes.

use serde::{Deserialize, Serialize};

use crate::holder::account::SURPLUS_FACTOR;
use crate::holder::draw::DrawTerms;
use crate::holder::{Account, allot};
use crate::{Millis, Tokens};

/// How far ahead a daemon asks that leaves it to owners to keep tokens, in seconds of its
/// own spending: the busiest of the users' hosts would otherwise ask for each of some 200
/// requests a second.
const BATCH_S: f64 = 2.0;

/// Usual requests that an owner keeps of a budget that is hardly spent, so that its
/// next callers find something while the store is away.
const MIN_PREFETCHED_REQUESTS: Tokens = 2;

/// After so long without a request, in milliseconds, what earlier ones left over goes
/// back to the owner, however little: kept until the next one, some ten seconds later,
/// it came to a tenth of all budgets over 295 daemons, and owners had none to hand on.
const IDLE_RETURN_MS: Millis = 3_000;

/// For whom a daemon keeps tokens ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum PrefetchScope {
    /// For its own callers: in a small fleet each daemon draws by itself.
    #[default]
    ForItself,
    /// For the whole fleet, as the owner of the budget in a large one.
    ForFleet,
    /// Next to nothing: in a large fleet the budget's owner keeps for it.
    LeftToOwner,
}

impl Account {
    /// What to have at hand: recent spending for the horizon, but no more than a holder
    /// may keep. `usual` is a usual request's cost.
    pub(super) fn prefetch_target(&self, terms: &DrawTerms, usual: Tokens, now: Millis) -> Tokens {
        let within_share = |wanted: Tokens| wanted.min(self.max_prefetch().unwrap_or(wanted));
        let own_rate = self.rate.per_second(now);
        match terms.prefetch {
            PrefetchScope::ForItself => {
                within_share((own_rate * terms.horizon_s) as Tokens) + self.reserve_for_others(now)
            }
            PrefetchScope::ForFleet => {
                let fleet_rate = own_rate + self.allotted_rate.per_second(now);
                let wanted = (fleet_rate * terms.horizon_s) as Tokens;
                within_share(wanted.max(usual * MIN_PREFETCHED_REQUESTS)) + self.unmet
            }
            PrefetchScope::LeftToOwner => {
                let batch = (own_rate * BATCH_S.min(terms.horizon_s)) as Tokens;
                // Less than a request needs would lie idle here, and be missed elsewhere.
                let is_of_use = batch >= usual;
                self.unmet + if is_of_use { within_share(batch) } else { 0 }
            }
        }
    }

    /// What is free beyond `SURPLUS_FACTOR` times what is needed ahead and the floor that
    /// `terms` name, if it is worth a call to give it back.
    pub(super) fn surplus(&self, terms: &DrawTerms, usual: Tokens, now: Millis) -> Tokens {
        let floor = self.min_held(terms);
        // A share is one holder's; what an owner keeps for others is theirs.
        let is_for_others = terms.kept_for_others > 0.0;
        let most = if is_for_others { floor } else { self.max_prefetch().unwrap_or(floor) };
        let kept = self.prefetch_target(terms, usual, now).max(floor.min(most));
        let free = self.free();
        if free as f64 <= kept as f64 * SURPLUS_FACTOR
            || free - kept < self.least_returned(terms, usual, now)
        {
            return 0;
        }
        free - kept
    }

    /// Less than this is not worth a call to give it back yet. What a request leaves over
    /// is less than a usual one, and the next one here may take it; near a budget's end
    /// all of it is missed elsewhere.
    fn least_returned(&self, terms: &DrawTerms, usual: Tokens, now: Millis) -> Tokens {
        if terms.prefetch != PrefetchScope::LeftToOwner || self.rate.idle_ms(now) >= IDLE_RETURN_MS
        {
            return 0;
        }
        let left = self.outlook.map_or(terms.tokens, |outlook| outlook.left);
        (usual as f64 * allot::end_taper(left, terms.tokens)) as Tokens
    }
}
