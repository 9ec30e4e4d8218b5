//! What follows from crashes for a request, one daemon's view at a time.

use bankcove_core::crashes::{
    BLOCK_DURATION_MS, Block, CRASHES_TO_BLOCK, CrashFacts, CrashTracker, DECISION_DELAY_MS,
    ServerStart, Verdict,
};
use bankcove_core::{Fingerprint, Millis, Name};
use yare::parameterized;

const FATAL: Fingerprint = Fingerprint(1);
const HONEST: Fingerprint = Fingerprint(2);

fn server(number: u32) -> ServerStart {
    ServerStart { name: Name::from(format!("i-{number}")), started_ms: 0 }
}

/// A server crashes with these requests aboard, seen by this daemon; the news.
fn crash(book: &mut CrashTracker, now: Millis, number: u32, running: &[Fingerprint]) -> CrashFacts {
    let start = server(number);
    for request in running {
        book.record_disconnect(now, &start, *request);
    }
    book.record_crash(now, &start)
}

/// Decides on when all peers have told what they knew at `now`; the news.
fn decide(book: &mut CrashTracker, now: Millis) -> CrashFacts {
    book.decide(now + DECISION_DELAY_MS)
}

#[test]
fn three_crashes_block_a_request() {
    let mut book = CrashTracker::default();
    assert_eq!(book.verdict(FATAL), Verdict::Allowed);
    crash(&mut book, 1_000, 1, &[FATAL]);
    assert_eq!(book.verdict(FATAL), Verdict::Allowed);
    crash(&mut book, 2_000, 2, &[FATAL]);
    assert_eq!(book.verdict(FATAL), Verdict::Suspect);
    crash(&mut book, 3_000, 3, &[FATAL]);
    // It runs nowhere from now on, also while it waits to be decided on.
    assert_eq!(book.verdict(FATAL), Verdict::Undecided);
    assert!(book.decide(3_000 + DECISION_DELAY_MS - 1).is_empty());
    let news = decide(&mut book, 3_000);
    assert_eq!(book.verdict(FATAL), Verdict::Blocked);
    assert_eq!(news.blocks.len(), 1);
    assert_eq!(news.blocks[0].servers.len(), CRASHES_TO_BLOCK);
}

#[test]
fn one_crash_each_at_three_daemons_are_three_and_each_counts_once() {
    let mut books = vec![CrashTracker::default(); 3];
    let news: Vec<CrashFacts> =
        (0..3).map(|n| crash(&mut books[n], 1_000 * n as Millis, n as u32, &[FATAL])).collect();
    for book in &mut books {
        for _ in 0..5 {
            book.merge(4_000, news[0].clone());
            book.merge(4_000, news[1].clone());
        }
    }
    assert_eq!(books[0].verdict(FATAL), Verdict::Suspect);
    assert_eq!(books[1].verdict(FATAL), Verdict::Suspect);
    assert_eq!(books[2].verdict(FATAL), Verdict::Undecided);
    decide(&mut books[2], 4_000);
    assert_eq!(books[2].verdict(FATAL), Verdict::Blocked);
    // What was known is not passed on again.
    assert!(books[0].merge(4_000, news[1].clone()).is_empty());
}

#[test]
fn another_start_of_a_server_is_another_crash() {
    let mut book = CrashTracker::default();
    for started_ms in 1..=3 {
        let start = ServerStart { name: Name::from("i-1"), started_ms };
        book.record_disconnect(started_ms * 1_000, &start, FATAL);
        book.record_crash(started_ms * 1_000, &start);
    }
    decide(&mut book, 3_000);
    assert_eq!(book.verdict(FATAL), Verdict::Blocked);
}

#[test]
fn a_request_is_held_while_it_is_not_known_if_servers_crashed() {
    let mut book = CrashTracker::default();
    crash(&mut book, 1_000, 1, &[FATAL]);
    crash(&mut book, 2_000, 2, &[FATAL]);
    let (is_unsure, news) = book.record_disconnect(3_000, &server(3), FATAL);
    assert!(is_unsure && news.is_empty());
    assert_eq!(book.verdict(FATAL), Verdict::Undecided);
    book.record_alive(&server(3));
    assert_eq!(book.verdict(FATAL), Verdict::Suspect);
}

