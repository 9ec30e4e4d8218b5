//! Who owns a budget in a large fleet.

use bankcove_core::members::{FleetSize, Peer};
use bankcove_core::table::Budget;
use xxhash_rust::xxh3::xxh3_64;

use crate::budget::budgets::{Budgets, OWNER_KEY};

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
