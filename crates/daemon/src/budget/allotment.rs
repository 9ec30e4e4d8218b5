//! Allotment of tokens to other daemons of a large fleet by the owner of a budget.

use std::sync::Arc;

use bankcove_core::Tokens;
use bankcove_core::holder::TokenRequest;
use bankcove_core::owner::RETRY_SOON_MS;

use crate::budget::budgets::Budgets;
use crate::budget::reserve::{TokenSource, obtain, prefetch};
use crate::peer::{AllotAnswer, Refusal};

/// Answers the token request of a daemon that considers this one the owner of the budget. Draws
/// from the store when too few tokens are free and the store is not known to be unavailable.
pub async fn allot(budgets: &Arc<Budgets>, request: TokenRequest) -> AllotAnswer {
    let out_of_reach = Refusal::out_of_reach(RETRY_SOON_MS);
    let table = budgets.table.load_full();
    let Some(budget) = table.as_ref().and_then(|table| table.budget(&request.budget)) else {
        return AllotAnswer::Refused(out_of_reach);
    };
    if budgets.stopping.is_cancelled() {
        return AllotAnswer::Refused(out_of_reach);
    }
    let arrived = budgets.fleet.base.clock.now();
    budgets.holder().record_given_back(&request, arrived);
    if let Some(ration) = exceeded_ration(budgets, &request) {
        return AllotAnswer::Refused(Refusal::rationed(ration));
    }
    let try_now = || budgets.holder().allot(&request, arrived);
    let allotted = match try_now() {
        Ok(allotted) => Ok(allotted),
        Err(_) if budgets.fleet.connectivity.is_store_unavailable(arrived) => {
            // A draw would fail: the requester turns to the next owner at once, and a peer
            // that reaches the store draws for this daemon in the meantime.
            budgets.holder().record_unmet(&request);
            Err(out_of_reach)
        }
        Err(_) => {
            // The next draw serves all requests waiting by then, instead of one after the other.
            budgets.holder().record_unmet(&request);
            obtain(budgets, budget, TokenSource::Store, arrived, try_now).await
        }
    };
    prefetch(budgets, budget);
    match allotted {
        Ok(allotted) => AllotAnswer::Allotted(allotted),
        Err(refusal) => AllotAnswer::Refused(refusal),
    }
}

/// Returns the most that the caller's request behind `request` may reserve, if that is less than
/// it needs. When tokens were allotted in order of arrival, those left after a loss of all daemons
/// went to the large requests within seconds, and no other request was served.
fn exceeded_ration(budgets: &Budgets, request: &TokenRequest) -> Option<Tokens> {
    let demand = request.demand?;
    let now = budgets.fleet.base.clock.now();
    let is_store_unavailable = budgets.fleet.connectivity.is_store_unavailable(now);
    let ration = budgets.holder().ration_for(&request.budget, &demand, is_store_unavailable, now);
    (demand.tokens > ration).then_some(ration)
}
