//! Retry delays of callers whose tokens could not be obtained.
//!
//! Load pattern: no daemon can reach the store for a time unknown in advance, callers are
//! refused throughout, and each retries once. With a constant delay of 4 s, half of the
//! callers of a simulated 8 s outage retry after its end, and hardly any of longer ones;
//! with a delay of twice the outage's age, two of three do at any length.

use bankcove_core::Millis;
use bankcove_core::outage::{retry_after_outage, retry_after_start};
use yare::parameterized;

/// A constant retry delay, for comparison.
const CONSTANT_DELAY_MS: Millis = 4_000;

/// Time between two callers.
const CALLER_INTERVAL_MS: Millis = 50;

/// Returns the times of callers, from when the outage is detected until its end.
fn callers(length: Millis) -> impl Iterator<Item = Millis> {
    (2_600..length).step_by(CALLER_INTERVAL_MS as usize)
}

/// Returns the fraction of callers that retry after the end of the outage.
fn retried_after_end(length: Millis, retry_after: impl Fn(Millis) -> Millis) -> f64 {
    let over = callers(length).filter(|at| at + retry_after(*at) >= length).count();
    over as f64 / callers(length).count() as f64
}

#[parameterized(short = { 5_000 }, of_eight_seconds = { 8_000 }, long = { 14_000 })]
fn two_of_three_retry_after_the_end(length: Millis) {
    let adapted = retried_after_end(length, |age| retry_after_outage(Some(age), 0.5));
    assert!(adapted >= 0.6, "{adapted}");
}

#[test]
fn a_constant_delay_suits_one_length_only() {
    assert!(retried_after_end(8_000, |_| CONSTANT_DELAY_MS) < 0.76);
    assert!(retried_after_end(14_000, |_| CONSTANT_DELAY_MS) < 0.36);
}

#[parameterized(no_contact = { None }, recent_contact = { Some(2_000) })]
fn while_the_store_seems_reachable_the_delay_is_short(age: Option<Millis>) {
    assert!(retry_after_outage(age, 0.5) <= 300);
}

#[test]
fn retries_are_spread_by_jitter() {
    let times: Vec<Millis> =
        (0..=4).map(|n| retry_after_outage(Some(4_000), f64::from(n) / 4.0)).collect();
    assert!(times.windows(2).all(|pair| pair[0] < pair[1]), "{times:?}");
    assert!(times[4] - times[0] >= 1_500, "{times:?}");
}

#[test]
fn the_delay_is_no_longer_than_callers_wait() {
    assert!(retry_after_outage(Some(600_000), 1.0) <= 12_000);
}

/// Load pattern: all daemons start at once while the store is unavailable, for as long again as
/// they have run; each caller retries once.
#[test]
fn callers_of_a_new_daemon_retry_when_half_of_such_outages_have_ended() {
    for age_ms in [200, 400, 800, 1_200] {
        for jitter in [0.0, 0.5, 0.999] {
            let delay_ms = retry_after_start(age_ms, jitter);
            assert!(
                delay_ms >= age_ms && delay_ms <= 3 * age_ms,
                "{delay_ms} ms after {age_ms} ms"
            );
        }
    }
}

#[test]
fn where_peers_have_the_table_callers_retry_at_once() {
    assert!(retry_after_start(20, 0.999) <= 125);
    assert!(retry_after_start(60_000, 0.999) <= 3_375, "the delay is limited to some seconds");
}
