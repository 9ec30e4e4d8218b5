//! Requests for tokens from the owner of a budget.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Tokens;
use bankcove_core::holder::{RequestDemand, TokenRequest};
use bankcove_core::members::Peer;
use bankcove_core::table::Budget;

use crate::budget::budgets::Budgets;
use crate::budget::terms::{draw_terms, protection_terms};
use crate::peer::{AllotAnswer, PeerServiceClient, Refusal};

/// Requests tokens from one peer, for the caller's request that `demand` describes or, without
/// one, as a prefetch. Returns `None` if the peer does not answer, or has too few tokens and
/// cannot reach the store.
pub async fn request_tokens(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    need: Tokens,
    demand: Option<RequestDemand>,
    owner: &Peer,
) -> Option<Result<(), Refusal>> {
    if budgets.fleet.connectivity.is_cut_off_from_peers() {
        return None;
    }
    let terms = draw_terms(budgets, budget);
    let now = budgets.fleet.base.clock.now();
    let request =
        budgets.holder().token_request(&budget.name, owner.incarnation, need, &terms, now);
    let request = TokenRequest { demand, ..request };
    let sent = request.clone();
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.gather_timeout_ms);
    let call = |client: PeerServiceClient, cx| async move { client.allot(cx, request).await };
    let answer = budgets.fleet.base.peers.call(&owner.address, timeout, call).await;
    slog::info!(budgets.fleet.base.log, "tokens asked for";
        "budget" => %budget.name, "need" => need, "owner" => %owner.name, "answer" => ?answer,
        "took_ms" => budgets.fleet.base.clock.now().saturating_sub(now));
    match answer {
        Some(AllotAnswer::Allotted(allotted)) => {
            budgets.fleet.members.lock().record_answer(&owner.name, allotted.owner);
            let mut holder = budgets.holder();
            holder.record_allotted(&budget.name, allotted, now);
            holder.record_protection(&sent, allotted.protection, now);
            Some(Ok(()))
        }
        Some(AllotAnswer::Refused(refusal, _)) if refusal.store_away => None,
        Some(AllotAnswer::Refused(refusal, protection)) => {
            budgets.holder().record_protection(&sent, protection, now);
            record_refusal(budgets, budget, &sent, &refusal);
            Some(Err(refusal))
        }
        None => {
            budgets.fleet.members.lock().record_failure(&owner.name);
            None
        }
    }
}

/// Records an owner's refusal, so that it answers further requests for a while.
fn record_refusal(budgets: &Budgets, budget: &Budget, sent: &TokenRequest, refusal: &Refusal) {
    let (Some(protected), Some(demand)) = (refusal.protected, sent.demand) else { return };
    let now = budgets.fleet.base.clock.now();
    let terms = protection_terms(budgets, budget, now);
    let retry_ms = refusal.retry_after_ms;
    let mut holder = budgets.holder();
    holder.record_protection_refusal(&budget.name, &demand, protected, retry_ms, &terms, now);
}
