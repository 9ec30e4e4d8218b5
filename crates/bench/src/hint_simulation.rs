//! Simulation of a fleet of daemons that sends requests to servers that leave or ask for rest.
//!
//! Each daemon has the router of the real daemon. Links have delays, and faults partition,
//! suspend, restart, add and remove daemons.
//!
//! `setup` describes a run and its outcome, `gossip` exchanges the servers' hints between
//! daemons, and `check` counts requests that arrived in spite of them.

mod check;
mod gossip;
mod setup;

pub use setup::{Action, Outcome, RestHandling, Setup};

use bankcove_core::crashes::ServerInstance;
use bankcove_core::hints::LeavingFact;
use bankcove_core::limits::RetrySchedule;
use bankcove_core::rollout::Versions;
use bankcove_core::router::{Choice, Homes, NoServer, Router, RoutingRequest};
use bankcove_core::table::Table;
use bankcove_core::{Millis, Name};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::hint_simulation::check::Check;
use crate::limit_simulation::FaultKind;
use crate::schedule::Schedule;

/// Time between two heartbeats of a daemon, in milliseconds.
const HEARTBEAT_MS: Millis = 500;
/// Maximum number of servers that one attempt of a request is sent to.
const MAX_TRIES: usize = 2;
/// Retries per second that one daemon schedules for each resting server.
const RETRIES_PER_S: f64 = 20.0;
/// Longest retry delay that a caller accepts, in milliseconds.
const MAX_RETRY_DELAY_MS: Millis = 4_000;
/// Maximum number of retries of a caller.
const MAX_RETRIES: u32 = 2;
/// Retry delay of a caller when no server accepted the request, in milliseconds.
const NO_SERVER_RETRY_MS: Millis = 150;

/// A request of a caller.
#[derive(Debug, Clone)]
struct CallerRequest {
    daemon: usize,
    prefix: u64,
    /// Time of the caller's first attempt.
    first_at: Millis,
    /// Time of this attempt.
    arrived_at: Millis,
    /// Number of earlier attempts of the caller.
    retries: u32,
    /// Servers tried in this attempt.
    tried: Vec<Name>,
}

/// Head of a server's response.
#[derive(Debug, Clone, Copy)]
struct ResponseHead {
    /// Whether the server ran the request.
    ran: bool,
    /// Whether it announces that it is leaving.
    is_leaving: bool,
    /// Time for which it asks for rest, in milliseconds.
    rest_ms: Option<Millis>,
}

/// An event. Daemons and servers are given by index, and a server instance by its start time.
#[derive(Debug)]
enum Event {
    /// A caller starts a new request.
    NewRequest,
    /// A server changes its behavior.
    Action(usize, Action),
    /// A request reaches a daemon.
    Request(CallerRequest),
    /// A request reaches a server.
    ServerRequest { req: CallerRequest, choice: Choice, server: usize },
    /// A request ends at a server.
    RequestEnd { server: usize, started_ms: Millis },
    /// A server's response reaches a daemon.
    Response { req: CallerRequest, choice: Choice, head: ResponseHead },
    /// Leaving servers announced by a peer reach a daemon.
    Leaving { to: usize, facts: Vec<LeavingFact> },
    /// A rest period announced by a peer reaches a daemon.
    Rest { to: usize, server: ServerInstance, left_ms: Millis },
    /// A daemon sends heartbeats.
    Heartbeat { daemon: usize },
    /// A daemon starts without any state.
    DaemonStart { daemon: usize },
}

/// State of a server.
#[derive(Debug, Clone, Copy)]
struct Server {
    /// Time at which its current instance was started.
    started_ms: Millis,
    running: usize,
    is_leaving: bool,
    /// It rejects all requests and asks for this rest.
    shed_rest_ms: Option<Millis>,
    /// Rest that it asks for when all slots are in use.
    full_rest_ms: Option<Millis>,
}

#[derive(Debug, Default)]
struct Daemon {
    router: Router,
    retry_schedule: RetrySchedule,
    /// Time from which it may fetch the facts of a peer again.
    next_fetch_at: Millis,
}

