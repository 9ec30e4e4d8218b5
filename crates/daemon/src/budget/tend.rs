//! Looks once a second at what this daemon holds of each budget.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::members::Peer;
use bankcove_core::table::Budget;

use crate::budget::ask::ask_for_tokens;
use crate::budget::budgets::Budgets;
use crate::budget::owner::store_answers;
use crate::budget::ownership::owners_to_ask;
use crate::budget::reserve::{Source, prepare, refill};
use crate::budget::terms::terms;

/// Pause between two looks at what is held.
const TEND: Duration = Duration::from_millis(1_000);

/// Budgets told one by one each second, of those of which most is held: some 400 bytes.
const BUDGETS_TOLD: usize = 16;

/// Keeps what is held of each budget near what is needed ahead, until the
/// daemon ends: what is held too much would be lost with this host, and is
/// missing elsewhere; what is held too little is missing in a cut. A daemon that
/// stops needs next to nothing: what streams leave over goes back as they end.
pub async fn tend(budgets: Arc<Budgets>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(TEND) => {}
            () = next_phase_of_stop(&budgets) => {}
            () = budgets.fleet.base.shutdown.cancelled() => return,
        }
        log_holdings(&budgets);
        let Some(table) = budgets.table.load_full() else { continue };
        let draws = table.budgets.iter().any(|budget| owners_to_ask(&budgets, budget).is_empty());
        if budgets.leaving.is_cancelled() && draws && !store_answers(&budgets).await {
            // Debited before the outage is known, it could not be handed to a peer.
            continue;
        }
        for budget in &table.budgets {
            tend_one(&budgets, budget);
        }
    }
}

/// Tells each second where the tokens are: the last of these lines before a loss of
/// power is all that says what was lost with it.
fn log_holdings(budgets: &Budgets) {
    let now = budgets.fleet.base.clock.now();
    let (held, most) = {
        let holder = budgets.holder();
        (holder.holdings(), holder.largest_holdings(BUDGETS_TOLD))
    };
    let most: Vec<String> = most.iter().map(ToString::to_string).collect();
    slog::info!(budgets.fleet.base.log, "tokens held";
        "free" => held.free, "reserved" => held.reserved, "running" => held.running.count,
        "running_mean_age_ms" => held.running.mean_age(now), "spent" => held.spent,
        "granted" => held.granted, "received" => held.received, "returned" => held.returned,
        "sent" => held.sent, "most" => most.join(", "),
        "store_heard_ms" => budgets.fleet.contact.store_age(now));
}

/// Waits until a planned stop begins, or enters its next phase; in the last one for
/// ever.
async fn next_phase_of_stop(budgets: &Budgets) {
    if !budgets.leaving.is_cancelled() {
        return budgets.leaving.cancelled().await;
    }
    if !budgets.stopping.is_cancelled() {
        return budgets.stopping.cancelled().await;
    }
    std::future::pending().await
}

fn tend_one(budgets: &Arc<Budgets>, budget: &Budget) {
    let terms = terms(budgets, budget);
    let now = budgets.fleet.base.clock.now();
    let owner = owners_to_ask(budgets, budget).into_iter().next();
    if owner.is_none() && budgets.fleet.contact.is_store_away(now) {
        // Debited and not told, it would serve nobody until the store is back.
        return;
    }
    let returned = match &owner {
        Some(Peer { incarnation: Some(owner), .. }) => {
            budgets.holder().return_surplus_to_owner(&budget.name, *owner, &terms, now)
        }
        // Without word of its start the owner would not take in what goes back to it.
        Some(owner) => {
            meet_owner(budgets, budget, owner);
            0
        }
        None => budgets.holder().return_surplus_to_store(&budget.name, &terms, now),
    };
    if returned == 0 {
        if !budgets.stopping.is_cancelled() {
            prepare(budgets, budget);
        }
        return;
    }
    slog::info!(budgets.fleet.base.log, "tokens given back"; "budget" => %budget.name, "tokens" => returned);
    let (budgets, budget) = (Arc::clone(budgets), budget.clone());
    // Debited already: a draw that is lost is told again by the next one.
    tokio::spawn(async move { refill(&budgets, &budget, 0, Source::Owner(None)).await });
}

/// Asks an owner that was never heard for nothing, if there is something to give back to
/// it: its answer tells its start. Hosts that were owners while a fleet was starting kept
/// a tenth of the largest budget all day without it.
fn meet_owner(budgets: &Arc<Budgets>, budget: &Budget, owner: &Peer) {
    if budgets.holder().free(&budget.name) == 0 {
        return;
    }
    let (budgets, budget, owner) = (Arc::clone(budgets), budget.clone(), owner.clone());
    // The next look gives back, or meets the owner again.
    tokio::spawn(async move { ask_for_tokens(&budgets, &budget, 0, None, &owner).await });
}
