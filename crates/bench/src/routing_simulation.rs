//! Simulation of daemons that route requests to engines with slots and prefix caches.

use std::collections::VecDeque;

use bankcove_core::rollout::Versions;
use bankcove_core::router::{Homes, LoadReport, Router, RoutingRequest};
use bankcove_core::table::Table;
use bankcove_core::{Millis, Name};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::schedule::Schedule;

/// Number of requests that one engine runs at once.
const SLOTS_PER_SERVER: usize = 8;

/// Number of prefixes that one engine caches.
const CACHED_PREFIXES_PER_SERVER: usize = 24;

/// Number of different prefixes that callers use.
const PREFIXES: u64 = 400;

/// Prefill time of a prompt whose prefix is not cached, in milliseconds.
const UNCACHED_PREFILL_MS: Millis = 240;
/// Prefill time of a prompt whose prefix is cached, in milliseconds.
const CACHED_PREFILL_MS: Millis = 40;

/// Time between two tokens, in milliseconds.
const TOKEN_MS: Millis = 20;

/// Upper bound of the histogram of times to the first token, in milliseconds.
const MAX_FIRST_TOKEN_MS: u64 = 600_000;

/// Time between two load reports, and their maximum age, in milliseconds.
const REPORT_INTERVAL_MS: Millis = 500;

/// How a server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The daemon's own router.
    Design,
    /// Each server in turn.
    RoundRobin,
    /// The server with the least load in the latest reports.
    LeastReported,
}

/// What fails in the second half of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One server is ten times as slow.
    SlowServer,
    /// All servers of one hall refuse connections.
    HallGone,
}

/// Outcome of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Time to the first token, in milliseconds.
    pub first_token: Histogram<u64>,
    /// Requests whose prefix was cached, in % of all requests.
    pub cache_hits_percent: f64,
    /// Requests at the busiest server, relative to the mean of all servers.
    pub busiest_ratio: f64,
    /// Number of requests that a server refused and that were sent again.
    pub retries: u64,
    /// Number of requests that found no server.
    pub unserved: u64,
    /// Number of requests.
    pub requests: u64,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived_at: Millis,
    daemon: usize,
    prefix: u64,
    /// Tokens of the completion.
    tokens: u64,
}

enum SimulationEvent {
    RequestArrived(Request),
    RequestEnded {
        server: usize,
        request: Request,
    },
    /// All servers report their load to all daemons.
    ReportLoad,
}

#[derive(Debug, Default)]
struct Engine {
    /// Number of requests in a slot.
    running: usize,
    queue: VecDeque<Request>,
    /// Cached prefixes, least recently used first.
    cache: VecDeque<u64>,
    served: u64,
}

/// State of a run.
pub struct Simulation {
    policy: RoutingPolicy,
    fault: Fault,
    length_ms: Millis,
    now: Millis,
    schedule: Schedule<SimulationEvent>,
    engines: Vec<Engine>,
    halls: usize,
    routers: Vec<Router>,
    /// Load of each server in the latest report.
    reported: Vec<u32>,
    round_robin_next: usize,
    rng: StdRng,
    outcome: Outcome,
    /// Number of requests whose prefix was cached.
    hits: u64,
}

/// Returns a table with this many servers in this many halls.
pub fn table(servers: usize, halls: usize) -> Table {
    let hall = |n: usize| json!({"name": format!("hall-{n}")});
    let server = |n: usize| {
        json!({
            "name": format!("server-{n}"), "hall": format!("hall-{}", n % halls), "kind": "model",
            "address": format!("10.{}.{}.{}:8000", n >> 16, (n >> 8) & 255, n & 255),
            "models": ["m"], "limit": 1_000,
        })
    };
    let value = json!({
        "halls": (0..halls).map(hall).collect::<Vec<_>>(),
        "servers": (0..servers).map(server).collect::<Vec<_>>(),
        "routes": [{"name": "chat", "to": "model", "model": "m"}],
    });
    serde_json::from_value(value).expect("the value is a valid table")
}

impl Simulation {
    /// Runs the simulation with `rate` requests per second for `length_ms` milliseconds.
    pub fn run(
        policy: RoutingPolicy,
        fault: Fault,
        rate: f64,
        length_ms: Millis,
        seed: u64,
    ) -> Outcome {
        let (daemons, servers, halls) = (8, 18, 3);
        let table = table(servers, halls);
        let router = || {
            let mut router = Router::default();
            router.adopt(&table);
            router
        };
        let mut simulation = Simulation {
            policy,
            fault,
            length_ms,
            now: 0,
            schedule: Schedule::default(),
            engines: (0..servers).map(|_| Engine::default()).collect(),
            halls,
            routers: (0..daemons).map(|_| router()).collect(),
            reported: vec![0; servers],
            round_robin_next: 0,
            rng: StdRng::seed_from_u64(seed),
            outcome: Outcome {
                first_token: Histogram::new_with_bounds(1, MAX_FIRST_TOKEN_MS, 3)
                    .expect("the bounds are valid"),
                cache_hits_percent: 0.0,
                busiest_ratio: 0.0,
                retries: 0,
                unserved: 0,
                requests: 0,
            },
            hits: 0,
        };
        simulation.schedule_initial_events(rate, daemons);
        simulation.run_events();
        simulation.finish()
    }

