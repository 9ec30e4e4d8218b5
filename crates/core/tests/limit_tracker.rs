//! Which of two words of a server is the newer one, on one daemon and between daemons.

use bankcove_core::crashes::ServerStart;
use bankcove_core::limits::{LimitFact, LimitHeader, LimitTracker, MAX_TRANSIT_MS, RequestRate};
use bankcove_core::{Millis, Name};

fn server(n: u64) -> ServerStart {
    ServerStart { name: Name::from(format!("i-{n}")), started_ms: 7 }
}

fn rate(per_second: f64) -> Option<RequestRate> {
    RequestRate::new(per_second)
}

fn named(per_second: f64) -> LimitHeader {
    rate(per_second).map_or(LimitHeader::Absent, LimitHeader::Limit)
}

/// A book whose server named 2 a second in an answer that came at 1,000.
fn book() -> LimitTracker {
    let mut book = LimitTracker::default();
    let change = book.record_response(1_000, &server(1), 900, &named(2.0)).expect("it is new");
    assert_eq!((change.before, change.fact.limit), (None, rate(2.0)));
    book
}

#[test]
fn a_stricter_word_counts_at_once_and_a_laxer_one_by_a_later_request_alone() {
    let mut book = book();
    // The answer of a request that was sent before the limit was known may be the older one.
    assert!(book.record_response(1_100, &server(1), 950, &named(5.0)).is_none());
    assert!(book.record_response(1_100, &server(1), 950, &LimitHeader::Absent).is_none());
    assert_eq!(book.limit(&server(1)), rate(2.0));
    assert!(book.record_response(1_100, &server(1), 950, &named(1.0)).is_some());
    assert!(book.record_response(1_200, &server(1), 1_150, &named(5.0)).is_some());
    assert!(book.record_response(1_300, &server(1), 1_250, &LimitHeader::Absent).is_some());
    assert_eq!(book.limit(&server(1)), None);
}

#[test]
fn what_can_not_be_read_neither_sets_nor_lifts() {
    let mut book = book();
    let unreadable = LimitHeader::Malformed("many".to_owned());
    assert!(book.record_response(2_000, &server(1), 1_900, &unreadable).is_none());
    assert!(book.record_response(2_000, &server(2), 1_900, &unreadable).is_none());
    assert_eq!(book.limit(&server(1)), rate(2.0));
    assert_eq!(book.limit(&server(2)), None);
}

#[test]
fn a_limit_belongs_to_one_start() {
    let later = ServerStart { started_ms: 8, ..server(1) };
    assert_eq!(book().limit(&later), None);
}

#[test]
fn a_limit_that_flips_with_each_answer_is_kept_at_its_lower_value() {
    let mut book = book();
    let mut laxer_ms = 0;
    for turn in 1..100_u64 {
        let now = 1_000 + turn * 50;
        // Requests take 60 ms, so that another answer has come since each was sent.
        let word = if turn % 2 == 0 { named(2.0) } else { LimitHeader::Absent };
        book.record_response(now, &server(1), now - 60, &word);
        laxer_ms += if book.limit(&server(1)).is_none() { 50 } else { 0 };
    }
    assert_eq!(laxer_ms, 0);
}

fn told(limit: Option<f64>, asked_age_ms: Millis, received_age_ms: Millis) -> LimitFact {
    LimitFact { server: server(1), limit: limit.and_then(rate), asked_age_ms, received_age_ms }
}

#[test]
fn between_daemons_the_laxer_word_must_be_later_by_more_than_messages_take() {
    let mut book = book();
    let later = 1_000 + MAX_TRANSIT_MS;
    assert!(book.merge(later + 100, &[told(None, 100, 50)]).is_empty());
    assert_eq!(book.merge(later + 101, &[told(None, 100, 50)]).len(), 1);
    // A word that was heard before the request of the lift was sent comes late.
    assert!(book.merge(later + 2_000, &[told(Some(2.0), 2_500, 2_400)]).is_empty());
    // One that may have been heard after it counts.
    assert_eq!(book.merge(later + 2_000, &[told(Some(2.0), 2_300, 2_200)]).len(), 1);
}

#[test]
fn two_daemons_that_know_the_same_limits_have_the_same_digest() {
    let mut one = LimitTracker::default();
    let mut other = LimitTracker::default();
    for n in 0..50 {
        one.record_response(1_000, &server(n), 900, &named(1.0 + n as f64));
    }
    for n in (0..50).rev() {
        other.record_response(5_000, &server(n), 900, &named(9.0));
    }
    assert_ne!(one.digest(), other.digest());
    other.merge(6_000, &one.facts(2_000, usize::MAX, 3));
    for n in 0..50 {
        other.record_response(9_000, &server(n), 8_000, &named(1.0 + n as f64));
    }
    assert_eq!(one.digest(), other.digest());
    one.forget_old(200_000, |_| false);
    assert_eq!((one.digest(), one.is_empty()), (0, true));
}

/// Each of 10,000 servers names another limit each second.
#[test]
fn a_flood_of_words_grows_nothing_and_is_told_in_parts() {
    let mut book = LimitTracker::default();
    for second in 1..20_u64 {
        for n in 0..10_000 {
            let now = second * 1_000;
            book.record_response(now, &server(n), now - 1, &named(second as f64));
        }
    }
    assert_eq!(book.facts(20_000, usize::MAX, 0).len(), 10_000);
    assert_eq!(book.facts(20_000, 64, 9_990).len(), 64);
    book.forget_old(20_000 + 70_000, |server| server.name.as_str() == "i-1");
    assert_eq!(book.facts(90_000, usize::MAX, 0).len(), 1);
}
