//! Hand-over of all free tokens to a peer when a daemon stops while the store is unavailable.
//!
//! Tokens given back to the store would reach the other daemons too, but a store that is
//! unavailable for longer than the grace time records nothing, and the tokens would be lost with
//! this daemon.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::members::Peer;
use bankcove_core::{Incarnation, Name};
use futures::future::join_all;

use crate::budget::budgets::Budgets;
use crate::peer::PeerServiceClient;

/// Seed of the choice of the receiver. It is constant, so that a repeated hand-over reports its
/// cumulative sums to the same peer.
const RECEIVER_SEED: u64 = 0x6861_6e64_6f76_6572;

/// Transfers all free tokens to a peer, if the store is unavailable and a peer is known.
pub async fn hand_over(budgets: &Arc<Budgets>) {
    // With witnesses, grants are sealed and the owner reclaims them.
    let is_store_unavailable =
        budgets.fleet.connectivity.is_store_unavailable(budgets.fleet.base.clock.now());
    if budgets.fleet.base.cfg.limits.witnesses > 0 || !is_store_unavailable {
        return;
    }
    let peers = budgets.fleet.members.lock().sample(usize::MAX, RECEIVER_SEED);
    let receiver = peers.into_iter().find_map(|peer| Some((peer.incarnation?, peer)));
    let Some((incarnation, peer)) = receiver else { return };
    let names: Vec<Name> = budgets.holder().accounts().keys().cloned().collect();
    let sent = names.iter().map(|budget| hand_over_budget(budgets, budget, incarnation, &peer));
    let accepted = join_all(sent).await.into_iter().filter(|accepted| *accepted).count();
    slog::info!(budgets.fleet.base.log, "tokens handed over";
        "peer" => %peer.name, "budgets" => names.len(), "taken" => accepted);
}

/// Transfers all free tokens of one budget; returns whether the receiver has accepted them.
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
