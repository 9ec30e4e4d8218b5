//! The terms under which this daemon holds a budget.

use bankcove_core::Millis;
use bankcove_core::holder::{DrawTerms, PrefetchScope};
use bankcove_core::table::Budget;

use crate::budget::budgets::Budgets;
use crate::budget::ownership::owners_to_ask;

/// Time since the start by which the other daemons are known, in milliseconds: the
/// list of hosts is read at once and again after 1 s.
const MEMBERS_KNOWN_MS: Millis = 3_000;

/// Daemons that a budget is taken to be shared by until they are known.
pub(crate) const UNKNOWN_FLEET: u64 = 100;

/// How far ahead a daemon draws that leaves, in seconds of recent spending: the
/// store answers its draws, and callers come to it for 2.5 s more.
const LEAVING_HORIZON_S: f64 = 1.0;

/// Part of what all may hold that an owner in a large fleet keeps for the others before
/// any spending is known. Worth on seven days of three large fleets: 0.428; with 0.4, where
/// a killed owner takes twice as much along, 0.426; with nothing kept 0.401.
const KEPT_FOR_OTHERS: f64 = 0.2;

/// The terms of a budget's row for this daemon now: how far ahead it draws, and for whom,
/// follows from the size of the fleet, from who owns the budget, and from a planned stop.
pub(crate) fn draw_terms(budgets: &Budgets, budget: &Budget) -> DrawTerms {
    let terms = DrawTerms {
        tokens: budget.tokens,
        version: budget.version,
        horizon_s: budget.horizon_s,
        share_divisor: budget.share_divisor,
        held_ahead: budget.held_ahead,
        kept_for_others: 0.0,
        prefetch: PrefetchScope::ForItself,
        daemons: budgets.fleet.size().map_or(UNKNOWN_FLEET, |size| size as u64),
    };
    if budgets.fleet.base.cfg.limits.witnesses > 0 {
        let daemons = 1 + budgets.fleet.members.lock().usable().count() as u64;
        return DrawTerms { daemons, ..terms };
    }
    if budgets.leaving.is_cancelled() {
        // What it holds goes back before the kill, and is drawn anew where it is needed.
        let is_stopping = budgets.stopping.is_cancelled();
        let horizon_s = if is_stopping { 0.0 } else { LEAVING_HORIZON_S };
        return DrawTerms { horizon_s, held_ahead: 0.0, ..terms };
    }
    if budgets.fleet.is_small() {
        // Alone as it seems at first, this daemon would take all shares for itself.
        let is_new = budgets.fleet.base.clock.now() < MEMBERS_KNOWN_MS;
        let daemons = if is_new { terms.daemons.max(UNKNOWN_FLEET) } else { terms.daemons };
        return DrawTerms { daemons, ..terms };
    }
    // In a large fleet an equal share is less than one request: the owner keeps for all.
    // Until spending is known it keeps some: with the store away as callers came, nobody
    // had anything to hand on, and two thirds of them were refused for 12 s.
    let is_owner = budgets.fleet.size().is_some() && owners_to_ask(budgets, budget).is_empty();
    if is_owner {
        let kept_for_others = KEPT_FOR_OTHERS;
        return DrawTerms {
            held_ahead: 0.0,
            kept_for_others,
            prefetch: PrefetchScope::ForFleet,
            ..terms
        };
    }
    DrawTerms { held_ahead: 0.0, prefetch: PrefetchScope::LeftToOwner, ..terms }
}
