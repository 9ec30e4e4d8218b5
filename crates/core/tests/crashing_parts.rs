//! Verdicts on parts of prompts from the crashes and successes that one daemon knows.

use bankcove_core::crashes::{
    CRASHES_TO_BLOCK_PART, CrashFacts, CrashTracker, DECISION_DELAY_MS, ServerInstance, Verdict,
};
use bankcove_core::{Fingerprint, Millis, Name};
use yare::parameterized;

/// Hashes of software versions.
const STABLE: u64 = 1;
const NEW: u64 = 2;

/// Time between two crashes.
const GAP_MS: Millis = 200;

fn part(id: u64) -> Fingerprint {
    Fingerprint::of_part(&Name::from("model"), id)
}

fn bad() -> Fingerprint {
    part(0xbad)
}

fn server(number: u64) -> ServerInstance {
    ServerInstance { name: Name::from(format!("i-{number}").as_str()), started_ms: 0 }
}

/// Records the crash of a server of this version that was running these.
fn crash(
    tracker: &mut CrashTracker,
    number: u64,
    version: u64,
    running: &[Fingerprint],
) -> CrashFacts {
    let now = number * GAP_MS;
    for one in running {
        tracker.record_disconnect(now, &server(number), *one);
    }
    tracker.record_outcome(now, running[0], version, true);
    tracker.record_crash(now, &server(number))
}

/// Records successes of requests with this part.
fn succeed(tracker: &mut CrashTracker, now: Millis, version: u64, part: Fingerprint, count: usize) {
    for _ in 0..count {
        tracker.record_outcome(now, part, version, false);
    }
    tracker.record_success(now, part);
}

/// Records so many crashes with the bad part, beside successes of others, and decides.
fn blocks_after(crashes: u64, version_of_successes: u64) -> Vec<Fingerprint> {
    let mut tracker = CrashTracker::default();
    for number in 1..=crashes {
        // Each request has a body and a part of its own.
        let own = [Fingerprint(number.into()), part(number)];
        crash(&mut tracker, number, STABLE, &[bad(), own[0], own[1]]);
        succeed(&mut tracker, number * GAP_MS + 1, version_of_successes, part(0xa0), 5);
    }
    decide(&mut tracker, crashes * GAP_MS)
}

fn decide(tracker: &mut CrashTracker, now: Millis) -> Vec<Fingerprint> {
    tracker.decide(now + DECISION_DELAY_MS).blocks.iter().map(|block| block.request).collect()
}

#[parameterized(
    four = { CRASHES_TO_BLOCK_PART - 1, STABLE, false },
    five = { CRASHES_TO_BLOCK_PART, STABLE, true },
    // Servers that crash under everything are the cause themselves.
    nothing_succeeds_at_their_version = { CRASHES_TO_BLOCK_PART, NEW, false },
)]
fn a_part_of_different_requests_is_blocked(crashes: usize, version: u64, is_blocked: bool) {
    let expected = if is_blocked { vec![bad()] } else { Vec::new() };
    assert_eq!(blocks_after(crashes as u64, version), expected);
}

#[test]
fn a_part_that_succeeds_between_crashes_is_not_blocked() {
    let mut tracker = CrashTracker::default();
    for number in 1..=8 {
        crash(&mut tracker, number, STABLE, &[part(1), part(100 + number)]);
        succeed(&mut tracker, number * GAP_MS + 1, STABLE, part(2), 5);
        if number == 4 {
            succeed(&mut tracker, number * GAP_MS + 1, STABLE, part(1), 1);
        }
    }
    assert!(decide(&mut tracker, 8 * GAP_MS).is_empty());
    assert_eq!(tracker.part_verdict(part(1)), Verdict::Suspect);
}

/// Guards against decisions that are put off by each further crash.
#[test]
fn crashes_in_quick_succession_do_not_put_off_the_decision() {
    let mut tracker = CrashTracker::default();
    for number in 1..=7 {
        crash(&mut tracker, number, STABLE, &[bad(), part(number)]);
        succeed(&mut tracker, number * GAP_MS + 1, STABLE, part(0xa0), 5);
    }
    let fifth = 5 * GAP_MS;
    assert_eq!(tracker.part_verdict(bad()), Verdict::Undecided);
    assert_eq!(decide(&mut tracker, fifth), [bad()]);
    assert_eq!(tracker.part_verdict(bad()), Verdict::Blocked);
}

