//! Periodic check, once a second, of the tokens that this daemon holds of each budget.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Name;
use bankcove_core::members::Peer;
use bankcove_core::table::{Budget, Table};

use crate::budget::budgets::Budgets;
use crate::budget::owner::is_store_reachable;
use crate::budget::ownership::{draws_itself, owners_to_ask};
use crate::budget::reserve::{TokenSource, prefetch, refill};
use crate::budget::terms::draw_terms;
use crate::budget::token_request::request_tokens;

/// Pause between two checks of the held tokens.
const CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of budgets in the log line of each second, those with the most tokens held: some
/// 400 bytes.
const MAX_LOGGED_BUDGETS: usize = 16;

/// Keeps the tokens held of each budget near the prefetch target until the daemon ends. A surplus
/// is missing elsewhere and would be lost with this host; a shortage is missing during a network
/// cut. A stopping daemon needs almost no tokens: what its streams leave unspent is given back as
/// they end.
pub async fn rebalance(budgets: Arc<Budgets>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = next_phase_of_stop(&budgets) => {}
            () = budgets.fleet.base.shutdown.cancelled() => return,
        }
        log_holdings(&budgets);
        budgets.holder().forget_idle_usage(budgets.fleet.base.clock.now());
        let Some(table) = budgets.table.load_full() else { continue };
        let draws = table.budgets.iter().any(|budget| draws_itself(&budgets, budget));
        if budgets.leaving.is_cancelled() && draws && !is_store_reachable(&budgets).await {
            // Tokens debited before the outage is known could not be handed over to a peer.
            continue;
        }
        for budget in budgets_to_check(&budgets, &table) {
            rebalance_budget(&budgets, budget);
        }
    }
}

/// Returns the budgets of which this daemon holds tokens or has to hold some: those that it has
/// used, and those that it draws on for others. In a large fleet they are a small part of all.
fn budgets_to_check<'a>(budgets: &Budgets, table: &'a Table) -> Vec<&'a Budget> {
    let used: HashSet<Name> = budgets.holder().accounts().keys().cloned().collect();
    let is_due = |budget: &&Budget| used.contains(&budget.name) || draws_itself(budgets, budget);
    table.budgets.iter().filter(is_due).collect()
}

/// Logs the token totals of this daemon. The last of these lines before a loss of power is the only
/// record of the tokens lost with it.
fn log_holdings(budgets: &Budgets) {
    let now = budgets.fleet.base.clock.now();
    let (held, largest) = {
        let holder = budgets.holder();
        (holder.holdings(), holder.largest_holdings(MAX_LOGGED_BUDGETS))
    };
    let largest: Vec<String> = largest.iter().map(ToString::to_string).collect();
    slog::info!(budgets.fleet.base.log, "tokens held";
        "free" => held.free, "reserved" => held.reserved, "running" => held.running.count,
        "running_mean_age_ms" => held.running.mean_age(now), "spent" => held.spent,
        "granted" => held.granted, "received" => held.received, "returned" => held.returned,
        "sent" => held.sent, "most" => largest.join(", "),
        "store_heard_ms" => budgets.fleet.connectivity.store_age(now));
}

/// Waits until a graceful shutdown begins or enters its next phase; never returns in the last one.
async fn next_phase_of_stop(budgets: &Budgets) {
    if !budgets.leaving.is_cancelled() {
        return budgets.leaving.cancelled().await;
    }
    if !budgets.stopping.is_cancelled() {
        return budgets.stopping.cancelled().await;
    }
    std::future::pending().await
}

/// Gives back the surplus of one budget, or prefetches tokens if there is none.
fn rebalance_budget(budgets: &Arc<Budgets>, budget: &Budget) {
    let terms = draw_terms(budgets, budget);
    let now = budgets.fleet.base.clock.now();
    let owner = owners_to_ask(budgets, budget).into_iter().next();
    if owner.is_none() && budgets.fleet.connectivity.is_store_unavailable(now) {
        // Tokens that are debited but not reported would be unusable until the store returns.
        return;
    }
    let returned = match &owner {
        Some(Peer { incarnation: Some(owner), .. }) => {
            budgets.holder().return_surplus_to_owner(&budget.name, *owner, &terms, now)
        }
        // An owner does not record tokens given back to an unknown incarnation of it.
        Some(owner) => {
            query_owner_incarnation(budgets, budget, owner);
            0
        }
        None => budgets.holder().return_surplus_to_store(&budget.name, &terms, now),
    };
    if returned == 0 {
        if !budgets.stopping.is_cancelled() {
            prefetch(budgets, budget);
        }
        return;
    }
    slog::info!(budgets.fleet.base.log, "tokens given back"; "budget" => %budget.name, "tokens" => returned);
    let (budgets, budget) = (Arc::clone(budgets), budget.clone());
    // The tokens are already debited: if this message is lost, the next one reports them again.
    tokio::spawn(async move { refill(&budgets, &budget, 0, TokenSource::Owner(None)).await });
}

/// Sends a request for 0 tokens to an owner whose incarnation is unknown, if there are tokens to
/// give back: the answer contains the incarnation. Without it, hosts that were owners while a fleet
/// was starting kept a tenth of the largest budget all day.
fn query_owner_incarnation(budgets: &Arc<Budgets>, budget: &Budget, owner: &Peer) {
    if budgets.holder().free(&budget.name) == 0 {
        return;
    }
    let (budgets, budget, owner) = (Arc::clone(budgets), budget.clone(), owner.clone());
    // The next check gives the surplus back, or queries the owner again.
    tokio::spawn(async move { request_tokens(&budgets, &budget, 0, None, &owner).await });
}
