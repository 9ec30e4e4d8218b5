//! Draws of this daemon on the store, by way of the owners of budget shards.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::holder::Draw;
use bankcove_core::owner::{AHEAD_WAIT_MS, Reply, Request};
use bankcove_core::table::Budget;
use bankcove_core::{Millis, Name, Tokens};
use futures::future::join_all;

use crate::budget::budgets::{OWNER_KEY, Refusal, terms};
use crate::budget::collect::witnesses;
use crate::budget::hand_over::hand_over;
use crate::budget::owner::{ask_local_owner, shard_of_request, store_answers};
use crate::daemon::Daemon;
use crate::fleet::is_small_fleet;
use crate::peer::{OwnerAnswer, PeerServiceClient};

/// Peers that are asked to write for a daemon that does not reach the store.
const RELAYS: usize = 2;

/// Draws `need` more tokens from the store and some ahead.
pub(crate) async fn draw(
    daemon: &Arc<Daemon>,
    budget: &Budget,
    need: Tokens,
) -> Result<(), Refusal> {
    let terms = terms(daemon, budget);
    let now = daemon.clock.now();
    let address = daemon.cfg.peer_address();
    let witnesses = witnesses(daemon);
    let draw = {
        // In one step: what is opened later needs the new witnesses' word too.
        let mut holder = daemon.budgets.holder();
        holder.propose_witnesses(&budget.name, &witnesses);
        let draw = holder.draw(&budget.name, need, terms, address, now);
        Draw { witnesses: witnesses.clone(), ..draw }
    };
    let request = Request::Draw(draw);
    // In a large fleet each budget has an owner of its own and the shard another one,
    // whose writes serve all budgets in it.
    let answer = ask_owner(daemon, request).await;
    log_draw(daemon, budget, need, &answer.reply, now);
    let mut holder = daemon.budgets.holder();
    if let Some((owner, cumulative)) = answer.sent {
        holder.received(&budget.name, owner, cumulative);
    }
    match answer.reply {
        Reply::Granted { granted, opened, recorded, outlook, earlier_start } => {
            holder.told_earlier_start(&budget.name, earlier_start);
            if let Some(outlook) = outlook {
                holder.known(&budget.name, outlook, now);
            }
            holder.granted(&budget.name, granted);
            holder.opened(&budget.name, opened);
            if recorded {
                holder.witnesses_recorded(&budget.name, &witnesses);
            }
            Ok(())
        }
        Reply::Short { retry_after_ms } => Err(Refusal::short(retry_after_ms)),
        Reply::StoreAway { retry_after_ms } => Err(Refusal::out_of_reach(retry_after_ms)),
        Reply::Recorded => Ok(()),
    }
}

fn log_draw(daemon: &Daemon, budget: &Budget, need: Tokens, reply: &Reply, asked_at: Millis) {
    let (free, rate) = {
        let holder = daemon.budgets.holder();
        (holder.free(&budget.name), holder.rate(&budget.name, asked_at))
    };
    slog::info!(daemon.log, "tokens drawn";
        "budget" => %budget.name, "need" => need, "reply" => ?reply, "free_before" => free,
        "tokens_per_s" => rate, "took_ms" => daemon.clock.now().saturating_sub(asked_at));
}

/// Asks the owner of the budget's shard: the first that answers of the first
/// few in rendezvous order, else this daemon itself.
pub async fn ask_owner(daemon: &Arc<Daemon>, request: Request) -> OwnerAnswer {
    if is_small_fleet(daemon) || daemon.contact.is_alone() {
        return ask_self_first(daemon, request).await;
    }
    let shard = shard_of_request(daemon, &request);
    let owners =
        daemon.members.lock().owners(OWNER_KEY + u64::from(shard), daemon.cfg.limits.owners_tried);
    let timeout = owner_timeout(daemon, &request);
    for owner in owners {
        let Some(owner) = owner else { break };
        if daemon.contact.is_alone() {
            // Nobody answers: each further peer would only take its time.
            break;
        }
        let mut request = request.clone();
        if let (Request::Draw(draw), Some(incarnation)) = (&mut request, owner.incarnation) {
            draw.received = daemon.budgets.holder().received_from(&draw.budget, incarnation);
        }
        let ask =
            |client: PeerServiceClient, cx| async move { client.ask_owner(cx, request).await };
        match daemon.peers.call(&owner.address, timeout, ask).await {
            Some(OwnerAnswer { reply: Reply::StoreAway { .. }, sent: None }) => {
                // The owner may be cut off from the store alone.
            }
            Some(answer) => return answer,
            None => {
                daemon.members.lock().failed(&owner.name);
            }
        }
    }
    ask_local_owner(daemon, request).await
}

/// How long an owner's answer is waited for: draws ahead wait there for others.
fn owner_timeout(daemon: &Daemon, request: &Request) -> Duration {
    let timeout = Duration::from_millis(daemon.cfg.limits.peer_timeout_ms);
    match request {
        Request::Draw(draw) if draw.need == 0 => timeout + Duration::from_millis(AHEAD_WAIT_MS),
        _ => timeout,
    }
}

/// Writes the shard itself; when the store is out of reach, by way of peers
/// that may reach it.
async fn ask_self_first(daemon: &Arc<Daemon>, request: Request) -> OwnerAnswer {
    let answer = ask_local_owner(daemon, request.clone()).await;
    if !matches!(answer.reply, Reply::StoreAway { .. }) || daemon.contact.is_alone() {
        return answer;
    }
    let key = OWNER_KEY + u64::from(shard_of_request(daemon, &request));
    let peers = daemon.members.lock().owners(key, RELAYS + 1);
    let timeout = Duration::from_millis(daemon.cfg.limits.gather_timeout_ms);
    for peer in peers.into_iter().flatten().take(RELAYS) {
        let request = request.clone();
        let ask =
            |client: PeerServiceClient, cx| async move { client.ask_owner(cx, request).await };
        match daemon.peers.call(&peer.address, timeout, ask).await {
            Some(OwnerAnswer { reply: Reply::StoreAway { .. }, .. }) => {}
            Some(answer) => return answer,
            None => daemon.members.lock().failed(&peer.name),
        }
    }
    answer
}

/// Gives every unspent token back to the store, for a planned stop. Returns
/// whether the store has recorded all of it.
pub async fn retire(daemon: &Arc<Daemon>) -> bool {
    if !store_answers(daemon).await {
        // What a peer has is not debited a second time should the store be back.
        hand_over(daemon).await;
        return false;
    }
    let kept: Vec<(Name, i64)> = {
        let mut holder = daemon.budgets.holder();
        let names: Vec<Name> = holder.accounts().keys().cloned().collect();
        names.into_iter().map(|name| (name.clone(), holder.retire(&name))).collect()
    };
    let holder = daemon.incarnation;
    let requests = kept
        .into_iter()
        .map(|(budget, kept)| ask_owner(daemon, Request::Retire { budget, holder, kept }));
    let answers = join_all(requests).await;
    answers.iter().all(|answer| answer.reply == Reply::Recorded)
}
