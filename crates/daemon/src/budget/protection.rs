//! Protection of a budget's last tokens for more urgent requests: who decides on a request of a
//! caller, and on the token requests of other daemons.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::holder::{
    HostDecision, Protected, ProtectionState, RankProtection, RequestDemand, TokenRequest,
};
use bankcove_core::owner::{RETRY_LATER_MS, RETRY_SOON_MS};
use bankcove_core::table::Budget;
use serde_json::{Value, json};

use crate::budget::budgets::{Budgets, LastShortDraw};
use crate::budget::ownership::owners;
use crate::budget::ration::refresh_stale_outlook;
use crate::budget::terms::protection_terms;
use crate::budget::token_request::request_tokens;
use crate::peer::{AllotAnswer, Refusal};

/// Longest wait for an owner's decision; afterwards the daemon decides by itself. A refusal after
/// more than a quarter of a caller's goal is of little use to the caller.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);

/// Decides whether protection admits a caller's request, and counts it for the forecast.
///
/// # Errors
/// [`Refusal`] if the tokens are needed for more urgent requests.
pub async fn admit(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    demand: RequestDemand,
) -> Result<(), Refusal> {
    let now = budgets.fleet.base.clock.now();
    let terms = protection_terms(budgets, budget, now);
    if !terms.is_enabled() {
        return Ok(());
    }
    budgets.holder().count_request(&budget.name, demand.rank, demand.tokens, now);
    let is_owner_elsewhere = owners(budgets, budget).first().is_some_and(Option::is_some);
    if !is_owner_elsewhere {
        return decide_with_recent_outlook(budgets, budget, demand).await;
    }
    let decision = budgets.holder().decide_as_host(&budget.name, &demand, &terms, now);
    match decision {
        HostDecision::Admit => Ok(()),
        HostDecision::Refuse { protected, retry_after_ms } => {
            Err(Refusal::protected(protected, retry_after_ms))
        }
        HostDecision::Alone => decide_alone(budgets, budget, demand),
        HostDecision::Ask => ask(budgets, budget, demand, now).await,
    }
}

/// Returns the refusal by which a request is refused again without asking the owner.
pub(crate) fn cached_refusal(
    budgets: &Budgets,
    budget: &Budget,
    demand: &RequestDemand,
) -> Option<Refusal> {
    let now = budgets.fleet.base.clock.now();
    let terms = protection_terms(budgets, budget, now);
    if !terms.is_enabled() {
        return None;
    }
    let decision = budgets.holder().decide_as_host(&budget.name, demand, &terms, now);
    match decision {
        HostDecision::Refuse { protected, retry_after_ms } => {
            Some(Refusal::protected(protected, retry_after_ms))
        }
        _ => None,
    }
}

/// Asks the owners of the budget in turn; without an answer, decides by what is known here.
async fn ask(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    demand: RequestDemand,
    arrived: Millis,
) -> Result<(), Refusal> {
    let asking = ask_owners(budgets, budget, demand, arrived);
    let answer = tokio::time::timeout(ASK_TIMEOUT, asking).await;
    if let Ok(Some(decision)) = answer {
        return decision;
    }
    budgets.holder().record_no_owner(&budget.name, budgets.fleet.base.clock.now());
    decide_alone(budgets, budget, demand)
}

async fn ask_owners(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    demand: RequestDemand,
    arrived: Millis,
) -> Option<Result<(), Refusal>> {
    let last = Arc::clone(budgets.last_short_asks.lock().entry(budget.name.clone()).or_default());
    let mut last = last.lock().await;
    // A request that asked before this one may have been refused in the meantime.
    if let Some(refusal) = cached_refusal(budgets, budget, &demand) {
        return Some(Err(refusal));
    }
    let need = demand.tokens.saturating_sub(budgets.holder().free(&budget.name));
    if let Some(refusal) = last.refusal_for(need, arrived) {
        return Some(Err(refusal));
    }
    for owner in owners(budgets, budget) {
        let Some(owner) = owner else { return Some(decide_as_owner(budgets, budget, demand)) };
        let asked_at = budgets.fleet.base.clock.now();
        let answer = request_tokens(budgets, budget, need, Some(demand), &owner).await;
        if let Some(Err(refusal)) = answer {
            *last = LastShortDraw { asked_at, need, refusal: Some(refusal) };
        }
        if answer.is_some() {
            return answer;
        }
    }
    None
}

/// Decides as the owner, or in a small fleet, after the outlook was read again if it is stale and
/// the request would be refused.
async fn decide_with_recent_outlook(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    demand: RequestDemand,
) -> Result<(), Refusal> {
    let is_admitted = {
        let now = budgets.fleet.base.clock.now();
        let terms = protection_terms(budgets, budget, now);
        budgets.holder().check_protection(&budget.name, &demand, &terms, now).is_ok()
    };
    if is_admitted {
        return Ok(());
    }
    if budgets.fleet.is_small() {
        refresh_stale_outlook(budgets, budget).await;
    }
    decide_as_owner(budgets, budget, demand)
}

