//! Allotment of tokens to other daemons of a large fleet by the owner of a budget.

use std::sync::Arc;

use bankcove_core::Tokens;
use bankcove_core::holder::TokenRequest;
use bankcove_core::owner::RETRY_SOON_MS;
use bankcove_core::table::Budget;

use crate::budget::budgets::Budgets;
use crate::budget::protection::{check_token_request, with_state};
use crate::budget::reserve::{TokenSource, obtain, prefetch};
use crate::budget::terms::protection_terms;
use crate::peer::{AllotAnswer, Refusal};

/// Answers the token request of a daemon that considers this one the owner of the budget. Draws
/// from the store when too few tokens are free and the store is not known to be unavailable.
pub async fn allot(budgets: &Arc<Budgets>, request: TokenRequest) -> AllotAnswer {
    let out_of_reach = Refusal::out_of_reach(RETRY_SOON_MS);
    let table = budgets.table.load_full();
    let Some(budget) = table.as_ref().and_then(|table| table.budget(&request.budget)) else {
        return AllotAnswer::Refused(out_of_reach, None);
    };
    if budgets.stopping.is_cancelled() {
        return AllotAnswer::Refused(out_of_reach, None);
    }
    let answer = allot_from(budgets, budget, request).await;
    with_state(budgets, budget, answer)
}

async fn allot_from(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    mut request: TokenRequest,
) -> AllotAnswer {
    let out_of_reach = Refusal::out_of_reach(RETRY_SOON_MS);
    let arrived = budgets.fleet.base.clock.now();
    budgets.holder().record_given_back(&request, arrived);
    if let Err(refusal) = check_token_request(budgets, budget, &mut request, arrived) {
        return AllotAnswer::Refused(refusal, None);
    }
    if let Some(ration) = exceeded_ration(budgets, budget, &request) {
        return AllotAnswer::Refused(Refusal::rationed(ration), None);
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
        Err(refusal) => AllotAnswer::Refused(refusal, None),
    }
}

/// Returns the most that the caller's request behind `request` may reserve, if that is less than
/// it needs. When tokens were allotted in order of arrival, those left after a loss of all daemons
/// went to the large requests within seconds, and no other request was served.
fn exceeded_ration(budgets: &Budgets, budget: &Budget, request: &TokenRequest) -> Option<Tokens> {
    let demand = request.demand?;
    let now = budgets.fleet.base.clock.now();
    let terms = protection_terms(budgets, budget, now);
    let ration = {
        let holder = budgets.holder();
        let protected = holder.protected(&budget.name, &demand, &terms, now);
        let is_store_unavailable = terms.is_store_unavailable;
        holder.ration_beyond(&budget.name, &demand, protected, is_store_unavailable, now)
    };
    (demand.tokens > ration).then_some(ration)
}
