//! Time of one routing decision with 16 to 10,000 backend servers.
//!
//! `cargo bench -p bankcove-bench --bench decision`

use bankcove_bench::routing_simulation::table;
use bankcove_core::rollout::Versions;
use bankcove_core::router::{Router, RoutingRequest};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn decide(c: &mut Criterion) {
    let mut group = c.benchmark_group("route one request");
    for servers in [16, 160, 1_600, 10_000] {
        let mut router = Router::default();
        router.adopt(&table(servers, 10));
        let mut seed = 0_u64;
        group.bench_with_input(BenchmarkId::from_parameter(servers), &router, |b, router| {
            b.iter(|| {
                seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
                let request = RoutingRequest {
                    pool: "m",
                    prefix: seed,
                    prompt_tokens: 0,
                    shared_tokens: 0,
                    hour: 0,
                    seed,
                    tried: &[],
                    homes: Default::default(),
                    versions: Versions::Any,
                };
                router.choose(0, &request)
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).without_plots();
    targets = decide
}
criterion_main!(benches);
