//! Load on the store during an outage and at the start of a fleet.
//!
//! Guards against two load patterns: the store is unavailable for 9 s to 295 daemons
//! in five halls; all daemons of such a fleet start at once. When each daemon probed the store five times a
//! second, the outage simulated here took 13,275 calls; when each read both lists itself at
//! startup, the 295 daemons of the users made 629 and 654 calls, instead of 46 and 178.

use bankcove_core::Millis;
use bankcove_core::store_read_policy::{StoreReadPolicy, ViewBounds};
use yare::parameterized;

const HALLS: usize = 5;
const HALL_SIZE: usize = 59;
const READERS: usize = 2;
const OUTAGE_MS: Millis = 9_000;
const HEARTBEAT_MS: Millis = 500;

/// Consecutive failed probes after which the store counts as unavailable.
const UNAVAILABLE_AFTER_FAILURES: u32 = 2;

/// Number of calls if every daemon probes the store every 200 ms.
const CALLS_WITHOUT_POLICY: u64 = 13_275;

fn policy(rank: usize) -> StoreReadPolicy {
    StoreReadPolicy {
        rank,
        readers: READERS,
        fleet: Some(HALLS * HALL_SIZE),
        small_fleet: 12,
        has_seeds: true,
        is_seed: false,
        hall_size: HALL_SIZE,
        heartbeat_ms: HEARTBEAT_MS,
        bounds: ViewBounds::new(IN_FORCE_MS),
    }
}

/// Returns the number of probes of one daemon in an outage; `spreads` are the random parts of
/// its intervals.
fn probes(policy: &StoreReadPolicy, spreads: &[f64]) -> u64 {
    let mut at = 0;
    let mut probes = 0;
    for spread in spreads.iter().cycle() {
        at += policy.probe_interval(UNAVAILABLE_AFTER_FAILURES, *spread);
        if at > OUTAGE_MS {
            break;
        }
        probes += 1;
    }
    probes
}

#[test]
fn an_unavailable_store_is_probed_mainly_by_a_few_daemons_of_each_hall() {
    let calls = |rank| probes(&policy(rank), &[0.1, 0.9, 0.5, 0.3]);
    let total: u64 = (0..HALL_SIZE).map(calls).sum::<u64>() * HALLS as u64;
    assert!(total * 4 < CALLS_WITHOUT_POLICY, "{total} calls");
}

#[test]
fn a_reader_probes_at_least_every_200_ms() {
    assert!(policy(0).probe_interval(UNAVAILABLE_AFTER_FAILURES, 1.0) <= 200);
    assert!(policy(READERS - 1).probe_interval(UNAVAILABLE_AFTER_FAILURES, 1.0) <= 200);
}

/// Guards against a stale table: one of 87 hosts, which could reach the store all the time,
/// refused a request by a table that had been replaced 6.4 s before. After a failed probe it
/// waited for up to 3 s, on top of the 3 s until its view was stale; hosts must be up to date
/// within 3 s.
#[test]
fn a_daemon_that_receives_nothing_from_peers_probes_at_least_every_1500_ms() {
    assert!(policy(HALL_SIZE).probe_interval(UNAVAILABLE_AFTER_FAILURES, 1.0) <= 1_500);
}

#[test]
fn a_single_failed_probe_does_not_lengthen_the_interval() {
    assert!(policy(HALL_SIZE).probe_interval(1, 1.0) <= 200);
}

#[test]
fn before_the_list_is_received_the_seed_peers_probe_the_store() {
    let unlisted = StoreReadPolicy { fleet: None, ..policy(0) };
    assert!(unlisted.probe_interval(UNAVAILABLE_AFTER_FAILURES, 0.5) >= 1_000);
    let seed = StoreReadPolicy { is_seed: true, ..unlisted };
    assert!(seed.probe_interval(UNAVAILABLE_AFTER_FAILURES, 0.5) <= 200);
    let alone = StoreReadPolicy { has_seeds: false, ..unlisted };
    assert!(alone.probe_interval(UNAVAILABLE_AFTER_FAILURES, 0.5) <= 200);
}

#[parameterized(
    a_reader_of_a_known_fleet = { policy(0), 0 },
    a_seed = { StoreReadPolicy { is_seed: true, fleet: None, ..policy(9) }, 0 },
    a_daemon_of_a_small_fleet = { StoreReadPolicy { fleet: Some(8), ..policy(2) }, 0 },
    a_daemon_without_seeds = { StoreReadPolicy { has_seeds: false, fleet: None, ..policy(9) }, 0 },
    the_first_non_reader_of_a_known_fleet = { policy(READERS), 350 },
    the_last_of_a_known_fleet = { policy(HALL_SIZE), 800 },
    a_daemon_of_a_starting_fleet = { StoreReadPolicy { fleet: None, ..policy(0) }, 1_800 },
)]
fn a_starting_daemon_waits_for_peers(policy: StoreReadPolicy, wait_ms: Millis) {
    assert_eq!(policy.startup_wait(), wait_ms);
}

