//! Draws on the store through the owners of budget shards.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::holder::Draw;
use bankcove_core::owner::{PREFETCH_DELAY_MS, RETRY_SOON_MS, Reply, Request};
use bankcove_core::table::Budget;
use bankcove_core::{Millis, Name, Tokens};
use futures::future::join_all;

use crate::budget::budgets::{Budgets, OWNER_KEY};
use crate::budget::collect::witnesses;
use crate::budget::hand_over::hand_over;
use crate::budget::owner::{ask_local_owner, is_store_reachable, shard_of_request};
use crate::budget::terms::draw_terms;
use crate::peer::{OwnerAnswer, PeerServiceClient, Refusal};

/// Number of peers asked to write on behalf of a daemon that cannot reach the store.
const MAX_RELAYS: usize = 2;

/// Draws `need` more tokens from the store, and some ahead.
///
/// In a separate task, because the request that waits for the draw may end before it. If its answer
/// were lost, tokens would be granted that this daemon does not know of.
pub(crate) async fn draw(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    need: Tokens,
) -> Result<(), Refusal> {
    let drawing = tokio::spawn(draw_to_end(Arc::clone(budgets), budget.clone(), need));
    // It fails only when the runtime shuts down.
    drawing.await.unwrap_or_else(|_| Err(Refusal::out_of_reach(RETRY_SOON_MS)))
}

async fn draw_to_end(budgets: Arc<Budgets>, budget: Budget, need: Tokens) -> Result<(), Refusal> {
    let (budgets, budget) = (&budgets, &budget);
    let terms = draw_terms(budgets, budget);
    let now = budgets.fleet.base.clock.now();
    let address = budgets.fleet.base.cfg.peer_address();
    let witnesses = witnesses(budgets);
    let draw = {
        // Under one lock: any later opening also needs the agreement of the new witnesses.
        let mut holder = budgets.holder();
        holder.propose_witnesses(&budget.name, &witnesses);
        let draw = holder.draw(&budget.name, need, terms, address, now);
        Draw { witnesses: witnesses.clone(), ..draw }
    };
    let request = Request::Draw(draw);
    // In a large fleet the budget has its own owner, and the shard another one, whose writes
    // serve all budgets of the shard.
    let answer = ask_owner(budgets, request).await;
    log_draw(budgets, budget, need, &answer.reply, now);
    let mut holder = budgets.holder();
    if let Some((owner, cumulative)) = answer.sent {
        holder.record_received(&budget.name, owner, cumulative);
    }
    match answer.reply {
        Reply::Granted { granted, opened, recorded, outlook, earlier_start } => {
            holder.set_earlier_start(&budget.name, earlier_start);
            if let Some(outlook) = outlook {
                holder.set_outlook(&budget.name, outlook, now);
                holder.record_outlook_row(&budget.name, budget.tokens);
            }
            holder.record_granted(&budget.name, granted);
            holder.record_opened(&budget.name, opened);
            if recorded {
                holder.set_recorded_witnesses(&budget.name, &witnesses);
            }
            Ok(())
        }
        Reply::Short { retry_after_ms } => Err(Refusal::short(retry_after_ms)),
        Reply::StoreAway { retry_after_ms } => Err(Refusal::out_of_reach(retry_after_ms)),
        Reply::Recorded => Ok(()),
    }
}

fn log_draw(budgets: &Budgets, budget: &Budget, need: Tokens, reply: &Reply, asked_at: Millis) {
    let (free, rate) = {
        let holder = budgets.holder();
        (holder.free(&budget.name), holder.rate(&budget.name, asked_at))
    };
    slog::info!(budgets.fleet.base.log, "tokens drawn";
        "budget" => %budget.name, "need" => need, "reply" => ?reply, "free_before" => free,
        "tokens_per_s" => rate, "took_ms" => budgets.fleet.base.clock.now().saturating_sub(asked_at));
}

