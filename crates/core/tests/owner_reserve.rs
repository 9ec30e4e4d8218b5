//! Tests the reserve that an owner in a large fleet keeps for other daemons before any
//! spending rate is known.
//!
//! Guards against a fleet without reserves. When the store became unavailable 0.7 s after
//! the first requests, 581 of 899 requests of two seconds were refused
//! (`budget_out_of_reach`), for 12 s. All daemons had returned their tokens before the
//! first request, and afterwards drew only the needs of the first 0.7 s: shares and
//! reserves were proportional to spending rates, and all rates were 0.

mod common;

use bankcove_core::holder::{DrawTerms, Holder, Outlook, TokenRequest, UsageReport};
use bankcove_core::{Incarnation, Millis, Tokens};
use common::budget;

const TOTAL: Tokens = 100_000;
const OWNER: Incarnation = Incarnation(1);
const REQUESTER: Incarnation = Incarnation(2);

/// Time after the first spending when its rate counts as known, with a margin.
const RATE_KNOWN_MS: Millis = 11_000;

/// Reserve for other daemons: a fifth of the half that all holders together may hold.
const RESERVE: Tokens = TOTAL / 10;

fn terms() -> DrawTerms {
    DrawTerms { held_ahead: 0.0, kept_for_others: 0.2, ..common::terms(TOTAL, 80) }
}

fn owner_with(tokens: Tokens) -> Holder {
    let mut owner = Holder::new(OWNER);
    owner.record_granted(&budget(), tokens);
    owner.record_opened(&budget(), tokens);
    owner.set_outlook(&budget(), Outlook { share: 0, left: TOTAL }, 0);
    owner
}

fn token_request(need: Tokens, want: Tokens) -> TokenRequest {
    let budget = budget();
    let (owner, rate) = (Some(OWNER), 10 * need);
    TokenRequest {
        budget,
        holder: REQUESTER,
        owner,
        received: 0,
        given_back: 0,
        free: 0,
        need,
        demand: None,
        want,
        rate,
        usage: UsageReport::default(),
        held_back_from: None,
    }
}

#[test]
fn an_owner_draws_for_others_before_the_first_request() {
    assert!(Holder::new(OWNER).is_low(&budget(), &terms(), 0));
    assert!(owner_with(1).is_low(&budget(), &terms(), 0));
    assert!(!owner_with(RESERVE).is_low(&budget(), &terms(), 0));
}

#[test]
fn an_owner_returns_none_of_its_reserve_before_a_rate_is_known() {
    let mut owner = owner_with(RESERVE);
    assert_eq!(owner.return_surplus_to_store(&budget(), &terms(), 0), 0);
    let first = owner.reserve(&budget(), 10, 0).expect("the owner holds enough tokens");
    owner.settle(first, 10);
    assert_eq!(owner.return_surplus_to_store(&budget(), &terms(), 1), 0);
    assert!(owner.return_surplus_to_store(&budget(), &terms(), RATE_KNOWN_MS) > RESERVE / 2);
}

#[test]
fn the_reserve_serves_needs_but_no_prefetching() {
    let mut owner = owner_with(RESERVE);
    owner.return_surplus_to_store(&budget(), &terms(), 0);
    let allotted =
        owner.allot(&token_request(100, RESERVE), 0).expect("the owner has enough free tokens");
    assert_eq!(allotted.cumulative, 100);
}

#[test]
fn a_daemon_that_owns_nothing_keeps_no_reserve() {
    let other = DrawTerms { kept_for_others: 0.0, ..terms() };
    assert!(!owner_with(1).is_low(&budget(), &other, 0));
    assert!(owner_with(RESERVE).return_surplus_to_store(&budget(), &other, 0) > RESERVE / 2);
}
