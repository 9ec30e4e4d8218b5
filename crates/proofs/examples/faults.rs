//! Runs the fault scenarios with several seeds, with single faults or with pairs of faults.

use bankcove_proofs::scenario::{FAULTS, Fault, Scenario, run};
use clap::Parser;

/// Check all guarantees under faults, alone or in pairs.
#[derive(Debug, Parser)]
struct Args {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Inject pairs of faults instead of single faults.
    #[arg(long)]
    pairs: bool,
    /// Number of scenarios that run at the same time.
    #[arg(long, default_value_t = 6)]
    at_once: usize,
    /// Run only combinations whose name contains this text.
    #[arg(long, default_value = "")]
    only: String,
}

/// Returns each fault alone, or each pair of different faults.
fn combinations(pairs: bool) -> Vec<Vec<Fault>> {
    if !pairs {
        return FAULTS.iter().map(|fault| vec![*fault]).collect();
    }
    let mut all = Vec::new();
    for (n, first) in FAULTS.iter().enumerate() {
        all.extend(FAULTS[n + 1..].iter().map(|second| vec![*first, *second]));
    }
    all
}

#[tokio::main]
async fn main() {
    let args = Args::parse();
    let seeds = args.first_seed..args.first_seed + args.seeds;
    let scenarios = seeds.flat_map(|seed| {
        let all = combinations(args.pairs).into_iter();
        all.map(move |faults| Scenario::new(seed, &faults))
    });
    let selected = scenarios.filter(|s| format!("{:?}", s.faults).contains(&args.only));
    let running = futures::stream::iter(selected.map(|scenario| async move {
        let outcome = tokio::spawn({
            let scenario = scenario.clone();
            async move { run(&scenario).await }
        });
        (scenario, outcome.await)
    }));
    let mut outcomes = futures::StreamExt::buffer_unordered(running, args.at_once);
    let (mut passed, mut failed) = (0, 0);
    while let Some((scenario, outcome)) = futures::StreamExt::next(&mut outcomes).await {
        let name = format!("{:?} seed {}", scenario.faults, scenario.seed);
        match outcome {
            Ok(Ok(report)) => {
                passed += 1;
                println!("passed {name}: {report:?}");
            }
            Ok(Err(violation)) => {
                failed += 1;
                println!("FAILED {name}: {violation}");
            }
            Err(e) => {
                failed += 1;
                println!("FAILED {name}: {e}");
            }
        }
    }
    println!("{passed} passed, {failed} failed");
    std::process::exit(i32::from(failed > 0));
}
