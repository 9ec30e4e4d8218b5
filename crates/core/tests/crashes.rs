//! Verdicts on requests from the crashes that one daemon knows.

use bankcove_core::crashes::{
    BLOCK_DURATION_MS, Block, CRASHES_TO_BLOCK, CrashFacts, CrashTracker, DECISION_DELAY_MS,
    ServerInstance, Verdict,
};
use bankcove_core::{Fingerprint, Millis, Name};
use yare::parameterized;

const FATAL: Fingerprint = Fingerprint(1);
const HARMLESS: Fingerprint = Fingerprint(2);

fn server(number: u32) -> ServerInstance {
    ServerInstance { name: Name::from(format!("i-{number}")), started_ms: 0 }
}

/// Records the crash of a server that was running these requests; returns the updates for peers.
fn crash(
    tracker: &mut CrashTracker,
    now: Millis,
    number: u32,
    running: &[Fingerprint],
) -> CrashFacts {
    let instance = server(number);
    for request in running {
        tracker.record_disconnect(now, &instance, *request);
    }
    tracker.record_crash(now, &instance)
}

/// Decides after all peers have reported what they knew at `now`; returns the updates for peers.
fn decide(tracker: &mut CrashTracker, now: Millis) -> CrashFacts {
    tracker.decide(now + DECISION_DELAY_MS)
}

#[test]
fn three_crashes_block_a_request() {
    let mut tracker = CrashTracker::default();
    assert_eq!(tracker.verdict(FATAL), Verdict::Allowed);
    crash(&mut tracker, 1_000, 1, &[FATAL]);
    assert_eq!(tracker.verdict(FATAL), Verdict::Allowed);
    crash(&mut tracker, 2_000, 2, &[FATAL]);
    assert_eq!(tracker.verdict(FATAL), Verdict::Suspect);
    crash(&mut tracker, 3_000, 3, &[FATAL]);
    // From now on it must not run, not even while the decision is pending.
    assert_eq!(tracker.verdict(FATAL), Verdict::Undecided);
    assert!(tracker.decide(3_000 + DECISION_DELAY_MS - 1).is_empty());
    let updates = decide(&mut tracker, 3_000);
    assert_eq!(tracker.verdict(FATAL), Verdict::Blocked);
    assert_eq!(updates.blocks.len(), 1);
    assert_eq!(updates.blocks[0].servers.len(), CRASHES_TO_BLOCK);
}

#[test]
fn crashes_seen_by_three_daemons_add_up_and_each_counts_once() {
    let mut trackers = vec![CrashTracker::default(); 3];
    let updates: Vec<CrashFacts> =
        (0..3).map(|n| crash(&mut trackers[n], 1_000 * n as Millis, n as u32, &[FATAL])).collect();
    for tracker in &mut trackers {
        for _ in 0..5 {
            tracker.merge(4_000, updates[0].clone());
            tracker.merge(4_000, updates[1].clone());
        }
    }
    assert_eq!(trackers[0].verdict(FATAL), Verdict::Suspect);
    assert_eq!(trackers[1].verdict(FATAL), Verdict::Suspect);
    assert_eq!(trackers[2].verdict(FATAL), Verdict::Undecided);
    decide(&mut trackers[2], 4_000);
    assert_eq!(trackers[2].verdict(FATAL), Verdict::Blocked);
    // Known facts are not forwarded again.
    assert!(trackers[0].merge(4_000, updates[1].clone()).is_empty());
}

#[test]
fn crashes_of_different_instances_of_a_server_count_separately() {
    let mut tracker = CrashTracker::default();
    for started_ms in 1..=3 {
        let instance = ServerInstance { name: Name::from("i-1"), started_ms };
        tracker.record_disconnect(started_ms * 1_000, &instance, FATAL);
        tracker.record_crash(started_ms * 1_000, &instance);
    }
    decide(&mut tracker, 3_000);
    assert_eq!(tracker.verdict(FATAL), Verdict::Blocked);
}

#[test]
fn a_request_is_undecided_until_a_disconnected_server_is_verified() {
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, 1_000, 1, &[FATAL]);
    crash(&mut tracker, 2_000, 2, &[FATAL]);
    let (must_verify, updates) = tracker.record_disconnect(3_000, &server(3), FATAL);
    assert!(must_verify && updates.is_empty());
    assert_eq!(tracker.verdict(FATAL), Verdict::Undecided);
    tracker.record_alive(&server(3));
    assert_eq!(tracker.verdict(FATAL), Verdict::Suspect);
}

