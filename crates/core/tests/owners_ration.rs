//! What an owner in a large fleet hands on near a budget's end.
//!
//! Load pattern: all daemons have lost power, and with them what they held; of one budget
//! 3.6 seconds' spending is left, requests of all sizes go on. Handed on by arrival, the
//! large ones take it, and of the callers from 6 s on nobody is served. Rationed by the
//! owner, 0.85 of the small requests are, 0.42 of all. On the users' days with such a loss
//! 0.39 and 0.49 of the callers from 15 s after the return on were served, rationed 0.60
//! and 0.66; a quarter is asked.

use bankcove_core::holder::{
    DrawTerms, Holder, Outlook, PrefetchScope, RequestDemand, TokenRequest,
};
use bankcove_core::{Incarnation, Millis, Tokens};

mod common;
use common::budget;

const OWNER: Incarnation = Incarnation(1);
const LEFT: Tokens = 1_500_000;
const LASTS_MS: Millis = 18_000;
const RATION_S: f64 = 0.9;

/// Requests come each 10 ms, of these sizes and ranks in turn.
const PAUSE_MS: Millis = 10;
const REQUESTS: [(Tokens, u32); 4] = [(12_000, 0), (1_100, 1), (2_400, 2), (1_100, 1)];

fn terms() -> DrawTerms {
    DrawTerms {
        prefetch: PrefetchScope::LeftToOwner,
        held_ahead: 0.0,
        ..common::terms(10 * LEFT, 295)
    }
}

/// An owner that has handed on much for 10 s before, and has all that is left.
fn owner(store_away: bool) -> Holder {
    let mut owner = Holder::new(OWNER);
    let plenty = 1_000_000_000;
    owner.record_granted(&budget(), plenty);
    owner.record_opened(&budget(), plenty);
    for n in 0..1_000 {
        let (tokens, _) = REQUESTS[n as usize % REQUESTS.len()];
        let ask = ask(n, tokens, None, n * PAUSE_MS);
        owner.allot(&ask, n * PAUSE_MS).expect("there is plenty");
    }
    let spent = owner.free(&budget()) - LEFT;
    owner.transfer(&budget(), Incarnation(9), 0, spent);
    // While the store is away what it has left does not help.
    let left = if store_away { plenty } else { 0 };
    owner.set_outlook(&budget(), Outlook { share: 0, left }, 10_000);
    owner
}

fn ask(asker: u64, tokens: Tokens, demand: Option<RequestDemand>, now: Millis) -> TokenRequest {
    let mut holder = Holder::new(Incarnation(100 + asker));
    TokenRequest { demand, ..holder.token_request(&budget(), Some(OWNER), tokens, &terms(), now) }
}

/// Parts of the callers of each rank that are served, from 6 s after the loss on.
fn served(is_rationed: bool, store_away: bool) -> (f64, [f64; 3]) {
    let mut owner = owner(store_away);
    let (mut asked, mut given) = ([0.0; 3], [0.0; 3]);
    for (n, at) in (0..LASTS_MS).step_by(PAUSE_MS as usize).enumerate() {
        let now = 10_000 + at;
        let (tokens, rank) = REQUESTS[n % REQUESTS.len()];
        let demand = RequestDemand { tokens, rank, ration_s: RATION_S };
        let ask = ask(10_000 + n as u64, tokens, Some(demand), now);
        let ration = owner.ration_for(&budget(), &demand, store_away, now);
        let is_let_in = !is_rationed || tokens <= ration;
        let is_served = is_let_in && owner.allot(&ask, now).is_ok();
        if at >= 6_000 {
            asked[rank as usize] += 1.0;
            given[rank as usize] += f64::from(u8::from(is_served));
        }
    }
    let parts = [0, 1, 2].map(|rank| given[rank] / asked[rank]);
    (given.iter().sum::<f64>() / asked.iter().sum::<f64>(), parts)
}

#[test]
fn by_arrival_hardly_anybody_is_served_from_some_seconds_on() {
    let (all, parts) = served(false, false);
    assert!(all < 0.05, "{all} {parts:?}");
}

#[test]
fn rationed_by_the_owner_the_small_ones_are_served_to_the_end() {
    let (all, parts) = served(true, false);
    assert!(all > 0.4 && parts[1] > 0.8, "{all} {parts:?}");
}

#[test]
fn in_an_outage_what_is_in_reach_is_rationed() {
    let (all, parts) = served(true, true);
    assert!(all > 0.15 && parts[1] > 0.3, "{all} {parts:?}");
}

#[test]
fn with_plenty_left_nothing_is_rationed() {
    let mut owner = owner(false);
    owner.set_outlook(&budget(), Outlook { share: 0, left: 100 * LEFT }, 10_000);
    let demand = RequestDemand { tokens: 40_000, rank: 2, ration_s: RATION_S };
    assert!(owner.ration_for(&budget(), &demand, false, 10_000) > demand.tokens);
}

#[test]
fn an_owner_that_does_not_know_what_is_left_rations_nothing() {
    let owner = Holder::new(OWNER);
    let demand = RequestDemand { tokens: 40_000, rank: 0, ration_s: RATION_S };
    assert_eq!(owner.ration_for(&budget(), &demand, false, 0), Tokens::MAX);
}
