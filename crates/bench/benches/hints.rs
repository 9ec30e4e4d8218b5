//! Servers that leave or ask for rest: what callers see by who keeps to a rest, by whether a
//! request waits for its end, and what it costs to tell a fleet of a release.
//!
//! `cargo bench -p bankcove-bench --bench hints`

use bankcove_bench::hint_world::{Act, Outcome, RestWay, Setup, World};
use bankcove_bench::limit_world::Troubles;

const SEEDS: u64 = 3;

fn setup(seed: u64, daemons: usize, servers: usize) -> Setup {
    Setup {
        seed,
        daemons,
        servers,
        slots: 4,
        run_ms: (40, 400),
        acts: Vec::new(),
        per_second: 60.0,
        length_ms: 40_000,
        way: RestWay::Kept,
        patience_ms: 200,
        troubles: Troubles::default(),
    }
}

fn row(what: &str, outcomes: &[Outcome]) {
    let mean = |figure: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
    };
    let part = |of: usize, outcome: &Outcome| of as f64 / outcome.requests as f64;
    println!(
        "{what:<44} {:>6.3} {:>8.3} {:>8.3} {:>6.0} {:>6.0} {:>6.0} {:>6}",
        mean(&|outcome| part(outcome.served, outcome)),
        mean(&|outcome| part(outcome.turned_away, outcome)),
        mean(&|outcome| part(outcome.refused, outcome)),
        mean(&|outcome| outcome.delay.value_at_quantile(0.5) as f64),
        mean(&|outcome| outcome.delay.value_at_quantile(0.95) as f64),
        mean(&|outcome| outcome.delay.value_at_quantile(0.99) as f64),
        outcomes.iter().map(|outcome| outcome.worst_rest).max().unwrap_or_default(),
    );
}

fn play(what: &str, make: impl Fn(u64) -> Setup) {
    row(what, &(0..SEEDS).map(|seed| World::run(make(seed))).collect::<Vec<_>>());
}

/// Part of the servers turn everything away for most of the run, as in the incident.
fn some_shed(daemons: usize, way: RestWay, patience_ms: u64) {
    play(&format!("{daemons} daemons, 4 of 12 shed, {way:?}"), |seed| {
        let acts = (0..4).map(|server| (5_000, server, Act::Sheds(3_000)));
        Setup { acts: acts.collect(), way, patience_ms, ..setup(seed, daemons, 12) }
    });
}

/// More is wanted than the servers run; each asks for rest when it is full.
fn all_full(daemons: usize, rest_ms: u64, way: RestWay, patience_ms: u64) {
    play(
        &format!("{daemons} daemons, full, rest {rest_ms}, {way:?}, waits {patience_ms}"),
        |seed| {
            let acts = (0..3).map(|server| (1, server, Act::Serves(Some(rest_ms))));
            let per_second = 62.0;
            Setup { acts: acts.collect(), way, patience_ms, per_second, ..setup(seed, daemons, 3) }
        },
    );
}

fn release(daemons: usize, servers: usize) {
    let acts = (0..servers / 2)
        .map(|n| (5_000 + n as u64 * 60_000 / (servers as u64 / 2), n, Act::Leaves));
    let base = Setup {
        acts: acts.collect(),
        per_second: 400.0,
        length_ms: 70_000,
        ..setup(1, daemons, servers)
    };
    let outcome = World::run(base);
    let per_daemon = outcome.bytes as f64 / daemons as f64;
    println!(
        "release, {daemons} daemons, {servers} servers: known to all within {:?} ms, {:.0} bytes a daemon, {:.0} a server that left, late {}",
        outcome.known_ms,
        per_daemon,
        per_daemon / (servers / 2) as f64,
        outcome.late,
    );
}

fn main() {
    println!(
        "{:<44} {:>6} {:>8} {:>8} {:>6} {:>6} {:>6} {:>6}",
        "", "served", "turned", "refused", "p50", "p95", "p99", "worst"
    );
    for daemons in [8, 30, 300] {
        for way in [RestWay::Ignored, RestWay::Kept, RestWay::Told] {
            some_shed(daemons, way, 200);
        }
    }
    for daemons in [8, 30, 300] {
        for rest_ms in [500, 3_000] {
            for way in [RestWay::Ignored, RestWay::Kept, RestWay::Told] {
                all_full(daemons, rest_ms, way, 200);
            }
        }
    }
    for patience_ms in [0, 200, 1_000] {
        all_full(8, 500, RestWay::Kept, patience_ms);
    }
    for (daemons, servers) in [(30, 100), (300, 100), (300, 400)] {
        release(daemons, servers);
    }
}
