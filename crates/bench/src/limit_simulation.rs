//! Simulation of a fleet of daemons that sends requests to servers with announced limits.
//!
//! Limit trackers, issuers, leases and retry schedules are the daemon's own code. Links have
//! delays, and faults partition, suspend, restart, add and remove daemons.
//!
//! `setup` describes a run and its outcome, `fault` the faults, `fleet` the daemons and their
//! membership, `event` the events. `gossip` exchanges limits between daemons, `permits` requests
//! permits, and `window` counts the requests of a server per time window.

mod event;
mod fault;
mod fleet;
mod gossip;
mod permits;
mod setup;
mod window;

pub use fault::{Fault, FaultKind, Faults};
pub use setup::{Enforcement, Outcome, Setup, WaitPolicy};
pub use window::{allowed_requests, max_per_window};

use std::collections::HashMap;

use bankcove_core::crashes::ServerInstance;
use bankcove_core::limits::{LimitHeader, RequestRate};
use bankcove_core::{Millis, Name};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::limit_simulation::event::{CallerRequest, Event};
use crate::limit_simulation::fleet::{Daemon, Fleet};
use crate::limit_simulation::window::GRACE_MS;
use crate::schedule::Schedule;

/// Time between two heartbeats of a daemon, in milliseconds.
const HEARTBEAT_MS: Millis = 500;
/// Retry delay when no issuer responded or the daemon must not use the server, in milliseconds.
const NO_ISSUER_RETRY_MS: Millis = 200;
/// Permit requests for one caller's request before it is refused.
const MAX_PERMIT_REQUESTS: usize = 3;
/// Time after a host's first response with a limit from which its requests count, in
/// milliseconds.
const HOST_GRACE_MS: Millis = 500;

/// State of a run.
pub struct Simulation {
    setup: Setup,
    rng: StdRng,
    now: Millis,
    events: Schedule<Event>,
    /// ID of the next permit request.
    next_call_id: u64,
    daemons: Vec<Daemon>,
    fleet: Fleet,
    instances: Vec<ServerInstance>,
    /// Index in `instances` of each server.
    index: HashMap<ServerInstance, usize>,
    /// Requests that wait for a permit, by the ID of the permit request.
    waiting_requests: HashMap<u64, CallerRequest>,
    /// Time of a daemon's first response with a limit, by daemon and server.
    first_response_at: HashMap<(usize, usize), Millis>,
    /// Time of the first response with a limit, by server.
    announced_at: Vec<Option<Millis>>,
    outcome: Outcome,
}

impl Simulation {
    /// Runs the simulation.
    pub fn run(setup: Setup) -> Outcome {
        let mut simulation = Simulation::new(setup);
        simulation.schedule_initial_events();
        while let Some((at, event)) = simulation.events.take_next() {
            if at > simulation.setup.length_ms {
                break;
            }
            simulation.now = simulation.now.max(at);
            simulation.handle(event);
        }
        simulation.finish()
    }

    fn new(setup: Setup) -> Self {
        let instance =
            |n: usize| ServerInstance { name: Name::from(format!("i-{n}")), started_ms: 1 };
        let instances: Vec<ServerInstance> = (0..setup.servers.len()).map(instance).collect();
        let count = instances.len();
        Simulation {
            rng: StdRng::seed_from_u64(setup.seed),
            now: 0,
            events: Schedule::default(),
            next_call_id: 0,
            daemons: (0..setup.daemons).map(|_| Daemon::new(count, 0)).collect(),
            fleet: Fleet::new(setup.seed, setup.daemons, &setup.faults),
            index: instances
                .iter()
                .cloned()
                .enumerate()
                .map(|(n, instance)| (instance, n))
                .collect(),
            instances,
            waiting_requests: HashMap::new(),
            first_response_at: HashMap::new(),
            announced_at: vec![None; count],
            outcome: Outcome {
                counted_arrivals: vec![Vec::new(); count],
                arrivals: vec![Vec::new(); count],
                served: 0,
                requests: 0,
                refused: 0,
                delay: Histogram::new(3).expect("3 significant digits are supported"),
                bytes: 0,
                permit_requests: 0,
                propagation_ms: None,
            },
            setup,
        }
    }

