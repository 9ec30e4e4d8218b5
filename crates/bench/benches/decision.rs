//! Time of one routing decision with 16 to 10,000 backend servers.
//!
//! `cargo bench -p bankcove-bench --bench decision`

use bankcove_bench::routing_simulation::table;
use bankcove_core::Name;
use bankcove_core::rollout::Versions;
use bankcove_core::router::{Router, RoutingRequest, StreamPace};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

/// Length of a prompt, and of its shared part, in tokens.
const PROMPT: (u64, u64) = (1_400, 700);

fn decide(c: &mut Criterion) {
    bench(c, "route one request", (0, 0), |_| {});
    // Most decisions compare servers: all of them have unread tokens.
    bench(c, "route one request to uneven servers", PROMPT, |router| {
        for n in 0..router.servers().len() {
            let name = Name::from(format!("server-{n}"));
            let event_ms = if n % 3 == 0 { 48.0 } else { 20.0 };
            let pace = StreamPace { event_ms, longest_pause_ms: event_ms * 3.0 };
            router.record_stream_pace(&name, 0, pace);
            router.record_sent(&name, 0, 2 * PROMPT.0);
        }
    });
}

fn bench(c: &mut Criterion, title: &str, prompt: (u64, u64), prepare: impl Fn(&mut Router)) {
    let mut group = c.benchmark_group(title);
    for servers in [16, 160, 1_600, 10_000] {
        let mut router = Router::default();
        router.adopt(&table(servers, 10));
        prepare(&mut router);
        let mut seed = 0_u64;
        group.bench_with_input(BenchmarkId::from_parameter(servers), &router, |b, router| {
            b.iter(|| {
                seed = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
                let request = RoutingRequest {
                    pool: "m",
                    prefix: seed,
                    prompt_tokens: prompt.0,
                    shared_tokens: prompt.1,
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