#[test]
fn a_disconnected_server_is_verified_once() {
    let mut tracker = CrashTracker::default();
    assert!(tracker.record_disconnect(1_000, &server(1), FATAL).0);
    assert!(!tracker.record_disconnect(1_001, &server(1), HARMLESS).0);
    let updates = tracker.record_crash(1_002, &server(1));
    assert_eq!(updates.crashes[0].running.len(), 2);
    // A request whose connection is found broken later was running there as well.
    let (must_verify, updates) = tracker.record_disconnect(1_100, &server(1), Fingerprint(3));
    assert!(!must_verify && updates.crashes.len() == 1);
}

#[test]
fn a_request_that_succeeds_between_crashes_is_not_blocked() {
    let mut tracker = CrashTracker::default();
    for n in 0..20 {
        crash(&mut tracker, 1_000 * Millis::from(n), n, &[HARMLESS]);
        tracker.record_success(1_000 * Millis::from(n) + 500, HARMLESS);
        assert!(decide(&mut tracker, 1_000 * Millis::from(n) + 500).is_empty());
    }
    assert_eq!(tracker.verdict(HARMLESS), Verdict::Allowed);
}

#[test]
fn a_success_seen_by_another_daemon_counts() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let first = crash(&mut here, 1_000, 1, &[HARMLESS]);
    there.merge(1_010, first);
    there.record_success(1_500, HARMLESS);
    for n in 2..6 {
        let now = 1_000 * Millis::from(n);
        let updates = crash(&mut here, now, n, &[HARMLESS]);
        let answer = there.merge(now + 10, updates);
        here.merge(now + 20, answer);
        let clearance = there.record_success(now + 500, HARMLESS);
        here.merge(now + 510, clearance);
        assert!(decide(&mut here, now + 510).is_empty());
        assert!(decide(&mut there, now + 510).is_empty());
    }
    assert_eq!(here.verdict(HARMLESS), Verdict::Allowed);
    assert_eq!(there.verdict(HARMLESS), Verdict::Allowed);
}

#[test]
fn a_late_report_of_a_success_lifts_the_block() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let first = crash(&mut here, 1_000, 1, &[HARMLESS]);
    there.merge(1_000, first);
    there.record_success(1_500, HARMLESS);
    let second = crash(&mut here, 2_000, 2, &[HARMLESS]);
    crash(&mut here, 2_010, 3, &[HARMLESS]);
    decide(&mut here, 2_010);
    assert_eq!(here.verdict(HARMLESS), Verdict::Blocked);
    let clearance = there.merge(2_020, second);
    here.merge(2_030, clearance);
    assert_eq!(here.verdict(HARMLESS), Verdict::Suspect);
}

#[test]
fn simultaneous_crashes_with_unrelated_servers_count_once() {
    let mut tracker = CrashTracker::default();
    // A rack fails, and copies of one request were running on some of its servers.
    for n in 0..6 {
        let running = if n < 3 { HARMLESS } else { Fingerprint(100 + u128::from(n)) };
        crash(&mut tracker, 1_000 + Millis::from(n), n, &[running]);
    }
    decide(&mut tracker, 1_010);
    assert_eq!(tracker.verdict(HARMLESS), Verdict::Allowed);
}

#[test]
fn copies_that_crash_all_servers_at_once_are_blocked_by_the_next_crash() {
    let mut tracker = CrashTracker::default();
    for n in 0..4 {
        crash(&mut tracker, 1_000 + Millis::from(n), n, &[FATAL]);
    }
    // A pool that fails at once looks the same.
    decide(&mut tracker, 1_003);
    assert_eq!(tracker.verdict(FATAL), Verdict::Suspect);
    crash(&mut tracker, 1_700, 5, &[FATAL]);
    assert_eq!(tracker.verdict(FATAL), Verdict::Undecided);
    decide(&mut tracker, 1_700);
    assert_eq!(tracker.verdict(FATAL), Verdict::Blocked);
}

#[test]
fn crashes_in_quick_succession_are_separate_incidents() {
    let mut tracker = CrashTracker::default();
    // The caller retries at once, and each server crashes 60 ms after it begins to run the request.
    for n in 0..3 {
        crash(&mut tracker, 1_000 + 70 * Millis::from(n), n, &[FATAL]);
    }
    assert_eq!(tracker.verdict(FATAL), Verdict::Undecided);
    decide(&mut tracker, 1_140);
    assert_eq!(tracker.verdict(FATAL), Verdict::Blocked);
}

