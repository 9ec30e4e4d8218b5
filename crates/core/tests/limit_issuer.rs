//! Permits issued and held by one daemon: number, priority and retry delays.

use bankcove_core::crashes::ServerInstance;
use bankcove_core::limits::{
    ISSUERS_PER_SERVER, Issued, Issuer, IssuerPosition, Leases, PERMIT_LIFETIME_MS, PermitRequest,
    RequestRate, RetrySchedule,
};
use bankcove_core::{Incarnation, Millis, Name};
use yare::parameterized;

fn server() -> ServerInstance {
    ServerInstance { name: Name::from("i-1"), started_ms: 7 }
}

fn issue(
    issuer: &mut Issuer,
    now: Millis,
    rank: usize,
    per_s: f64,
    from: u64,
    urgency: u32,
) -> Issued {
    let limit = RequestRate::new(per_s).expect("the rate is valid");
    let request = PermitRequest { from: Incarnation(from), permits: 1, urgency };
    // The membership has not changed for a long time.
    issuer.issue(now, &server(), limit, IssuerPosition { rank, since: 0 }, request)
}

/// Returns the number of permits that the issuer of this rank issues for one request per
/// millisecond, from 10 s on for `length_ms`.
fn permits_issued(rank: usize, per_s: f64, length_ms: Millis) -> u32 {
    let mut issuer = Issuer::default();
    let times = 10_000..10_000 + length_ms;
    times.map(|now| issue(&mut issuer, now, rank, per_s, now % 7, 0).permits).sum()
}

#[parameterized(low = { 0.7 }, one = { 1.0 }, some = { 12.0 }, many = { 400.0 })]
fn all_issuers_together_stay_below_1_3_times_the_limit(per_s: f64) {
    let seconds = 100.0;
    let first = f64::from(permits_issued(0, per_s, 100_000));
    assert!(first >= 0.8 * per_s * seconds, "{first} issued by the first issuer alone");
    let all: u32 =
        (0..ISSUERS_PER_SERVER + 3).map(|rank| permits_issued(rank, per_s, 100_000)).sum();
    let bound = 1.3 * per_s * seconds + 4.0;
    assert!(f64::from(all) <= bound, "{all} issued, more than {bound}");
}

#[test]
fn a_new_issuer_starts_with_an_empty_bucket_and_a_lower_rate() {
    let mut issuer = Issuer::default();
    let limit = RequestRate::new(10.0).expect("the rate is valid");
    let request = PermitRequest { from: Incarnation(1), permits: 1, urgency: 0 };
    let position = IssuerPosition { rank: 0, since: 10_000 };
    let count = |issuer: &mut Issuer, from: Millis| -> u32 {
        let times = (from..from + 4_000).step_by(10);
        times.map(|now| issuer.issue(now, &server(), limit, position, request).permits).sum()
    };
    assert_eq!(issuer.issue(10_000, &server(), limit, position, request).permits, 0);
    assert!(count(&mut issuer, 10_000) <= 13);
    assert!(count(&mut issuer, 14_000) >= 33);
}

#[test]
fn a_limit_of_zero_still_allows_a_few_requests() {
    let issued = permits_issued(0, 0.0, 300_000);
    assert!((5..=12).contains(&issued), "{issued} permits in 300 s");
}

#[test]
fn denied_daemons_get_spaced_retry_times_and_keep_them() {
    let mut issuer = Issuer::default();
    let delays: Vec<Millis> =
        (1..=5).map(|from| issue(&mut issuer, 10_000, 0, 2.0, from, 0).retry_ms).collect();
    assert!(delays.windows(2).all(|pair| pair[1] >= pair[0] + 500), "{delays:?}");
    assert_eq!(issue(&mut issuer, 10_000, 0, 2.0, 3, 0).retry_ms, delays[2]);
}

#[test]
fn more_urgent_requests_have_priority_and_the_others_are_not_starved() {
    let mut issuer = Issuer::default();
    let (mut urgent, mut others) = (0, 0);
    for now in (10_000..70_000).step_by(20) {
        others += issue(&mut issuer, now, 0, 4.0, 2, 3).permits;
        urgent += issue(&mut issuer, now + 10, 0, 4.0, 1, 0).permits;
    }
    assert!(urgent >= 5 * others, "{urgent} urgent, {others} others");
    assert!(others >= 10, "{others} others");
}

#[test]
fn a_permit_expires_soon_after_it_was_requested() {
    let mut leases = Leases::default();
    leases.add(1_000, &server(), 2);
    let until = leases.take(1_100, &server()).expect("two permits are available");
    assert_eq!(until, 1_000 + PERMIT_LIFETIME_MS);
    leases.give_back(1_150, &server(), until);
    assert_eq!(leases.available(1_150, &server()), 2);
    // After a suspension longer than their lifetime, the permits have expired.
    assert!(leases.take(1_000 + PERMIT_LIFETIME_MS, &server()).is_none());
    leases.give_back(1_000 + PERMIT_LIFETIME_MS, &server(), until);
    leases.add(2_000, &server(), 1);
    assert_eq!(leases.available(2_000, &server()), 1);
}

#[test]
fn retry_delays_of_callers_are_spaced_and_bounded() {
    let mut schedule = RetrySchedule::default();
    let service = Name::from("pool");
    let delays: Vec<Millis> =
        (0..8).map(|_| schedule.next_delay(1_000, &service, 100, 2.0, u64::MAX / 2)).collect();
    assert_eq!(delays[0], 100);
    assert!(delays.windows(2).all(|pair| pair[1] >= pair[0] + 500), "{delays:?}");
    let bounded: Vec<Millis> =
        (0..50).map(|_| schedule.next_delay(1_000, &service, 100, 0.0, u64::MAX / 2)).collect();
    assert!(bounded.iter().all(|delay_ms| *delay_ms <= 5_000), "{bounded:?}");
}
