//! A fleet before servers that name limits: the product's own book, issuer, leases and times to
//! come back, between links with delays, cuts, frozen and restarted daemons, and joins.

mod asks;
mod count;
mod event;
mod fleet;
mod setup;
mod told;
mod trouble;

pub use count::{allowed, worst_window};
pub use setup::{Outcome, Patience, Setup, Way};
pub use trouble::{Kind, Trouble, Troubles};

use std::collections::HashMap;

use bankcove_core::crashes::ServerInstance;
use bankcove_core::limits::{LimitHeader, RequestRate};
use bankcove_core::{Millis, Name};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::limit_world::count::CONTACT_MS;
use crate::limit_world::event::{Event, Req};
use crate::limit_world::fleet::{Daemon, Fleet};
use crate::schedule::Schedule;

const HEARTBEAT_MS: Millis = 500;
const NOBODY_MS: Millis = 200;
const MOST_ASKS: usize = 3;
/// Answers of peers count for the rule from so long after the first of a host.
const TOLD_MS: Millis = 500;

/// The simulated fleet.
pub struct World {
    setup: Setup,
    rng: StdRng,
    now: Millis,
    events: Schedule<Event>,
    /// Numbers the asks for permits.
    numbers: u64,
    daemons: Vec<Daemon>,
    fleet: Fleet,
    starts: Vec<ServerInstance>,
    index: HashMap<ServerInstance, usize>,
    waiting: HashMap<u64, Req>,
    /// When a host had passed on an answer that named the server's limit first.
    told_at: HashMap<(usize, usize), Millis>,
    named_at: Vec<Option<Millis>>,
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
        world.finish()
    }

    fn new(setup: Setup) -> Self {
        let start = |n: usize| ServerInstance { name: Name::from(format!("i-{n}")), started_ms: 1 };
        let starts: Vec<ServerInstance> = (0..setup.servers.len()).map(start).collect();
        let count = starts.len();
        World {
            rng: StdRng::seed_from_u64(setup.seed),
            now: 0,
            events: Schedule::default(),
            numbers: 0,
            daemons: (0..setup.daemons).map(|_| Daemon::new(count, 0)).collect(),
            fleet: Fleet::new(setup.seed, setup.daemons, &setup.troubles),
            index: starts.iter().cloned().enumerate().map(|(n, start)| (start, n)).collect(),
            starts,
            waiting: HashMap::new(),
            told_at: HashMap::new(),
            named_at: vec![None; count],
            out: Outcome {
                counted: vec![Vec::new(); count],
                came: vec![Vec::new(); count],
                served: 0,
                requests: 0,
                refused: 0,
                delay: Histogram::new(3).expect("three digits are allowed"),
                bytes: 0,
                asks: 0,
                known_ms: None,
            },
            setup,
        }
    }

    fn begin(&mut self) {
        for daemon in 0..self.daemons.len() {
            let at = self.rng.random_range(0..HEARTBEAT_MS);
            self.push(at, Event::Beat { daemon });
        }
        let restarts = self.setup.troubles.0.clone();
        for trouble in restarts.iter().filter(|t| matches!(t.kind, Kind::Restart | Kind::Gone)) {
            for daemon in &trouble.daemons {
                self.push(trouble.until, Event::Start { daemon: *daemon });
            }
        }
        self.next_caller();
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.events.at(at, event);
    }

    fn next_caller(&mut self) {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let gap = (-uniform.ln() / self.setup.per_second * 1_000.0).round() as Millis;
        self.push(self.now + gap, Event::Caller);
    }

    fn new_request(&mut self) {
        self.out.requests += 1;
        let daemon = self.rng.random_range(0..self.daemons.len());
        let first = self.rng.random_range(0..self.starts.len());
        let (came, arrived) = (self.now, self.now);
        let req = Req { daemon, first, came, arrived, returns: 0, asks: 0 };
        self.push(self.now, Event::Request(req));
    }

    /// The daemon that has to handle an event, if any.
    fn daemon_of(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Request(req) | Event::Choose(req) => Some(req.daemon),
            Event::Ask { to, .. } | Event::Told { to, .. } => Some(*to),
            Event::Answer { ask, .. } | Event::Timeout { ask, .. } => {
                self.waiting.get(ask).map(|req| req.daemon)
            }
            Event::Head { daemon, .. } | Event::Beat { daemon } => Some(*daemon),
            Event::Caller | Event::Start { .. } => None,
        }
    }

    fn handle(&mut self, event: Event) {
        if let Some(daemon) = self.daemon_of(&event) {
            if let Some(at) = self.setup.troubles.thaws_at(daemon, self.now) {
                return self.push(at, event);
            }
            if self.setup.troubles.has(daemon, &[Kind::Restart, Kind::Gone], self.now) {
                if let Event::Beat { .. } = event {
                    self.push(self.now + HEARTBEAT_MS, event);
                }
                return;
            }
        }
        match event {
            Event::Caller => {
                self.new_request();
                self.next_caller();
            }
            Event::Request(req) => self.choose(req),
            Event::Choose(req) => self.choose(req),
            Event::Ask { from, to, server, fact, wish, asked_at, ask } => {
                self.asked(from, to, server, &fact, wish, asked_at, ask);
            }
            Event::Answer { server, issued, is_free, newer, asked_at, ask } => {
                self.answered(server, issued, is_free, newer, asked_at, ask);
            }
            Event::Timeout { ask, server, peer } => self.timed_out(ask, server, peer),
            Event::Head { daemon, server, asked_at, word } => {
                self.head(daemon, server, asked_at, &word);
            }
            Event::Told { to, facts, sent_at } => self.told(to, facts, sent_at),
            Event::Beat { daemon } => self.beat(daemon),
            Event::Start { daemon } => {
                self.daemons[daemon] = Daemon::new(self.starts.len(), self.now);
            }
        }
    }

    fn delay(&mut self) -> Millis {
        self.rng.random_range(1..15)
    }

    fn choose(&mut self, mut req: Req) {
        let (count, now) = (self.starts.len(), self.now);
        let daemon = &mut self.daemons[req.daemon];
        let order = (0..count).map(|step| (req.first + step) % count);
        let Some(server) = order.into_iter().find(|server| now >= daemon.passed_over[*server])
        else {
            return self.wait_or_refuse(req);
        };
        let limit = daemon.book.limit(&self.starts[server]);
        let Some(limit) = limit else { return self.send(&req, server) };
        match self.setup.way {
            Way::None => self.send(&req, server),
            Way::EqualParts => self.keep_own_part(req, server, limit, self.setup.daemons, true),
            Way::FewHosts => {
                let issuers = self.fleet.issuers(req.daemon, &self.starts[server], now);
                let is_one = issuers.contains(&req.daemon);
                self.keep_own_part(req, server, limit, issuers.len(), is_one);
            }
            Way::Permits => {
                if daemon.leases.take(now, &self.starts[server]).is_some() {
                    return self.send(&req, server);
                }
                if req.asks == MOST_ASKS {
                    return self.refuse(req, NOBODY_MS);
                }
                req.asks += 1;
                self.ask(req, server);
            }
        }
    }

    fn wait_or_refuse(&mut self, req: Req) {
        let daemon = &self.daemons[req.daemon];
        let first = daemon.passed_over.iter().min().copied().unwrap_or_default();
        let patience = match self.setup.patience {
            Patience::None => 0,
            Patience::Up(millis) => millis,
        };
        if first <= req.arrived + patience {
            return self.push(first.max(self.now + 1), Event::Choose(req));
        }
        self.refuse(req, first - self.now);
    }

    fn refuse(&mut self, req: Req, first_ms: Millis) {
        let daemon = &mut self.daemons[req.daemon];
        let limits = self.starts.iter().filter_map(|start| daemon.book.limit(start));
        let per_second: f64 = limits.map(RequestRate::per_second).sum();
        let share = per_second / self.setup.daemons as f64;
        let service = Name::from("pool");
        let seed = self.rng.random();
        let after = daemon.returns.next_delay(self.now, &service, first_ms, share, seed);
        // Callers wait for a third of their time, here of 12 s, and come to any daemon.
        if req.returns >= 2 || after > 4_000 {
            self.out.refused += 1;
            return;
        }
        let at = self.now + after;
        let daemon = self.rng.random_range(0..self.daemons.len());
        let returns = req.returns + 1;
        self.push(at, Event::Request(Req { daemon, arrived: at, returns, asks: 0, ..req }));
    }

    fn send(&mut self, req: &Req, server: usize) {
        let (now, daemon) = (self.now, req.daemon);
        self.out.served += 1;
        self.out.delay.saturating_record(now - req.came);
        self.out.came[server].push(now);
        let is_told = self.told_at.get(&(daemon, server)).is_some_and(|at| now >= at + TOLD_MS);
        let is_bound = self.named_at[server].is_some_and(|at| now > at + CONTACT_MS);
        let is_excused = self.setup.troubles.is_excused(daemon, now, CONTACT_MS);
        if is_told && is_bound && !is_excused {
            self.out.counted[server].push(now);
        }
        let named = self.setup.servers[server].iter().rev().find(|(from, _)| *from <= now);
        let limit = named.and_then(|(_, limit)| *limit).and_then(RequestRate::new);
        let word = limit.map_or(LimitHeader::Absent, LimitHeader::Limit);
        let at = now + self.rng.random_range(10..80);
        self.push(at, Event::Head { daemon, server, asked_at: now, word });
    }

    fn finish(mut self) -> Outcome {
        self.out.counted.iter_mut().for_each(|times| times.sort_unstable());
        self.out.came.iter_mut().for_each(|times| times.sort_unstable());
        self.out
    }
}