#[test]
fn non_readers_replace_failed_readers_one_after_the_other() {
    assert_eq!(policy(0).stale_after(), None);
    let ages: Vec<_> = (READERS..READERS + 5).map(|rank| policy(rank).stale_after()).collect();
    assert!(ages.windows(2).all(|pair| pair[0] < pair[1]), "{ages:?}");
}

/// Time within which a change must be in force at the users' large fleets, in milliseconds.
const IN_FORCE_MS: Millis = 3_000;

/// The same at the users' small fleets: servers that are leaving get no requests from then on.
const SHORT_IN_FORCE_MS: Millis = 2_000;

/// Time to read the table and put it in force, in milliseconds: 40 to 150 ms in the logs of 87
/// hosts under load.
const ADOPTION_MS: Millis = 150;

/// Time until a request that was sent reaches its server, in milliseconds.
const SEND_MS: Millis = 100;

/// Guards against late changes while all readers are cut off. 84 of 87 hosts, including all
/// readers, were cut off from the store. A host that still reached it answered a new route with
/// 404, 3.2 s after the store had the table: peers had reported a current view just before, the
/// host waited 3.0 s from then, and checked only every 0.3 s whether the wait was over ("table
/// adopted" at 30.57 s, the last response of the store at 27.07 s). Guards also against a wait that is
/// longer than the promise: where changes had to be in force within 2 s, servers that were leaving got
/// requests for 2.4 s.
#[parameterized(
    large_fleet = { IN_FORCE_MS, HALL_SIZE },
    small_fleet = { SHORT_IN_FORCE_MS, HALL_SIZE },
    short_promise_in_hundreds_of_daemons = { SHORT_IN_FORCE_MS, 130 },
)]
fn a_daemon_whose_readers_are_all_cut_off_reads_the_store_before_a_change_is_due(
    in_force_ms: Millis,
    hall_size: usize,
) {
    for rank in READERS..hall_size {
        let policy = StoreReadPolicy { bounds: ViewBounds::new(in_force_ms), ..policy(rank) };
        let time_until_stale = policy.time_until_stale(Some(0)).expect("it relies on peers");
        let sum = time_until_stale + ADOPTION_MS + SEND_MS;
        assert!(sum <= in_force_ms, "rank {rank}: {time_until_stale}");
        // It reads the store as soon as the view reported by its peers is too old.
        for age in (0..time_until_stale).step_by(50) {
            assert_eq!(policy.time_until_stale(Some(age)), Some(time_until_stale - age));
        }
        assert_eq!(policy.time_until_stale(Some(time_until_stale)), None);
        assert_eq!(policy.time_until_stale(None), None);
    }
}

/// Guards against readers that announce after each watch that they are current again.
#[parameterized(large_fleet = { IN_FORCE_MS }, small_fleet = { SHORT_IN_FORCE_MS })]
fn the_view_of_a_reader_is_current_while_its_watch_lasts(in_force_ms: Millis) {
    let bounds = ViewBounds::new(in_force_ms);
    let policy = StoreReadPolicy { bounds, hall_size: READERS, ..policy(0) };
    assert!(policy.watch_ms() + 100 <= bounds.current_age());
    assert!(bounds.current_age() <= bounds.max_age());
}

/// Guards against a promise that is shorter than the time that a read takes.
#[test]
fn without_time_to_rely_on_peers_each_daemon_reads_the_store() {
    let policy = StoreReadPolicy { bounds: ViewBounds::new(200), ..policy(READERS) };
    assert_eq!(policy.time_until_stale(Some(0)), None);
}

/// Guards against hundreds of daemons that read the store because news of its readers is older, in the
/// usual case, than what they may rely on; and against readers that call it more often for a few others
/// than these would themselves.
#[parameterized(
    large_promise = { IN_FORCE_MS, HALL_SIZE, 1_500 },
    short_promise = { SHORT_IN_FORCE_MS, HALL_SIZE, 500 },
    short_promise_with_a_few_followers = { SHORT_IN_FORCE_MS, READERS + 2, 1_500 },
    short_promise_with_readers_alone = { SHORT_IN_FORCE_MS, READERS, 1_500 },
)]
fn watches_end_in_time_for_those_that_rely_on_them(
    in_force_ms: Millis,
    hall_size: usize,
    watch_ms: Millis,
) {
    let bounds = ViewBounds::new(in_force_ms);
    let policy = StoreReadPolicy { bounds, hall_size, ..policy(0) };
    assert_eq!(policy.watch_ms(), watch_ms);
    if hall_size == HALL_SIZE {
        assert!(watch_ms + 2 * HEARTBEAT_MS <= bounds.trusted_age());
    }
}

#[test]
fn readers_do_not_rely_on_peers() {
    assert_eq!(policy(0).time_until_stale(Some(0)), None);
}
