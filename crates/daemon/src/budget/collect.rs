//! Sealed grants: opening them with witnesses, collecting free tokens from other daemons, and
//! reclaiming the grants of holders that are gone.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::members::Peer;
use bankcove_core::owner::{Event, HolderRef, Request};
use bankcove_core::shard::shard_of_budget;
use bankcove_core::witness::Witness;
use bankcove_core::{Incarnation, Millis, Name, Tokens};
use futures::future::join_all;
use xxhash_rust::xxh3::xxh3_64;

use crate::base::tcp::{ProbeResult, probe};
use crate::budget::budgets::{Budgets, OWNER_KEY};
use crate::peer::{GiveAnswer, PeerServiceClient};

/// Time for which a holder that did not answer is skipped in collections, in milliseconds.
const UNRESPONSIVE_HOLDER_MS: Millis = 2_000;

/// Number of peers asked in a collection although no grant to them is known: the first in the
/// ranking of the shard's owners.
const MAX_UNLISTED_HOLDERS: usize = 32;

/// Returns the peers that serve as witnesses of the openings of this daemon while the store is
/// unavailable.
pub fn witnesses(budgets: &Budgets) -> Vec<Witness> {
    let key = xxh3_64(budgets.fleet.base.cfg.name.as_str().as_bytes());
    let count = budgets.fleet.base.cfg.limits.witnesses;
    let ranked = budgets.fleet.members.lock().owners(key, count + 1);
    let peers = ranked.into_iter().flatten().take(count);
    let witness = |peer: Peer| {
        Some(Witness { incarnation: peer.incarnation?, address: Arc::from(peer.address) })
    };
    peers.filter_map(witness).collect()
}

/// Opens `tokens` more of this daemon's grant, and some ahead, if all its witnesses agree. Returns
/// false if nothing is sealed or not all of them agree.
pub async fn open(budgets: &Arc<Budgets>, budget: &Name, tokens: Tokens) -> bool {
    let now = budgets.fleet.base.clock.now();
    let Some(opening) = budgets.holder().next_opening(budget, tokens, now) else {
        return false;
    };
    let (own_incarnation, opened) = (budgets.fleet.base.incarnation, opening.opened);
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.gather_timeout_ms);
    let calls = opening.witnesses.iter().map(|witness| {
        let (budget, incarnation) = (budget.clone(), witness.incarnation);
        let call = move |client: PeerServiceClient, cx| async move {
            client.open(cx, own_incarnation, incarnation, budget, opened).await
        };
        budgets.fleet.base.peers.call(&witness.address, timeout, call)
    });
    let agreed = join_all(calls).await.into_iter().all(|agreed| agreed == Some(true));
    agreed && budgets.holder().confirm_opening(budget, &opening)
}

/// Transfers up to `max_tokens` free tokens to `receiver`, after opening as much of the sealed
/// grant as the witnesses agree to. `received` is the cumulative sum that the receiver has received.
pub async fn send_free_tokens(
    budgets: &Arc<Budgets>,
    budget: &Name,
    receiver: Incarnation,
    received: Tokens,
    max_tokens: Tokens,
) -> GiveAnswer {
    if budgets.holder().sealed(budget) > 0 {
        open(budgets, budget, Tokens::MAX).await;
    }
    let mut holder = budgets.holder();
    let cumulative = holder.transfer(budget, receiver, received, max_tokens);
    let more_later = holder.reserved(budget) + holder.sealed(budget);
    GiveAnswer::Sent { cumulative, reserved: more_later }
}

/// Collects the free tokens of a budget from the listed holders and from other likely holders.
pub async fn collect_free_tokens(
    budgets: Arc<Budgets>,
    budget: Name,
    listed: Vec<HolderRef>,
) -> Event {
    let holders = add_unlisted_holders(&budgets, &budget, listed);
    if budgets.holder().sealed(&budget) > 0 {
        open(&budgets, &budget, Tokens::MAX).await;
    }
    let now = budgets.fleet.base.clock.now();
    let unresponsive: HashSet<Incarnation> = {
        let mut unresponsive = budgets.unresponsive.lock();
        unresponsive.retain(|_, until| *until > now);
        unresponsive.keys().copied().collect()
    };
    let skipped = holders.iter().any(|holder| unresponsive.contains(&holder.incarnation));
    let asked = holders.iter().filter(|holder| !unresponsive.contains(&holder.incarnation));
    let answers = join_all(asked.map(|holder| collect_from_holder(&budgets, &budget, holder)));
    let answers = answers.await;
    let more_elsewhere = answers.iter().any(|more| *more);
    let (free, reserved) = {
        let holder = budgets.holder();
        (holder.free(&budget), holder.reserved(&budget))
    };
    slog::info!(budgets.fleet.base.log, "tokens collected";
        "budget" => %budget, "free" => free, "holders" => holders.len(),
        "asked" => answers.len(), "peers" => budgets.fleet.members.lock().usable().count(),
        "took_ms" => budgets.fleet.base.clock.now().saturating_sub(now));
    let more_expected = skipped || more_elsewhere || reserved > 0;
    Event::Collected { free, budget, more_expected }
}

