//! Paths to groups of servers: when one counts as lost, and when it is used again.

use bankcove_core::paths::{
    Evidence, MAX_GROUPS_PROBED, MAX_REPORTED_GROUPS, PROBE_INTERVAL_MS, PathChange, PathReport,
    PathState, PathTracker, PeerLoad, ProbeRound, ServerGroup, choose_peer,
};
use bankcove_core::{Millis, Name};
use proptest::prelude::*;
use yare::parameterized;

const NOTHING: ProbeRound = ProbeRound { tried: 2, reached: 0, has_data: false };
const ONE: ProbeRound = ProbeRound { tried: 2, reached: 1, has_data: false };
const ALL: ProbeRound = ProbeRound { tried: 2, reached: 2, has_data: false };

fn group(pool: &str) -> ServerGroup {
    ServerGroup { pool: Name::from(pool), hall: Name::from("hall-1") }
}

/// Returns a tracker whose path to `engines` was lost at 1,000 ms.
fn lost() -> PathTracker {
    let mut tracker = PathTracker::default();
    tracker.record_evidence(1_000, &group("engines"), Evidence::ConnectFailed);
    assert_eq!(tracker.due_probes(1_000), [group("engines")]);
    let change = tracker.record_round(1_000, &group("engines"), NOTHING);
    assert_eq!(change, Some(PathChange::Lost));
    tracker
}

/// Runs rounds of probes with this result every [`PROBE_INTERVAL_MS`] until the path changes, from
/// `now` on; returns the time of the change.
fn probe_until_change(tracker: &mut PathTracker, mut now: Millis, round: ProbeRound) -> Millis {
    for _ in 0..100 {
        for due in tracker.due_probes(now) {
            if tracker.record_round(now, &due, round).is_some() {
                return now;
            }
        }
        now += PROBE_INTERVAL_MS;
    }
    panic!("the path does not change");
}

#[test]
fn nothing_is_probed_while_nothing_is_wrong() {
    let mut tracker = PathTracker::default();
    assert!(tracker.is_direct(0, &group("engines"), 0));
    assert_eq!((tracker.next_due_at(), tracker.due_probes(0)), (None, vec![]));
}

#[parameterized(
    connect = { Evidence::ConnectFailed },
    broken = { Evidence::Broken },
    silent = { Evidence::Silent },
)]
fn one_failing_server_does_not_lose_the_path_to_its_group(evidence: Evidence) {
    let mut tracker = PathTracker::default();
    assert!(tracker.record_evidence(1_000, &group("engines"), evidence));
    assert!(tracker.is_direct(1_000, &group("engines"), 0));
    assert_eq!(tracker.due_probes(1_000), [group("engines")]);
    assert_eq!(tracker.record_round(1_002, &group("engines"), ONE), None);
    assert!(!tracker.is_lost(&group("engines")));
    let forgotten_at = tracker.next_due_at().expect("its losses are remembered");
    assert!(tracker.due_probes(forgotten_at).is_empty() && tracker.is_empty());
}

#[test]
fn a_path_is_lost_when_no_probe_connects() {
    let tracker = lost();
    assert!(!tracker.is_direct(1_000, &group("engines"), 0));
    assert!(tracker.is_direct(1_000, &group("plain"), 0));
    assert_eq!(tracker.lost().collect::<Vec<_>>(), [&group("engines")]);
}

// Guards against a path that counts as lost for a short fault of new connections alone.
#[test]
fn while_old_connections_deliver_data_two_rounds_must_fail() {
    let mut tracker = PathTracker::default();
    tracker.record_evidence(1_000, &group("engines"), Evidence::ConnectFailed);
    assert_eq!(tracker.due_probes(1_000).len(), 1);
    let round = ProbeRound { has_data: true, ..NOTHING };
    assert_eq!(tracker.record_round(1_250, &group("engines"), round), None);
    assert_eq!(tracker.due_probes(1_250).len(), 1);
    assert_eq!(tracker.record_round(1_500, &group("engines"), round), Some(PathChange::Lost));
}

#[test]
fn silence_of_servers_that_accept_connections_is_not_probed_again_at_once() {
    let mut tracker = PathTracker::default();
    tracker.record_evidence(1_000, &group("engines"), Evidence::Silent);
    tracker.due_probes(1_000);
    tracker.record_round(1_001, &group("engines"), ALL);
    assert!(!tracker.record_evidence(1_500, &group("engines"), Evidence::Silent));
    assert!(tracker.record_evidence(1_500, &group("engines"), Evidence::ConnectFailed));
}

#[test]
fn a_regained_path_takes_a_growing_fraction_of_requests() {
    let mut tracker = lost();
    let at = probe_until_change(&mut tracker, 1_500, ALL);
    assert!(at <= 2_500, "{at}");
    let direct = |tracker: &PathTracker, now| {
        (0..2_000).filter(|seed| tracker.is_direct(now, &group("engines"), *seed)).count()
    };
    assert_eq!(direct(&tracker, at), 200);
    assert_eq!(direct(&tracker, at + 1_000), 1_000);
    assert!(tracker.due_probes(at + 2_000).is_empty());
    assert_eq!(direct(&tracker, at + 2_000), 2_000);
}

#[test]
fn one_failed_connection_ends_the_ramp_and_is_only_probed_after_it() {
    let mut tracker = lost();
    let at = probe_until_change(&mut tracker, 1_500, ALL);
    let mut later = tracker.clone();
    let ramp_end = later.next_due_at().expect("the ramp ends");
    assert!(later.due_probes(ramp_end).is_empty());
    assert!(later.record_evidence(ramp_end, &group("engines"), Evidence::ConnectFailed));
    assert!(!later.is_lost(&group("engines")));
    assert!(tracker.record_evidence(at + 100, &group("engines"), Evidence::ConnectFailed));
    assert!(tracker.is_lost(&group("engines")));
}