    fn schedule_initial_events(&mut self) {
        for daemon in 0..self.daemons.len() {
            let at = self.rng.random_range(0..HEARTBEAT_MS);
            self.push(at, Event::Heartbeat { daemon });
        }
        let faults = self.setup.faults.0.clone();
        for fault in
            faults.iter().filter(|t| matches!(t.kind, FaultKind::Restart | FaultKind::Absent))
        {
            for daemon in &fault.daemons {
                self.push(fault.until, Event::DaemonStart { daemon: *daemon });
            }
        }
        self.schedule_next_caller();
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.events.at(at, event);
    }

    /// Schedules the next caller's request after an exponentially distributed gap.
    fn schedule_next_caller(&mut self) {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap = (-uniform.ln() / self.setup.per_second * 1_000.0).round() as Millis;
        self.push(self.now + gap, Event::NewRequest);
    }

    fn new_request(&mut self) {
        self.outcome.requests += 1;
        let daemon = self.rng.random_range(0..self.daemons.len());
        let first = self.rng.random_range(0..self.instances.len());
        let (first_at, arrived_at) = (self.now, self.now);
        let req =
            CallerRequest { daemon, first, first_at, arrived_at, retries: 0, permit_requests: 0 };
        self.push(self.now, Event::Request(req));
    }

