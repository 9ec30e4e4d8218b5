//! Fleets of daemons with servers that announce limits.
//!
//! A server must not receive more requests than its limit allows while daemons are partitioned,
//! suspended, restarted and added, and while limits change.

use bankcove_bench::limit_simulation::{
    Enforcement, Fault, FaultKind, Faults, Outcome, Setup, Simulation, WaitPolicy,
    allowed_requests, max_per_window,
};
use proptest::prelude::*;

const LENGTH_MS: u64 = 40_000;

/// Minimum fraction of a limit that a fleet uses while there are enough requests.
const MIN_USED_FRACTION: f64 = 0.7;

/// Time after which all hosts know a new limit and requests sent before have arrived, in
/// milliseconds.
const MAX_PROPAGATION_MS: u64 = 1_000;

/// Length of the time windows in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn setup(seed: u64, daemons: usize, servers: Vec<Vec<(u64, Option<f64>)>>) -> Setup {
    Setup {
        seed,
        daemons,
        servers,
        per_second: 60.0,
        length_ms: LENGTH_MS,
        enforcement: Enforcement::Permits,
        wait_policy: WaitPolicy::Up(200),
        faults: Faults::default(),
    }
}

fn faults(daemons: usize) -> impl Strategy<Value = Faults> {
    let kinds = prop_oneof![
        Just(FaultKind::Partition),
        Just(FaultKind::Suspended),
        Just(FaultKind::Restart),
        Just(FaultKind::Absent)
    ];
    let affected = prop::collection::vec(0..daemons, 1..=daemons);
    let fault = (kinds, affected, 0..30_000_u64, 200..12_000_u64).prop_map(
        |(kind, daemons, from, length)| Fault { kind, daemons, from, until: from + length },
    );
    prop::collection::vec(fault, 0..6).prop_map(Faults)
}

/// Returns the highest limit that a server announces in this time span; `None` if it announces
/// none in a part of it.
fn highest_limit(announcements: &[(u64, Option<f64>)], from: u64, until: u64) -> Option<f64> {
    let before = announcements.iter().rev().find(|(at, _)| *at <= from).map(|(_, limit)| *limit);
    let within =
        announcements.iter().filter(|(at, _)| (from..until).contains(at)).map(|(_, limit)| *limit);
    let announced = [before.flatten()].into_iter().chain(within);
    announced.reduce(|a, b| Some(a?.max(b?))).flatten()
}

