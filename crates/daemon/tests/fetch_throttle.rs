//! Fetches of a list that changes all the time: their number does not grow with the number of peers
//! that announce a newer one.

use bankcoved::fleet::fetch_throttle::FetchThrottle;
use yare::parameterized;

#[parameterized(
    twelve_a_second = { 12 },
    a_hundred_a_second = { 100 },
    a_thousand_a_second = { 1_000 },
)]
fn announcements_beyond_one_each_interval_cause_no_fetch(per_second: u64) {
    let throttle = FetchThrottle::default();
    let announced = (0..10 * per_second).map(|n| 1 + n * 1_000 / per_second);
    let fetches = announced.filter(|now| throttle.try_acquire(*now, 200)).count();
    assert!((33..=50).contains(&fetches), "{fetches} fetches in 10 s");
}

#[test]
fn the_first_announcement_after_a_quiet_time_is_fetched_at_once() {
    let throttle = FetchThrottle::default();
    assert!(throttle.try_acquire(0, 200));
    assert!(!throttle.try_acquire(150, 200));
    assert!(throttle.try_acquire(5_000, 200));
}
