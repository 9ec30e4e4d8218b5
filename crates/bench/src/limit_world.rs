//! A fleet before servers that name limits: the product's own book, issuer, leases and times to
//! come back, between links with delays, cuts, frozen and restarted daemons, and joins.

mod count;
mod fleet;
mod trouble;

pub use count::{allowed, worst_window};
pub use trouble::{Kind, Trouble, Troubles};

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use bankcove_core::crashes::ServerStart;
use bankcove_core::limits::{Issued, LimitFact, LimitWord, PERMIT_MS, RequestRate, Wish};
use bankcove_core::{Incarnation, Millis, Name};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::limit_world::count::CONTACT_MS;
use crate::limit_world::fleet::{Daemon, Fleet};

const HEARTBEAT_MS: Millis = 500;
const HEARTBEAT_FANOUT: usize = 2;
const TOLD_AT_ONCE: usize = 10;
const GATHER_MS: Millis = 20;
const ASK_TIMEOUT_MS: Millis = 100;
const SILENT_MS: Millis = 1_000;
const NOBODY_MS: Millis = 200;
const MOST_ASKS: usize = 3;
/// Answers of peers count for the rule from so long after the first of a host.
const TOLD_MS: Millis = 500;
/// Bytes of an ask with its answer (83 of bodies, by `slopes`, and what calls put around them),
/// and of a fact (53).
const ASK_BYTES: u64 = 220;
const FACT_BYTES: u64 = 60;

/// How a fleet keeps to a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Nobody reads it.
    None,
    /// Each daemon has an equal part, of which it saves up one request.
    EqualParts,
    /// Three daemons alone use the server, with a third each.
    FewHosts,
    /// The product: permits of an issuer.
    Permits,
}

/// What callers do while no server has a permit for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// They are refused at once.
    None,
    /// They wait this long for a permit.
    Up(Millis),
}

/// One run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Seeds everything that is drawn.
    pub seed: u64,
    /// Daemons of the fleet.
    pub daemons: usize,
    /// What each server names: from when on, and the limit; none lifts it.
    pub servers: Vec<Vec<(Millis, Option<f64>)>>,
    /// Requests a second of all callers.
    pub per_second: f64,
    /// Length of the run.
    pub length_ms: Millis,
    /// How the fleet keeps to limits.
    pub way: Way,
    /// What callers without a permit do.
    pub patience: Patience,
    /// What befalls the daemons.
    pub troubles: Troubles,
}

/// What came of a run.
#[derive(Debug)]
pub struct Outcome {
    /// For each server: when requests came that the rule counts.
    pub counted: Vec<Vec<Millis>>,
    /// For each server: when requests came.
    pub came: Vec<Vec<Millis>>,
    /// Requests that a server took, of how many.
    pub served: usize,
    /// Requests of callers.
    pub requests: usize,
    /// Requests that were refused at the last.
    pub refused: usize,
    /// From a caller's first request to a server, in milliseconds.
    pub delay: Histogram<u64>,
    /// Bytes between daemons for limits.
    pub bytes: u64,
    /// Calls of issuers.
    pub asks: u64,
    /// When the last daemon knew of the first limit, in milliseconds after its first word.
    pub known_ms: Option<Millis>,
}

#[derive(Debug, Clone)]
struct Req {
    daemon: usize,
    first: usize,
    came: Millis,
    arrived: Millis,
    returns: u32,
    asks: usize,
}

#[derive(Debug)]
enum Event {
    Caller,
    Request(Req),
    Choose(Req),
    Ask {
        from: usize,
        to: usize,
        server: usize,
        fact: LimitFact,
        wish: Wish,
        asked_at: Millis,
        ask: u64,
    },
    Answer {
        server: usize,
        issued: Issued,
        is_free: bool,
        newer: Option<LimitFact>,
        asked_at: Millis,
        ask: u64,
    },
    Timeout {
        ask: u64,
        server: usize,
        peer: usize,
    },
    Head {
        daemon: usize,
        server: usize,
        asked_at: Millis,
        word: LimitWord,
    },
    Told {
        to: usize,
        facts: Vec<LimitFact>,
        sent_at: Millis,
    },
    Beat {
        daemon: usize,
    },
    Start {
        daemon: usize,
    },
}

