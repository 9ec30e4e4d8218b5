//! A fleet before servers that leave, and that ask for rest: the product's own router on each
//! daemon, between links with delays, cuts, frozen and restarted daemons.

mod check;
mod setup;
mod words;

pub use setup::{Act, Outcome, RestWay, Setup};

use bankcove_core::crashes::ServerInstance;
use bankcove_core::hints::LeavingFact;
use bankcove_core::limits::RetrySchedule;
use bankcove_core::router::{Choice, Homes, NoServer, Router, RoutingRequest};
use bankcove_core::table::Table;
use bankcove_core::{Millis, Name};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::hint_world::check::Check;
use crate::limit_world::Kind;
use crate::schedule::Schedule;

const HEARTBEAT_MS: Millis = 500;
/// Servers that one request is sent to at the most.
const MAX_TRIES: usize = 2;
/// Callers a second that one daemon tells to come back for each server that rests.
const RETURNS_PER_S: f64 = 20.0;
/// A caller comes back after no longer than this, and so many times.
const MOST_RETURN_MS: Millis = 4_000;
const MOST_RETURNS: u32 = 2;
/// When a caller comes back that no server took.
const NO_SERVER_MS: Millis = 150;

/// A request of a caller.
#[derive(Debug, Clone)]
struct Req {
    daemon: usize,
    prefix: u64,
    came: Millis,
    arrived: Millis,
    returns: u32,
    tried: Vec<Name>,
}

/// An answer's head.
#[derive(Debug, Clone, Copy)]
struct Head {
    ran: bool,
    leaves: bool,
    rest_ms: Option<Millis>,
}

#[derive(Debug)]
enum Event {
    Caller,
    Act(usize, Act),
    Request(Req),
    Arrive { req: Req, choice: Choice, server: usize },
    End { server: usize, start: Millis },
    Head { req: Req, choice: Choice, head: Head },
    Leaving { to: usize, facts: Vec<LeavingFact> },
    Rest { to: usize, server: ServerInstance, left_ms: Millis },
    Beat { daemon: usize },
    Start { daemon: usize },
}

#[derive(Debug, Clone, Copy)]
struct Server {
    start: Millis,
    running: usize,
    leaves: bool,
    sheds: Option<Millis>,
    full_rest: Option<Millis>,
}

#[derive(Debug, Default)]
struct Daemon {
    router: Router,
    returns: RetrySchedule,
    /// When it may ask a peer for all that it knows again.
    asks_from: Millis,
}

/// The simulated fleet.
pub struct World {
    setup: Setup,
    rng: StdRng,
    now: Millis,
    events: Schedule<Event>,
    table: Table,
    daemons: Vec<Daemon>,
    servers: Vec<Server>,
    check: Check,
    out: Outcome,
}

impl World {
    /// Plays a run.
    pub fn run(setup: Setup) -> Outcome {
        let mut world = World::new(setup);
        world.begin();
        while let Some((at, event)) = world.events.take_next() {
            if at > world.setup.length_ms {
                break;
            }
            world.now = world.now.max(at);
            world.handle(event);
        }
        world.check.finish(&mut world.out, &world.setup);
        world.out
    }

    fn new(setup: Setup) -> Self {
        let row = |n: usize| {
            json!({"name": format!("s{n}"), "hall": format!("hall-{}", n % 2),
                   "address": format!("10.0.0.1:{n}"), "kind": "model", "models": ["m"]})
        };
        let rows: Vec<_> = (0..setup.servers).map(row).collect();
        let mut table: Table = serde_json::from_value(json!({"servers": rows})).expect("a table");
        table.servers.iter_mut().for_each(|row| row.listed.started_ms = 1);
        let mut daemon = Daemon::default();
        daemon.router.adopt(&table);
        let daemons = (0..setup.daemons)
            .map(|_| Daemon { router: daemon.router.clone(), ..Daemon::default() });
        let server = Server { start: 1, running: 0, leaves: false, sheds: None, full_rest: None };
        World {
            rng: StdRng::seed_from_u64(setup.seed),
            now: 0,
            events: Schedule::default(),
            daemons: daemons.collect(),
            servers: vec![server; setup.servers],
            table,
            check: Check::default(),
            out: Outcome {
                late: 0,
                worst_rest: 0,
                requests: 0,
                served: 0,
                turned_away: 0,
                refused: 0,
                delay: Histogram::new(3).expect("three digits are allowed"),
                known_ms: None,
                bytes: 0,
            },
            setup,
        }
    }

