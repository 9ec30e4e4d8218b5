//! Tokens handed on in a large fleet: who owns a budget, asking its owner, and answering
//! as the owner.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Tokens;
use bankcove_core::holder::{Ask, Wish};
use bankcove_core::members::{FleetSize, Peer};
use bankcove_core::owner::RETRY_SOON_MS;
use bankcove_core::table::Budget;
use xxhash_rust::xxh3::xxh3_64;

use crate::budget::budgets::{Budgets, OWNER_KEY, Source, obtain, prepare, terms};
use crate::peer::{AllotAnswer, PeerServiceClient, Refusal};

/// Hands tokens on to a daemon that takes this one for the owner.
pub async fn allot(budgets: &Arc<Budgets>, ask: Ask) -> AllotAnswer {
    let away = Refusal::out_of_reach(RETRY_SOON_MS);
    let table = budgets.table.load_full();
    let Some(budget) = table.as_ref().and_then(|table| table.budget(&ask.budget)) else {
        return AllotAnswer::Refused(away);
    };
    if budgets.stopping.is_cancelled() {
        return AllotAnswer::Refused(away);
    }
    let arrived = budgets.fleet.base.clock.now();
    budgets.holder().asked(&ask, arrived);
    if let Some(ration) = exceeded_ration(budgets, &ask) {
        return AllotAnswer::Refused(Refusal::rationed(ration));
    }
    let try_now = || budgets.holder().allot(&ask, arrived);
    let allotted = match try_now() {
        Ok(allotted) => Ok(allotted),
        Err(_) if budgets.fleet.contact.is_store_away(arrived) => {
            // Known to be hopeless here: the asker turns to the next owner at once, and
            // a peer that reaches the store draws for this one meanwhile.
            budgets.holder().owe(&ask);
            Err(away)
        }
        Err(_) => {
            // The next draw serves all that wait by then, not one after the other.
            budgets.holder().owe(&ask);
            obtain(budgets, budget, Source::Store, arrived, try_now).await
        }
    };
    prepare(budgets, budget);
    match allotted {
        Ok(allotted) => AllotAnswer::Allotted(allotted),
        Err(refusal) => AllotAnswer::Refused(refusal),
    }
}

/// What the request behind an ask may take of the rest of its budget, if that is less than
/// it needs. Handed on by arrival, what was left after a loss of all daemons went to the
/// large requests within seconds, and nobody else was served.
fn exceeded_ration(budgets: &Budgets, ask: &Ask) -> Option<Tokens> {
    let wish = ask.wish?;
    let now = budgets.fleet.base.clock.now();
    let is_away = budgets.fleet.contact.is_store_away(now);
    let ration = budgets.holder().ration_of(&ask.budget, &wish, is_away, now);
    (wish.tokens > ration).then_some(ration)
}

/// The owners of a budget in a large fleet, the first one first; none stands for this
/// daemon. Nobody in a small fleet, where each draws by itself.
///
/// Each budget has owners of its own: with one owner for all budgets of a shard, four of
/// 295 daemons answered all asks, and one that was busy with callers failed them all.
pub fn owners(budgets: &Budgets, budget: &Budget) -> Vec<Option<Peer>> {
    let limits = &budgets.fleet.base.cfg.limits;
    // Sealed grants are drawn by the owner in the name of the holder.
    if limits.witnesses > 0 || budgets.fleet.is_small() {
        return Vec::new();
    }
    let key = OWNER_KEY.wrapping_add(xxh3_64(budget.name.as_str().as_bytes()));
    let members = budgets.fleet.members.lock();
    let mut ranked = members.owners(key, limits.owners_tried);
    if members.fleet_size() == FleetSize::Unknown {
        // Of the few peers that are known before the list each daemon would be an owner,
        // and all of a fleet that starts anew would write the same shards.
        ranked.retain(Option::is_some);
    }
    ranked
}

/// Peers to ask for tokens, the first one first; none when this daemon is the first
/// owner itself, or the fleet so small that each draws by itself.
pub fn owners_to_ask(budgets: &Budgets, budget: &Budget) -> Vec<Peer> {
    owners(budgets, budget).into_iter().map_while(|owner| owner).collect()
}

/// Asks one peer for tokens, for the request that `wish` tells of or ahead; none when it
/// does not answer, or has none and is cut off from the store itself.
pub async fn ask_for_tokens(
    budgets: &Arc<Budgets>,
    budget: &Budget,
    need: Tokens,
    wish: Option<Wish>,
    owner: &Peer,
) -> Option<Result<(), Refusal>> {
    if budgets.fleet.contact.is_alone() {
        return None;
    }
    let terms = terms(budgets, budget);
    let now = budgets.fleet.base.clock.now();
    let ask = budgets.holder().ask(&budget.name, owner.incarnation, need, &terms, now);
    let ask = Ask { wish, ..ask };
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.gather_timeout_ms);
    let call = |client: PeerServiceClient, cx| async move { client.allot(cx, ask).await };
    let answer = budgets.fleet.base.peers.call(&owner.address, timeout, call).await;
    slog::info!(budgets.fleet.base.log, "tokens asked for";
        "budget" => %budget.name, "need" => need, "owner" => %owner.name, "answer" => ?answer,
        "took_ms" => budgets.fleet.base.clock.now().saturating_sub(now));
    match answer {
        Some(AllotAnswer::Allotted(allotted)) => {
            budgets.fleet.members.lock().answered(&owner.name, allotted.owner);
            budgets.holder().allotted(&budget.name, allotted, now);
            Some(Ok(()))
        }
        Some(AllotAnswer::Refused(refusal)) if refusal.store_away => None,
        Some(AllotAnswer::Refused(refusal)) => Some(Err(refusal)),
        None => {
            budgets.fleet.members.lock().failed(&owner.name);
            None
        }
    }
}