/// Decides by the tokens and the counts known here, as the owner or in a small fleet.
pub(crate) fn decide_as_owner(
    budgets: &Budgets,
    budget: &Budget,
    demand: RequestDemand,
) -> Result<(), Refusal> {
    let now = budgets.fleet.base.clock.now();
    let terms = protection_terms(budgets, budget, now);
    if !terms.is_enabled() {
        return Ok(());
    }
    let decision = budgets.holder().check_protection(&budget.name, &demand, &terms, now);
    let is_unavailable = terms.is_store_unavailable;
    decision.map_err(|protected| refuse(budgets, budget, &demand, &protected, is_unavailable))
}

/// Decides as a daemon that reaches no owner.
fn decide_alone(budgets: &Budgets, budget: &Budget, demand: RequestDemand) -> Result<(), Refusal> {
    let now = budgets.fleet.base.clock.now();
    let terms = protection_terms(budgets, budget, now);
    let decision = budgets.holder().decide_alone(&budget.name, &demand, &terms, now);
    decision.map_err(|protected| refuse(budgets, budget, &demand, &protected, true))
}

/// Decides on the token request of another daemon: counts what it reports, and reduces what may be
/// allotted ahead.
///
/// # Errors
/// [`Refusal`] if the caller's request behind it is not admitted.
pub(crate) fn check_token_request(
    budgets: &Budgets,
    budget: &Budget,
    request: &mut TokenRequest,
    now: Millis,
) -> Result<(), Refusal> {
    let terms = protection_terms(budgets, budget, now);
    if !terms.is_enabled() {
        return Ok(());
    }
    let decision = budgets.holder().check_token_request(request, &terms, now);
    let (Err(protected), Some(demand)) = (decision, request.demand) else { return Ok(()) };
    Err(refuse(budgets, budget, &demand, &protected, terms.is_store_unavailable))
}

/// Returns the answer to a token request with the state of the protection.
pub(crate) fn with_state(budgets: &Budgets, budget: &Budget, answer: AllotAnswer) -> AllotAnswer {
    let protection = state(budgets, budget);
    match answer {
        AllotAnswer::Allotted(mut allotted) => {
            allotted.protection = protection;
            AllotAnswer::Allotted(allotted)
        }
        AllotAnswer::Refused(refusal, _) => AllotAnswer::Refused(refusal, protection),
    }
}

/// Returns what this daemon, as the owner or in a small fleet, protects of a budget.
fn state(budgets: &Budgets, budget: &Budget) -> Option<ProtectionState> {
    let now = budgets.fleet.base.clock.now();
    let terms = protection_terms(budgets, budget, now);
    if !terms.is_enabled() {
        return None;
    }
    budgets.holder().protection_state(&budget.name, &terms, now)
}

/// Returns what is protected of a budget, for operators: by this daemon's own decision, or by the
/// last answer of the owner.
pub fn report(budgets: &Budgets, budget: &Budget) -> Option<Value> {
    let now = budgets.fleet.base.clock.now();
    let is_owner_elsewhere = owners(budgets, budget).first().is_some_and(Option::is_some);
    let (state, age_ms) = if is_owner_elsewhere {
        budgets.holder().last_protection(&budget.name, now)?
    } else {
        (state(budgets, budget)?, 0)
    };
    let (forecast, forecast_age_ms) = {
        let holder = budgets.holder();
        (holder.forecast(&budget.name, now), holder.forecast_age(&budget.name, now))
    };
    let is_held_back = |amount: &RankProtection| {
        state.held_back_from.is_some_and(|from| from <= amount.rank)
            || state.reachable <= amount.tokens
    };
    let is_used = |amount: &&RankProtection| amount.tokens > 0;
    let ranks = state.amounts.iter().filter(is_used).map(|amount| {
        json!({
            "from_rank": amount.rank, "protected": amount.tokens,
            "held_back": is_held_back(amount),
        })
    });
    Some(json!({
        "reachable": state.reachable, "ranks": ranks.collect::<Vec<Value>>(), "age_ms": age_ms,
        "decided_here": !is_owner_elsewhere, "counted_here": forecast,
        "counted_age_ms": forecast_age_ms,
    }))
}

/// Logs a refusal with the inputs of the decision and returns it. A request that would not fit
/// either without protection is refused as it would be then.
fn refuse(
    budgets: &Budgets,
    budget: &Budget,
    demand: &RequestDemand,
    protected: &Protected,
    is_store_unavailable: bool,
) -> Refusal {
    let forecast = protected.forecast.iter().map(|rank| {
        format!("rank {}: {:.2}/s of {:.0} tokens", rank.rank, rank.requests_per_s, rank.mean)
    });
    let outlook_age_ms = budgets.holder().outlook_age(&budget.name, budgets.fleet.base.clock.now());
    budgets.fleet.base.metrics.count("budget.protected");
    slog::info!(budgets.fleet.base.log, "budget protected";
        "budget" => %budget.name, "tokens" => demand.tokens, "rank" => demand.rank,
        "left" => protected.reachable, "protected" => protected.protected,
        "forecast" => forecast.collect::<Vec<String>>().join(", "),
        "forecast_age_ms" => protected.forecast_age_ms,
        "outlook_age_ms" => outlook_age_ms,
        "store_unavailable" => is_store_unavailable,
        "retry_after_ms" => protected.retry_after_ms);
    if protected.fits {
        Refusal::protected(protected.protected, protected.retry_after_ms)
    } else if is_store_unavailable {
        Refusal::out_of_reach(RETRY_SOON_MS)
    } else {
        Refusal::short(RETRY_LATER_MS)
    }
}