/// Sends a request to the owner of the budget's shard: the first daemon that answers of the first
/// few in rendezvous order, else this daemon itself. In a small fleet this daemon comes first.
pub async fn ask_owner(budgets: &Arc<Budgets>, request: Request) -> OwnerAnswer {
    if budgets.fleet.is_small() || budgets.fleet.connectivity.is_cut_off_from_peers() {
        return ask_self_first(budgets, request).await;
    }
    let shard = shard_of_request(budgets, &request);
    let owners = budgets
        .fleet
        .members
        .lock()
        .owners(OWNER_KEY + u64::from(shard), budgets.fleet.base.cfg.limits.owners_tried);
    let timeout = owner_timeout(budgets, &request);
    for owner in owners {
        let Some(owner) = owner else { break };
        if budgets.fleet.connectivity.is_cut_off_from_peers() {
            // No peer answers: each further one would only add its timeout.
            break;
        }
        let mut request = request.clone();
        if let (Request::Draw(draw), Some(incarnation)) = (&mut request, owner.incarnation) {
            draw.received = budgets.holder().received_from(&draw.budget, incarnation);
        }
        let call =
            |client: PeerServiceClient, cx| async move { client.ask_owner(cx, request).await };
        match budgets.fleet.base.peers.call(&owner.address, timeout, call).await {
            Some(OwnerAnswer { reply: Reply::StoreAway { .. }, sent: None }) => {
                // The owner alone may be unable to reach the store.
            }
            Some(answer) => return answer,
            None => {
                budgets.fleet.members.lock().record_failure(&owner.name);
            }
        }
    }
    ask_local_owner(budgets, request).await
}

/// Returns the timeout of a request to an owner, which delays prefetches to batch them with other
/// draws.
fn owner_timeout(budgets: &Budgets, request: &Request) -> Duration {
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.peer_timeout_ms);
    match request {
        Request::Draw(draw) if draw.need == 0 => timeout + Duration::from_millis(PREFETCH_DELAY_MS),
        _ => timeout,
    }
}

/// Handles the request in this daemon, or through peers that may reach the store if this daemon
/// cannot.
async fn ask_self_first(budgets: &Arc<Budgets>, request: Request) -> OwnerAnswer {
    let answer = ask_local_owner(budgets, request.clone()).await;
    if !matches!(answer.reply, Reply::StoreAway { .. })
        || budgets.fleet.connectivity.is_cut_off_from_peers()
    {
        return answer;
    }
    let key = OWNER_KEY + u64::from(shard_of_request(budgets, &request));
    let peers = budgets.fleet.members.lock().owners(key, MAX_RELAYS + 1);
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.gather_timeout_ms);
    for peer in peers.into_iter().flatten().take(MAX_RELAYS) {
        let request = request.clone();
        let call =
            |client: PeerServiceClient, cx| async move { client.ask_owner(cx, request).await };
        match budgets.fleet.base.peers.call(&peer.address, timeout, call).await {
            Some(OwnerAnswer { reply: Reply::StoreAway { .. }, .. }) => {}
            Some(answer) => return answer,
            None => budgets.fleet.members.lock().record_failure(&peer.name),
        }
    }
    answer
}

/// Gives all unspent tokens back to the store for a graceful shutdown, or hands them over to a peer
/// if the store is unavailable. Returns whether the store has recorded all of them.
pub async fn retire(budgets: &Arc<Budgets>) -> bool {
    if !is_store_reachable(budgets).await {
        // Tokens transferred to a peer are already debited and are not given back again if the
        // store returns.
        hand_over(budgets).await;
        return false;
    }
    let kept: Vec<(Name, i64)> = {
        let mut holder = budgets.holder();
        let names: Vec<Name> = holder.accounts().keys().cloned().collect();
        names.into_iter().map(|name| (name.clone(), holder.retire(&name))).collect()
    };
    let holder = budgets.fleet.base.incarnation;
    let requests = kept
        .into_iter()
        .map(|(budget, kept)| ask_owner(budgets, Request::Retire { budget, holder, kept }));
    let answers = join_all(requests).await;
    answers.iter().all(|answer| answer.reply == Reply::Recorded)
}
