//! Replay of the load of a fleet with uneven servers: hosts with one router each, engines that
//! read prompts one after the other and generate events, and heartbeats that exchange paces.

use std::collections::VecDeque;

use bankcove_core::rollout::Versions;
use bankcove_core::router::{Homes, Router, RoutingRequest, StreamPace};
use bankcove_core::table::Table;
use bankcove_core::{Millis, Name};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

pub const SERVERS: usize = 60;
const HALLS: usize = 3;

/// Tokens that an engine of normal speed reads in one millisecond.
const READ_PER_MS: f64 = 40.0;
/// Time between two events at an engine of normal speed, in milliseconds.
const EVENT_MS: f64 = 15.0;
/// Number of events of a stream.
const EVENTS: f64 = 42.0;
/// Prefixes whose cache an engine holds.
const CACHED_PREFIXES: usize = 12;
/// Number of servers that are slower for a while at the same time.
const SLOW_AT_ONCE: f64 = 2.4;
/// Number of callers, each with its own prefixes.
const CALLERS: u64 = 24;
/// Part of a prompt that its prefix makes up.
const SHARED_PART: f64 = 0.5;

/// Kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Short prompts, 139 requests a second.
    Short,
    /// Long prompts, 127 requests a second.
    Long,
}

impl Kind {
    pub fn prompt(self) -> u64 {
        if self == Kind::Short { 1_400 } else { 8_200 }
    }

    fn per_second(self) -> f64 {
        if self == Kind::Short { 139.0 } else { 127.0 }
    }

    fn prefixes(self) -> u64 {
        if self == Kind::Short { 300 } else { 600 }
    }
}

/// Settings of a replay.
#[derive(Debug, Clone, Copy)]
pub struct Replay {
    /// Number of hosts, among which callers are spread.
    pub hosts: usize,
    /// Every third server is slower by this factor.
    pub slow_factor: f64,
    /// Factor by which some servers are slower for a while, and for how long.
    pub passing_slowness: (f64, Millis),
    /// Relative demand of the replay.
    pub demand: f64,
    pub seconds: u64,
    pub seed: u64,
}

/// Figures of a replay, without its first five seconds.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Times to the first event, in milliseconds.
    pub short_ms: Vec<u64>,
    pub long_ms: Vec<u64>,
    /// Requests by server.
    pub by_server: Vec<u32>,
    /// Requests that found their prefix in the server's cache.
    pub hits: u32,
}

impl Outcome {
    pub fn requests(&self) -> u32 {
        self.by_server.iter().sum()
    }

    pub fn hit_fraction(&self) -> f64 {
        f64::from(self.hits) / f64::from(self.requests())
    }
}

/// Returns a quantile of some times.
pub fn quantile(times: &[u64], part: f64) -> u64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    sorted[((sorted.len() - 1) as f64 * part) as usize]
}

struct Request {
    sent_at: Millis,
    host: usize,
    kind: Kind,
    /// Tokens that the engine has still to read.
    unread: f64,
    /// Events that it has still to generate.
    events: f64,
    began_at: Millis,
}

#[derive(Default)]
struct Engine {
    reading: VecDeque<Request>,
    streams: Vec<Request>,
    cache: VecDeque<(Kind, u64)>,
    slow_until: Millis,
}

/// State of a replay.
pub struct Fleet {
    replay: Replay,
    now: Millis,
    pub routers: Vec<Router>,
    engines: Vec<Engine>,
    rng: StdRng,
    outcome: Outcome,
}

pub fn name(server: usize) -> Name {
    Name::from(format!("s{server}"))
}

fn table() -> Table {
    let halls: Vec<_> = (0..HALLS).map(|n| json!({"name": format!("hall-{n}")})).collect();
    let server = |n: usize| {
        json!({
            "name": format!("s{n}"), "hall": format!("hall-{}", n / 3 % HALLS), "kind": "model",
            "address": format!("10.0.0.{n}:1"), "models": ["m"],
        })
    };
    let servers: Vec<_> = (0..SERVERS).map(server).collect();
    serde_json::from_value(json!({"halls": halls, "servers": servers})).expect("a table")
}

/// Returns a router of one pool, whose slow servers are in all halls.
pub fn router() -> Router {
    let mut router = Router::default();
    router.adopt(&table());
    router
}

impl Fleet {
    pub fn new(replay: Replay) -> Self {
        Fleet {
            replay,
            now: 0,
            routers: vec![router(); replay.hosts],
            engines: (0..SERVERS).map(|_| Engine::default()).collect(),
            rng: StdRng::seed_from_u64(replay.seed),
            outcome: Outcome { by_server: vec![0; SERVERS], ..Outcome::default() },
        }
    }

    /// Runs the replay.
    pub fn run(mut self) -> Outcome {
        while self.now < self.replay.seconds * 1_000 {
            self.now += 1;
            for kind in [Kind::Short, Kind::Long] {
                if self.rng.random_bool(kind.per_second() * self.replay.demand / 1_000.0) {
                    self.send(kind);
                }
            }
            let (factor, lasts_ms) = self.replay.passing_slowness;
            if factor > 1.0 && self.rng.random_bool(SLOW_AT_ONCE / lasts_ms as f64) {
                let server = self.rng.random_range(0..SERVERS);
                self.engines[server].slow_until = self.now + lasts_ms;
            }
            for server in 0..SERVERS {
                self.advance(server);
            }
            if self.now % 500 == 0 {
                self.send_heartbeats();
            }
        }
        self.outcome
    }

