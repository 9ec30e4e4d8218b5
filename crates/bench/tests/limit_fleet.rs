//! Fleets of daemons before servers that name limits: whatever is cut, frozen, restarted or
//! joins, and however limits come and go, a server gets no more than it names.

use bankcove_bench::limit_world::{
    Kind, Outcome, Patience, Setup, Trouble, Troubles, Way, World, allowed, worst_window,
};
use proptest::prelude::*;

const LENGTH_MS: u64 = 40_000;

/// Part of what a server takes that it gets at the least while callers want it.
const USED: f64 = 0.7;

/// A word is known to all hosts, and what was sent before has come, after so long.
const KNOWN_MS: u64 = 1_000;

/// Length of the spans that are counted.
const WINDOW_MS: u64 = 4_000;

fn setup(seed: u64, daemons: usize, servers: Vec<Vec<(u64, Option<f64>)>>) -> Setup {
    Setup {
        seed,
        daemons,
        servers,
        per_second: 60.0,
        length_ms: LENGTH_MS,
        way: Way::Permits,
        patience: Patience::Up(200),
        troubles: Troubles::default(),
    }
}

fn troubles(daemons: usize) -> impl Strategy<Value = Troubles> {
    let kinds =
        prop_oneof![Just(Kind::Cut), Just(Kind::Frozen), Just(Kind::Restart), Just(Kind::Gone)];
    let some = prop::collection::vec(0..daemons, 1..=daemons);
    let trouble =
        (kinds, some, 0..30_000_u64, 200..12_000_u64).prop_map(|(kind, daemons, from, length)| {
            Trouble { kind, daemons, from, until: from + length }
        });
    prop::collection::vec(trouble, 0..6).prop_map(Troubles)
}

/// The highest limit that a server names in this span; none where it names none in a part of it.
fn highest(words: &[(u64, Option<f64>)], from: u64, until: u64) -> Option<f64> {
    let before = words.iter().rev().find(|(at, _)| *at <= from).map(|(_, limit)| *limit);
    let within = words.iter().filter(|(at, _)| (from..until).contains(at)).map(|(_, limit)| *limit);
    let named = [before.flatten()].into_iter().chain(within);
    named.reduce(|a, b| Some(a?.max(b?))).flatten()
}

/// A span in which the server got more than it named.
fn excess(times: &[u64], words: &[(u64, Option<f64>)]) -> Option<String> {
    let spans = times.iter().enumerate().filter_map(|(first, from)| {
        let got = times[first..].iter().take_while(|at| **at < from + WINDOW_MS).count();
        let limit = highest(words, from.saturating_sub(KNOWN_MS), from + WINDOW_MS)?;
        (got as f64 > allowed(limit)).then(|| format!("{got} from {from} on at {limit}"))
    });
    spans.into_iter().next()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Counted are the hosts that the rule binds: those that were told, and not in trouble.
    #[test]
    fn a_server_gets_no_more_than_it_names_under_any_trouble(
        seed in any::<u64>(),
        (daemons, troubles) in (2..40_usize).prop_flat_map(|n| (Just(n), troubles(n))),
        limit in prop_oneof![Just(0.0), 0.05..1.0, 1.0..6.0],
        others in prop::collection::vec(prop::option::of(0.1..6.0), 0..3),
    ) {
        let mut servers = vec![vec![(2_000, Some(limit))]];
        servers.extend(others.into_iter().map(|other| vec![(2_000, other)]));
        let outcome = World::run(Setup { troubles, ..setup(seed, daemons, servers) });
        let worst = worst_window(&outcome.counted[0]);
        prop_assert!(worst as f64 <= allowed(limit), "{worst} at {limit}");
    }

    /// The same with all hosts counted, whatever befell them, once all know of the limit: cuts
    /// alone, in any parts, and at any moment.
    #[test]
    fn a_cut_fleet_sends_no_more_in_sum(
        seed in any::<u64>(),
        (daemons, cuts) in (2..40_usize).prop_flat_map(|n| (Just(n), troubles(n))),
        limit in 0.05..20.0,
    ) {
        let cut = |trouble: Trouble| Trouble { kind: Kind::Cut, from: trouble.from.max(6_000), ..trouble };
        let troubles = Troubles(cuts.0.into_iter().map(cut).collect());
        let words = vec![(1_000, Some(limit))];
        let outcome = World::run(Setup { troubles, ..setup(seed, daemons, vec![words, vec![]]) });
        let late: Vec<u64> = outcome.came[0].iter().copied().filter(|at| *at > 6_000).collect();
        let worst = worst_window(&late);
        prop_assert!(worst as f64 <= allowed(limit), "{worst} at {limit}");
    }

    #[test]
    fn a_limit_that_changes_is_kept_as_it_is_named(
        seed in any::<u64>(),
        daemons in 2..40_usize,
        words in prop::collection::vec((1..8_u64, prop::option::of(0.1..6.0)), 1..8),
    ) {
        let mut at = 1_000;
        let words: Vec<(u64, Option<f64>)> = words.into_iter().map(|(wait, limit)| {
            at += wait * 1_000;
            (at, limit)
        }).collect();
        let outcome = World::run(setup(seed, daemons, vec![words.clone(), vec![]]));
        let bound: Vec<u64> =
            outcome.came[0].iter().copied().filter(|at| *at > words[0].0 + 3_000).collect();
        prop_assert!(excess(&bound, &words).is_none(), "{:?} {words:?}", excess(&bound, &words));
    }
}

fn used(outcome: &Outcome, from: u64, limit: f64) -> f64 {
    let got = outcome.came[0].iter().filter(|at| **at > from).count();
    got as f64 / (limit * (LENGTH_MS - from) as f64 / 1_000.0)
}

#[test]
fn a_limit_is_used_by_a_fleet_of_any_size() {
    for daemons in [6, 30, 300] {
        for limits in [vec![Some(1.2), None, None], vec![Some(4.0); 3], vec![Some(0.6), None]] {
            let limit = limits[0].unwrap_or_default();
            let servers = limits.iter().map(|limit| vec![(5_000, *limit)]).collect();
            let outcome = World::run(setup(7, daemons, servers));
            let used = used(&outcome, 8_000, limit);
            assert!(used >= USED, "{daemons} daemons, {limits:?}: {used} is used");
            let worst = worst_window(&outcome.counted[0]);
            assert!(worst as f64 <= allowed(limit), "{daemons} daemons, {limits:?}: {worst}");
        }
    }
}

#[test]
fn the_first_word_is_known_to_all_within_half_a_second() {
    for daemons in [6, 30, 300, 1_300] {
        let outcome = World::run(setup(3, daemons, vec![vec![(5_000, Some(1.2))], vec![]]));
        let known_ms = outcome.known_ms.expect("all know of it");
        assert!(known_ms < 500, "{daemons} daemons know after {known_ms} ms");
    }
}

/// Nothing may be sent, or hardly anything, and still the fleet learns that it was lifted.
#[test]
fn a_limit_of_nothing_that_is_lifted_ends() {
    let words = vec![(1_000, Some(0.0)), (5_000, None)];
    let long = Setup { length_ms: 90_000, ..setup(5, 10, vec![words, vec![]]) };
    let outcome = World::run(long);
    let while_bound = outcome.came[0].iter().filter(|at| (4_000..5_000).contains(*at)).count();
    assert_eq!(while_bound, 0);
    let last = outcome.came[0].iter().filter(|at| **at > 80_000).count();
    assert!(last > 100, "{last} in the last 10 s");
}