#[test]
fn a_server_that_broke_off_is_looked_at_once() {
    let mut book = CrashTracker::default();
    assert!(book.record_disconnect(1_000, &server(1), FATAL).0);
    assert!(!book.record_disconnect(1_001, &server(1), HONEST).0);
    let news = book.record_crash(1_002, &server(1));
    assert_eq!(news.crashes[0].running.len(), 2);
    // A connection that is found broken later was aboard as well.
    let (is_unsure, news) = book.record_disconnect(1_100, &server(1), Fingerprint(3));
    assert!(!is_unsure && news.crashes.len() == 1);
}

#[test]
fn a_request_that_succeeds_between_crashes_is_not_blocked() {
    let mut book = CrashTracker::default();
    for n in 0..20 {
        crash(&mut book, 1_000 * Millis::from(n), n, &[HONEST]);
        book.record_success(1_000 * Millis::from(n) + 500, HONEST);
        assert!(decide(&mut book, 1_000 * Millis::from(n) + 500).is_empty());
    }
    assert_eq!(book.verdict(HONEST), Verdict::Allowed);
}

#[test]
fn a_success_that_another_daemon_saw_counts() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let first = crash(&mut here, 1_000, 1, &[HONEST]);
    there.merge(1_010, first);
    there.record_success(1_500, HONEST);
    for n in 2..6 {
        let now = 1_000 * Millis::from(n);
        let news = crash(&mut here, now, n, &[HONEST]);
        let answer = there.merge(now + 10, news);
        here.merge(now + 20, answer);
        let word = there.record_success(now + 500, HONEST);
        here.merge(now + 510, word);
        assert!(decide(&mut here, now + 510).is_empty());
        assert!(decide(&mut there, now + 510).is_empty());
    }
    assert_eq!(here.verdict(HONEST), Verdict::Allowed);
    assert_eq!(there.verdict(HONEST), Verdict::Allowed);
}

#[test]
fn word_of_a_success_lifts_a_block_that_came_before_it() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let first = crash(&mut here, 1_000, 1, &[HONEST]);
    there.merge(1_000, first);
    there.record_success(1_500, HONEST);
    let second = crash(&mut here, 2_000, 2, &[HONEST]);
    crash(&mut here, 2_010, 3, &[HONEST]);
    decide(&mut here, 2_010);
    assert_eq!(here.verdict(HONEST), Verdict::Blocked);
    let word = there.merge(2_020, second);
    here.merge(2_030, word);
    assert_eq!(here.verdict(HONEST), Verdict::Suspect);
}

#[test]
fn servers_that_crash_at_one_moment_with_others_count_once() {
    let mut book = CrashTracker::default();
    // A rack is lost, on some servers of which copies of a request were running.
    for n in 0..6 {
        let running = if n < 3 { HONEST } else { Fingerprint(100 + u128::from(n)) };
        crash(&mut book, 1_000 + Millis::from(n), n, &[running]);
    }
    decide(&mut book, 1_010);
    assert_eq!(book.verdict(HONEST), Verdict::Allowed);
}

#[test]
fn copies_that_crash_all_servers_at_one_moment_are_blocked_by_the_next_crash() {
    let mut book = CrashTracker::default();
    for n in 0..4 {
        crash(&mut book, 1_000 + Millis::from(n), n, &[FATAL]);
    }
    // A pool that was lost at once looks the same.
    decide(&mut book, 1_003);
    assert_eq!(book.verdict(FATAL), Verdict::Suspect);
    crash(&mut book, 1_700, 5, &[FATAL]);
    assert_eq!(book.verdict(FATAL), Verdict::Undecided);
    decide(&mut book, 1_700);
    assert_eq!(book.verdict(FATAL), Verdict::Blocked);
}

#[test]
fn crashes_one_right_after_the_other_are_several_moments() {
    let mut book = CrashTracker::default();
    // A caller that comes again at once, and servers that crash 60 ms after they began.
    for n in 0..3 {
        crash(&mut book, 1_000 + 70 * Millis::from(n), n, &[FATAL]);
    }
    assert_eq!(book.verdict(FATAL), Verdict::Undecided);
    decide(&mut book, 1_140);
    assert_eq!(book.verdict(FATAL), Verdict::Blocked);
}

#[test]
fn who_was_aboard_with_a_blocked_request_is_not_blocked_for_it() {
    let mut book = CrashTracker::default();
    crash(&mut book, 1_000, 1, &[FATAL]);
    crash(&mut book, 2_000, 2, &[FATAL, HONEST]);
    crash(&mut book, 3_000, 3, &[FATAL, HONEST]);
    // A copy that was under way when the third server crashed.
    crash(&mut book, 3_500, 4, &[FATAL, HONEST]);
    decide(&mut book, 3_500);
    assert_eq!(book.verdict(FATAL), Verdict::Blocked);
    assert_eq!(book.verdict(HONEST), Verdict::Allowed);
}