    /// Returns whether the figures of this time count.
    fn is_measured(&self) -> bool {
        self.now >= 5_000
    }

    /// Draws a prefix and the host of its caller: the load balancer sends all requests of a caller
    /// to one host, and the demand of the halls swings, one after the other.
    fn draw_prefix(&mut self, kind: Kind) -> (u64, usize) {
        loop {
            // The square favors low numbers, so that many requests share few prefixes.
            let part: f64 = self.rng.random();
            let number = (part * part * kind.prefixes() as f64) as u64;
            let host = (number % CALLERS * 7) as usize % self.replay.hosts;
            let turns = self.now as f64 / 17_000.0 + (host % HALLS) as f64 / HALLS as f64;
            let demand = 1.0 + 0.55 * (turns * std::f64::consts::TAU).sin();
            if self.rng.random_bool(demand / 1.55) {
                return (number, host);
            }
        }
    }

    fn send(&mut self, kind: Kind) {
        let (number, host) = self.draw_prefix(kind);
        let prefix = (number + 10_000 * (kind as u64 + 1)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let request = RoutingRequest {
            pool: "m",
            prefix,
            prompt_tokens: kind.prompt(),
            shared_tokens: (kind.prompt() as f64 * SHARED_PART) as u64,
            hour: 0,
            seed: self.rng.random(),
            tried: &[],
            homes: Homes::default(),
            versions: Versions::Any,
        };
        let router = &mut self.routers[host];
        let choice = router.choose(self.now, &request).expect("a server is usable");
        router.record_sent(&choice.server, 0, kind.prompt());
        router.record_wait(self.now, &choice.server, 0, kind.prompt());
        let server: usize = choice.server.as_str()[1..].parse().expect("a number");
        let engine = &mut self.engines[server];
        let cached = engine.cache.iter().position(|known| *known == (kind, number));
        if let Some(at) = cached {
            engine.cache.remove(at);
        }
        engine.cache.push_back((kind, number));
        if engine.cache.len() > CACHED_PREFIXES {
            engine.cache.pop_front();
        }
        let unread = kind.prompt() as f64 * if cached.is_some() { 1.0 - SHARED_PART } else { 1.0 };
        engine.reading.push_back(Request {
            sent_at: self.now,
            host,
            kind,
            unread,
            events: EVENTS,
            began_at: 0,
        });
        if self.is_measured() {
            self.outcome.by_server[server] += 1;
            self.outcome.hits += u32::from(cached.is_some());
        }
    }

    /// Runs an engine for one millisecond.
    fn advance(&mut self, server: usize) {
        let lasting = if server % 3 == 0 { self.replay.slow_factor } else { 1.0 };
        let engine = &mut self.engines[server];
        let passing =
            if self.now < engine.slow_until { self.replay.passing_slowness.0 } else { 1.0 };
        let speed = 1.0 / (lasting * passing);
        let mut tokens = READ_PER_MS * speed;
        while let Some(request) = engine.reading.front_mut() {
            let read = tokens.min(request.unread);
            request.unread -= read;
            tokens -= read;
            if request.unread > 0.0 {
                break;
            }
            let Some(mut request) = engine.reading.pop_front() else { break };
            request.began_at = self.now;
            let router = &mut self.routers[request.host];
            router.record_prompt_read(&name(server), 0, request.kind.prompt());
            router.record_wait_ended(self.now, &name(server), 0, request.sent_at, true);
            if self.now >= 5_000 {
                let first_ms = self.now - request.sent_at;
                let times = match request.kind {
                    Kind::Short => &mut self.outcome.short_ms,
                    Kind::Long => &mut self.outcome.long_ms,
                };
                times.push(first_ms);
            }
            engine.streams.push(request);
        }
        let mut at = 0;
        while at < engine.streams.len() {
            engine.streams[at].events -= speed / EVENT_MS;
            if engine.streams[at].events > 0.0 {
                at += 1;
                continue;
            }
            let request = engine.streams.swap_remove(at);
            let noise = self.rng.random_range(0.95..1.05);
            let event_ms = (self.now - request.began_at) as f64 / EVENTS * noise;
            let pace = StreamPace { event_ms, longest_pause_ms: event_ms * 3.0 };
            let router = &mut self.routers[request.host];
            router.record_stream_pace(&name(server), 0, pace);
            router.record_ended(self.now, &name(server), 0, true);
        }
    }

    /// Sends three heartbeats from every host, as the daemon does; each is answered by one.
    pub fn send_heartbeats(&mut self) {
        for from in 0..self.replay.hosts {
            for _ in 0..3 {
                let to = self.rng.random_range(0..self.replay.hosts);
                for (from, to) in [(from, to), (to, from)] {
                    let paces = self.routers[from].paces(4, self.rng.random_range(0..usize::MAX));
                    self.routers[to].merge_paces(&paces);
                }
            }
        }
    }
}
