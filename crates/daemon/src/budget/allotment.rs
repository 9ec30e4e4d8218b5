//! Hands tokens on to other daemons of a large fleet, as the owner of a budget.

use std::sync::Arc;

use bankcove_core::Tokens;
use bankcove_core::holder::TokenRequest;
use bankcove_core::owner::RETRY_SOON_MS;

use crate::budget::budgets::Budgets;
use crate::budget::reserve::{TokenSource, obtain, prefetch};
use crate::peer::{AllotAnswer, Refusal};

/// Hands tokens on to a daemon that takes this one for the owner.
pub async fn allot(budgets: &Arc<Budgets>, ask: TokenRequest) -> AllotAnswer {
    let away = Refusal::out_of_reach(RETRY_SOON_MS);
    let table = budgets.table.load_full();
    let Some(budget) = table.as_ref().and_then(|table| table.budget(&ask.budget)) else {
        return AllotAnswer::Refused(away);
    };
    if budgets.stopping.is_cancelled() {
        return AllotAnswer::Refused(away);
    }
    let arrived = budgets.fleet.base.clock.now();
    budgets.holder().record_given_back(&ask, arrived);
    if let Some(ration) = exceeded_ration(budgets, &ask) {
        return AllotAnswer::Refused(Refusal::rationed(ration));
    }
    let try_now = || budgets.holder().allot(&ask, arrived);
    let allotted = match try_now() {
        Ok(allotted) => Ok(allotted),
        Err(_) if budgets.fleet.contact.is_store_away(arrived) => {
            // Known to be hopeless here: the asker turns to the next owner at once, and
            // a peer that reaches the store draws for this one meanwhile.
            budgets.holder().record_unmet(&ask);
            Err(away)
        }
        Err(_) => {
            // The next draw serves all that wait by then, not one after the other.
            budgets.holder().record_unmet(&ask);
            obtain(budgets, budget, TokenSource::Store, arrived, try_now).await
        }
    };
    prefetch(budgets, budget);
    match allotted {
        Ok(allotted) => AllotAnswer::Allotted(allotted),
        Err(refusal) => AllotAnswer::Refused(refusal),
    }
}

/// What the request behind an ask may take of the rest of its budget, if that is less than
/// it needs. Handed on by arrival, what was left after a loss of all daemons went to the
/// large requests within seconds, and nobody else was served.
fn exceeded_ration(budgets: &Budgets, ask: &TokenRequest) -> Option<Tokens> {
    let demand = ask.demand?;
    let now = budgets.fleet.base.clock.now();
    let is_away = budgets.fleet.contact.is_store_away(now);
    let ration = budgets.holder().ration_for(&ask.budget, &demand, is_away, now);
    (demand.tokens > ration).then_some(ration)
}
