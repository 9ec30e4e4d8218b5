//! The ration: the most that one request may reserve of what is left of a budget.

mod common;

use bankcove_core::holder::{Holder, Outlook, Reservation};
use bankcove_core::{Incarnation, Millis, Tokens};
use common::budget;
use yare::parameterized;

/// Window whose expected requests share what is left, in seconds.
const RATION_S: f64 = 0.9;

/// Interval of the requests: ten per second.
const INTERVAL_MS: Millis = 100;

/// Cost of each request.
const COST: Tokens = 1_000;

/// Returns a holder that has spent for 20 s and has no outlook, and the current time.
fn spending_holder() -> (Holder, Millis) {
    let mut holder = Holder::new(Incarnation(1));
    let end = 20_000;
    holder.record_granted(&budget(), Tokens::MAX / 4);
    holder.record_opened(&budget(), COST * end / INTERVAL_MS);
    for now in (0..end).step_by(INTERVAL_MS as usize) {
        let reservation = holder.reserve(&budget(), COST, now).expect("it is open");
        holder.settle(reservation, COST);
    }
    (holder, end)
}

/// Returns the same with an outlook, received now, of `left` tokens left.
fn holder_with_outlook(left: Tokens) -> (Holder, Millis) {
    let (mut holder, now) = spending_holder();
    holder.set_outlook(&budget(), Outlook { share: 0, left }, now);
    (holder, now)
}

#[test]
fn ration_is_unlimited_without_an_outlook() {
    let mut holder = Holder::new(Incarnation(1));
    assert_eq!(holder.ration(&budget(), RATION_S, 0, 0), Tokens::MAX);
    holder.record_granted(&budget(), 100);
    assert_eq!(holder.ration(&budget(), RATION_S, 0, 0), Tokens::MAX);
}

#[test]
fn single_caller_may_reserve_all_that_is_left() {
    let mut holder = Holder::new(Incarnation(1));
    holder.set_outlook(&budget(), Outlook { share: 0, left: 50_000 }, 0);
    assert_eq!(holder.ration(&budget(), RATION_S, 3, 0), 50_000);
}

#[parameterized(
    most_urgent = { 0, 9.0 },
    next = { 1, 18.0 },
    third = { 2, 36.0 },
    lowest = { 3, 72.0 },
    below_the_lowest = { 200, 72.0 },
)]
fn what_is_left_is_divided_among_expected_callers(rank: u32, expected_callers: f64) {
    let left = 100_000;
    let (holder, now) = holder_with_outlook(left);
    let part = holder.ration(&budget(), RATION_S, rank, now) as f64 / left as f64;
    // Rates converge slowly: they are accurate to a tenth after two time constants.
    let ratio = part * expected_callers;
    assert!((0.9..1.1).contains(&ratio), "{part} for {expected_callers} expected callers");
}

#[test]
fn spending_of_other_daemons_counts_as_expected_callers() {
    let (mut holder, end) = holder_with_outlook(1_000_000);
    let (mut alone, _) = spending_holder();
    // In the next ten seconds other daemons use nine times as much as this one did.
    let mut left = 1_000_000;
    for second in 1..=10 {
        left -= 9 * COST * 1_000 / INTERVAL_MS;
        holder.set_outlook(&budget(), Outlook { share: 0, left }, end + second * 1_000);
    }
    // The same outlook, received as the first one.
    alone.set_outlook(&budget(), Outlook { share: 0, left }, end + 10_000);
    let part = |holder: &Holder| holder.ration(&budget(), RATION_S, 0, end + 10_000);
    assert!(part(&holder) * 2 < part(&alone), "{} and {}", part(&holder), part(&alone));
}

/// A host refused requests for which it held tokens after it had rejected others at full servers.
#[test]
fn requests_that_did_not_run_do_not_count_as_expected_callers() {
    let (mut holder, end) = holder_with_outlook(100_000);
    holder.record_opened(&budget(), 500 * COST);
    let unchanged = holder.clone();
    let reserve = |n: Millis| holder.reserve(&budget(), COST, end + 10 * n).expect("it is open");
    let rejected: Vec<Reservation> = (0..300).map(reserve).collect();
    rejected.into_iter().for_each(|reservation| holder.settle(reservation, 0));
    let part = |holder: &Holder| holder.ration(&budget(), RATION_S, 0, end + 3_000) as f64;
    let ratio = part(&holder) / part(&unchanged);
    assert!((0.99..1.01).contains(&ratio), "{} and {}", part(&holder), part(&unchanged));
}

#[test]
fn top_up_takes_effect_at_once() {
    let (mut holder, now) = holder_with_outlook(10_000);
    let before = holder.ration(&budget(), RATION_S, 0, now);
    holder.set_outlook(&budget(), Outlook { share: 0, left: 10_000_000 }, now + 1);
    assert!(holder.ration(&budget(), RATION_S, 0, now + 1) > before * 900);
    assert_eq!(holder.outlook_age(&budget(), now + 501), Some(500));
}

#[test]
fn prefetched_and_returned_tokens_are_not_counted_as_used() {
    let left = 1_000_000;
    let (mut holder, end) = holder_with_outlook(left);
    for second in 1..=10 {
        let now = end + second * 1_000;
        holder.set_outlook(&budget(), Outlook { share: 0, left: left / 2 }, now);
        holder.set_outlook(&budget(), Outlook { share: 0, left }, now + 500);
    }
    let (mut unchanged, _) = spending_holder();
    unchanged.set_outlook(&budget(), Outlook { share: 0, left }, end);
    let part = |holder: &Holder| holder.ration(&budget(), RATION_S, 0, end + 10_500);
    assert_eq!(part(&holder), part(&unchanged));
}

/// Guards against estimating the callers of a rarely used budget from its own few requests
/// alone: the mean request size covers all budgets at this daemon.
#[test]
fn mean_request_covers_all_budgets() {
    let (mut holder, end) = holder_with_outlook(100_000);
    let before = holder.ration(&budget(), RATION_S, 0, end);
    let other = "other".into();
    holder.record_granted(&other, Tokens::MAX / 4);
    holder.record_opened(&other, Tokens::MAX / 4);
    for _ in 0..200 {
        let reservation = holder.reserve(&other, 3 * COST, end).expect("it is open");
        holder.settle(reservation, COST);
    }
    // The mean request has doubled, so half as many callers are expected.
    let after = holder.ration(&budget(), RATION_S, 0, end);
    assert!(after > before + before / 2, "{before}, then {after}");
}