/// Describes the first time window in which the server received more than its limit allows.
fn excess(times: &[u64], announcements: &[(u64, Option<f64>)]) -> Option<String> {
    let excesses = times.iter().enumerate().filter_map(|(first, from)| {
        let received = times[first..].iter().take_while(|at| **at < from + WINDOW_MS).count();
        let limit = highest_limit(
            announcements,
            from.saturating_sub(MAX_PROPAGATION_MS),
            from + WINDOW_MS,
        )?;
        (received as f64 > allowed_requests(limit))
            .then(|| format!("{received} from {from} on at {limit}"))
    });
    excesses.into_iter().next()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Only hosts that the limit binds are counted: those that received it, without a recent fault.
    #[test]
    fn a_server_gets_no_more_than_its_limit_under_any_fault(
        seed in any::<u64>(),
        (daemons, faults) in (2..40_usize).prop_flat_map(|n| (Just(n), faults(n))),
        limit in prop_oneof![Just(0.0), 0.05..1.0, 1.0..6.0],
        others in prop::collection::vec(prop::option::of(0.1..6.0), 0..3),
    ) {
        let mut servers = vec![vec![(2_000, Some(limit))]];
        servers.extend(others.into_iter().map(|other| vec![(2_000, other)]));
        let outcome = Simulation::run(Setup { faults, ..setup(seed, daemons, servers) });
        let worst = max_per_window(&outcome.counted_arrivals[0]);
        prop_assert!(worst as f64 <= allowed_requests(limit), "{worst} at {limit}");
    }

    /// All hosts are counted, from the time when all know the limit. The only faults are
    /// partitions, of any daemons and at any time.
    #[test]
    fn a_partitioned_fleet_stays_within_the_limit(
        seed in any::<u64>(),
        (daemons, partitions) in (2..40_usize).prop_flat_map(|n| (Just(n), faults(n))),
        limit in 0.05..20.0,
    ) {
        let to_partition = |fault: Fault| {
            Fault { kind: FaultKind::Partition, from: fault.from.max(6_000), ..fault }
        };
        let faults = Faults(partitions.0.into_iter().map(to_partition).collect());
        let announcements = vec![(1_000, Some(limit))];
        let outcome =
            Simulation::run(Setup { faults, ..setup(seed, daemons, vec![announcements, vec![]]) });
        let bound: Vec<u64> =
            outcome.arrivals[0].iter().copied().filter(|at| *at > 6_000).collect();
        let worst = max_per_window(&bound);
        prop_assert!(worst as f64 <= allowed_requests(limit), "{worst} at {limit}");
    }

    #[test]
    fn a_changing_limit_is_enforced(
        seed in any::<u64>(),
        daemons in 2..40_usize,
        announcements in prop::collection::vec((1..8_u64, prop::option::of(0.1..6.0)), 1..8),
    ) {
        let mut at = 1_000;
        let announcements: Vec<(u64, Option<f64>)> = announcements.into_iter().map(|(wait, limit)| {
            at += wait * 1_000;
            (at, limit)
        }).collect();
        let outcome = Simulation::run(setup(seed, daemons, vec![announcements.clone(), vec![]]));
        let bound: Vec<u64> = outcome.arrivals[0]
            .iter()
            .copied()
            .filter(|at| *at > announcements[0].0 + 3_000)
            .collect();
        prop_assert!(
            excess(&bound, &announcements).is_none(),
            "{:?} {announcements:?}",
            excess(&bound, &announcements)
        );
    }
}

/// Returns the used fraction of the first server's limit after the time `from`.
fn used_fraction(outcome: &Outcome, from: u64, limit: f64) -> f64 {
    let received = outcome.arrivals[0].iter().filter(|at| **at > from).count();
    received as f64 / (limit * (LENGTH_MS - from) as f64 / 1_000.0)
}

#[test]
fn a_fleet_of_any_size_uses_most_of_a_limit() {
    for daemons in [6, 30, 300] {
        for limits in [vec![Some(1.2), None, None], vec![Some(4.0); 3], vec![Some(0.6), None]] {
            let limit = limits[0].unwrap_or_default();
            let servers = limits.iter().map(|limit| vec![(5_000, *limit)]).collect();
            let outcome = Simulation::run(setup(7, daemons, servers));
            let used_fraction = used_fraction(&outcome, 8_000, limit);
            assert!(
                used_fraction >= MIN_USED_FRACTION,
                "{daemons} daemons, {limits:?}: {used_fraction} of the limit is used"
            );
            let worst = max_per_window(&outcome.counted_arrivals[0]);
            assert!(
                worst as f64 <= allowed_requests(limit),
                "{daemons} daemons, {limits:?}: {worst}"
            );
        }
    }
}

#[test]
fn all_daemons_learn_of_a_limit_within_500_ms() {
    for daemons in [6, 30, 300, 1_300] {
        let outcome = Simulation::run(setup(3, daemons, vec![vec![(5_000, Some(1.2))], vec![]]));
        let propagation_ms = outcome.propagation_ms.expect("all daemons know of it");
        assert!(propagation_ms < 500, "{daemons} daemons know it after {propagation_ms} ms");
    }
}

/// A limit of zero allows almost no requests, from whose responses the fleet learns that it was
/// lifted.
#[test]
fn a_lifted_limit_of_zero_is_detected() {
    let announcements = vec![(1_000, Some(0.0)), (5_000, None)];
    let setup = Setup { length_ms: 90_000, ..setup(5, 10, vec![announcements, vec![]]) };
    let outcome = Simulation::run(setup);
    let while_bound = outcome.arrivals[0].iter().filter(|at| (4_000..5_000).contains(*at)).count();
    assert_eq!(while_bound, 0);
    let last = outcome.arrivals[0].iter().filter(|at| **at > 80_000).count();
    assert!(last > 100, "{last} in the last 10 s");
}
