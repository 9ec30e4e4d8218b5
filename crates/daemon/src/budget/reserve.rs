//! Sets tokens aside for requests, and obtains more: opened, drawn, asked for or borrowed.

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
use crate::budget::terms::draw_terms;
use crate::budget::token_request::request_tokens;
use crate::peer::Refusal;

/// Draws for one request before it is refused: each may bring tokens that
/// another request takes first.
const DRAWS: u32 = 8;

/// How long a refusal answers for others that need as much: asking anew for each
/// request would keep owners and peers busy just when a budget runs out.
const REFUSAL_HOLDS_MS: Millis = 100;

/// Where more tokens come from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum TokenSource {
    /// The budget's owner, in a large fleet; else the store.
    Owner(Option<RequestDemand>),
    /// The store: this daemon was asked as the owner, and asks no further.
    Store,
}

/// Sets what a request may cost aside, drawing more when too little is at hand.
///
/// # Errors
/// [`Refusal`] when too little can be had anywhere in reach.
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

/// Draws until `try_now` has what it takes.
pub(crate) async fn obtain<T>(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    source: TokenSource,
    arrived: Millis,
    try_now: impl Fn() -> Result<T, Shortfall>,
) -> Result<T, Refusal> {
    let last = Arc::clone(budgets.last_short_draws.lock().entry(budget.name.clone()).or_default());
    let mut last = last.lock().await;
    for _ in 0..DRAWS {
        let Shortfall { missing } = match try_now() {
            Ok(obtained) => return Ok(obtained),
            Err(shortfall) => shortfall,
        };
        // A draw that began after this request came, or shortly before, has
        // answered for it too.
        let is_recent = last.asked_at + REFUSAL_HOLDS_MS > arrived;
        if let Some(refusal) = last.refusal
            && refusal.ration.is_none()
            && is_recent
            && missing >= last.need
        {
            return Err(refusal);
        }
        // Witnesses are nearer than the store, and there when it is away.
        if open(budgets, &budget.name, missing).await {
            continue;
        }
        let asked_at = budgets.fleet.base.clock.now();
        let Err(refusal) = refill(budgets, budget, missing, source).await else { continue };
        // In a large fleet owners hold what there is, and they have been asked.
        if budgets.fleet.is_small() && borrow::borrow(budgets, budget, missing).await {
            continue;
        }
        *last = LastShortDraw { asked_at, need: missing, refusal: Some(refusal) };
        return Err(refusal);
    }
    // Others were faster each time.
    Err(Refusal::short(RETRY_SOON_MS))
}

/// Brings `need` more tokens and some ahead.
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
        let Some(owner) = owner else { return draw(budgets, budget, need).await };
        if let Some(outcome) = request_tokens(budgets, budget, need, demand, &owner).await {
            return outcome;
        }
    }
    let is_unknown = budgets.fleet.base.cfg.limits.witnesses == 0 && budgets.fleet.size().is_none();
    if (has_owners || is_unknown) && !budgets.fleet.contact.is_alone() {
        // Were all that get no answer to write themselves, they would stand in
        // each other's way, and in the owners'.
        return Err(Refusal::out_of_reach(RETRY_SOON_MS));
    }
    draw(budgets, budget, need).await
}

/// Opens and draws ahead when little is left, away from the path of any request.
pub(crate) fn prefetch(budgets: &Arc<Budgets>, budget: &Budget) {
    let terms = draw_terms(budgets, budget);
    let now = budgets.fleet.base.clock.now();
    let (closes, runs_low) = {
        let holder = budgets.holder();
        (holder.needs_opening(&budget.name, now), holder.is_low(&budget.name, &terms, now))
    };
    if !closes && !runs_low {
        return;
    }
    if !budgets.begin_prefetch(&budget.name, now) {
        return;
    }
    let (budgets, budget) = (Arc::clone(budgets), budget.clone());
    tokio::spawn(async move {
        let is_opened = closes && open(&budgets, &budget.name, 0).await;
        if !is_opened {
            // Nobody waits for it: the next request finds out what came.
            let _refused = refill(&budgets, &budget, 0, TokenSource::Owner(None)).await;
        }
        budgets.end_prefetch(&budget.name);
        if budgets.holder().has_unmet(&budget.name) {
            prefetch(&budgets, &budget);
        }
    });
}
