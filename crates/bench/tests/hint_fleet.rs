//! Fleets of daemons before servers that leave, rest and start again in series, under cuts,
//! freezes, restarts and joins: a server gets nothing once it has said that it leaves, and no
//! more than what was under way from a daemon that it asked for rest.

use bankcove_bench::hint_simulation::{Action, RestHandling, Setup, Simulation};
use bankcove_bench::limit_simulation::{Fault, FaultKind, Faults};
use proptest::prelude::*;

const LENGTH_MS: u64 = 30_000;

/// Requests that a daemon may still send in a rest.
const MAX_IN_REST: usize = 2;

/// Longest time until all daemons know that a server leaves, where nothing is in trouble.
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
    let some = prop::collection::vec(0..daemons, 1..=daemons);
    let fault =
        (kinds, some, 0..20_000_u64, 200..12_000_u64).prop_map(|(kind, daemons, from, length)| {
            Fault { kind, daemons, from, until: from + length }
        });
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
        told in any::<bool>(),
    ) {
        let rest_handling = if told { RestHandling::Told } else { RestHandling::Kept };
        let outcome = Simulation::run(Setup { faults, rest_handling, ..setup(seed, daemons, 4, actions) });
        prop_assert_eq!(outcome.late_requests, 0);
        prop_assert!(outcome.max_in_rest <= MAX_IN_REST, "{}", outcome.max_in_rest);
    }

    #[test]
    fn all_daemons_learn_of_a_leaving_server_within_500_ms(seed in any::<u64>(), daemons in 2..150_usize) {
        let outcome = Simulation::run(setup(seed, daemons, 4, vec![(2_000, 0, Action::Leave)]));
        let known = outcome.propagation_ms.expect("all know in the end");
        prop_assert!(known <= MAX_PROPAGATION_MS, "{known} ms");
    }
}

#[test]
fn ignored_rest_periods_exceed_the_allowed_requests() {
    let actions = vec![(2_000, 0, Action::Shed(3_000))];
    let outcome =
        Simulation::run(Setup { rest_handling: RestHandling::Ignored, ..setup(1, 4, 3, actions) });
    assert!(outcome.max_in_rest > MAX_IN_REST, "{}", outcome.max_in_rest);
}
