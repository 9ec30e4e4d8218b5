//! Order of limits received from a server, on one daemon and between daemons.

use bankcove_core::crashes::ServerInstance;
use bankcove_core::limits::{LimitFact, LimitHeader, LimitTracker, MAX_TRANSIT_MS, RequestRate};
use bankcove_core::{Millis, Name};

fn server(n: u64) -> ServerInstance {
    ServerInstance { name: Name::from(format!("i-{n}")), started_ms: 7 }
}

fn rate(per_second: f64) -> Option<RequestRate> {
    RequestRate::new(per_second)
}

fn header(per_second: f64) -> LimitHeader {
    rate(per_second).map_or(LimitHeader::Absent, LimitHeader::Limit)
}

/// A tracker whose server announced 2 requests per second in a response received at 1,000.
fn tracker() -> LimitTracker {
    let mut tracker = LimitTracker::default();
    let change =
        tracker.record_response(1_000, &server(1), 900, &header(2.0)).expect("the limit is new");
    assert_eq!((change.before, change.fact.limit), (None, rate(2.0)));
    tracker
}

#[test]
fn a_stricter_limit_applies_at_once_and_a_laxer_one_only_by_a_later_request() {
    let mut tracker = tracker();
    // The response to a request that was sent before the limit was received may be older.
    assert!(tracker.record_response(1_100, &server(1), 950, &header(5.0)).is_none());
    assert!(tracker.record_response(1_100, &server(1), 950, &LimitHeader::Absent).is_none());
    assert_eq!(tracker.limit(&server(1)), rate(2.0));
    assert!(tracker.record_response(1_100, &server(1), 950, &header(1.0)).is_some());
    assert!(tracker.record_response(1_200, &server(1), 1_150, &header(5.0)).is_some());
    assert!(tracker.record_response(1_300, &server(1), 1_250, &LimitHeader::Absent).is_some());
    assert_eq!(tracker.limit(&server(1)), None);
}

#[test]
fn a_malformed_header_neither_sets_nor_lifts_a_limit() {
    let mut tracker = tracker();
    let malformed = LimitHeader::Unreadable("many".to_owned());
    assert!(tracker.record_response(2_000, &server(1), 1_900, &malformed).is_none());
    assert!(tracker.record_response(2_000, &server(2), 1_900, &malformed).is_none());
    assert_eq!(tracker.limit(&server(1)), rate(2.0));
    assert_eq!(tracker.limit(&server(2)), None);
}

#[test]
fn a_limit_applies_to_one_server_instance() {
    let later = ServerInstance { started_ms: 8, ..server(1) };
    assert_eq!(tracker().limit(&later), None);
}

#[test]
fn a_limit_that_flips_with_each_response_is_kept_at_its_lower_value() {
    let mut tracker = tracker();
    let mut unlimited_ms = 0;
    for round in 1..100_u64 {
        let now = 1_000 + round * 50;
        // Requests take 60 ms, so another response is received while each is in flight.
        let header = if round % 2 == 0 { header(2.0) } else { LimitHeader::Absent };
        tracker.record_response(now, &server(1), now - 60, &header);
        unlimited_ms += if tracker.limit(&server(1)).is_none() { 50 } else { 0 };
    }
    assert_eq!(unlimited_ms, 0);
}

fn fact(limit: Option<f64>, request_age_ms: Millis, received_age_ms: Millis) -> LimitFact {
    LimitFact { server: server(1), limit: limit.and_then(rate), request_age_ms, received_age_ms }
}

#[test]
fn between_daemons_a_laxer_limit_must_be_later_by_more_than_the_transit_time() {
    let mut tracker = tracker();
    let later = 1_000 + MAX_TRANSIT_MS;
    assert!(tracker.merge(later + 100, &[fact(None, 100, 50)]).is_empty());
    assert_eq!(tracker.merge(later + 101, &[fact(None, 100, 50)]).len(), 1);
    // A delayed fact, received before the request whose response lifted the limit was sent.
    assert!(tracker.merge(later + 2_000, &[fact(Some(2.0), 2_500, 2_400)]).is_empty());
    // A fact that may have been received after that request was sent applies.
    assert_eq!(tracker.merge(later + 2_000, &[fact(Some(2.0), 2_300, 2_200)]).len(), 1);
}

#[test]
fn daemons_that_know_the_same_limits_have_the_same_digest() {
    let mut one = LimitTracker::default();
    let mut other = LimitTracker::default();
    for n in 0..50 {
        one.record_response(1_000, &server(n), 900, &header(1.0 + n as f64));
    }
    for n in (0..50).rev() {
        other.record_response(5_000, &server(n), 900, &header(9.0));
    }
    assert_ne!(one.digest(), other.digest());
    other.merge(6_000, &one.facts(2_000, usize::MAX, 3));
    for n in 0..50 {
        other.record_response(9_000, &server(n), 8_000, &header(1.0 + n as f64));
    }
    assert_eq!(one.digest(), other.digest());
    one.remove_expired(200_000, |_| false);
    assert_eq!((one.digest(), one.is_empty()), (0, true));
}

/// Each of 10,000 servers announces a different limit each second.
#[test]
fn frequent_limit_changes_use_bounded_memory_and_are_reported_in_parts() {
    let mut tracker = LimitTracker::default();
    for second in 1..20_u64 {
        for n in 0..10_000 {
            let now = second * 1_000;
            tracker.record_response(now, &server(n), now - 1, &header(second as f64));
        }
    }
    assert_eq!(tracker.facts(20_000, usize::MAX, 0).len(), 10_000);
    assert_eq!(tracker.facts(20_000, 64, 9_990).len(), 64);
    tracker.remove_expired(20_000 + 70_000, |server| server.name.as_str() == "i-1");
    assert_eq!(tracker.facts(90_000, usize::MAX, 0).len(), 1);
}
