//! Loans of tokens between peers while no more can be drawn from the store.
//!
//! Hosts that are cut off from the store mostly still reach each other: on the users' calm days all
//! hosts lose the store for 7 to 9 s while no heartbeat fails. The surplus of one daemon can then
//! serve the requests of another.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Tokens;
use bankcove_core::members::Peer;
use bankcove_core::table::Budget;
use futures::future::join_all;

use crate::budget::budgets::Budgets;
use crate::budget::terms::draw_terms;
use crate::peer::PeerServiceClient;

/// Number of peers asked concurrently: all peers of a small fleet, and a new random sample each
/// time in a large one, so that the tokens of every peer can be borrowed eventually.
const MAX_LENDERS: usize = 10;

/// Number of rounds: the first asks each peer for a part, the second asks each for all that is
/// still missing.
const MAX_ROUNDS: u32 = 2;

/// Total requested in the first round, as a multiple of the missing tokens: not every peer can
/// lend its part.
const FIRST_ROUND_FACTOR: Tokens = 2;

/// Borrows `missing` tokens from peers; returns whether all of them were received.
pub async fn borrow(budgets: &Arc<Budgets>, budget: &Budget, missing: Tokens) -> bool {
    // With witnesses, grants are sealed and the owner collects them.
    if budgets.fleet.base.cfg.limits.witnesses > 0
        || budgets.fleet.connectivity.is_cut_off_from_peers()
    {
        return false;
    }
    let lenders = budgets.fleet.members.lock().sample(MAX_LENDERS, rand::random());
    let mut borrowed = 0;
    for round in 0..MAX_ROUNDS {
        if lenders.is_empty() || borrowed >= missing {
            break;
        }
        let still_missing = missing - borrowed;
        let part = (still_missing * FIRST_ROUND_FACTOR).div_ceil(lenders.len() as Tokens);
        let tokens_per_peer = if round == 0 { part.min(still_missing) } else { still_missing };
        let loans = lenders.iter().map(|peer| borrow_from(budgets, budget, peer, tokens_per_peer));
        borrowed += join_all(loans).await.into_iter().sum::<Tokens>();
    }
    slog::info!(budgets.fleet.base.log, "tokens borrowed";
        "budget" => %budget.name, "missing" => missing, "borrowed" => borrowed,
        "peers" => lenders.len());
    borrowed >= missing
}

/// Asks one peer for a loan; returns the number of tokens received.
async fn borrow_from(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    peer: &Peer,
    tokens: Tokens,
) -> Tokens {
    let terms = draw_terms(budgets, budget);
    let now = budgets.fleet.base.clock.now();
    let mut request =
        budgets.holder().token_request(&budget.name, peer.incarnation, 0, &terms, now);
    request.want = tokens;
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.gather_timeout_ms);
    let call = |client: PeerServiceClient, cx| async move { client.lend(cx, request).await };
    match budgets.fleet.base.peers.call(&peer.address, timeout, call).await {
        Some(lent) => budgets.holder().record_loan(&budget.name, lent),
        None => {
            budgets.fleet.members.lock().record_failure(&peer.name);
            0
        }
    }
}
