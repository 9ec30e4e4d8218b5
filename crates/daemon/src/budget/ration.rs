//! Rationing: the most that one request may reserve of what is left of a budget.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::holder::RequestDemand;
use bankcove_core::table::Budget;
use bankcove_core::{Millis, Tokens};

use crate::budget::budgets::Budgets;
use crate::budget::owner::refresh_outlook;
use crate::budget::terms::protection_terms;

/// Age in milliseconds above which the outlook of a budget is read again before a request is
/// refused because of it: a top-up or tokens given back by other daemons may be available by then.
const MAX_OUTLOOK_AGE_MS: Millis = 1_000;

/// Timeout of that read. A read of the store takes some 4 ms, and a refusal that comes later than a
/// quarter of a caller's goal is of little use to it.
const OUTLOOK_READ_TIMEOUT: Duration = Duration::from_millis(150);

/// Returns the most that a request may reserve of what is left of a budget. Reads the outlook again
/// if it is stale and the request would be refused.
///
/// Unlimited in a large fleet, where the budget's owner rations the tokens that it allots. When
/// daemons rationed by the outlook received with their last tokens instead, 0.79 of the requests of
/// three days were served instead of 0.83.
pub async fn ration(budgets: &Arc<Budgets>, budget: &Budget, demand: RequestDemand) -> Tokens {
    if !budgets.fleet.is_small() {
        return Tokens::MAX;
    }
    let known = known_ration(budgets, budget, demand);
    if demand.tokens <= known {
        return known;
    }
    refresh_stale_outlook(budgets, budget).await;
    known_ration(budgets, budget, demand)
}

/// Reads the outlook of a budget again if it is stale and no prefetch is running or has just
/// started.
pub(super) async fn refresh_stale_outlook(budgets: &Arc<Budgets>, budget: &Budget) {
    if !is_outlook_stale(budgets, budget)
        || !budgets.begin_prefetch(&budget.name, budgets.fleet.base.clock.now())
    {
        return;
    }
    // In a separate task, so that the prefetch is ended also if the caller disconnects meanwhile.
    let reading = tokio::spawn(read_outlook(Arc::clone(budgets), budget.clone()));
    // After a timeout the known outlook applies.
    let _outcome = tokio::time::timeout(OUTLOOK_READ_TIMEOUT, reading).await;
}

/// Returns the most that a request may reserve according to the known outlook.
fn known_ration(budgets: &Budgets, budget: &Budget, demand: RequestDemand) -> Tokens {
    let now = budgets.fleet.base.clock.now();
    let terms = protection_terms(budgets, budget, now);
    let holder = budgets.holder();
    let protected = holder.protected(&budget.name, &demand, &terms, now);
    holder.ration_beyond(&budget.name, &demand, protected, false, now)
}

/// Returns whether the known outlook has to be read again before a refusal.
fn is_outlook_stale(budgets: &Budgets, budget: &Budget) -> bool {
    let age = budgets.holder().outlook_age(&budget.name, budgets.fleet.base.clock.now());
    age.is_some_and(|age| age > MAX_OUTLOOK_AGE_MS)
}

/// Reads the outlook, then ends the prefetch as which the read was registered.
async fn read_outlook(budgets: Arc<Budgets>, budget: Budget) {
    refresh_outlook(&budgets, &budget.name).await;
    budgets.end_prefetch(&budget.name);
}
