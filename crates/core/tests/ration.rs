//! How much of what is left of a budget one request may take.

mod common;

use bankcove_core::holder::{Holder, Outlook};
use bankcove_core::{Incarnation, Millis, Tokens};
use common::budget;
use yare::parameterized;

/// How long the callers are expected for who share what is left.
const RATION_S: f64 = 0.9;

/// Ten requests a second, each of so many tokens.
const PAUSE: Millis = 100;
const SIZE: Tokens = 1_000;

/// A holder that spent for 20 s, and knows nothing of the budget as a whole.
fn spender() -> (Holder, Millis) {
    let mut holder = Holder::new(Incarnation(1));
    let end = 20_000;
    holder.record_granted(&budget(), Tokens::MAX / 4);
    holder.record_opened(&budget(), SIZE * end / PAUSE);
    for now in (0..end).step_by(PAUSE as usize) {
        let reservation = holder.reserve(&budget(), SIZE, now).expect("it is open");
        holder.settle(reservation, SIZE);
    }
    (holder, end)
}

/// The same, which was told now that `left` tokens are left.
fn holder_before(left: Tokens) -> (Holder, Millis) {
    let (mut holder, now) = spender();
    holder.set_outlook(&budget(), Outlook { share: 0, left }, now);
    (holder, now)
}

#[test]
fn without_word_of_a_budget_nothing_is_rationed() {
    let mut holder = Holder::new(Incarnation(1));
    assert_eq!(holder.ration(&budget(), RATION_S, 0, 0), Tokens::MAX);
    holder.record_granted(&budget(), 100);
    assert_eq!(holder.ration(&budget(), RATION_S, 0, 0), Tokens::MAX);
}

#[test]
fn a_lone_caller_may_take_all_that_is_left() {
    let mut holder = Holder::new(Incarnation(1));
    holder.set_outlook(&budget(), Outlook { share: 0, left: 50_000 }, 0);
    assert_eq!(holder.ration(&budget(), RATION_S, 3, 0), 50_000);
}

#[parameterized(
    most_urgent = { 0, 9.0 },
    next = { 1, 18.0 },
    third = { 2, 36.0 },
    lowest = { 3, 72.0 },
    none_is_kept_from_all_that_is_left = { 200, 72.0 },
)]
fn what_is_left_is_shared_with_the_callers_expected(rank: u32, expected_callers: f64) {
    let left = 100_000;
    let (holder, now) = holder_before(left);
    let part = holder.ration(&budget(), RATION_S, rank, now) as f64 / left as f64;
    // Rates forget slowly: they are right to a tenth after two time constants.
    let off = part * expected_callers;
    assert!((0.9..1.1).contains(&off), "{part} among {expected_callers}");
}

#[test]
fn what_others_take_counts_as_callers_too() {
    let (mut holder, end) = holder_before(1_000_000);
    let (mut alone, _) = spender();
    // In the next ten seconds others take nine times as much as this daemon did.
    let mut left = 1_000_000;
    for second in 1..=10 {
        left -= 9 * SIZE * 1_000 / PAUSE;
        holder.set_outlook(&budget(), Outlook { share: 0, left }, end + second * 1_000);
    }
    // The same is left, by a first word of it.
    alone.set_outlook(&budget(), Outlook { share: 0, left }, end + 10_000);
    let part = |holder: &Holder| holder.ration(&budget(), RATION_S, 0, end + 10_000);
    assert!(part(&holder) * 2 < part(&alone), "{} and {}", part(&holder), part(&alone));
}

#[test]
fn a_top_up_is_known_at_once() {
    let (mut holder, now) = holder_before(10_000);
    let before = holder.ration(&budget(), RATION_S, 0, now);
    holder.set_outlook(&budget(), Outlook { share: 0, left: 10_000_000 }, now + 1);
    assert!(holder.ration(&budget(), RATION_S, 0, now + 1) > before * 900);
    assert_eq!(holder.outlook_age(&budget(), now + 501), Some(500));
}

#[test]
fn what_is_drawn_ahead_and_given_back_is_not_taken() {
    let left = 1_000_000;
    let (mut holder, end) = holder_before(left);
    for second in 1..=10 {
        let now = end + second * 1_000;
        holder.set_outlook(&budget(), Outlook { share: 0, left: left / 2 }, now);
        holder.set_outlook(&budget(), Outlook { share: 0, left }, now + 500);
    }
    let (mut still, _) = spender();
    still.set_outlook(&budget(), Outlook { share: 0, left }, end);
    let part = |holder: &Holder| holder.ration(&budget(), RATION_S, 0, end + 10_500);
    assert_eq!(part(&holder), part(&still));
}

/// Small requests of one budget say nothing of the callers of another.
#[test]
fn a_request_is_judged_by_the_mean_of_all_that_come_here() {
    let (mut holder, end) = holder_before(100_000);
    let before = holder.ration(&budget(), RATION_S, 0, end);
    let other = "other".into();
    holder.record_granted(&other, Tokens::MAX / 4);
    holder.record_opened(&other, Tokens::MAX / 4);
    for _ in 0..200 {
        let reservation = holder.reserve(&other, 3 * SIZE, end).expect("it is open");
        holder.settle(reservation, SIZE);
    }
    // The mean has doubled, so that half as many callers are expected.
    let after = holder.ration(&budget(), RATION_S, 0, end);
    assert!(after > before + before / 2, "{before}, then {after}");
}