/// Adds daemons that may hold tokens without a grant: those to which this daemon has sent tokens,
/// and peers that may have collected tokens as earlier owners.
fn add_unlisted_holders(
    budgets: &Arc<Budgets>,
    budget: &Name,
    listed: Vec<HolderRef>,
) -> Vec<HolderRef> {
    let receivers: HashSet<Incarnation> = budgets.holder().receivers(budget).into_iter().collect();
    let key =
        OWNER_KEY + u64::from(shard_of_budget(budget, budgets.fleet.base.cfg.limits.budget_shards));
    let members = budgets.fleet.members.lock();
    let ranked = members.owners(key, MAX_UNLISTED_HOLDERS).into_iter().flatten();
    let sent_to = members.usable().filter(|peer| {
        peer.incarnation.is_some_and(|incarnation| receivers.contains(&incarnation))
    });
    let unlisted = ranked.chain(sent_to.cloned()).filter_map(|peer| {
        let (incarnation, address) = (peer.incarnation?, Arc::from(peer.address));
        Some(HolderRef { incarnation, address, witnesses: Vec::new() })
    });
    let mut holders: HashMap<Incarnation, HolderRef> =
        listed.into_iter().map(|holder| (holder.incarnation, holder)).collect();
    for holder in unlisted {
        holders.entry(holder.incarnation).or_insert(holder);
    }
    holders.into_values().collect()
}

/// Collects from one holder; returns whether a later collection may yield more from it.
async fn collect_from_holder(budgets: &Arc<Budgets>, budget: &Name, holder: &HolderRef) -> bool {
    let (own_incarnation, incarnation) = (budgets.fleet.base.incarnation, holder.incarnation);
    let received = budgets.holder().received_from(budget, incarnation);
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.gather_timeout_ms);
    let budget_name = budget.clone();
    let call = |client: PeerServiceClient, cx| async move {
        client.give(cx, budget_name, incarnation, own_incarnation, received, Tokens::MAX).await
    };
    match budgets.fleet.base.peers.call(&holder.address, timeout, call).await {
        Some(GiveAnswer::Sent { cumulative, reserved }) => {
            budgets.holder().record_received(budget, incarnation, cumulative);
            reserved > 0
        }
        Some(GiveAnswer::OtherIncarnation) => {
            reclaim(budgets, budget, holder).await;
            false
        }
        None if probe(&holder.address, timeout).await == ProbeResult::Refused => {
            reclaim(budgets, budget, holder).await;
            false
        }
        None => {
            let until = budgets.fleet.base.clock.now() + UNRESPONSIVE_HOLDER_MS;
            budgets.unresponsive.lock().insert(incarnation, until);
            true
        }
    }
}

/// Reclaims the tokens that a seemingly terminated holder never opened. If it is still running, the
/// witness that has closed it rejects any further opening.
async fn reclaim(budgets: &Arc<Budgets>, budget: &Name, holder: &HolderRef) {
    let limits = &budgets.fleet.base.cfg.limits;
    let timeout = Duration::from_millis(limits.gather_timeout_ms);
    for witness in &holder.witnesses {
        let (gone, witness_incarnation, closed_budget) =
            (holder.incarnation, witness.incarnation, budget.clone());
        let opened = if witness_incarnation == budgets.fleet.base.incarnation {
            Some(budgets.witness_records().close(gone, budget))
        } else {
            let call = |client: PeerServiceClient, cx| async move {
                client.close(cx, gone, witness_incarnation, closed_budget).await
            };
            budgets.fleet.base.peers.call(&witness.address, timeout, call).await.flatten()
        };
        let Some(opened) = opened else { continue };
        let budget = budget.clone();
        let request =
            Request::Reclaim { budget, holder: gone, witness: witness_incarnation, opened };
        // Only an owner's task collects, so that task is running here.
        let shard = shard_of_budget(request.budget(), limits.budget_shards);
        let answer =
            budgets.owner_tasks.send_request(shard, request).await.map(|answer| answer.reply);
        slog::info!(budgets.fleet.base.log, "grant reclaimed"; "holder" => %gone, "answer" => ?answer);
        return;
    }
}