/// Guards against blocking an innocent part that was at all crashes of the cause.
#[test]
fn of_two_parts_with_the_same_crashes_neither_is_blocked_before_more() {
    let mut tracker = CrashTracker::default();
    for number in 1..=5 {
        crash(&mut tracker, number, STABLE, &[bad(), part(1)]);
        succeed(&mut tracker, number * GAP_MS + 1, STABLE, part(0xa0), 5);
    }
    assert!(decide(&mut tracker, 5 * GAP_MS).is_empty());
    crash(&mut tracker, 10, STABLE, &[bad(), part(2)]);
    assert_eq!(decide(&mut tracker, 10 * GAP_MS), [bad()]);
}

#[test]
fn two_parts_with_crashes_of_their_own_are_both_blocked() {
    let mut tracker = CrashTracker::default();
    for number in 1..=10 {
        let cause = if number % 2 == 0 { bad() } else { part(0xbae) };
        crash(&mut tracker, number, STABLE, &[cause, part(number)]);
        succeed(&mut tracker, number * GAP_MS + 1, STABLE, part(0xa0), 5);
    }
    let mut blocked = decide(&mut tracker, 10 * GAP_MS);
    blocked.sort_unstable();
    assert_eq!(blocked, [bad(), part(0xbae)]);
}

/// Guards against requests that are blocked for the crashes of a part of another request.
#[test]
fn crashes_of_a_blocked_part_block_no_request() {
    let mut tracker = CrashTracker::default();
    let repeated = Fingerprint(7);
    for number in 1..=6 {
        crash(&mut tracker, number, STABLE, &[bad(), repeated]);
        succeed(&mut tracker, number * GAP_MS + 1, STABLE, part(0xa0), 5);
    }
    assert_eq!(decide(&mut tracker, 6 * GAP_MS), [bad()]);
    assert_eq!(tracker.verdict(repeated), Verdict::Allowed);
}

/// Guards against answers without a length as the only evidence: whether they were whole is known
/// when their server turns out to be running.
#[test]
fn an_answer_that_ends_with_its_connection_clears_a_part_if_the_server_runs_on() {
    let mut tracker = CrashTracker::default();
    for number in 1..=4 {
        crash(&mut tracker, number, STABLE, &[part(1)]);
    }
    let now = 10 * GAP_MS;
    tracker.record_unframed_end(now, &server(10), part(1), STABLE);
    assert_eq!(tracker.part_verdict(part(1)), Verdict::Suspect);
    let updates = tracker.record_alive(&server(10));
    assert_eq!(tracker.part_verdict(part(1)), Verdict::Allowed);
    assert_eq!(updates.cleared.len(), 1, "peers are told");
    for number in 11..=12 {
        tracker.record_unframed_end(now, &server(number), part(2), STABLE);
        tracker.record_crash(now, &server(number));
    }
    assert!(!tracker.record_alive(&server(11)).cleared.iter().any(|one| one.request == part(2)));
}

#[test]
fn a_popular_part_is_announced_as_cleared_once_for_several_crashes() {
    let mut tracker = CrashTracker::default();
    let mut announced = 0;
    for number in 1..=9 {
        announced += crash(&mut tracker, number, STABLE, &[part(1)]).cleared.len();
        announced += tracker.record_success(number * GAP_MS + 1, part(1)).cleared.len();
    }
    assert_eq!(announced, 3);
}

/// Guards against parts of two pools that count as one.
#[test]
fn parts_of_different_pools_are_distinct() {
    let other = Fingerprint::of_part(&Name::from("other"), 0xbad);
    assert_ne!(other, bad());
    assert!(other.is_part() && bad().is_part());
    assert!(!Fingerprint::of("host", "/path", "workspace", b"body").is_part());
}
