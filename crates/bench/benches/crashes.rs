//! Cost of tracking which requests crash servers: the hash of a request, a verdict, the digest in
//! a heartbeat, facts sent between daemons, and a decision.
//!
//! `cargo bench -p bankcove-bench --bench crashes`

use std::hint::black_box;

use bankcove_core::crashes::{CrashTracker, DECISION_DELAY_MS, ServerInstance};
use bankcove_core::{Fingerprint, Millis, Name};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};

/// Maximum number of crashes that a tracker stores.
const MAX_CRASHES: usize = 256;

/// Number of requests that a server runs in a pool with half of its slots in use.
const REQUESTS_PER_CRASH: usize = 32;

/// Returns a tracker of this many crashes with [`REQUESTS_PER_CRASH`] requests each. All requests
/// are different, except for one that three crashes count against.
fn tracker(crashes: usize) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    for crash in 0..crashes {
        let server = ServerInstance { name: Name::from(format!("i-{crash:010}")), started_ms: 0 };
        let now = 500 * crash as Millis;
        for n in 0..REQUESTS_PER_CRASH {
            let request = Fingerprint(1_000 + (crash * REQUESTS_PER_CRASH + n) as u128);
            tracker.record_disconnect(now, &server, request);
        }
        if crash < 3 {
            tracker.record_disconnect(now, &server, Fingerprint(1));
        }
        tracker.record_crash(now, &server);
    }
    tracker
}

fn costs(c: &mut Criterion) {
    for bytes in [1_000, 12_000, 100_000] {
        let body = vec![b'x'; bytes];
        c.bench_function(&format!("fingerprint of {bytes} bytes"), |b| {
            b.iter(|| Fingerprint::of("calls.example", "/a/b", "dispatch", black_box(&body)));
        });
    }
    for crashes in [3, MAX_CRASHES] {
        let tracker = tracker(crashes);
        let now = 500 * crashes as Millis;
        let encoded = bincode::serialize(&tracker.facts(now)).expect("facts can be encoded");
        println!(
            "facts of {crashes} crashes, {REQUESTS_PER_CRASH} aboard each: {} bytes",
            encoded.len()
        );
        c.bench_function(&format!("verdict of an unknown request, {crashes} crashes"), |b| {
            b.iter(|| tracker.verdict(black_box(Fingerprint(7))));
        });
        c.bench_function(&format!("verdict of one aboard, {crashes} crashes"), |b| {
            b.iter(|| tracker.verdict(black_box(Fingerprint(1_000))));
        });
        c.bench_function(&format!("digest, {crashes} crashes"), |b| {
            b.iter(|| tracker.digest(black_box(now)));
        });
        let facts = tracker.facts(now);
        c.bench_function(&format!("taking in the facts of {crashes} crashes"), |b| {
            let fresh = || (CrashTracker::default(), facts.clone());
            let merge = |(mut tracker, facts): (CrashTracker, _)| tracker.merge(now, facts);
            b.iter_batched(fresh, merge, BatchSize::SmallInput);
        });
    }
}

/// Number of requests that the same three crashes count against: the most that an engine runs at
/// once.
const CANDIDATES: usize = 128;

/// Returns a full tracker after three crashes with the same [`CANDIDATES`] requests, and the time
/// of their decision.
fn candidates() -> (CrashTracker, Millis) {
    let mut tracker = tracker(MAX_CRASHES - 3);
    let mut now = 500 * MAX_CRASHES as Millis;
    for crash in 0..3 {
        now += 1_000;
        let server = ServerInstance { name: Name::from(format!("j-{crash}")), started_ms: 0 };
        for n in 0..CANDIDATES {
            tracker.record_disconnect(now, &server, Fingerprint(10 + n as u128));
        }
        tracker.record_crash(now, &server);
    }
    (tracker, now + DECISION_DELAY_MS)
}

fn decisions(c: &mut Criterion) {
    let (tracker, now) = candidates();
    c.bench_function(&format!("deciding {CANDIDATES} requests with the same crashes"), |b| {
        b.iter_batched(
            || tracker.clone(),
            |mut tracker| tracker.decide(now),
            BatchSize::SmallInput,
        );
    });
    c.bench_function("place of one of them", |b| {
        b.iter(|| tracker.placement(black_box(Fingerprint(10))));
    });
}

criterion_group!(benches, costs, decisions);
criterion_main!(benches);
