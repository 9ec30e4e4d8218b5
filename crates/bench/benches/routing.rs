//! Routing: time to the first token, prefix cache hits and balance of the daemon's router, of round
//! robin and of the least reported load, with the same seeded workload.
//!
//! `cargo bench -p bankcove-bench --bench routing`

use bankcove_bench::routing_simulation::{Fault, RoutingPolicy, Simulation};

const SEED: u64 = 1;
const LENGTH_MS: u64 = 120_000;

fn main() {
    println!(
        "{:<11} {:<14} {:>5} {:>8} {:>8} {:>8} {:>7} {:>8} {:>10} {:>5}",
        "trouble",
        "rule",
        "req/s",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "hits %",
        "busiest",
        "sent again",
        "lost"
    );
    for fault in [Fault::None, Fault::SlowServer, Fault::HallGone] {
        for rate in [60.0, 90.0] {
            for policy in
                [RoutingPolicy::Design, RoutingPolicy::RoundRobin, RoutingPolicy::LeastReported]
            {
                let outcome = Simulation::run(policy, fault, rate, LENGTH_MS, SEED);
                let first_token_ms = |quantile| outcome.first_token.value_at_quantile(quantile);
                println!(
                    "{:<11} {:<14} {:>5} {:>8} {:>8} {:>8} {:>7.1} {:>8.2} {:>10} {:>5}",
                    format!("{fault:?}"),
                    format!("{policy:?}"),
                    rate,
                    first_token_ms(0.50),
                    first_token_ms(0.95),
                    first_token_ms(0.99),
                    outcome.cache_hits_percent,
                    outcome.busiest_ratio,
                    outcome.retries,
                    outcome.unserved,
                );
            }
        }
    }
}
