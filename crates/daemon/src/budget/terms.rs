//! Terms of a budget: how many tokens this daemon holds ahead, for which daemons, and what
//! protects the last ones.

use bankcove_core::Millis;
use bankcove_core::holder::{DrawTerms, PrefetchScope, ProtectionTerms};
use bankcove_core::table::Budget;

use crate::budget::budgets::Budgets;
use crate::budget::ownership::draws_itself;

/// Time after the start of this daemon, in milliseconds, by which the other daemons are known: the
/// host list is read at once and again after 1 s.
const MEMBERS_KNOWN_MS: Millis = 3_000;

/// Number of daemons assumed to share a budget until the fleet is known.
pub(crate) const ASSUMED_FLEET_SIZE: u64 = 100;

/// Prefetch horizon of a daemon that begins to stop, in seconds of recent spending: the store still
/// answers its draws, and callers still reach it for 2.5 s.
const LEAVING_HORIZON_S: f64 = 1.0;

/// Fraction of what all daemons may hold that an owner in a large fleet keeps for the others before
/// any spending is known. The mean worth of the requests served, over seven simulated days of three
/// large fleets, is 0.428 with this fraction, 0.426 with 0.4, where twice as many tokens are lost
/// with a killed owner, and 0.401 with nothing kept; 1.0 would be all requests served in time at no
/// cost.
const KEPT_FOR_OTHERS_FRACTION: f64 = 0.2;

/// Returns the current terms on which this daemon draws on a budget. How far ahead it draws, and
/// for which daemons, depends on the table row, the size of the fleet, the owner of the budget and
/// whether a graceful shutdown has begun.
pub(crate) fn draw_terms(budgets: &Budgets, budget: &Budget) -> DrawTerms {
    let terms = DrawTerms {
        tokens: budget.tokens,
        version: budget.version,
        horizon_s: budget.horizon_s,
        share_divisor: budget.share_divisor,
        held_ahead: budget.held_ahead,
        kept_for_others: 0.0,
        prefetch: PrefetchScope::ForItself,
        daemons: budgets.fleet.size().map_or(ASSUMED_FLEET_SIZE, |size| size as u64),
    };
    if budgets.fleet.base.cfg.limits.witnesses > 0 {
        let daemons = 1 + budgets.fleet.members.lock().usable().count() as u64;
        return DrawTerms { daemons, ..terms };
    }
    if budgets.leaving.is_cancelled() {
        // Held tokens go back before the process is killed, and are drawn again where needed.
        let is_stopping = budgets.stopping.is_cancelled();
        let horizon_s = if is_stopping { 0.0 } else { LEAVING_HORIZON_S };
        return DrawTerms { horizon_s, held_ahead: 0.0, ..terms };
    }
    if budgets.fleet.is_small() {
        // Before its peers are known, this daemon would take the shares of all of them.
        let is_new = budgets.fleet.base.clock.now() < MEMBERS_KNOWN_MS;
        let daemons = if is_new { terms.daemons.max(ASSUMED_FLEET_SIZE) } else { terms.daemons };
        return DrawTerms { daemons, ..terms };
    }
    // In a large fleet an equal share is less than one request, so the owner holds tokens for all
    // daemons. It holds some before any spending is known: when the store was unavailable as the
    // first callers arrived, no daemon had tokens to allot, and two thirds of the callers were
    // refused for 12 s.
    let is_owner = budgets.fleet.size().is_some() && draws_itself(budgets, budget);
    if is_owner {
        let kept_for_others = KEPT_FOR_OTHERS_FRACTION;
        return DrawTerms {
            held_ahead: 0.0,
            kept_for_others,
            prefetch: PrefetchScope::ForFleet,
            ..terms
        };
    }
    DrawTerms { held_ahead: 0.0, prefetch: PrefetchScope::LeftToOwner, ..terms }
}

/// Returns what the protection of a budget depends on now.
pub(crate) fn protection_terms(budgets: &Budgets, budget: &Budget, now: Millis) -> ProtectionTerms {
    let cfg = &budgets.fleet.base.cfg;
    let is_store_unavailable = budgets.fleet.connectivity.is_store_unavailable(now);
    // In an outage only the tokens held here are in reach, and only requests here can use them.
    let counts_for_fleet = !is_store_unavailable && budgets.fleet.is_small();
    let fleet_size = budgets.fleet.size().filter(|_| counts_for_fleet);
    ProtectionTerms {
        horizon_s: cfg.entry.as_ref().map_or(0.0, |entry| entry.protect_horizon_s),
        outage_horizon_s: budget.horizon_s,
        is_store_unavailable,
        daemons: fleet_size.map_or(1.0, |size| size as f64),
        row_tokens: budget.tokens,
        row_version: budget.version,
    }
}
