//! Uneven servers: a third of a pool is slower for good, and any server for a while.

mod fleet;
mod late;
mod speed;

use bankcove_core::Millis;
use bankcove_core::rollout::Versions;
use bankcove_core::router::{Homes, Router, RoutingRequest, StreamPace};

use crate::fleet::{Fleet, Outcome, Replay, SERVERS, name};

const REPLAY: Replay = Replay {
    hosts: 16,
    slow_factor: 2.4,
    passing_slowness: (1.0, 600),
    demand: 1.0,
    seconds: 30,
    seed: 1,
};

/// Returns whether the replay's server of this number is slow.
fn is_slow(server: usize) -> bool {
    server % 3 == 0
}

/// Returns the mean number of requests of a slow server as a fraction of a fast one's.
fn slow_ratio(by_server: &[u32]) -> f64 {
    let sum = |slow: bool| -> f64 {
        let numbered = by_server.iter().enumerate().filter(|(n, _)| is_slow(*n) == slow);
        numbered.map(|(_, count)| f64::from(*count)).sum()
    };
    let slow = (0..by_server.len()).filter(|n| is_slow(*n)).count();
    sum(true) / slow as f64 * (by_server.len() - slow) as f64 / sum(false)
}

/// Records event intervals of all servers; `None` leaves a server's pace unknown.
fn record_paces(router: &mut Router, event_ms: impl Fn(usize) -> Option<f64>) {
    for _ in 0..20 {
        for server in 0..SERVERS {
            if let Some(event_ms) = event_ms(server) {
                let pace = StreamPace { event_ms, longest_pause_ms: event_ms * 3.0 };
                router.record_stream_pace(&name(server), 0, pace);
            }
        }
    }
}

/// Returns a request without a prompt.
fn request(number: u64) -> RoutingRequest<'static> {
    let prefix = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    RoutingRequest {
        pool: "m",
        prefix,
        prompt_tokens: 0,
        shared_tokens: 0,
        hour: 0,
        seed: prefix.rotate_left(17),
        tried: &[],
        homes: Homes::default(),
        versions: Versions::Any,
    }
}

/// Returns the number of the server that a request goes to.
fn choose(router: &Router, now: Millis, request: &RoutingRequest) -> usize {
    let choice = router.choose(now, request).expect("a server is usable");
    choice.server.as_str()[1..].parse().expect("a number")
}

/// Returns the server that each of 6,000 prefixes goes to.
fn choices(router: &Router) -> Vec<usize> {
    (0..6_000).map(|number| choose(router, 0, &request(number))).collect()
}

fn run(replay: Replay) -> Outcome {
    Fleet::new(replay).run()
}
