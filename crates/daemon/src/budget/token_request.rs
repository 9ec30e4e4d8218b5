//! Asks the owner of a budget for tokens.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Tokens;
use bankcove_core::holder::{RequestDemand, TokenRequest};
use bankcove_core::members::Peer;
use bankcove_core::table::Budget;

use crate::budget::budgets::Budgets;
use crate::budget::terms::draw_terms;
use crate::peer::{AllotAnswer, PeerServiceClient, Refusal};

/// Asks one peer for tokens, for the request that `demand` tells of or ahead; none when it
/// does not answer, or has none and is cut off from the store itself.
pub async fn request_tokens(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    need: Tokens,
    demand: Option<RequestDemand>,
    owner: &Peer,
) -> Option<Result<(), Refusal>> {
    if budgets.fleet.contact.is_alone() {
        return None;
    }
    let terms = draw_terms(budgets, budget);
    let now = budgets.fleet.base.clock.now();
    let ask = budgets.holder().token_request(&budget.name, owner.incarnation, need, &terms, now);
    let ask = TokenRequest { demand, ..ask };
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.gather_timeout_ms);
    let call = |client: PeerServiceClient, cx| async move { client.allot(cx, ask).await };
    let answer = budgets.fleet.base.peers.call(&owner.address, timeout, call).await;
    slog::info!(budgets.fleet.base.log, "tokens asked for";
        "budget" => %budget.name, "need" => need, "owner" => %owner.name, "answer" => ?answer,
        "took_ms" => budgets.fleet.base.clock.now().saturating_sub(now));
    match answer {
        Some(AllotAnswer::Allotted(allotted)) => {
            budgets.fleet.members.lock().record_answer(&owner.name, allotted.owner);
            budgets.holder().record_allotted(&budget.name, allotted, now);
            Some(Ok(()))
        }
        Some(AllotAnswer::Refused(refusal)) if refusal.store_away => None,
        Some(AllotAnswer::Refused(refusal)) => Some(Err(refusal)),
        None => {
            budgets.fleet.members.lock().record_failure(&owner.name);
            None
        }
    }
}
