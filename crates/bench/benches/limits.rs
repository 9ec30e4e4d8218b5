//! Limits of servers: what a server that names one gets from fleets of different sizes, by
//! different ways to keep to it, and what callers see.
//!
//! `cargo bench -p bankcove-bench --bench limits`

use bankcove_bench::limit_world::{
    Kind, Outcome, Patience, Setup, Trouble, Troubles, Way, World, allowed, worst_window,
};

const LENGTH_MS: u64 = 40_000;
const NAMED_AT_MS: u64 = 5_000;
const SEEDS: u64 = 3;

fn setup(seed: u64, daemons: usize, limits: &[Option<f64>], way: Way) -> Setup {
    Setup {
        seed,
        daemons,
        servers: limits.iter().map(|limit| vec![(NAMED_AT_MS, *limit)]).collect(),
        per_second: 60.0,
        length_ms: LENGTH_MS,
        way,
        patience: Patience::Up(200),
        troubles: Troubles::default(),
    }
}

/// Part of what the first server takes that it got after the hosts were bound.
fn used(outcome: &Outcome, limit: f64) -> f64 {
    let from = NAMED_AT_MS + 3_000;
    let got = outcome.came[0].iter().filter(|at| **at > from).count();
    got as f64 / (limit * (LENGTH_MS - from) as f64 / 1_000.0)
}

fn row(what: &str, limit: f64, outcomes: &[Outcome]) {
    let worst = outcomes.iter().map(|outcome| worst_window(&outcome.counted[0])).max();
    let of_all = outcomes.iter().map(|outcome| {
        let came = outcome.came[0].iter().copied();
        worst_window(&came.filter(|at| *at > NAMED_AT_MS + 3_000).collect::<Vec<_>>())
    });
    let of_all = of_all.max();
    let mean = |figure: &dyn Fn(&Outcome) -> f64| {
        outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
    };
    let known = outcomes.iter().filter_map(|outcome| outcome.known_ms).max();
    println!(
        "{what:<46} {:>5} {:>5} {:>7.1} {:>6.2} {:>7.3} {:>6.0} {:>6.0} {:>8.1} {:>8.0} {:>7}",
        worst.unwrap_or_default(),
        of_all.unwrap_or_default(),
        allowed(limit),
        mean(&|outcome| used(outcome, limit)),
        mean(&|outcome| outcome.served as f64 / outcome.requests as f64),
        mean(&|outcome| outcome.delay.value_at_quantile(0.5) as f64),
        mean(&|outcome| outcome.delay.value_at_quantile(0.95) as f64),
        mean(&|outcome| outcome.asks as f64 * 1_000.0 / LENGTH_MS as f64),
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
            for way in [Way::None, Way::EqualParts, Way::FewHosts, Way::Permits] {
                let outcomes: Vec<Outcome> =
                    (0..SEEDS).map(|seed| World::run(setup(seed, daemons, &limits, way))).collect();
                let limit = limits[0].unwrap_or_default();
                row(&format!("{daemons} {limits:?} {way:?}"), limit, &outcomes);
            }
        }
    }
    println!("permits, all servers at 4.0, refused at once or waiting");
    for patience in [Patience::None, Patience::Up(100), Patience::Up(200), Patience::Up(1_000)] {
        let limits = [Some(4.0); 3];
        let run = |seed| World::run(Setup { patience, ..setup(seed, 30, &limits, Way::Permits) });
        row(&format!("30 {patience:?}"), 4.0, &(0..SEEDS).map(run).collect::<Vec<_>>());
    }
    println!("permits under troubles, 20 daemons, limits 1.2 and 12");
    for (what, kind, daemons) in [
        ("half cut", Kind::Cut, (0..10).collect::<Vec<_>>()),
        ("one cut", Kind::Cut, vec![3]),
        ("all restarted", Kind::Restart, (0..20).collect()),
        ("half frozen", Kind::Frozen, (0..10).collect()),
        ("half joins", Kind::Gone, (0..10).collect()),
    ] {
        for limit in [1.2, 12.0] {
            let from = if kind == Kind::Gone { 0 } else { 15_000 };
            let trouble = Trouble { kind, daemons: daemons.clone(), from, until: 25_000 };
            let run = |seed| {
                let troubles = Troubles(vec![trouble.clone()]);
                World::run(Setup {
                    troubles,
                    ..setup(seed, 20, &[Some(limit), None, None], Way::Permits)
                })
            };
            row(&format!("{what}, {limit}"), limit, &(0..SEEDS).map(run).collect::<Vec<_>>());
        }
    }
}