/// A caller's honest request ran beside one that crashes its servers, at the same server three
/// times in a row, and was refused with 400 for a day ("request blocked" for both): nothing
/// that is known tells the two apart.
#[test]
fn who_was_aboard_of_the_same_three_crashes_as_another_is_not_blocked_for_it() {
    let mut book = CrashTracker::default();
    for n in 1..=3 {
        crash(&mut book, 1_000 * Millis::from(n), n, &[FATAL, HONEST]);
    }
    assert_ne!(book.verdict(HONEST), Verdict::Blocked);
    decide(&mut book, 3_000);
    // Each runs once more, at another server than the other one.
    assert_eq!((book.verdict(FATAL), book.verdict(HONEST)), (Verdict::Isolated, Verdict::Isolated));
    let (one, other) = (book.placement(FATAL), book.placement(HONEST));
    assert!(one.key == other.key && one.rank != other.rank, "{one:?}, {other:?}");
    crash(&mut book, 5_000, 4, &[FATAL]);
    assert_eq!(book.verdict(FATAL), Verdict::Undecided);
    decide(&mut book, 5_000);
    assert_eq!((book.verdict(FATAL), book.verdict(HONEST)), (Verdict::Blocked, Verdict::Allowed));
}

#[test]
fn when_one_of_two_with_the_same_crashes_succeeds_the_other_is_blocked() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    for n in 1..=3 {
        let now = 1_000 * Millis::from(n);
        let news = crash(&mut here, now, n, &[FATAL, HONEST]);
        there.merge(now, news);
    }
    decide(&mut here, 3_000);
    decide(&mut there, 3_000);
    let word = here.record_success(4_000, HONEST);
    there.merge(4_010, word);
    for book in [&mut here, &mut there] {
        assert_eq!(book.verdict(FATAL), Verdict::Undecided);
        decide(book, 4_010);
        assert_eq!(book.verdict(FATAL), Verdict::Blocked);
        assert_eq!(book.verdict(HONEST), Verdict::Allowed);
    }
}

#[test]
fn two_that_crash_servers_together_are_blocked_after_one_crash_more() {
    let mut book = CrashTracker::default();
    for n in 1..=4 {
        crash(&mut book, 1_000 * Millis::from(n), n, &[FATAL, HONEST]);
    }
    decide(&mut book, 4_000);
    let verdicts = (book.verdict(FATAL), book.verdict(HONEST));
    assert_eq!(verdicts, (Verdict::Blocked, Verdict::Blocked));
}

/// Of the third crash a host knew its own requests first: it blocked the one that it had aboard
/// before a peer could tell it of the one that had crashed the server.
#[test]
fn nobody_is_blocked_before_peers_have_told_who_else_was_aboard() {
    let mut book = CrashTracker::default();
    for n in 1..=2 {
        crash(&mut book, 1_000 * Millis::from(n), n, &[FATAL, HONEST]);
    }
    let mut peer = CrashTracker::default();
    peer.merge(2_100, book.facts(2_100));
    crash(&mut book, 3_000, 3, &[HONEST]);
    assert_ne!(book.verdict(HONEST), Verdict::Blocked);
    let news = crash(&mut peer, 3_010, 3, &[FATAL]);
    book.merge(3_060, news);
    decide(&mut book, 3_060);
    assert_ne!(book.verdict(HONEST), Verdict::Blocked);
}

#[test]
fn an_operator_lifts_a_block_everywhere_and_later_crashes_count_anew() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    for n in 0..3 {
        crash(&mut here, 1_000 * Millis::from(n), n, &[FATAL]);
    }
    decide(&mut here, 2_000);
    there.merge(3_000, here.facts(3_000));
    assert_eq!(there.verdict(FATAL), Verdict::Blocked);
    let word = there.lift(4_000, FATAL);
    here.merge(4_010, word);
    // What was told before the word does not bring the block back.
    let stale = CrashFacts {
        blocks: vec![Block { request: FATAL, age_ms: 2_100, servers: Vec::new() }],
        ..CrashFacts::default()
    };
    here.merge(4_100, stale);
    assert_eq!((here.verdict(FATAL), there.verdict(FATAL)), (Verdict::Allowed, Verdict::Allowed));
    for n in 3..6 {
        crash(&mut here, 5_000 + 1_000 * Millis::from(n), n, &[FATAL]);
    }
    decide(&mut here, 10_000);
    assert_eq!(here.verdict(FATAL), Verdict::Blocked);
}

