//! Reservation of tokens for requests. Missing tokens are opened, drawn, requested from the owner
//! or borrowed.

use std::sync::Arc;

use bankcove_core::holder::{RequestDemand, Reservation, Shortfall};
use bankcove_core::owner::RETRY_SOON_MS;
use bankcove_core::table::Budget;
use bankcove_core::{Millis, Tokens};

use crate::budget::borrow;
use crate::budget::budgets::{Budgets, LastShortDraw};
use crate::budget::collect::open;
use crate::budget::draws::draw;
use crate::budget::ownership::owners;
use crate::budget::protection::{cached_refusal, decide_as_owner};
use crate::budget::terms::draw_terms;
use crate::budget::token_request::request_tokens;
use crate::peer::Refusal;

/// Maximum number of draws for one request before it is refused; another request may reserve the
/// tokens of each draw first.
const MAX_DRAWS: u32 = 8;

/// Source of more tokens.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum TokenSource {
    /// The budget's owner in a large fleet, else the store; with the caller's request, if any.
    Owner(Option<RequestDemand>),
    /// The store: this daemon was asked as the owner and asks no other owner.
    Store,
}

/// Reserves the most that a request may cost, and draws more tokens if too few are free.
///
/// # Errors
/// [`Refusal`] if too few tokens can be obtained from any reachable source.
pub async fn reserve(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    demand: RequestDemand,
) -> Result<Reservation, Refusal> {
    let arrived = budgets.fleet.base.clock.now();
    let try_now = || budgets.holder().reserve(&budget.name, demand.tokens, arrived);
    if let Ok(reservation) = try_now() {
        if budgets.fleet.base.cfg.limits.witnesses > 0 {
            prefetch(budgets, budget);
        }
        return Ok(reservation);
    }
    obtain(budgets, budget, TokenSource::Owner(Some(demand)), arrived, try_now).await
}

/// Obtains tokens until `try_now` succeeds.
///
/// # Errors
/// [`Refusal`] if too few can be obtained, or if other requests reserved the obtained ones first.
pub(crate) async fn obtain<T>(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    source: TokenSource,
    arrived: Millis,
    try_now: impl Fn() -> Result<T, Shortfall>,
) -> Result<T, Refusal> {
    let last = Arc::clone(budgets.last_short_draws.lock().entry(budget.name.clone()).or_default());
    let mut last = last.lock().await;
    for _ in 0..MAX_DRAWS {
        let Shortfall { missing } = match try_now() {
            Ok(obtained) => return Ok(obtained),
            Err(shortfall) => shortfall,
        };
        if let Some(refusal) = last.refusal_for(missing, arrived) {
            return Err(refusal);
        }
        if let TokenSource::Owner(Some(demand)) = source
            && let Some(refusal) = cached_refusal(budgets, budget, &demand)
        {
            return Err(refusal);
        }
        // Witnesses answer sooner than the store, and also while it is unavailable.
        if open(budgets, &budget.name, missing).await {
            continue;
        }
        let asked_at = budgets.fleet.base.clock.now();
        let Err(refusal) = refill(budgets, budget, missing, source).await else { continue };
        // In a large fleet the owners hold what is available, and they have been asked.
        if budgets.fleet.is_small() && borrow::borrow(budgets, budget, missing).await {
            continue;
        }
        *last = LastShortDraw { asked_at, need: missing, refusal: Some(refusal) };
        return Err(refusal);
    }
    // Other requests reserved the tokens of each draw.
    Err(Refusal::short(RETRY_SOON_MS))
}

/// Fetches `need` more tokens, and some ahead.
///
/// # Errors
/// [`Refusal`] of the asked owner or the store, or if no owner answers.
pub(crate) async fn refill(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    need: Tokens,
    source: TokenSource,
) -> Result<(), Refusal> {
    let (owners, demand) = match source {
        TokenSource::Owner(demand) => (owners(budgets, budget), demand),
        TokenSource::Store => (Vec::new(), None),
    };
    let has_owners = !owners.is_empty();
    for owner in owners {
        let Some(owner) = owner else {
            // The same decision as on the token requests of other daemons.
            demand.map_or(Ok(()), |demand| decide_as_owner(budgets, budget, demand))?;
            return draw(budgets, budget, need).await;
        };
        if let Some(outcome) = request_tokens(budgets, budget, need, demand, &owner).await {
            return outcome;
        }
    }
    let is_unknown = budgets.fleet.base.cfg.limits.witnesses == 0 && budgets.fleet.size().is_none();
    if (has_owners || is_unknown) && !budgets.fleet.connectivity.is_cut_off_from_peers() {
        // If every daemon without an answer wrote to the store itself, their writes would
        // conflict with each other and with those of the owners.
        return Err(Refusal::out_of_reach(RETRY_SOON_MS));
    }
    draw(budgets, budget, need).await
}

/// Opens or draws tokens ahead in a background task if few are free, so that no request waits for
/// it.
pub(crate) fn prefetch(budgets: &Arc<Budgets>, budget: &Budget) {
    let terms = draw_terms(budgets, budget);
    let now = budgets.fleet.base.clock.now();
    let (needs_opening, is_low) = {
        let holder = budgets.holder();
        (holder.needs_opening(&budget.name, now), holder.is_low(&budget.name, &terms, now))
    };
    if !needs_opening && !is_low {
        return;
    }
    if !budgets.begin_prefetch(&budget.name, now) {
        return;
    }
    let (budgets, budget) = (Arc::clone(budgets), budget.clone());
    tokio::spawn(async move {
        let is_opened = needs_opening && open(&budgets, &budget.name, 0).await;
        if !is_opened {
            // No request waits for the result: the next one finds the tokens that were fetched.
            let _refused = refill(&budgets, &budget, 0, TokenSource::Owner(None)).await;
        }
        budgets.end_prefetch(&budget.name);
        if budgets.holder().has_unmet(&budget.name) {
            prefetch(&budgets, &budget);
        }
    });
}
