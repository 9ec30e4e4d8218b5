//! Tests how an owner in a large fleet distributes tokens near a budget's end.
//!
//! Guards against large requests using up the rest of a budget. All daemons have lost
//! power and the tokens that they held; 3.6 s of spending is left of one budget, and
//! requests of all sizes continue. Served in order of arrival, large requests take the
//! remaining tokens, and no caller is served from 6 s after the loss on. With rationing by the
//! owner, 0.85 of the small requests and 0.42 of all requests are served. On the users' days with
//! such a loss, 0.39 and 0.49 of the callers from 15 s after the recovery on were served
//! without rationing, and 0.60 and 0.66 with it; the requirement is a quarter.

use bankcove_core::holder::{
    DrawTerms, Holder, Outlook, PrefetchScope, RequestDemand, TokenRequest,
};
use bankcove_core::{Incarnation, Millis, Tokens};

mod common;
use common::budget;

const OWNER: Incarnation = Incarnation(1);

/// Tokens that are left of the budget: 3.6 s of spending.
const LEFT: Tokens = 1_500_000;

/// Simulated time after the loss.
const SIMULATED_MS: Millis = 18_000;

/// Window whose expected requests share what is left, in seconds.
const RATION_S: f64 = 0.9;

/// Interval between two requests, in milliseconds.
const INTERVAL_MS: Millis = 10;

/// Tokens and priority rank of the requests, in turn.
const REQUESTS: [(Tokens, u32); 4] = [(12_000, 0), (1_100, 1), (2_400, 2), (1_100, 1)];

fn terms() -> DrawTerms {
    DrawTerms {
        prefetch: PrefetchScope::LeftToOwner,
        held_ahead: 0.0,
        ..common::terms(10 * LEFT, 295)
    }
}

/// Returns an owner that has distributed many tokens during the past 10 s and holds all
/// remaining ones. With `is_store_unavailable` the ledger has plenty, but out of reach.
fn owner(is_store_unavailable: bool) -> Holder {
    let mut owner = Holder::new(OWNER);
    let plenty = 1_000_000_000;
    owner.record_granted(&budget(), plenty);
    owner.record_opened(&budget(), plenty);
    for n in 0..1_000 {
        let (tokens, _) = REQUESTS[n as usize % REQUESTS.len()];
        let request = token_request(n, tokens, None, n * INTERVAL_MS);
        owner.allot(&request, n * INTERVAL_MS).expect("there is plenty");
    }
    let spent = owner.free(&budget()) - LEFT;
    owner.transfer(&budget(), Incarnation(9), 0, spent);
    // Tokens left in the store are out of reach while it is unavailable.
    let left = if is_store_unavailable { plenty } else { 0 };
    owner.set_outlook(&budget(), Outlook { share: 0, left }, 10_000);
    owner
}

fn token_request(
    requester: u64,
    tokens: Tokens,
    demand: Option<RequestDemand>,
    now: Millis,
) -> TokenRequest {
    let mut holder = Holder::new(Incarnation(100 + requester));
    TokenRequest { demand, ..holder.token_request(&budget(), Some(OWNER), tokens, &terms(), now) }
}

/// Returns the fraction of all callers that are served from 6 s after the loss on, and the
/// fractions for each rank.
fn served_fractions(is_rationed: bool, is_store_unavailable: bool) -> (f64, [f64; 3]) {
    let mut owner = owner(is_store_unavailable);
    let (mut requested, mut granted) = ([0.0; 3], [0.0; 3]);
    for (n, at) in (0..SIMULATED_MS).step_by(INTERVAL_MS as usize).enumerate() {
        let now = 10_000 + at;
        let (tokens, rank) = REQUESTS[n % REQUESTS.len()];
        let demand = RequestDemand { tokens, rank, ration_s: RATION_S };
        let request = token_request(10_000 + n as u64, tokens, Some(demand), now);
        let ration = owner.ration_for(&budget(), &demand, is_store_unavailable, now);
        let is_admitted = !is_rationed || tokens <= ration;
        let is_served = is_admitted && owner.allot(&request, now).is_ok();
        if at >= 6_000 {
            requested[rank as usize] += 1.0;
            granted[rank as usize] += f64::from(u8::from(is_served));
        }
    }
    let by_rank = [0, 1, 2].map(|rank| granted[rank] / requested[rank]);
    (granted.iter().sum::<f64>() / requested.iter().sum::<f64>(), by_rank)
}

#[test]
fn in_order_of_arrival_few_callers_are_served_after_some_seconds() {
    let (all, by_rank) = served_fractions(false, false);
    assert!(all < 0.05, "{all} {by_rank:?}");
}

#[test]
fn with_rationing_small_requests_are_served_until_the_end() {
    let (all, by_rank) = served_fractions(true, false);
    assert!(all > 0.4 && by_rank[1] > 0.8, "{all} {by_rank:?}");
}

#[test]
fn tokens_in_reach_are_rationed_during_a_store_outage() {
    let (all, by_rank) = served_fractions(true, true);
    assert!(all > 0.15 && by_rank[1] > 0.3, "{all} {by_rank:?}");
}

#[test]
fn nothing_is_rationed_while_plenty_is_left() {
    let mut owner = owner(false);
    owner.set_outlook(&budget(), Outlook { share: 0, left: 100 * LEFT }, 10_000);
    let demand = RequestDemand { tokens: 40_000, rank: 2, ration_s: RATION_S };
    assert!(owner.ration_for(&budget(), &demand, false, 10_000) > demand.tokens);
}

#[test]
fn an_owner_without_an_outlook_rations_nothing() {
    let owner = Holder::new(OWNER);
    let demand = RequestDemand { tokens: 40_000, rank: 0, ration_s: RATION_S };
    assert_eq!(owner.ration_for(&budget(), &demand, false, 0), Tokens::MAX);
}