    fn schedule_initial_events(&mut self, rate: f64, daemons: usize) {
        let mut at = 0.0;
        while at < self.length_ms as f64 {
            at += -self.rng.random::<f64>().max(1e-12).ln() * 1000.0 / rate;
            // The square favors low numbers, so that many requests share few prefixes.
            let part: f64 = self.rng.random();
            let request = Request {
                arrived_at: at as Millis,
                daemon: self.rng.random_range(0..daemons),
                prefix: (part * part * PREFIXES as f64) as u64,
                tokens: self.rng.random_range(10..80),
            };
            self.schedule.at(request.arrived_at, SimulationEvent::RequestArrived(request));
        }
        for n in 0..=self.length_ms / REPORT_INTERVAL_MS {
            self.schedule.at(n * REPORT_INTERVAL_MS, SimulationEvent::ReportLoad);
        }
    }

    fn run_events(&mut self) {
        while let Some((at, event)) = self.schedule.take_next() {
            self.now = at;
            match event {
                SimulationEvent::RequestArrived(request) => self.handle_arrival(request),
                SimulationEvent::RequestEnded { server, request } => {
                    self.finish_request(server, request)
                }
                SimulationEvent::ReportLoad => self.report_load(),
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let served: Vec<u64> = self.engines.iter().map(|engine| engine.served).collect();
        let mean = served.iter().sum::<u64>() as f64 / served.len() as f64;
        let most = served.iter().max().copied().unwrap_or(0) as f64;
        self.outcome.busiest_ratio = most / mean;
        self.outcome.cache_hits_percent = 100.0 * self.hits as f64 / self.outcome.requests as f64;
        self.outcome
    }

    fn is_fault_active(&self) -> bool {
        self.now >= self.length_ms / 2
    }

    /// Returns whether the server refuses connections now.
    fn refuses(&self, server: usize) -> bool {
        self.fault == Fault::HallGone && self.is_fault_active() && server % self.halls == 0
    }

    /// Returns the factor by which the server is slower than usual.
    fn slow_factor(&self, server: usize) -> Millis {
        let slow = self.fault == Fault::SlowServer && self.is_fault_active() && server == 0;
        if slow { 10 } else { 1 }
    }

    /// Sends a request to a server, with at most three attempts.
    fn handle_arrival(&mut self, request: Request) {
        self.outcome.requests += 1;
        let mut tried: Vec<Name> = Vec::new();
        for _ in 0..3 {
            let Some(server) = self.choose(&request, &tried) else { break };
            let name = Name::from(format!("server-{server}"));
            let router = &mut self.routers[request.daemon];
            router.record_sent(&name, 0, 0);
            if self.refuses(server) {
                self.routers[request.daemon].record_ended(self.now, &name, 0, false);
                self.outcome.retries += 1;
                tried.push(name);
                continue;
            }
            self.engines[server].queue.push_back(request);
            self.start_queued(server);
            return;
        }
        self.outcome.unserved += 1;
    }

    /// Chooses a server by the routing policy.
    fn choose(&mut self, request: &Request, tried: &[Name]) -> Option<usize> {
        match self.policy {
            RoutingPolicy::Design => {
                let routing_request = RoutingRequest {
                    pool: "m",
                    prefix: request.prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                    prompt_tokens: 0,
                    shared_tokens: 0,
                    hour: 0,
                    seed: self.rng.random(),
                    tried,
                    homes: Homes::default(),
                    versions: Versions::Any,
                };
                let choice =
                    self.routers[request.daemon].choose(self.now, &routing_request).ok()?;
                choice.server.as_str().strip_prefix("server-")?.parse().ok()
            }
            RoutingPolicy::RoundRobin => {
                self.round_robin_next += 1;
                Some(self.round_robin_next % self.engines.len())
            }
            RoutingPolicy::LeastReported => {
                let named = |n: &usize| Name::from(format!("server-{n}"));
                let untried = (0..self.engines.len()).filter(|n| !tried.contains(&named(n)));
                untried.min_by_key(|n| self.reported[*n])
            }
        }
    }

    /// Starts queued requests of the server while it has free slots.
    fn start_queued(&mut self, server: usize) {
        let slow_factor = self.slow_factor(server);
        let engine = &mut self.engines[server];
        while engine.running < SLOTS_PER_SERVER {
            let Some(request) = engine.queue.pop_front() else { return };
            engine.running += 1;
            engine.served += 1;
            let cached = engine.cache.iter().position(|prefix| *prefix == request.prefix);
            if let Some(place) = cached {
                engine.cache.remove(place);
                self.hits += 1;
            }
            engine.cache.push_back(request.prefix);
            if engine.cache.len() > CACHED_PREFIXES_PER_SERVER {
                engine.cache.pop_front();
            }
            let prefill_ms = if cached.is_some() { CACHED_PREFILL_MS } else { UNCACHED_PREFILL_MS }
                * slow_factor;
            let first = self.now + prefill_ms - request.arrived_at;
            self.outcome.first_token.saturating_record(first.max(1));
            let end = self.now + prefill_ms + request.tokens * TOKEN_MS * slow_factor;
            self.schedule.at(end, SimulationEvent::RequestEnded { server, request });
        }
    }

    fn finish_request(&mut self, server: usize, request: Request) {
        self.engines[server].running -= 1;
        let name = Name::from(format!("server-{server}"));
        self.routers[request.daemon].record_ended(self.now, &name, 0, true);
        self.start_queued(server);
    }

    fn report_load(&mut self) {
        for (n, engine) in self.engines.iter().enumerate() {
            let (running, waiting) = (engine.running as u32, engine.queue.len() as u32);
            self.reported[n] = running + waiting;
            let name = Name::from(format!("server-{n}"));
            for router in &mut self.routers {
                let report = LoadReport { running, waiting, leaving: false, started_ms: 0 };
                router.record_load_report(self.now, &name, report);
            }
        }
    }
}
