//! Ownership of budgets in a large fleet.

use bankcove_core::members::{FleetSize, Peer};
use bankcove_core::table::Budget;
use xxhash_rust::xxh3::xxh3_64;

use crate::budget::budgets::{Budgets, OWNER_KEY};

/// Returns the owners of a budget in a large fleet in the order in which they are asked; `None`
/// stands for this daemon. Empty in a small fleet, where each daemon draws for itself.
///
/// Each budget has its own owners. With one owner for all budgets of a shard, four of 295 daemons
/// answered all token requests, and one that was busy with callers failed all of its requests.
pub fn owners(budgets: &Budgets, budget: &Budget) -> Vec<Option<Peer>> {
    let limits = &budgets.fleet.base.cfg.limits;
    // With witnesses, the shard's owner draws sealed grants on behalf of the holder.
    if limits.witnesses > 0 || budgets.fleet.is_small() {
        return Vec::new();
    }
    let key = owner_key(budget);
    let members = budgets.fleet.members.lock();
    let mut ranked = members.owners(key, limits.owners_tried);
    if members.fleet_size() == FleetSize::Unknown {
        // Before the host list is read only a few peers are known: each daemon would rank itself
        // as an owner, and all daemons of a restarting fleet would write the same shards.
        ranked.retain(Option::is_some);
    }
    ranked
}

/// Returns whether this daemon draws on the budget itself: it is the budget's first owner, or the
/// fleet is so small that each daemon draws for itself.
pub fn draws_itself(budgets: &Budgets, budget: &Budget) -> bool {
    if budgets.fleet.base.cfg.limits.witnesses > 0 || budgets.fleet.is_small() {
        return true;
    }
    let members = budgets.fleet.members.lock();
    // Before the host list is read, no daemon counts itself as an owner.
    members.fleet_size() != FleetSize::Unknown && members.is_first_owner(owner_key(budget))
}

/// Returns the key by which the owners of a budget are ranked.
fn owner_key(budget: &Budget) -> u64 {
    OWNER_KEY.wrapping_add(xxh3_64(budget.name.as_str().as_bytes()))
}

/// Returns the peers to ask for tokens, in order. Empty if this daemon is itself the first owner,
/// or if the fleet is so small that each daemon draws for itself.
pub fn owners_to_ask(budgets: &Budgets, budget: &Budget) -> Vec<Peer> {
    owners(budgets, budget).into_iter().map_while(|owner| owner).collect()
}
