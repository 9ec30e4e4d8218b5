//! Tokens that peers lend while no more can be drawn from the store.
//!
//! Hosts that are cut off from the store mostly still reach each other: measured
//! on the users' calm days, where all of them lose the store for 7 to 9 s and no
//! heartbeat fails. What one daemon holds too much another one lacks.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Tokens;
use bankcove_core::members::Peer;
use bankcove_core::table::Budget;
use futures::future::join_all;

use crate::budget::budgets::Budgets;
use crate::budget::terms::draw_terms;
use crate::peer::PeerServiceClient;

/// Peers asked at once: all others of a small fleet, others each time in a large
/// one, so that in the end any peer's tokens can be had.
const LENDERS: usize = 10;

/// Rounds of asking: first each for its part, then each for all that is missing.
const ROUNDS: u32 = 2;

/// In the first round peers are together asked for so many times what is missing,
/// because not each of them can lend its part.
const ASKED_PER_MISSING: Tokens = 2;

/// Borrows `missing` tokens; whether all of them came.
pub async fn borrow(budgets: &Arc<Budgets>, budget: &Budget, missing: Tokens) -> bool {
    // Sealed grants are collected by the owner.
    if budgets.fleet.base.cfg.limits.witnesses > 0 || budgets.fleet.contact.is_alone() {
        return false;
    }
    let lenders = budgets.fleet.members.lock().sample(LENDERS, rand::random());
    let mut borrowed = 0;
    for round in 0..ROUNDS {
        if lenders.is_empty() || borrowed >= missing {
            break;
        }
        let wanted = missing - borrowed;
        let part = (wanted * ASKED_PER_MISSING).div_ceil(lenders.len() as Tokens);
        let each = if round == 0 { part.min(wanted) } else { wanted };
        let asked = lenders.iter().map(|peer| borrow_from(budgets, budget, peer, each));
        borrowed += join_all(asked).await.into_iter().sum::<Tokens>();
    }
    slog::info!(budgets.fleet.base.log, "tokens borrowed";
        "budget" => %budget.name, "missing" => missing, "borrowed" => borrowed,
        "peers" => lenders.len());
    borrowed >= missing
}

async fn borrow_from(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    peer: &Peer,
    tokens: Tokens,
) -> Tokens {
    let terms = draw_terms(budgets, budget);
    let now = budgets.fleet.base.clock.now();
    let mut ask = budgets.holder().token_request(&budget.name, peer.incarnation, 0, &terms, now);
    ask.want = tokens;
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.gather_timeout_ms);
    let call = |client: PeerServiceClient, cx| async move { client.lend(cx, ask).await };
    match budgets.fleet.base.peers.call(&peer.address, timeout, call).await {
        Some(lent) => budgets.holder().record_loan(&budget.name, lent),
        None => {
            budgets.fleet.members.lock().record_failure(&peer.name);
            0
        }
    }
}
