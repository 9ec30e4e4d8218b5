//! Limits of servers: requests that a server with a limit receives from fleets of different sizes,
//! by the way in which the limit is enforced, and results for callers.
//!
//! `cargo bench -p bankcove-bench --bench limits`

use bankcove_bench::limit_simulation::{
    Enforcement, Fault, FaultKind, Faults, Outcome, Setup, Simulation, WaitPolicy,
    allowed_requests, max_per_window,
};

const LENGTH_MS: u64 = 40_000;
/// Time at which the servers announce their limits, in milliseconds.
const ANNOUNCED_AT_MS: u64 = 5_000;
/// Number of runs per row, each with its own seed.
const SEEDS: u64 = 3;

fn setup(seed: u64, daemons: usize, limits: &[Option<f64>], enforcement: Enforcement) -> Setup {
    Setup {
        seed,
        daemons,
        servers: limits.iter().map(|limit| vec![(ANNOUNCED_AT_MS, *limit)]).collect(),
        per_second: 60.0,
        length_ms: LENGTH_MS,
        enforcement,
        wait_policy: WaitPolicy::Up(200),
        faults: Faults::default(),
    }
}

/// Returns the used fraction of the first server's limit from the time when it binds all hosts.
fn used_fraction(outcome: &Outcome, limit: f64) -> f64 {
    let from = ANNOUNCED_AT_MS + 3_000;
    let received = outcome.arrivals[0].iter().filter(|at| **at > from).count();
    received as f64 / (limit * (LENGTH_MS - from) as f64 / 1_000.0)
}

/// Prints the means of the runs; for counts per window and the propagation time, the maximum.
fn print_row(label: &str, limit: f64, outcomes: &[Outcome]) {
    let worst = outcomes.iter().map(|outcome| max_per_window(&outcome.counted_arrivals[0])).max();
    let worst_of_all = outcomes.iter().map(|outcome| {
        let arrivals = outcome.arrivals[0].iter().copied();
        max_per_window(&arrivals.filter(|at| *at > ANNOUNCED_AT_MS + 3_000).collect::<Vec<_>>())
    });
    let worst_of_all = worst_of_all.max();
    let mean = |figure: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
    };
    let known = outcomes.iter().filter_map(|outcome| outcome.propagation_ms).max();
    println!(
        "{label:<46} {:>5} {:>5} {:>7.1} {:>6.2} {:>7.3} {:>6.0} {:>6.0} {:>8.1} {:>8.0} {:>7}",
        worst.unwrap_or_default(),
        worst_of_all.unwrap_or_default(),
        allowed_requests(limit),
        mean(&|outcome| used_fraction(outcome, limit)),
        mean(&|outcome| outcome.served as f64 / outcome.requests as f64),
        mean(&|outcome| outcome.delay.value_at_quantile(0.5) as f64),
        mean(&|outcome| outcome.delay.value_at_quantile(0.95) as f64),
        mean(&|outcome| outcome.permit_requests as f64 * 1_000.0 / LENGTH_MS as f64),
        mean(&|outcome| outcome.bytes as f64 * 1_000.0 / LENGTH_MS as f64),
        known.map_or_else(|| "never".to_owned(), |ms| ms.to_string()),
    );
}

fn main() {
    println!(
        "{:<46} {:>5} {:>5} {:>7} {:>6} {:>7} {:>6} {:>6} {:>8} {:>8} {:>7}",
        "daemons, limits, way",
        "worst",
        "all",
        "allowed",
        "used",
        "served",
        "p50",
        "p95",
        "asks/s",
        "bytes/s",
        "known"
    );
    for daemons in [6, 30, 300, 1_300] {
        for limits in [vec![Some(1.2), None, None], vec![Some(4.0); 3], vec![Some(0.3), None, None]]
        {
            for enforcement in [
                Enforcement::None,
                Enforcement::EqualParts,
                Enforcement::FewHosts,
                Enforcement::Permits,
            ] {
                let outcomes: Vec<Outcome> = (0..SEEDS)
                    .map(|seed| Simulation::run(setup(seed, daemons, &limits, enforcement)))
                    .collect();
                let limit = limits[0].unwrap_or_default();
                print_row(&format!("{daemons} {limits:?} {enforcement:?}"), limit, &outcomes);
            }
        }
    }
    println!("permits, all servers at 4.0, refused at once or waiting");
    for wait_policy in
        [WaitPolicy::None, WaitPolicy::Up(100), WaitPolicy::Up(200), WaitPolicy::Up(1_000)]
    {
        let limits = [Some(4.0); 3];
        let run = |seed| {
            Simulation::run(Setup { wait_policy, ..setup(seed, 30, &limits, Enforcement::Permits) })
        };
        print_row(&format!("30 {wait_policy:?}"), 4.0, &(0..SEEDS).map(run).collect::<Vec<_>>());
    }
    println!("permits under troubles, 20 daemons, limits 1.2 and 12");
    for (label, kind, daemons) in [
        ("half cut", FaultKind::Partition, (0..10).collect::<Vec<_>>()),
        ("one cut", FaultKind::Partition, vec![3]),
        ("all restarted", FaultKind::Restart, (0..20).collect()),
        ("half frozen", FaultKind::Suspended, (0..10).collect()),
        ("half joins", FaultKind::Absent, (0..10).collect()),
    ] {
        for limit in [1.2, 12.0] {
            let from = if kind == FaultKind::Absent { 0 } else { 15_000 };
            let fault = Fault { kind, daemons: daemons.clone(), from, until: 25_000 };
            let run = |seed| {
                let faults = Faults(vec![fault.clone()]);
                Simulation::run(Setup {
                    faults,
                    ..setup(seed, 20, &[Some(limit), None, None], Enforcement::Permits)
                })
            };
            print_row(
                &format!("{label}, {limit}"),
                limit,
                &(0..SEEDS).map(run).collect::<Vec<_>>(),
            );
        }
    }
}