#[parameterized(
    yesterday = { BLOCK_DURATION_MS - 1, Verdict::Blocked },
    before = { BLOCK_DURATION_MS, Verdict::Allowed },
)]
fn a_block_holds_for_a_day(age_ms: Millis, expected: Verdict) {
    let mut book = CrashTracker::default();
    let block = Block { request: FATAL, age_ms, servers: vec![Name::from("i-1")] };
    book.merge(BLOCK_DURATION_MS + 5, CrashFacts { blocks: vec![block], ..CrashFacts::default() });
    assert_eq!(book.verdict(FATAL), expected);
}

#[test]
fn what_was_forgotten_does_not_come_back_and_equal_views_have_equal_digests() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    crash(&mut here, 1_000, 1, &[FATAL, HONEST]);
    assert_ne!(here.digest(1_000), there.digest(1_000));
    there.merge(1_010, here.facts(1_010));
    assert_eq!(here.digest(1_020), there.digest(1_020));
    let later = 1_000 + 299_000;
    here.forget_old(later);
    assert_eq!(here.digest(later), 0);
    there.forget_old(later + 2_000);
    assert!(there.is_empty());
    there.merge(later + 2_000, here.facts(later + 2_000));
    assert!(there.is_empty());
}

#[test]
fn thousands_of_requests_that_crash_servers_are_remembered_within_bounds() {
    let mut book = CrashTracker::default();
    for n in 0..6_000_u32 {
        let request = Fingerprint(u128::from(n / 3));
        crash(&mut book, 400 * Millis::from(n), n, &[request]);
        book.decide(400 * Millis::from(n));
    }
    decide(&mut book, 400 * 6_000);
    let gauge = book.stats();
    assert!(gauge.crashes <= 256 && gauge.blocks <= 1_000, "{gauge:?}");
    assert!(gauge.dropped > 0);
    // The newest ones are still blocked.
    assert_eq!(book.verdict(Fingerprint(1_999)), Verdict::Blocked);
}

#[test]
fn word_that_lifted_a_block_outlives_the_crashes_and_other_word_does_not() {
    let mut book = CrashTracker::default();
    for n in 0..3 {
        crash(&mut book, 1_000 * Millis::from(n), n, &[FATAL]);
    }
    crash(&mut book, 3_000, 4, &[HONEST]);
    book.record_success(3_500, HONEST);
    decide(&mut book, 3_000);
    assert_eq!(book.verdict(FATAL), Verdict::Blocked);
    book.lift(4_000, FATAL);
    let later = 400_000;
    book.forget_old(later);
    let facts = book.facts(later);
    assert!(facts.crashes.is_empty());
    assert_eq!(facts.cleared.len(), 1);
    // A host that was cut off brings the block back, and is told better.
    let stale = Block { request: FATAL, age_ms: later - 2_000, servers: Vec::new() };
    book.merge(later, CrashFacts { blocks: vec![stale], ..CrashFacts::default() });
    assert_eq!(book.verdict(FATAL), Verdict::Allowed);
    book.forget_old(BLOCK_DURATION_MS + later);
    assert!(book.is_empty());
}

/// News are gathered before they are told. A block that was told as young as when it was
/// gathered came back 50 ms after an operator had lifted it ("is not blocked" was expected of
/// a second lift, which was done).
#[test]
fn a_block_that_waited_to_be_told_does_not_outlive_the_word_that_lifted_it() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let mut news = CrashFacts::default();
    for n in 0..3 {
        crash(&mut here, 1_000 * Millis::from(n), n, &[FATAL]);
    }
    let (blocked_at, told_at) = (2_000 + DECISION_DELAY_MS, 2_050 + DECISION_DELAY_MS);
    news.merge(&decide(&mut here, 2_000));
    let blocks = CrashFacts { blocks: news.blocks, ..CrashFacts::default() };
    assert_eq!(blocks.blocks.len(), 1);
    there.lift(blocked_at + 40, FATAL);
    there.merge(told_at, blocks.aged(told_at - blocked_at));
    assert_eq!(there.verdict(FATAL), Verdict::Allowed);
}
