//! When callers come back whose tokens were out of reach.
//!
//! Load pattern: the store is away from all daemons for a time that nobody knows, callers
//! are refused all through it, and each comes back once. Told 4 s whatever the outage,
//! half of those of an 8 s outage played here find it over, and hardly any of longer ones;
//! told twice its age, two of three do at any length.

use bankcove_core::Millis;
use bankcove_core::outage::{retry_after_outage, retry_after_start};
use yare::parameterized;

/// What callers were told before.
const CONSTANT_MS: Millis = 4_000;

/// Pause between two callers.
const PAUSE_MS: Millis = 50;

/// Callers from when an outage shows until its end.
fn callers(length: Millis) -> impl Iterator<Item = Millis> {
    (2_600..length).step_by(PAUSE_MS as usize)
}

/// Part of the callers who find the outage over when they come back.
fn found_over(length: Millis, retry_after: impl Fn(Millis) -> Millis) -> f64 {
    let over = callers(length).filter(|at| at + retry_after(*at) >= length).count();
    over as f64 / callers(length).count() as f64
}

#[parameterized(short = { 5_000 }, of_eight_seconds = { 8_000 }, long = { 14_000 })]
fn two_of_three_find_it_over(length: Millis) {
    let adapted = found_over(length, |age| retry_after_outage(Some(age), 0.5));
    assert!(adapted >= 0.6, "{adapted}");
}

#[test]
fn a_constant_serves_one_length_only() {
    assert!(found_over(8_000, |_| CONSTANT_MS) < 0.76);
    assert!(found_over(14_000, |_| CONSTANT_MS) < 0.36);
}

#[parameterized(never_heard = { None }, heard_of_late = { Some(2_000) })]
fn while_the_store_seems_to_be_there_the_next_try_goes_elsewhere_at_once(age: Option<Millis>) {
    assert!(retry_after_outage(age, 0.5) <= 300);
}

#[test]
fn callers_do_not_come_back_together() {
    let times: Vec<Millis> =
        (0..=4).map(|n| retry_after_outage(Some(4_000), f64::from(n) / 4.0)).collect();
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert!(times[4] - times[0] >= 1_500, "{times:?}");
}

#[test]
fn nobody_is_sent_away_for_longer_than_callers_wait() {
    assert!(retry_after_outage(Some(600_000), 1.0) <= 12_000);
}

/// Load pattern: all daemons start at once while the store is away for as long again as
/// they have run; each caller comes back once.
#[test]
fn callers_of_a_start_come_back_when_half_of_such_outages_are_over() {
    for age_ms in [200, 400, 800, 1_200] {
        for spread in [0.0, 0.5, 0.999] {
            let back = retry_after_start(age_ms, spread);
            assert!(back >= age_ms && back <= 3 * age_ms, "{back} ms after {age_ms} ms");
        }
    }
}

#[test]
fn where_others_have_the_table_callers_come_back_at_once() {
    assert!(retry_after_start(20, 0.999) <= 125);
    assert!(retry_after_start(60_000, 0.999) <= 3_375, "and at the latest after some seconds");
}