    fn begin(&mut self) {
        for daemon in 0..self.setup.daemons {
            let at = self.rng.random_range(0..HEARTBEAT_MS);
            self.events.at(at, Event::Beat { daemon });
        }
        for (at, server, act) in self.setup.acts.clone() {
            self.events.at(at, Event::Act(server, act));
        }
        for trouble in self.setup.troubles.0.clone() {
            for daemon in trouble.daemons {
                if matches!(trouble.kind, Kind::Restart | Kind::Gone) {
                    self.events.at(trouble.until, Event::Start { daemon });
                }
            }
        }
        self.next_caller();
    }

    fn next_caller(&mut self) {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap = (-uniform.ln() / self.setup.per_second * 1_000.0).round() as Millis;
        self.events.at(self.now + gap, Event::Caller);
    }

    fn delay(&mut self) -> Millis {
        self.rng.random_range(1..15)
    }

    /// The daemon that has to handle an event, if any.
    fn daemon_of(event: &Event) -> Option<usize> {
        match event {
            Event::Request(req) | Event::Head { req, .. } => Some(req.daemon),
            Event::Leaving { to, .. } | Event::Rest { to, .. } => Some(*to),
            Event::Beat { daemon } => Some(*daemon),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(daemon) = Self::daemon_of(&event) {
            if let Some(at) = self.setup.troubles.thaws_at(daemon, self.now) {
                return self.events.at(at, event);
            }
            if self.setup.troubles.has(daemon, &[Kind::Restart, Kind::Gone], self.now) {
                if let Event::Beat { .. } = event {
                    self.events.at(self.now + HEARTBEAT_MS, event);
                }
                return;
            }
        }
        match event {
            Event::Caller => {
                self.out.requests += 1;
                let (daemon, prefix) = self.draw_place();
                let (came, arrived) = (self.now, self.now);
                let req = Req { daemon, prefix, came, arrived, returns: 0, tried: Vec::new() };
                self.events.at(self.now, Event::Request(req));
                self.next_caller();
            }
            Event::Act(server, act) => self.act(server, act),
            Event::Request(req) => self.choose(req),
            Event::Arrive { req, choice, server } => self.arrive(req, choice, server),
            Event::End { server, start } => {
                if self.servers[server].start == start {
                    self.servers[server].running -= 1;
                }
            }
            Event::Head { req, choice, head } => self.head(req, &choice, head),
            Event::Leaving { to, facts } => self.told_leaving(to, &facts),
            Event::Rest { to, server, left_ms } => {
                let now = self.now;
                self.daemons[to].router.record_rest(now, &server, left_ms);
            }
            Event::Beat { daemon } => self.beat(daemon),
            Event::Start { daemon } => {
                self.daemons[daemon] = Daemon::default();
                self.daemons[daemon].router.adopt(&self.table);
            }
        }
    }

    fn draw_place(&mut self) -> (usize, u64) {
        (self.rng.random_range(0..self.daemons.len()), self.rng.random())
    }

    fn act(&mut self, server: usize, act: Act) {
        let state = &mut self.servers[server];
        match act {
            Act::Leaves => state.leaves = true,
            Act::Sheds(rest_ms) => state.sheds = Some(rest_ms),
            Act::Serves(full_rest) => {
                state.sheds = None;
                state.full_rest = full_rest;
            }
            Act::StartsAgain => {
                let start = self.now.max(2);
                *state = Server { start, running: 0, leaves: false, sheds: None, full_rest: None };
                self.table.servers[server].listed.started_ms = start;
                for daemon in &mut self.daemons {
                    daemon.router.adopt(&self.table);
                }
            }
        }
    }

    fn choose(&mut self, req: Req) {
        let now = self.now;
        let seed = self.rng.random();
        let wanted = RoutingRequest {
            pool: "m",
            prefix: req.prefix,
            prompt_tokens: 0,
            hour: 0,
            seed,
            tried: &req.tried,
            homes: Homes::default(),
        };
        match self.daemons[req.daemon].router.choose(now, &wanted) {
            Ok(choice) => self.send(req, choice),
            Err(NoServer::OnlyResting(resting)) => {
                if now + resting.first_ms <= req.arrived + self.setup.patience_ms {
                    return self.events.at(now + resting.first_ms, Event::Request(req));
                }
                let per_second = RETURNS_PER_S * resting.servers as f64;
                let seed = self.rng.random();
                let returns = &mut self.daemons[req.daemon].returns;
                let service = Name::from("m");
                let after = returns.next_delay(now, &service, resting.first_ms, per_second, seed);
                self.refuse(req, after);
            }
            Err(_) => self.refuse(req, NO_SERVER_MS),
        }
    }

    fn send(&mut self, mut req: Req, choice: Choice) {
        let now = self.now;
        let router = &mut self.daemons[req.daemon].router;
        router.record_sent(&choice.server, choice.started_ms, 0);
        req.tried.push(choice.server.clone());
        let rows = self.table.servers.iter();
        let Some(server) = rows.into_iter().position(|row| row.name == choice.server) else {
            return;
        };
        let at = now + self.delay();
        self.events.at(at, Event::Arrive { req, choice, server });
    }

    fn arrive(&mut self, req: Req, choice: Choice, server: usize) {
        let now = self.now;
        let state = &mut self.servers[server];
        let is_same = state.start == choice.started_ms;
        if is_same {
            self.check.arrived(req.daemon, server, state.start, now);
        }
        let is_full = state.running >= self.setup.slots;
        let rest_ms = state.sheds.or(state.full_rest.filter(|_| is_full));
        let ran = is_same && state.sheds.is_none() && !is_full;
        let head = Head { ran, leaves: is_same && state.leaves, rest_ms };
        let start = state.start;
        if ran {
            state.running += 1;
            let (least, most) = self.setup.run_ms;
            let took = self.rng.random_range(least..=most);
            self.events.at(now + took, Event::End { server, start });
            let at = now + took + self.delay();
            self.events.at(at, Event::Head { req, choice, head });
            return;
        }
        if is_same {
            self.out.turned_away += 1;
        }
        if let Some(rest_ms) = rest_ms.filter(|_| is_same) {
            self.check.asked(req.daemon, server, start, now, rest_ms);
        }
        let at = now + self.delay();
        self.events.at(at, Event::Head { req, choice, head });
    }

    fn head(&mut self, req: Req, choice: &Choice, head: Head) {
        let now = self.now;
        self.daemons[req.daemon].router.record_ended(now, &choice.server, choice.started_ms, true);
        self.observe(req.daemon, choice, head);
        if head.ran {
            self.out.served += 1;
            return self.out.delay.saturating_record(now - req.came);
        }
        if req.tried.len() < MAX_TRIES {
            return self.choose(req);
        }
        self.refuse(req, NO_SERVER_MS);
    }

    fn refuse(&mut self, req: Req, after: Millis) {
        self.out.refused += 1;
        if req.returns >= MOST_RETURNS || after > MOST_RETURN_MS {
            return;
        }
        let at = self.now + after.max(1);
        let (daemon, _) = self.draw_place();
        let returns = req.returns + 1;
        let req = Req { daemon, arrived: at, returns, tried: Vec::new(), ..req };
        self.events.at(at, Event::Request(req));
    }
}