#[test]
fn a_request_beside_a_blocked_one_is_not_blocked() {
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, 1_000, 1, &[FATAL]);
    crash(&mut tracker, 2_000, 2, &[FATAL, HARMLESS]);
    crash(&mut tracker, 3_000, 3, &[FATAL, HARMLESS]);
    // A copy that was in flight when the third server crashed.
    crash(&mut tracker, 3_500, 4, &[FATAL, HARMLESS]);
    decide(&mut tracker, 3_500);
    assert_eq!(tracker.verdict(FATAL), Verdict::Blocked);
    assert_eq!(tracker.verdict(HARMLESS), Verdict::Allowed);
}

/// Guards against blocking a harmless request that ran beside a crashing one on the same server
/// three times in a row: the facts don't distinguish the two, both were logged as "request
/// blocked", and the harmless one was refused with status 400 for a day.
#[test]
fn a_request_beside_another_with_the_same_three_crashes_is_not_blocked() {
    let mut tracker = CrashTracker::default();
    for n in 1..=3 {
        crash(&mut tracker, 1_000 * Millis::from(n), n, &[FATAL, HARMLESS]);
    }
    assert_ne!(tracker.verdict(HARMLESS), Verdict::Blocked);
    decide(&mut tracker, 3_000);
    // Each runs once more, on different servers.
    assert_eq!(
        (tracker.verdict(FATAL), tracker.verdict(HARMLESS)),
        (Verdict::Isolated, Verdict::Isolated)
    );
    let (first, second) = (tracker.placement(FATAL), tracker.placement(HARMLESS));
    assert!(first.key == second.key && first.rank != second.rank, "{first:?}, {second:?}");
    crash(&mut tracker, 5_000, 4, &[FATAL]);
    assert_eq!(tracker.verdict(FATAL), Verdict::Undecided);
    decide(&mut tracker, 5_000);
    assert_eq!(
        (tracker.verdict(FATAL), tracker.verdict(HARMLESS)),
        (Verdict::Blocked, Verdict::Allowed)
    );
}

#[test]
fn when_one_of_two_with_the_same_crashes_succeeds_the_other_is_blocked() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    for n in 1..=3 {
        let now = 1_000 * Millis::from(n);
        let updates = crash(&mut here, now, n, &[FATAL, HARMLESS]);
        there.merge(now, updates);
    }
    decide(&mut here, 3_000);
    decide(&mut there, 3_000);
    let clearance = here.record_success(4_000, HARMLESS);
    there.merge(4_010, clearance);
    for tracker in [&mut here, &mut there] {
        assert_eq!(tracker.verdict(FATAL), Verdict::Undecided);
        decide(tracker, 4_010);
        assert_eq!(tracker.verdict(FATAL), Verdict::Blocked);
        assert_eq!(tracker.verdict(HARMLESS), Verdict::Allowed);
    }
}

#[test]
fn two_requests_with_the_same_crashes_are_blocked_by_the_fourth_crash() {
    let mut tracker = CrashTracker::default();
    for n in 1..=4 {
        crash(&mut tracker, 1_000 * Millis::from(n), n, &[FATAL, HARMLESS]);
    }
    decide(&mut tracker, 4_000);
    let verdicts = (tracker.verdict(FATAL), tracker.verdict(HARMLESS));
    assert_eq!(verdicts, (Verdict::Blocked, Verdict::Blocked));
}

/// Guards against deciding too early: a host learns of its own requests in the third crash first,
/// and blocked its harmless one before a peer could report the one that crashed the server.
#[test]
fn no_request_is_blocked_before_peers_have_reported_theirs() {
    let mut tracker = CrashTracker::default();
    for n in 1..=2 {
        crash(&mut tracker, 1_000 * Millis::from(n), n, &[FATAL, HARMLESS]);
    }
    let mut peer = CrashTracker::default();
    peer.merge(2_100, tracker.facts(2_100));
    crash(&mut tracker, 3_000, 3, &[HARMLESS]);
    assert_ne!(tracker.verdict(HARMLESS), Verdict::Blocked);
    let updates = crash(&mut peer, 3_010, 3, &[FATAL]);
    tracker.merge(3_060, updates);
    decide(&mut tracker, 3_060);
    assert_ne!(tracker.verdict(HARMLESS), Verdict::Blocked);
}

