//! Servers that leave or ask for rest: results for callers, by which daemons observe a rest period
//! and how long a request waits for its end, and the cost of announcing a release to a fleet.
//!
//! `cargo bench -p bankcove-bench --bench hints`

use bankcove_bench::hint_simulation::{Action, Outcome, RestHandling, Setup, Simulation};
use bankcove_bench::limit_simulation::Faults;

/// Number of runs per row, each with its own seed.
const SEEDS: u64 = 3;

fn setup(seed: u64, daemons: usize, servers: usize) -> Setup {
    Setup {
        seed,
        daemons,
        servers,
        slots: 4,
        run_ms: (40, 400),
        actions: Vec::new(),
        per_second: 60.0,
        length_ms: 40_000,
        rest_handling: RestHandling::Kept,
        max_wait_ms: 200,
        faults: Faults::default(),
    }
}

/// Prints the means of the runs; for the requests in a rest period, the maximum.
fn print_row(label: &str, outcomes: &[Outcome]) {
    let mean = |figure: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
    };
    let fraction = |of: usize, outcome: &Outcome| of as f64 / outcome.requests as f64;
    println!(
        "{label:<44} {:>6.3} {:>8.3} {:>8.3} {:>6.0} {:>6.0} {:>6.0} {:>6}",
        mean(&|outcome| fraction(outcome.served, outcome)),
        mean(&|outcome| fraction(outcome.rejected, outcome)),
        mean(&|outcome| fraction(outcome.refused, outcome)),
        mean(&|outcome| outcome.delay.value_at_quantile(0.5) as f64),
        mean(&|outcome| outcome.delay.value_at_quantile(0.95) as f64),
        mean(&|outcome| outcome.delay.value_at_quantile(0.99) as f64),
        outcomes.iter().map(|outcome| outcome.max_in_rest).max().unwrap_or_default(),
    );
}

/// Runs a setup with each seed, and prints a row.
fn run_and_print(label: &str, make: impl Fn(u64) -> Setup) {
    print_row(label, &(0..SEEDS).map(|seed| Simulation::run(make(seed))).collect::<Vec<_>>());
}

/// A part of the servers rejects all requests for most of the run, as in a past incident.
fn run_some_shedding(daemons: usize, rest_handling: RestHandling, max_wait_ms: u64) {
    run_and_print(&format!("{daemons} daemons, 4 of 12 shed, {rest_handling:?}"), |seed| {
        let actions = (0..4).map(|server| (5_000, server, Action::Shed(3_000)));
        Setup { actions: actions.collect(), rest_handling, max_wait_ms, ..setup(seed, daemons, 12) }
    });
}

/// Callers send more requests than the servers can run; each asks for rest when it is full.
fn run_all_full(daemons: usize, rest_ms: u64, rest_handling: RestHandling, max_wait_ms: u64) {
    run_and_print(
        &format!("{daemons} daemons, full, rest {rest_ms}, {rest_handling:?}, waits {max_wait_ms}"),
        |seed| {
            let actions = (0..3).map(|server| (1, server, Action::Serve(Some(rest_ms))));
            let per_second = 62.0;
            Setup {
                actions: actions.collect(),
                rest_handling,
                max_wait_ms,
                per_second,
                ..setup(seed, daemons, 3)
            }
        },
    );
}

/// Half of the servers leave one after the other, as in a release.
fn run_release(daemons: usize, servers: usize) {
    let actions = (0..servers / 2)
        .map(|n| (5_000 + n as u64 * 60_000 / (servers as u64 / 2), n, Action::Leave));
    let setup = Setup {
        actions: actions.collect(),
        per_second: 400.0,
        length_ms: 70_000,
        ..setup(1, daemons, servers)
    };
    let outcome = Simulation::run(setup);
    let per_daemon = outcome.bytes as f64 / daemons as f64;
    println!(
        "release, {daemons} daemons, {servers} servers: known to all within {:?} ms, {:.0} bytes a daemon, {:.0} a server that left, late {}",
        outcome.propagation_ms,
        per_daemon,
        per_daemon / (servers / 2) as f64,
        outcome.late_requests,
    );
}

fn main() {
    println!(
        "{:<44} {:>6} {:>8} {:>8} {:>6} {:>6} {:>6} {:>6}",
        "", "served", "turned", "refused", "p50", "p95", "p99", "worst"
    );
    for daemons in [8, 30, 300] {
        for rest_handling in [RestHandling::Ignored, RestHandling::Kept, RestHandling::Told] {
            run_some_shedding(daemons, rest_handling, 200);
        }
    }
    for daemons in [8, 30, 300] {
        for rest_ms in [500, 3_000] {
            for rest_handling in [RestHandling::Ignored, RestHandling::Kept, RestHandling::Told] {
                run_all_full(daemons, rest_ms, rest_handling, 200);
            }
        }
    }
    for max_wait_ms in [0, 200, 1_000] {
        run_all_full(8, 500, RestHandling::Kept, max_wait_ms);
    }
    for (daemons, servers) in [(30, 100), (300, 100), (300, 400)] {
        run_release(daemons, servers);
    }
}
