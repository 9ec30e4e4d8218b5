//! Tokens in other daemons' hands: witnesses, collections, reclaiming.

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

/// A holder that did not answer is left out of collections this long.
const SILENT_HOLDER_MS: Millis = 2_000;

/// Peers asked in a collection though no grant of theirs is known: those that
/// come first as owners of the shard.
const UNLISTED_HOLDERS_ASKED: usize = 32;

/// Peers that are to attest what this daemon opens while the store is away.
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

/// Opens `tokens` more of this daemon's grant, and some ahead, by its witnesses'
/// word; false when nothing is sealed or they do not agree.
pub async fn open(budgets: &Arc<Budgets>, budget: &Name, tokens: Tokens) -> bool {
    let now = budgets.fleet.base.clock.now();
    let Some(opening) = budgets.holder().next_opening(budget, tokens, now) else {
        return false;
    };
    let (me, opened) = (budgets.fleet.base.incarnation, opening.opened);
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.gather_timeout_ms);
    let asks = opening.witnesses.iter().map(|witness| {
        let (budget, incarnation) = (budget.clone(), witness.incarnation);
        let ask = move |client: PeerServiceClient, cx| async move {
            client.open(cx, me, incarnation, budget, opened).await
        };
        budgets.fleet.base.peers.call(&witness.address, timeout, ask)
    });
    let agreed = join_all(asks).await.into_iter().all(|agreed| agreed == Some(true));
    agreed && budgets.holder().confirm_opening(budget, &opening)
}

/// Sends a peer what is free and what is sealed, as far as it can be opened.
pub async fn give_all(
    budgets: &Arc<Budgets>,
    budget: &Name,
    receiver: Incarnation,
    received: Tokens,
    most: Tokens,
) -> GiveAnswer {
    if budgets.holder().sealed(budget) > 0 {
        open(budgets, budget, Tokens::MAX).await;
    }
    let mut holder = budgets.holder();
    let cumulative = holder.transfer(budget, receiver, received, most);
    let more_later = holder.reserved(budget) + holder.sealed(budget);
    GiveAnswer::Sent { cumulative, reserved: more_later }
}

/// Collects what other holders have free of a budget.
pub async fn gather(budgets: Arc<Budgets>, budget: Name, listed: Vec<HolderRef>) -> Event {
    let holders = with_unlisted(&budgets, &budget, listed);
    if budgets.holder().sealed(&budget) > 0 {
        open(&budgets, &budget, Tokens::MAX).await;
    }
    let now = budgets.fleet.base.clock.now();
    let silent: HashSet<Incarnation> = {
        let mut silent = budgets.silent.lock();
        silent.retain(|_, until| *until > now);
        silent.keys().copied().collect()
    };
    let skipped = holders.iter().any(|holder| silent.contains(&holder.incarnation));
    let asked = holders.iter().filter(|holder| !silent.contains(&holder.incarnation));
    let answers = join_all(asked.map(|holder| gather_from(&budgets, &budget, holder)));
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
    Event::Gathered { free, budget, more_expected }
}

/// Adds those that may hold tokens without a grant: whom this daemon has sent
/// some, and peers that may have collected as owners before it.
fn with_unlisted(budgets: &Arc<Budgets>, budget: &Name, listed: Vec<HolderRef>) -> Vec<HolderRef> {
    let receivers: HashSet<Incarnation> = budgets.holder().receivers(budget).into_iter().collect();
    let key =
        OWNER_KEY + u64::from(shard_of_budget(budget, budgets.fleet.base.cfg.limits.budget_shards));
    let members = budgets.fleet.members.lock();
    let ranked = members.owners(key, UNLISTED_HOLDERS_ASKED).into_iter().flatten();
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

/// Collects from one holder; returns whether more may come from it later.
async fn gather_from(budgets: &Arc<Budgets>, budget: &Name, holder: &HolderRef) -> bool {
    let (me, incarnation) = (budgets.fleet.base.incarnation, holder.incarnation);
    let received = budgets.holder().received_from(budget, incarnation);
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.gather_timeout_ms);
    let wanted = budget.clone();
    let ask = |client: PeerServiceClient, cx| async move {
        client.give(cx, wanted, incarnation, me, received, Tokens::MAX).await
    };
    match budgets.fleet.base.peers.call(&holder.address, timeout, ask).await {
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
            let until = budgets.fleet.base.clock.now() + SILENT_HOLDER_MS;
            budgets.silent.lock().insert(incarnation, until);
            true
        }
    }
}

/// Takes back what a holder that seems to be gone never opened. Should it live
/// after all, its closed witness keeps it from opening any more.
async fn reclaim(budgets: &Arc<Budgets>, budget: &Name, holder: &HolderRef) {
    let limits = &budgets.fleet.base.cfg.limits;
    let timeout = Duration::from_millis(limits.gather_timeout_ms);
    for witness in &holder.witnesses {
        let (gone, attests, closed) = (holder.incarnation, witness.incarnation, budget.clone());
        let opened = if attests == budgets.fleet.base.incarnation {
            Some(budgets.marks().close(gone, budget))
        } else {
            let ask = |client: PeerServiceClient, cx| async move {
                client.close(cx, gone, attests, closed).await
            };
            budgets.fleet.base.peers.call(&witness.address, timeout, ask).await.flatten()
        };
        let Some(opened) = opened else { continue };
        let budget = budget.clone();
        let request = Request::Reclaim { budget, holder: gone, witness: attests, opened };
        // Collections are the owner's own work, so that its task runs.
        let shard = shard_of_budget(request.budget(), limits.budget_shards);
        let answer = budgets.owners.ask(shard, request).await.map(|answer| answer.reply);
        slog::info!(budgets.fleet.base.log, "grant reclaimed"; "holder" => %gone, "answer" => ?answer);
        return;
    }
}