/// State of a run.
pub struct Simulation {
    setup: Setup,
    rng: StdRng,
    now: Millis,
    events: Schedule<Event>,
    table: Table,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    check: Check,
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
        simulation.check.finish(&mut simulation.outcome, &simulation.setup);
        simulation.outcome
    }

    fn new(setup: Setup) -> Self {
        let row = |n: usize| {
            json!({"name": format!("s{n}"), "hall": format!("hall-{}", n % 2),
                   "address": format!("10.0.0.1:{n}"), "kind": "model", "models": ["m"]})
        };
        let rows: Vec<_> = (0..setup.servers).map(row).collect();
        let mut table: Table =
            serde_json::from_value(json!({"servers": rows})).expect("valid table");
        table.servers.iter_mut().for_each(|row| row.listed.started_ms = 1);
        let mut daemon = Daemon::default();
        daemon.router.adopt(&table);
        let daemons = (0..setup.daemons)
            .map(|_| Daemon { router: daemon.router.clone(), ..Daemon::default() });
        let server = Server {
            started_ms: 1,
            running: 0,
            is_leaving: false,
            shed_rest_ms: None,
            full_rest_ms: None,
        };
        Simulation {
            rng: StdRng::seed_from_u64(setup.seed),
            now: 0,
            events: Schedule::default(),
            daemons: daemons.collect(),
            servers: vec![server; setup.servers],
            table,
            check: Check::default(),
            outcome: Outcome {
                late_requests: 0,
                max_in_rest: 0,
                requests: 0,
                served: 0,
                rejected: 0,
                refused: 0,
                delay: Histogram::new(3).expect("3 significant digits are supported"),
                propagation_ms: None,
                bytes: 0,
            },
            setup,
        }
    }

    fn schedule_initial_events(&mut self) {
        for daemon in 0..self.setup.daemons {
            let at = self.rng.random_range(0..HEARTBEAT_MS);
            self.events.at(at, Event::Heartbeat { daemon });
        }
        for (at, server, action) in self.setup.actions.clone() {
            self.events.at(at, Event::Action(server, action));
        }
        for fault in self.setup.faults.0.clone() {
            for daemon in fault.daemons {
                if matches!(fault.kind, FaultKind::Restart | FaultKind::Absent) {
                    self.events.at(fault.until, Event::DaemonStart { daemon });
                }
            }
        }
        self.schedule_next_caller();
    }

    /// Schedules the next caller's request after an exponentially distributed gap.
    fn schedule_next_caller(&mut self) {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap = (-uniform.ln() / self.setup.per_second * 1_000.0).round() as Millis;
        self.events.at(self.now + gap, Event::NewRequest);
    }

    /// Draws the delay of one message, in milliseconds.
    fn delay(&mut self) -> Millis {
        self.rng.random_range(1..15)
    }

    /// Returns the daemon that handles an event, if any.
    fn receiver(event: &Event) -> Option<usize> {
        match event {
            Event::Request(req) | Event::Response { req, .. } => Some(req.daemon),
            Event::Leaving { to, .. } | Event::Rest { to, .. } => Some(*to),
            Event::Heartbeat { daemon } => Some(*daemon),
            _ => None,
        }
    }

    /// Handles an event. Events of a suspended daemon wait until it resumes, and those of a daemon
    /// that is down are lost, except that its heartbeats continue.
    fn handle(&mut self, event: Event) {
        if let Some(daemon) = Self::receiver(&event) {
            if let Some(at) = self.setup.faults.resumes_at(daemon, self.now) {
                return self.events.at(at, event);
            }
            if self.setup.faults.is_affected(
                daemon,
                &[FaultKind::Restart, FaultKind::Absent],
                self.now,
            ) {
                if let Event::Heartbeat { .. } = event {
                    self.events.at(self.now + HEARTBEAT_MS, event);
                }
                return;
            }
        }
        match event {
            Event::NewRequest => {
                self.outcome.requests += 1;
                let (daemon, prefix) = self.draw_daemon_and_prefix();
                let (first_at, arrived_at) = (self.now, self.now);
                let req = CallerRequest {
                    daemon,
                    prefix,
                    first_at,
                    arrived_at,
                    retries: 0,
                    tried: Vec::new(),
                };
                self.events.at(self.now, Event::Request(req));
                self.schedule_next_caller();
            }
            Event::Action(server, action) => self.apply_action(server, action),
            Event::Request(req) => self.route(req),
            Event::ServerRequest { req, choice, server } => {
                self.handle_server_request(req, choice, server)
            }
            Event::RequestEnd { server, started_ms } => {
                if self.servers[server].started_ms == started_ms {
                    self.servers[server].running -= 1;
                }
            }
            Event::Response { req, choice, head } => self.handle_response(req, &choice, head),
            Event::Leaving { to, facts } => self.receive_leaving(to, &facts),
            Event::Rest { to, server, left_ms } => {
                let now = self.now;
                self.daemons[to].router.record_rest(now, &server, left_ms);
            }
            Event::Heartbeat { daemon } => self.heartbeat(daemon),
            Event::DaemonStart { daemon } => {
                self.daemons[daemon] = Daemon::default();
                self.daemons[daemon].router.adopt(&self.table);
            }
        }
    }

    fn draw_daemon_and_prefix(&mut self) -> (usize, u64) {
        (self.rng.random_range(0..self.daemons.len()), self.rng.random())
    }

    fn apply_action(&mut self, server: usize, action: Action) {
        let state = &mut self.servers[server];
        match action {
            Action::Leave => state.is_leaving = true,
            Action::Shed(rest_ms) => state.shed_rest_ms = Some(rest_ms),
            Action::Serve(full_rest_ms) => {
                state.shed_rest_ms = None;
                state.full_rest_ms = full_rest_ms;
            }
            Action::Restart => {
                let started_ms = self.now.max(2);
                *state = Server {
                    started_ms,
                    running: 0,
                    is_leaving: false,
                    shed_rest_ms: None,
                    full_rest_ms: None,
                };
                self.table.servers[server].listed.started_ms = started_ms;
                for daemon in &mut self.daemons {
                    daemon.router.adopt(&self.table);
                }
            }
        }
    }

    /// Sends a request to the server that the daemon's router chooses. If there is none, the
    /// request waits or is refused.
    fn route(&mut self, req: CallerRequest) {
        let now = self.now;
        let seed = self.rng.random();
        let routing_request = RoutingRequest {
            pool: "m",
            prefix: req.prefix,
            prompt_tokens: 0,
            shared_tokens: 0,
            hour: 0,
            seed,
            tried: &req.tried,
            homes: Homes::default(),
            versions: Versions::Any,
        };
        match self.daemons[req.daemon].router.choose(now, &routing_request) {
            Ok(choice) => self.send(req, choice),
            Err(NoServer::OnlyResting(resting)) => {
                if now + resting.first_ms <= req.arrived_at + self.setup.max_wait_ms {
                    return self.events.at(now + resting.first_ms, Event::Request(req));
                }
                let per_second = RETRIES_PER_S * resting.servers as f64;
                let seed = self.rng.random();
                let retry_schedule = &mut self.daemons[req.daemon].retry_schedule;
                let service = Name::from("m");
                let after =
                    retry_schedule.next_delay(now, &service, resting.first_ms, per_second, seed);
                self.refuse(req, after);
            }
            Err(_) => self.refuse(req, NO_SERVER_RETRY_MS),
        }
    }

    fn send(&mut self, mut req: CallerRequest, choice: Choice) {
        let now = self.now;
        let router = &mut self.daemons[req.daemon].router;
        router.record_sent(&choice.server, choice.started_ms, 0);
        req.tried.push(choice.server.clone());
        let rows = self.table.servers.iter();
        let Some(server) = rows.into_iter().position(|row| row.name == choice.server) else {
            return;
        };
        let at = now + self.delay();
        self.events.at(at, Event::ServerRequest { req, choice, server });
    }

    /// Runs a request on a server, or rejects it if the server sheds load, is full or has
    /// restarted.
    fn handle_server_request(&mut self, req: CallerRequest, choice: Choice, server: usize) {
        let now = self.now;
        let state = &mut self.servers[server];
        let is_same_instance = state.started_ms == choice.started_ms;
        if is_same_instance {
            self.check.record_arrival(req.daemon, server, state.started_ms, now);
        }
        let is_full = state.running >= self.setup.slots;
        let rest_ms = state.shed_rest_ms.or(state.full_rest_ms.filter(|_| is_full));
        let ran = is_same_instance && state.shed_rest_ms.is_none() && !is_full;
        let head = ResponseHead { ran, is_leaving: is_same_instance && state.is_leaving, rest_ms };
        let started_ms = state.started_ms;
        if ran {
            state.running += 1;
            let (least, most) = self.setup.run_ms;
            let took = self.rng.random_range(least..=most);
            self.events.at(now + took, Event::RequestEnd { server, started_ms });
            let at = now + took + self.delay();
            self.events.at(at, Event::Response { req, choice, head });
            return;
        }
        if is_same_instance {
            self.outcome.rejected += 1;
        }
        if let Some(rest_ms) = rest_ms.filter(|_| is_same_instance) {
            self.check.record_rest(req.daemon, server, started_ms, now, rest_ms);
        }
        let at = now + self.delay();
        self.events.at(at, Event::Response { req, choice, head });
    }

    /// Records the hints of a response. A rejected request is tried at another server, or
    /// refused.
    fn handle_response(&mut self, req: CallerRequest, choice: &Choice, head: ResponseHead) {
        let now = self.now;
        self.daemons[req.daemon].router.record_ended(now, &choice.server, choice.started_ms, true);
        self.observe(req.daemon, choice, head);
        if head.ran {
            self.outcome.served += 1;
            return self.outcome.delay.saturating_record(now - req.first_at);
        }
        if req.tried.len() < MAX_TRIES {
            return self.route(req);
        }
        self.refuse(req, NO_SERVER_RETRY_MS);
    }

    /// Refuses a request; its caller retries after `after` milliseconds, or gives up.
    fn refuse(&mut self, req: CallerRequest, after: Millis) {
        self.outcome.refused += 1;
        if req.retries >= MAX_RETRIES || after > MAX_RETRY_DELAY_MS {
            return;
        }
        let at = self.now + after.max(1);
        let (daemon, _) = self.draw_daemon_and_prefix();
        let retries = req.retries + 1;
        let req = CallerRequest { daemon, arrived_at: at, retries, tried: Vec::new(), ..req };
        self.events.at(at, Event::Request(req));
    }
}