#[test]
fn an_operator_lifts_a_block_everywhere_and_only_later_crashes_count() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    for n in 0..3 {
        crash(&mut here, 1_000 * Millis::from(n), n, &[FATAL]);
    }
    decide(&mut here, 2_000);
    there.merge(3_000, here.facts(3_000));
    assert_eq!(there.verdict(FATAL), Verdict::Blocked);
    let clearance = there.lift(4_000, FATAL);
    here.merge(4_010, clearance);
    // A block reported from before the lift does not return.
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
    before_its_end = { BLOCK_DURATION_MS - 1, Verdict::Blocked },
    at_its_end = { BLOCK_DURATION_MS, Verdict::Allowed },
)]
fn a_block_lasts_for_a_day(age_ms: Millis, expected: Verdict) {
    let mut tracker = CrashTracker::default();
    let block = Block { request: FATAL, age_ms, servers: vec![Name::from("i-1")] };
    tracker
        .merge(BLOCK_DURATION_MS + 5, CrashFacts { blocks: vec![block], ..CrashFacts::default() });
    assert_eq!(tracker.verdict(FATAL), expected);
}

#[test]
fn expired_crashes_do_not_return_and_equal_states_have_equal_digests() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    crash(&mut here, 1_000, 1, &[FATAL, HARMLESS]);
    assert_ne!(here.digest(1_000), there.digest(1_000));
    there.merge(1_010, here.facts(1_010));
    assert_eq!(here.digest(1_020), there.digest(1_020));
    let later = 1_000 + 299_000;
    here.remove_expired(later);
    assert_eq!(here.digest(later), 0);
    there.remove_expired(later + 2_000);
    assert!(there.is_empty());
    there.merge(later + 2_000, here.facts(later + 2_000));
    assert!(there.is_empty());
}

#[test]
fn memory_is_bounded_with_thousands_of_crashing_requests() {
    let mut tracker = CrashTracker::default();
    for n in 0..6_000_u32 {
        let request = Fingerprint(u128::from(n / 3));
        crash(&mut tracker, 400 * Millis::from(n), n, &[request]);
        tracker.decide(400 * Millis::from(n));
    }
    decide(&mut tracker, 400 * 6_000);
    let stats = tracker.stats();
    assert!(stats.crashes <= 256 && stats.blocks <= 1_000, "{stats:?}");
    assert!(stats.dropped > 0);
    // The newest requests are still blocked.
    assert_eq!(tracker.verdict(Fingerprint(1_999)), Verdict::Blocked);
}

#[test]
fn a_clearance_that_lifted_a_block_outlives_the_crashes_and_others_do_not() {
    let mut tracker = CrashTracker::default();
    for n in 0..3 {
        crash(&mut tracker, 1_000 * Millis::from(n), n, &[FATAL]);
    }
    crash(&mut tracker, 3_000, 4, &[HARMLESS]);
    tracker.record_success(3_500, HARMLESS);
    decide(&mut tracker, 3_000);
    assert_eq!(tracker.verdict(FATAL), Verdict::Blocked);
    tracker.lift(4_000, FATAL);
    let later = 400_000;
    tracker.remove_expired(later);
    let facts = tracker.facts(later);
    assert!(facts.crashes.is_empty());
    assert_eq!(facts.cleared.len(), 1);
    // A host that was partitioned still reports the block, and it is ignored.
    let stale = Block { request: FATAL, age_ms: later - 2_000, servers: Vec::new() };
    tracker.merge(later, CrashFacts { blocks: vec![stale], ..CrashFacts::default() });
    assert_eq!(tracker.verdict(FATAL), Verdict::Allowed);
    tracker.remove_expired(BLOCK_DURATION_MS + later);
    assert!(tracker.is_empty());
}

/// Guards against updates that are batched before sending without adding the wait to their ages:
/// a block sent with the age from before the batching came back 50 ms after an operator had
/// lifted it, so that a second lift succeeded instead of being refused with "is not blocked".
#[test]
fn a_block_queued_for_sending_does_not_override_a_later_lift() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let mut updates = CrashFacts::default();
    for n in 0..3 {
        crash(&mut here, 1_000 * Millis::from(n), n, &[FATAL]);
    }
    let (blocked_at, sent_at) = (2_000 + DECISION_DELAY_MS, 2_050 + DECISION_DELAY_MS);
    updates.merge(&decide(&mut here, 2_000));
    let blocks = CrashFacts { blocks: updates.blocks, ..CrashFacts::default() };
    assert_eq!(blocks.blocks.len(), 1);
    there.lift(blocked_at + 40, FATAL);
    there.merge(sent_at, blocks.aged(sent_at - blocked_at));
    assert_eq!(there.verdict(FATAL), Verdict::Allowed);
}