struct Entry(Millis, u64, Event);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The simulated fleet.
pub struct World {
    setup: Setup,
    rng: StdRng,
    now: Millis,
    events: BinaryHeap<Reverse<Entry>>,
    numbers: u64,
    daemons: Vec<Daemon>,
    fleet: Fleet,
    starts: Vec<ServerStart>,
    index: HashMap<ServerStart, usize>,
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
        while let Some(Reverse(Entry(at, _, event))) = world.events.pop() {
            if at > world.setup.length_ms {
                break;
            }
            world.now = world.now.max(at);
            world.handle(event);
        }
        world.finish()
    }

    fn new(setup: Setup) -> Self {
        let start = |n: usize| ServerStart { name: Name::from(format!("i-{n}")), started_ms: 1 };
        let starts: Vec<ServerStart> = (0..setup.servers.len()).map(start).collect();
        let count = starts.len();
        World {
            rng: StdRng::seed_from_u64(setup.seed),
            now: 0,
            events: BinaryHeap::new(),
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
        self.numbers += 1;
        self.events.push(Reverse(Entry(at, self.numbers, event)));
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

    fn keep_own_part(
        &mut self,
        req: Req,
        server: usize,
        limit: RequestRate,
        parts: usize,
        may_send: bool,
    ) {
        let now = self.now;
        let daemon = &mut self.daemons[req.daemon];
        let part_ms = limit.per_second() * 0.9 / parts as f64 / 1_000.0;
        let (saved, at) = daemon.saved[server];
        let saved = (saved + (now - at) as f64 * part_ms).min(1.0);
        daemon.saved[server] = (saved, now);
        if may_send && saved >= 1.0 {
            daemon.saved[server].0 -= 1.0;
            return self.send(&req, server);
        }
        let next_ms = if may_send { (1.0 - saved) / part_ms } else { NOBODY_MS as f64 };
        daemon.passed_over[server] = now + (next_ms.ceil() as Millis).clamp(1, 10_000);
        self.choose(req);
    }

    fn ask(&mut self, req: Req, server: usize) {
        let (from, now) = (req.daemon, self.now);
        let start = self.starts[server].clone();
        let issuers = self.fleet.issuers(from, &start, now);
        let daemon = &mut self.daemons[from];
        let fact = daemon.book.fact(now, &start).expect("a limit is known");
        let permits = daemon.leases.wanted(now, &start);
        let wish = Wish { from: Incarnation(from as u64), permits, urgency: 0 };
        if daemon.leases.is_scarce(now, &start) {
            daemon.passed_over[server] = now + ASK_TIMEOUT_MS;
        }
        let issuer = issuers.into_iter().find(|issuer| now >= daemon.silent_until(*issuer));
        let ask = self.numbers;
        self.numbers += 1;
        self.waiting.insert(ask, req);
        let Some(to) = issuer else { return self.denied(ask, server, NOBODY_MS) };
        if to == from {
            let (issued, is_free, newer) = self.issue(to, server, &fact, wish);
            return self.answered(server, issued, is_free, newer, now, ask);
        }
        self.out.asks += 1;
        self.out.bytes += ASK_BYTES;
        self.push(now + ASK_TIMEOUT_MS, Event::Timeout { ask, server, peer: to });
        if self.setup.troubles.reaches(from, to, now) {
            let at = now + self.delay();
            self.push(at, Event::Ask { from, to, server, fact, wish, asked_at: now, ask });
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    fn asked(
        &mut self,
        from: usize,
        to: usize,
        server: usize,
        fact: &LimitFact,
        wish: Wish,
        asked_at: Millis,
        ask: u64,
    ) {
        let (issued, is_free, newer) = self.issue(to, server, fact, wish);
        if self.setup.troubles.reaches(to, from, self.now) {
            let at = self.now + self.delay();
            self.push(at, Event::Answer { server, issued, is_free, newer, asked_at, ask });
        }
    }

    fn issue(
        &mut self,
        at: usize,
        server: usize,
        fact: &LimitFact,
        wish: Wish,
    ) -> (Issued, bool, Option<LimitFact>) {
        self.take_facts(at, std::slice::from_ref(fact));
        let start = self.starts[server].clone();
        let place = self.fleet.place(at, &start, self.now, self.daemons[at].started_at);
        let daemon = &mut self.daemons[at];
        let known = daemon.book.fact(self.now, &start);
        let newer = known.clone().filter(|known| known.limit != fact.limit);
        let Some(limit) = known.and_then(|known| known.limit) else {
            return (Issued { permits: 0, retry_ms: 0 }, true, newer);
        };
        (daemon.issuer.issue(self.now, &start, limit, place, wish), false, newer)
    }

    fn answered(
        &mut self,
        server: usize,
        issued: Issued,
        is_free: bool,
        newer: Option<LimitFact>,
        asked_at: Millis,
        ask: u64,
    ) {
        let Some(req) = self.waiting.get(&ask).cloned() else { return };
        let (now, start) = (self.now, self.starts[server].clone());
        self.take_facts(req.daemon, newer.as_slice());
        let daemon = &mut self.daemons[req.daemon];
        daemon.leases.add(asked_at, &start, issued.permits);
        let may_send = is_free || daemon.leases.take(now, &start).is_some();
        if !may_send {
            return self.denied(ask, server, issued.retry_ms);
        }
        daemon.passed_over[server] = 0;
        self.waiting.remove(&ask);
        self.send(&req, server);
    }

    fn denied(&mut self, ask: u64, server: usize, retry_ms: Millis) {
        let Some(req) = self.waiting.remove(&ask) else { return };
        let daemon = &mut self.daemons[req.daemon];
        daemon.passed_over[server] = self.now + retry_ms.max(1);
        daemon.leases.denied(self.now, &self.starts[server]);
        self.choose(req);
    }

    fn timed_out(&mut self, ask: u64, server: usize, peer: usize) {
        let Some(req) = self.waiting.get(&ask) else { return };
        self.daemons[req.daemon].silent.insert(peer, self.now + SILENT_MS);
        self.denied(ask, server, NOBODY_MS);
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
        let after = daemon.returns.next(self.now, &service, first_ms, share, seed);
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
        let word = limit.map_or(LimitWord::None, LimitWord::Named);
        let at = now + self.rng.random_range(10..80);
        self.push(at, Event::Head { daemon, server, asked_at: now, word });
    }

    fn head(&mut self, daemon: usize, server: usize, asked_at: Millis, word: &LimitWord) {
        if matches!(word, LimitWord::Named(_)) {
            self.named_at[server].get_or_insert(self.now);
            self.told_at.entry((daemon, server)).or_insert(self.now);
        }
        let start = self.starts[server].clone();
        let change = self.daemons[daemon].book.heard(self.now, &start, asked_at, word);
        if let Some(change) = change {
            self.take_change(daemon, change.fact);
        }
    }

    fn take_change(&mut self, daemon: usize, fact: LimitFact) {
        if let Some(server) = self.index.get(&fact.server).copied()
            && fact.limit.is_none()
        {
            self.daemons[daemon].passed_over[server] = 0;
        }
        self.tell(daemon, vec![fact]);
        self.note_known();
    }

    fn note_known(&mut self) {
        let (Some(at), None) = (self.named_at[0], self.out.known_ms) else { return };
        let start = &self.starts[0];
        if self.daemons.iter().all(|daemon| daemon.book.limit(start).is_some()) {
            self.out.known_ms = Some(self.now - at);
        }
    }

    fn take_facts(&mut self, daemon: usize, facts: &[LimitFact]) {
        let changes = self.daemons[daemon].book.told(self.now, facts);
        for change in changes {
            self.take_change(daemon, change.fact);
        }
    }

    fn tell(&mut self, from: usize, facts: Vec<LimitFact>) {
        if self.setup.way == Way::None {
            return;
        }
        let sent_at = self.now;
        for _ in 0..TOLD_AT_ONCE.min(self.daemons.len() - 1) {
            let to = self.rng.random_range(0..self.daemons.len());
            self.out.bytes += FACT_BYTES * facts.len() as u64;
            if to != from && self.setup.troubles.reaches(from, to, self.now) {
                let at = self.now + GATHER_MS + self.delay();
                self.push(at, Event::Told { to, facts: facts.clone(), sent_at });
            }
        }
    }

    fn told(&mut self, to: usize, mut facts: Vec<LimitFact>, sent_at: Millis) {
        // What waits to be told gets older; what is under way does not.
        let waited = GATHER_MS.min(self.now - sent_at);
        for fact in &mut facts {
            fact.asked_age_ms += waited;
            fact.heard_age_ms += waited;
        }
        self.take_facts(to, &facts);
    }

    fn beat(&mut self, daemon: usize) {
        self.push(self.now + HEARTBEAT_MS, Event::Beat { daemon });
        for _ in 0..HEARTBEAT_FANOUT {
            let peer = self.rng.random_range(0..self.daemons.len());
            let reaches = self.setup.troubles.reaches(daemon, peer, self.now)
                && self.setup.troubles.thaws_at(peer, self.now).is_none();
            if peer == daemon || !reaches || self.setup.way == Way::None {
                continue;
            }
            if self.daemons[daemon].book.digest() == self.daemons[peer].book.digest() {
                continue;
            }
            for (one, other) in [(daemon, peer), (peer, daemon)] {
                let facts = self.daemons[one].book.facts(self.now, usize::MAX, 0);
                self.out.bytes += FACT_BYTES * facts.len() as u64;
                self.take_facts(other, &facts);
            }
        }
    }

    fn finish(mut self) -> Outcome {
        self.out.counted.iter_mut().for_each(|times| times.sort_unstable());
        self.out.came.iter_mut().for_each(|times| times.sort_unstable());
        self.out
    }
}

/// A permit may not be used later than this after it was asked for, in milliseconds.
pub const LONGEST_USE_MS: Millis = PERMIT_MS;