    /// Returns the daemon that handles an event, if any.
    fn receiver(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Request(req) | Event::Retry(req) => Some(req.daemon),
            Event::PermitRequested { to, .. } | Event::Facts { to, .. } => Some(*to),
            Event::PermitResponse { call_id, .. } | Event::PermitTimeout { call_id, .. } => {
                self.waiting_requests.get(call_id).map(|req| req.daemon)
            }
            Event::Response { daemon, .. } | Event::Heartbeat { daemon } => Some(*daemon),
            Event::NewRequest | Event::DaemonStart { .. } => None,
        }
    }

    /// Handles an event. Events of a suspended daemon wait until it resumes, and those of a daemon
    /// that is down are lost, except that its heartbeats continue.
    fn handle(&mut self, event: Event) {
        if let Some(daemon) = self.receiver(&event) {
            if let Some(at) = self.setup.faults.resumes_at(daemon, self.now) {
                return self.push(at, event);
            }
            if self.setup.faults.is_affected(
                daemon,
                &[FaultKind::Restart, FaultKind::Absent],
                self.now,
            ) {
                if let Event::Heartbeat { .. } = event {
                    self.push(self.now + HEARTBEAT_MS, event);
                }
                return;
            }
        }
        match event {
            Event::NewRequest => {
                self.new_request();
                self.schedule_next_caller();
            }
            Event::Request(req) => self.route(req),
            Event::Retry(req) => self.route(req),
            Event::PermitRequested { from, to, server, fact, request, requested_at, call_id } => {
                self.handle_permit_request(from, to, server, &fact, request, requested_at, call_id);
            }
            Event::PermitResponse {
                server,
                issued,
                is_unlimited,
                newer_fact,
                requested_at,
                call_id,
            } => {
                self.handle_permit_response(
                    server,
                    issued,
                    is_unlimited,
                    newer_fact,
                    requested_at,
                    call_id,
                );
            }
            Event::PermitTimeout { call_id, server, peer } => {
                self.handle_timeout(call_id, server, peer)
            }
            Event::Response { daemon, server, requested_at, header } => {
                self.handle_response(daemon, server, requested_at, &header);
            }
            Event::Facts { to, facts, sent_at } => self.receive_facts(to, facts, sent_at),
            Event::Heartbeat { daemon } => self.heartbeat(daemon),
            Event::DaemonStart { daemon } => {
                self.daemons[daemon] = Daemon::new(self.instances.len(), self.now);
            }
        }
    }

    /// Draws the delay of one message between daemons, in milliseconds.
    fn delay(&mut self) -> Millis {
        self.rng.random_range(1..15)
    }

    /// Sends a request to the first server that is not skipped, or requests a permit for it.
    fn route(&mut self, mut req: CallerRequest) {
        let (count, now) = (self.instances.len(), self.now);
        let daemon = &mut self.daemons[req.daemon];
        let order = (0..count).map(|step| (req.first + step) % count);
        let Some(server) = order.into_iter().find(|server| now >= daemon.skipped_until[*server])
        else {
            return self.wait_or_refuse(req);
        };
        let limit = daemon.limits.limit(&self.instances[server]);
        let Some(limit) = limit else { return self.send(&req, server) };
        match self.setup.enforcement {
            Enforcement::None => self.send(&req, server),
            Enforcement::EqualParts => {
                self.send_within_own_share(req, server, limit, self.setup.daemons, true)
            }
            Enforcement::FewHosts => {
                let issuers = self.fleet.issuers(req.daemon, &self.instances[server], now);
                let is_issuer = issuers.contains(&req.daemon);
                self.send_within_own_share(req, server, limit, issuers.len(), is_issuer);
            }
            Enforcement::Permits => {
                if daemon.leases.take(now, &self.instances[server]).is_some() {
                    return self.send(&req, server);
                }
                if req.permit_requests == MAX_PERMIT_REQUESTS {
                    return self.refuse(req, NO_ISSUER_RETRY_MS);
                }
                req.permit_requests += 1;
                self.request_permit(req, server);
            }
        }
    }

    /// Retries when the first server is usable again, or refuses the request if the wait is too
    /// long.
    fn wait_or_refuse(&mut self, req: CallerRequest) {
        let daemon = &self.daemons[req.daemon];
        let first = daemon.skipped_until.iter().min().copied().unwrap_or_default();
        let max_wait_ms = match self.setup.wait_policy {
            WaitPolicy::None => 0,
            WaitPolicy::Up(millis) => millis,
        };
        if first <= req.arrived_at + max_wait_ms {
            return self.push(first.max(self.now + 1), Event::Retry(req));
        }
        self.refuse(req, first - self.now);
    }

    /// Refuses a request; its caller retries after the delay of the retry schedule, or gives up.
    fn refuse(&mut self, req: CallerRequest, first_ms: Millis) {
        let daemon = &mut self.daemons[req.daemon];
        let limits = self.instances.iter().filter_map(|instance| daemon.limits.limit(instance));
        let per_second: f64 = limits.map(RequestRate::per_second).sum();
        let share = per_second / self.setup.daemons as f64;
        let service = Name::from("pool");
        let seed = self.rng.random();
        let after = daemon.retry_schedule.next_delay(self.now, &service, first_ms, share, seed);
        // Callers wait at most a third of their deadline of 12 s, and retry at any daemon.
        if req.retries >= 2 || after > 4_000 {
            self.outcome.refused += 1;
            return;
        }
        let at = self.now + after;
        let daemon = self.rng.random_range(0..self.daemons.len());
        let retries = req.retries + 1;
        self.push(
            at,
            Event::Request(CallerRequest {
                daemon,
                arrived_at: at,
                retries,
                permit_requests: 0,
                ..req
            }),
        );
    }

    /// Sends a request to a server and counts it against the limit, if the limit binds the daemon
    /// and no recent fault exempts it.
    fn send(&mut self, req: &CallerRequest, server: usize) {
        let (now, daemon) = (self.now, req.daemon);
        self.outcome.served += 1;
        self.outcome.delay.saturating_record(now - req.first_at);
        self.outcome.arrivals[server].push(now);
        let is_propagated = self
            .first_response_at
            .get(&(daemon, server))
            .is_some_and(|at| now >= at + HOST_GRACE_MS);
        let is_bound = self.announced_at[server].is_some_and(|at| now > at + GRACE_MS);
        let was_recently_affected = self.setup.faults.was_recently_affected(daemon, now, GRACE_MS);
        if is_propagated && is_bound && !was_recently_affected {
            self.outcome.counted_arrivals[server].push(now);
        }
        let current = self.setup.servers[server].iter().rev().find(|(from, _)| *from <= now);
        let limit = current.and_then(|(_, limit)| *limit).and_then(RequestRate::new);
        let header = limit.map_or(LimitHeader::Absent, LimitHeader::Limit);
        let at = now + self.rng.random_range(10..80);
        self.push(at, Event::Response { daemon, server, requested_at: now, header });
    }

    fn finish(mut self) -> Outcome {
        self.outcome.counted_arrivals.iter_mut().for_each(|times| times.sort_unstable());
        self.outcome.arrivals.iter_mut().for_each(|times| times.sort_unstable());
        self.outcome
    }
}