// Guards against a path that is taken up and lost again with each of a series of short cuts.
#[test]
fn a_path_that_is_lost_again_and_again_is_taken_up_later_each_time() {
    let mut tracker = lost();
    let mut held = Vec::new();
    let mut now = 1_500;
    for _ in 0..5 {
        let regained = probe_until_change(&mut tracker, now, ALL);
        held.push(regained - now);
        tracker.record_evidence(regained, &group("engines"), Evidence::ConnectFailed);
        now = regained;
    }
    assert!(held.is_sorted() && held[4] >= 4 * held[0].max(500), "{held:?}");
}

#[test]
fn probes_that_fail_in_between_start_the_wait_again() {
    let mut tracker = lost();
    assert_eq!(tracker.record_round(2_000, &group("engines"), ALL), None);
    assert_eq!(tracker.record_round(2_500, &group("engines"), ONE), None);
    assert_eq!(tracker.record_round(3_000, &group("engines"), ALL), None);
    let change = tracker.record_round(3_500, &group("engines"), ALL);
    assert_eq!(change, Some(PathChange::Regained { lost_ms: 2_500 }));
}

#[test]
fn a_group_without_servers_is_forgotten() {
    let mut tracker = lost();
    let gone = ProbeRound { tried: 0, reached: 0, has_data: false };
    assert_eq!(tracker.record_round(2_000, &group("engines"), gone), None);
    assert!(tracker.is_empty());
}

#[test]
fn the_number_of_groups_probed_at_once_is_bounded_and_all_have_their_turn() {
    let mut tracker = PathTracker::default();
    let groups: Vec<ServerGroup> = (0..50).map(|n| group(&format!("pool-{n}"))).collect();
    tracker.suspect_all(1_000, groups.clone());
    let mut probed = Vec::new();
    for round in 0..7 {
        let due = tracker.due_probes(1_000 + round);
        assert!(due.len() <= MAX_GROUPS_PROBED);
        probed.extend(due);
    }
    probed.sort();
    let mut expected = groups;
    expected.sort();
    assert_eq!(probed, expected);
}

#[test]
fn a_report_with_more_groups_than_it_names_promises_nothing() {
    let groups = (0..=MAX_REPORTED_GROUPS).map(|n| group(&format!("pool-{n}")));
    let report = PathReport::new(groups, None, 0);
    assert_eq!(report.lost.len(), MAX_REPORTED_GROUPS);
    assert!(!report.may_reach(&group("another")));
    let report = PathReport::new([group("engines")], None, 0);
    assert!(!report.may_reach(&group("engines")) && report.may_reach(&group("another")));
}

#[test]
fn of_two_peers_the_less_loaded_is_chosen() {
    let peer = |tunnels| PeerLoad { is_same_hall: false, tunnels };
    for seed in 0..100 {
        assert_eq!(choose_peer(&[peer(3), peer(1)], seed), Some(1));
    }
    assert_eq!(choose_peer(&[], 0), None);
    assert_eq!(choose_peer(&[peer(9)], 7), Some(0));
}

#[test]
fn a_peer_of_the_same_hall_is_preferred_until_it_carries_more() {
    let near = |tunnels| PeerLoad { is_same_hall: true, tunnels };
    let far = PeerLoad { is_same_hall: false, tunnels: 0 };
    assert_eq!(choose_peer(&[near(5), far], 1), Some(0));
    assert_eq!(choose_peer(&[near(50), far], 1), Some(1));
}

proptest! {
    // Guards against hosts without a path that all lean on one peer, or move from peer to peer together.
    #[test]
    fn half_of_a_fleet_leans_evenly_on_the_other_half(seed in any::<u64>()) {
        use rand::{Rng, SeedableRng};
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        // Loads are known by reports that lag: each is renewed after 40 choices.
        let mut actual = [0_u32; 20];
        let mut reported = actual;
        for n in 0..800 {
            if n % 40 == 0 {
                reported = actual;
            }
            let load = |tunnels: &u32| PeerLoad { is_same_hall: false, tunnels: *tunnels };
            let loads: Vec<PeerLoad> = reported.iter().map(load).collect();
            actual[choose_peer(&loads, rng.random()).unwrap()] += 1;
        }
        prop_assert!(actual.iter().all(|load| (20..=60).contains(load)), "{actual:?}");
    }

    // Guards against a state in which a lost path is neither probed nor used.
    #[test]
    fn a_path_is_used_again_after_any_history(
        steps in proptest::collection::vec((0..6_u8, 0..700_u64), 0..60),
    ) {
        let mut tracker = PathTracker::default();
        let mut now = 1_000;
        for (kind, pause) in steps {
            now += pause;
            match kind {
                0 => _ = tracker.record_evidence(now, &group("engines"), Evidence::ConnectFailed),
                1 => _ = tracker.record_evidence(now, &group("engines"), Evidence::Silent),
                2 => _ = tracker.record_evidence(now, &group("engines"), Evidence::Broken),
                3 => _ = tracker.due_probes(now),
                4 => _ = tracker.record_round(now, &group("engines"), NOTHING),
                _ => _ = tracker.record_round(now, &group("engines"), ALL),
            }
        }
        for _ in 0..40 {
            now += PROBE_INTERVAL_MS;
            for due in tracker.due_probes(now) {
                tracker.record_round(now, &due, ALL);
            }
        }
        prop_assert!(tracker.is_direct(now, &group("engines"), u64::MAX));
        let state = tracker.state(&group("engines"));
        prop_assert!(matches!(state, None | Some(PathState::Reachable { .. })), "{state:?}");
    }
}
