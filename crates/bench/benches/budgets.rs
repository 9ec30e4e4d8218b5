//! Budgets: overspend, false refusals and store calls of the daemon's policy and its baselines,
//! with the same workloads and failures, and their growth.
//!
//! `cargo bench -p bankcove-bench --bench budgets` prints all results. They are counts of simulated
//! runs from a seed, so they are reproducible exactly.

use bankcove_bench::budget_policy::{POLICIES, Policy};
use bankcove_bench::budget_simulation::{Outcome, Simulation};
use bankcove_bench::budget_workload::{Failures, Workload};

const SEED: u64 = 1;

fn workloads() -> Vec<Workload> {
    // On average a request reserves about 350 tokens and spends 210, so 20 requests per second
    // spend about 250,000 tokens in a minute.
    let outage = Failures { store_outage: Some((15_000, 50_000)), ..Failures::default() };
    let daemon_killed = Failures { daemon_killed: Some(20_000), ..Failures::default() };
    let partition = Failures {
        partition: Some((15_000, 45_000)),
        top_up: Some((20_000, 150_000)),
        ..Failures::default()
    };
    let mut shifting = Workload::new("demand shifts", 8, 260_000, 20.0);
    shifting.shifting = true;
    vec![
        Workload::new("plenty", 8, 2_000_000, 20.0),
        Workload::new("runs out", 8, 150_000, 20.0),
        Workload::new("nearly gone", 8, 5_000, 20.0),
        shifting,
        Workload::new("outage, plenty", 8, 2_000_000, 20.0).with_failures(outage),
        Workload::new("outage, tight", 8, 260_000, 20.0).with_failures(outage),
        Workload::new("daemon killed", 8, 200_000, 20.0).with_failures(daemon_killed),
        Workload::new("top-up apart", 8, 110_000, 20.0).with_failures(partition),
    ]
}

fn print_header() {
    println!(
        "{:<16} {:<17} {:>8} {:>8} {:>8} {:>8} {:>9} {:>8} {:>8} {:>8} {:>7} {:>8}",
        "load",
        "policy",
        "requests",
        "refused",
        "false %",
        "false t%",
        "overspend",
        "writes/s",
        "reads/s",
        "msgs/s",
        "left %",
        "wait ms"
    );
}

fn print_row(workload: &Workload, policy: Policy, outcome: &Outcome) {
    let seconds = workload.length_ms as f64 / 1000.0;
    println!(
        "{:<16} {:<17} {:>8} {:>8} {:>8.2} {:>8.2} {:>9} {:>8.2} {:>8.2} {:>8.2} {:>7.2} {:>8}",
        workload.name,
        format!("{policy:?}"),
        outcome.requests,
        outcome.refused,
        outcome.false_percent(),
        outcome.false_tokens_percent(),
        outcome.overspend,
        outcome.writes as f64 / seconds,
        outcome.reads as f64 / seconds,
        outcome.messages as f64 / seconds,
        outcome.left_percent(),
        outcome.longest_wait,
    );
}

fn print_comparison() {
    println!("\n# Design and baselines, seed {SEED}\n");
    print_header();
    for workload in workloads() {
        for policy in POLICIES {
            print_row(&workload, policy, &Simulation::run(policy, &workload, SEED));
        }
    }
}

fn print_growth_with_hosts() {
    println!("\n# Growth with hosts: one budget, 4 requests a second at each daemon\n");
    println!(
        "{:>7} {:>10} {:>9} {:>10} {:>14} {:>12} {:>8}",
        "daemons", "tokens", "writes/s", "reads/s", "msgs/s/daemon", "shard bytes", "left %"
    );
    for daemons in [8, 32, 128, 256] {
        let rate = 4.0 * daemons as f64;
        for (tokens, share) in [("plenty", 10.0), ("runs out", 0.6)] {
            // A request spends 210 tokens on average.
            let budget_tokens = (rate * 10.0 * 210.0 * share) as u64;
            let mut workload = Workload::new("growth", daemons, budget_tokens, rate);
            workload.length_ms = 10_000;
            let outcome = Simulation::run(Policy::Design, &workload, SEED);
            assert_eq!(outcome.overspend, 0);
            println!(
                "{daemons:>7} {tokens:>10} {:>9.2} {:>10.2} {:>14.3} {:>12} {:>8.2}",
                outcome.writes as f64 / 10.0,
                outcome.reads as f64 / 10.0,
                outcome.messages as f64 / 10.0 / daemons as f64,
                outcome.largest_shard,
                outcome.left_percent(),
            );
        }
    }
}

fn print_held_ahead() {
    println!("\n# What to hold ahead: false refusals in %, by the column held_ahead\n");
    println!(
        "{:>10} {:>14} {:>14} {:>14}",
        "held_ahead", "outage, tight", "daemon killed", "top-up apart"
    );
    for held_ahead in [0.0, 0.25, 0.5, 1.0] {
        let percent = |name: &str| {
            let mut workload = workloads()
                .into_iter()
                .find(|workload| workload.name == name)
                .expect("the workload exists");
            workload.held_ahead = held_ahead;
            Simulation::run(Policy::Design, &workload, SEED).false_percent()
        };
        println!(
            "{held_ahead:>10} {:>14.2} {:>14.2} {:>14.2}",
            percent("outage, tight"),
            percent("daemon killed"),
            percent("top-up apart"),
        );
    }
}

fn print_growth_with_budgets() {
    println!("\n# Growth with budgets: 32 daemons, 128 requests a second over all budgets\n");
    println!(
        "{:>8} {:>9} {:>9} {:>9} {:>12}",
        "budgets", "writes/s", "reads/s", "msgs/s", "shard bytes"
    );
    for budgets in [16, 64, 256, 1_024, 4_096] {
        let mut workload = Workload::new("budgets", 32, 10_000_000, 128.0);
        workload.budgets = budgets;
        let outcome = Simulation::run(Policy::Design, &workload, SEED);
        println!(
            "{budgets:>8} {:>9.2} {:>9.2} {:>9.2} {:>12}",
            outcome.writes as f64 / 60.0,
            outcome.reads as f64 / 60.0,
            outcome.messages as f64 / 60.0,
            outcome.largest_shard,
        );
    }
}

fn main() {
    print_comparison();
    print_held_ahead();
    print_growth_with_hosts();
    print_growth_with_budgets();
}
