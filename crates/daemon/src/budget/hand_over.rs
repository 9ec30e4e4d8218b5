//! What a daemon holds that stops while the store is away: a peer gets it.
//!
//! Given back to the store it would reach the others as well, but a store that is
//! out of reach for longer than the grace time records nothing, and what is held
//! would be lost with this daemon.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::members::Peer;
use bankcove_core::{Incarnation, Name};
use futures::future::join_all;

use crate::budget::budgets::Budgets;
use crate::peer::PeerServiceClient;

/// Chooses the peer: the same one each time, so that sums may be told again.
const CHOICE: u64 = 0x6861_6e64_6f76_6572;

/// Hands all that is free to a peer, if the store is away and one is there.
pub async fn hand_over(budgets: &Arc<Budgets>) {
    // Sealed grants are taken back by the owner.
    let is_needed = budgets.fleet.contact.is_store_away(budgets.fleet.base.clock.now());
    if budgets.fleet.base.cfg.limits.witnesses > 0 || !is_needed {
        return;
    }
    let peers = budgets.fleet.members.lock().sample(usize::MAX, CHOICE);
    let heir = peers.into_iter().find_map(|peer| Some((peer.incarnation?, peer)));
    let Some((incarnation, peer)) = heir else { return };
    let names: Vec<Name> = budgets.holder().accounts().keys().cloned().collect();
    let sent = names.iter().map(|budget| hand_over_budget(budgets, budget, incarnation, &peer));
    let taken = join_all(sent).await.into_iter().filter(|taken| *taken).count();
    slog::info!(budgets.fleet.base.log, "tokens handed over";
        "peer" => %peer.name, "budgets" => names.len(), "taken" => taken);
}

async fn hand_over_budget(
    budgets: &Arc<Budgets>,
    budget: &Name,
    receiver: Incarnation,
    peer: &Peer,
) -> bool {
    let sum = budgets.holder().transfer_all(budget, receiver);
    let (budget, from) = (budget.clone(), budgets.fleet.base.incarnation);
    let timeout = Duration::from_millis(budgets.fleet.base.cfg.limits.peer_timeout_ms);
    let take = |client: PeerServiceClient, cx| async move {
        client.take(cx, budget, receiver, from, sum).await
    };
    budgets.fleet.base.peers.call(&peer.address, timeout, take).await == Some(true)
}
