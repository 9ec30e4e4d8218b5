//! Fleets of daemons with servers that leave, rest and restart in random order, while daemons are
//! partitioned, suspended, restarted and added.
//!
//! A daemon must send nothing to a server that has announced that it is leaving, and only requests
//! already in transit to a server that has asked it for rest.

use bankcove_bench::hint_simulation::{Action, RestHandling, Setup, Simulation};
use bankcove_bench::limit_simulation::{Fault, FaultKind, Faults};
use proptest::prelude::*;

const LENGTH_MS: u64 = 30_000;

/// Maximum number of requests that a daemon may still send in a rest period.
const MAX_IN_REST: usize = 2;

/// Longest time until all daemons know that a server is leaving, without faults, in milliseconds.
const MAX_PROPAGATION_MS: u64 = 500;

fn setup(seed: u64, daemons: usize, servers: usize, actions: Vec<(u64, usize, Action)>) -> Setup {
    Setup {
        seed,
        daemons,
        servers,
        slots: 8,
        run_ms: (10, 80),
        actions,
        per_second: 80.0,
        length_ms: LENGTH_MS,
        rest_handling: RestHandling::Kept,
        max_wait_ms: 200,
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
    let fault = (kinds, affected, 0..20_000_u64, 200..12_000_u64).prop_map(
        |(kind, daemons, from, length)| Fault { kind, daemons, from, until: from + length },
    );
    prop::collection::vec(fault, 0..6).prop_map(Faults)
}

fn actions(servers: usize) -> impl Strategy<Value = Vec<(u64, usize, Action)>> {
    let action = prop_oneof![
        3 => Just(Action::Leave),
        4 => (200..6_000_u64).prop_map(Action::Shed),
        2 => prop::option::of(500..4_000_u64).prop_map(Action::Serve),
        2 => Just(Action::Restart),
    ];
    prop::collection::vec((500..25_000_u64, 0..servers, action), 1..14)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn nothing_goes_to_servers_that_leave_or_rest_under_any_fault(
        seed in any::<u64>(),
        (daemons, faults) in (2..25_usize).prop_flat_map(|n| (Just(n), faults(n))),
        actions in actions(4),
        notify_all in any::<bool>(),
    ) {
        let rest_handling = if notify_all { RestHandling::Told } else { RestHandling::Kept };
        let outcome =
            Simulation::run(Setup { faults, rest_handling, ..setup(seed, daemons, 4, actions) });
        prop_assert_eq!(outcome.late_requests, 0);
        prop_assert!(outcome.max_in_rest <= MAX_IN_REST, "{}", outcome.max_in_rest);
    }

    #[test]
    fn all_daemons_learn_of_a_leaving_server_within_500_ms(
        seed in any::<u64>(),
        daemons in 2..150_usize,
    ) {
        let outcome = Simulation::run(setup(seed, daemons, 4, vec![(2_000, 0, Action::Leave)]));
        let propagation_ms = outcome.propagation_ms.expect("all daemons know of it");
        prop_assert!(propagation_ms <= MAX_PROPAGATION_MS, "{propagation_ms} ms");
    }
}

#[test]
fn ignoring_rest_periods_is_detected() {
    let actions = vec![(2_000, 0, Action::Shed(3_000))];
    let outcome =
        Simulation::run(Setup { rest_handling: RestHandling::Ignored, ..setup(1, 4, 3, actions) });
    assert!(outcome.max_in_rest > MAX_IN_REST, "{}", outcome.max_in_rest);
}
