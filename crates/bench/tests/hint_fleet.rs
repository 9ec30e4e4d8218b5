//! Fleets of daemons before servers that leave, rest and start again in series, under cuts,
//! freezes, restarts and joins: a server gets nothing once it has said that it leaves, and no
//! more than what was under way from a daemon that it asked for rest.

use bankcove_bench::hint_world::{Act, RestWay, Setup, World};
use bankcove_bench::limit_world::{Kind, Trouble, Troubles};
use proptest::prelude::*;

const LENGTH_MS: u64 = 30_000;

/// Requests that a daemon may still send in a rest.
const ALLOWED: usize = 2;

/// Longest time until all daemons know that a server leaves, where nothing is in trouble.
const KNOWN_MS: u64 = 500;

fn setup(seed: u64, daemons: usize, servers: usize, acts: Vec<(u64, usize, Act)>) -> Setup {
    Setup {
        seed,
        daemons,
        servers,
        slots: 8,
        run_ms: (10, 80),
        acts,
        per_second: 80.0,
        length_ms: LENGTH_MS,
        way: RestWay::Kept,
        patience_ms: 200,
        troubles: Troubles::default(),
    }
}

fn troubles(daemons: usize) -> impl Strategy<Value = Troubles> {
    let kinds =
        prop_oneof![Just(Kind::Cut), Just(Kind::Frozen), Just(Kind::Restart), Just(Kind::Gone)];
    let some = prop::collection::vec(0..daemons, 1..=daemons);
    let trouble =
        (kinds, some, 0..20_000_u64, 200..12_000_u64).prop_map(|(kind, daemons, from, length)| {
            Trouble { kind, daemons, from, until: from + length }
        });
    prop::collection::vec(trouble, 0..6).prop_map(Troubles)
}

fn acts(servers: usize) -> impl Strategy<Value = Vec<(u64, usize, Act)>> {
    let act = prop_oneof![
        3 => Just(Act::Leaves),
        4 => (200..6_000_u64).prop_map(Act::Sheds),
        2 => prop::option::of(500..4_000_u64).prop_map(Act::Serves),
        2 => Just(Act::StartsAgain),
    ];
    prop::collection::vec((500..25_000_u64, 0..servers, act), 1..14)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn nothing_goes_to_servers_that_leave_or_rest_under_any_trouble(
        seed in any::<u64>(),
        (daemons, troubles) in (2..25_usize).prop_flat_map(|n| (Just(n), troubles(n))),
        acts in acts(4),
        told in any::<bool>(),
    ) {
        let way = if told { RestWay::Told } else { RestWay::Kept };
        let outcome = World::run(Setup { troubles, way, ..setup(seed, daemons, 4, acts) });
        prop_assert_eq!(outcome.late, 0);
        prop_assert!(outcome.worst_rest <= ALLOWED, "{}", outcome.worst_rest);
    }

    #[test]
    fn all_daemons_know_of_a_leaving_server_soon(seed in any::<u64>(), daemons in 2..150_usize) {
        let outcome = World::run(setup(seed, daemons, 4, vec![(2_000, 0, Act::Leaves)]));
        let known = outcome.known_ms.expect("all know in the end");
        prop_assert!(known <= KNOWN_MS, "{known} ms");
    }
}

#[test]
fn ignored_rests_break_the_rule_in_the_model() {
    let acts = vec![(2_000, 0, Act::Sheds(3_000))];
    let outcome = World::run(Setup { way: RestWay::Ignored, ..setup(1, 4, 3, acts) });
    assert!(outcome.worst_rest > ALLOWED, "{}", outcome.worst_rest);
}
