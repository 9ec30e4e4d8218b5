//! Daemons, a store and links in simulated time, for loads on budgets.

use std::collections::{HashMap, HashSet};

use bankcove_core::holder::{Draw, Holder, Reservation, Terms};
use bankcove_core::owner::{Command, Event, HolderRef, Owner, Reply, Request, WRITE_INTERVAL_MS};
use bankcove_core::shard::{BUDGET_SHARDS, Shard, shard_of_budget};
use bankcove_core::witness::{Marks, Witness};
use bankcove_core::{Incarnation, Millis, Name, Tokens};
use serde::Serialize;

use crate::budget_load::{Arrival, Load};
use crate::budget_policy::Policy;
use crate::schedule::Schedule;

/// One way between daemons.
const LINK_MS: Millis = 1;

/// A call of the store, there and back.
const STORE_MS: Millis = 5;

/// Wait for a peer that does not answer.
const SILENT_MS: Millis = 200;

/// Draws of one request before it is refused, as in the daemon.
const DRAWS: u32 = 8;

/// Shortest time between two draws ahead, as in the daemon.
const DRAW_AHEAD_MS: Millis = 1_000;

/// Time between two reads of [`Policy::CachedSum`].
const CACHE_MS: Millis = 1_000;

/// What a run came to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Requests that came.
    pub requests: u64,
    /// Requests refused.
    pub refused: u64,
    /// Refused although that many tokens were unspent and not set aside.
    pub false_refusals: u64,
    /// Tokens of false refusals, at their greatest cost.
    pub false_tokens: Tokens,
    /// Tokens of all requests, at their greatest cost.
    pub tokens: Tokens,
    /// Tokens spent beyond the budgets.
    pub overspend: Tokens,
    /// Writes of the store.
    pub writes: u64,
    /// Reads of the store.
    pub reads: u64,
    /// Messages between daemons.
    pub messages: u64,
    /// Bytes of the greatest stored shard.
    pub largest_shard: u64,
    /// Tokens left unspent at the end, over all budgets.
    pub left: Tokens,
    /// Tokens of all budgets.
    pub allowed: Tokens,
    /// Tokens that a dead daemon took along.
    pub stranded: Tokens,
    /// Longest wait for an admission, in milliseconds.
    pub longest_wait: Millis,
}

impl Outcome {
    /// False refusals, in % of requests.
    pub fn false_percent(&self) -> f64 {
        100.0 * self.false_refusals as f64 / self.requests.max(1) as f64
    }

    /// What was left in % of the budgets, when anything was refused.
    pub fn left_percent(&self) -> f64 {
        if self.refused == 0 {
            return 0.0;
        }
        100.0 * self.left as f64 / self.allowed.max(1) as f64
    }

    /// False refusals, in % of tokens.
    pub fn false_tokens_percent(&self) -> f64 {
        100.0 * self.false_tokens as f64 / self.tokens.max(1) as f64
    }
}

enum Happening {
    Arrives(Arrival),
    Ends {
        daemon: usize,
        budget: usize,
        reservation: Option<Reservation>,
        limit: Tokens,
        used: Tokens,
    },
    OwnerEvent {
        daemon: usize,
        shard: u32,
        event: Event,
    },
    Drawn {
        asked: Asked,
        reply: Reply,
        sent: Option<(Incarnation, Tokens)>,
    },
    CasDone {
        arrival: Arrival,
        tries: u32,
        version: u64,
    },
    CacheRead {
        daemon: usize,
    },
    TopUp(Tokens),
    Killed,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    arrival: Arrival,
    draws: u32,
}

/// A draw under way; nobody waits for one that is made ahead.
struct Asked {
    waiting: Option<Waiting>,
    daemon: usize,
    owner: usize,
    budget: Name,
    witnesses: Vec<Witness>,
}

/// The world of one run.
pub struct World {
    policy: Policy,
    load: Load,
    schedule: Schedule<Happening>,
    now: Millis,
    budgets: Vec<Name>,
    stored: HashMap<u32, (u64, Shard)>,
    owners: HashMap<(usize, u32), Owner>,
    holders: Vec<Holder>,
    marks: Vec<Marks>,
    tickets: HashMap<u64, Asked>,
    ahead_at: HashMap<(usize, usize), Millis>,
    next_ticket: u64,
    /// Per budget: allowed, spent, set aside.
    total: Vec<Tokens>,
    spent: Vec<Tokens>,
    set_aside: Vec<Tokens>,
    versions: Vec<u64>,
    cached: Vec<Vec<Tokens>>,
    top_ups_seen: HashSet<usize>,
    outcome: Outcome,
}

impl World {
    /// Runs `load` under `policy` and returns what it came to.
    pub fn run(policy: Policy, load: &Load, seed: u64) -> Outcome {
        let budgets: Vec<Name> =
            (0..load.budgets).map(|n| Name::from(format!("budget-{n}"))).collect();
        let mut world = World {
            policy,
            schedule: Schedule::default(),
            now: 0,
            stored: HashMap::new(),
            owners: HashMap::new(),
            holders: (0..load.daemons).map(|n| Holder::new(Incarnation(n as u64))).collect(),
            marks: vec![Marks::default(); load.daemons],
            tickets: HashMap::new(),
            ahead_at: HashMap::new(),
            next_ticket: 0,
            total: vec![load.tokens; load.budgets],
            spent: vec![0; load.budgets],
            set_aside: vec![0; load.budgets],
            versions: vec![0; load.budgets],
            cached: vec![vec![0; load.budgets]; load.daemons],
            top_ups_seen: HashSet::new(),
            outcome: Outcome::default(),
            budgets,
            load: load.clone(),
        };
        world.prepare(seed);
        world.go_on();
        world.finish()
    }

    fn prepare(&mut self, seed: u64) {
        for arrival in self.load.arrivals(seed) {
            self.schedule.at(arrival.at, Happening::Arrives(arrival));
        }
        if let Some((at, tokens)) = self.load.failures.top_up {
            self.schedule.at(at, Happening::TopUp(tokens));
        }
        if let Some(at) = self.load.failures.daemon_killed {
            self.schedule.at(at, Happening::Killed);
        }
        if self.policy == Policy::CachedSum {
            for daemon in 0..self.load.daemons {
                self.schedule.at(0, Happening::CacheRead { daemon });
            }
        }
        if self.policy == Policy::EqualSplit {
            let part = self.load.tokens / self.load.daemons as u64;
            for holder in &mut self.holders {
                for budget in &self.budgets {
                    holder.granted(budget, part);
                    holder.opened(budget, part);
                }
            }
        }
    }

    fn go_on(&mut self) {
        while let Some((at, what)) = self.schedule.take_next() {
            self.now = at;
            match what {
                Happening::Arrives(arrival) => self.arrives(arrival),
                Happening::Ends { daemon, budget, reservation, limit, used } => {
                    self.ends(daemon, budget, reservation, limit, used);
                }
                Happening::OwnerEvent { daemon, shard, event } => {
                    self.owner_event(daemon, shard, event);
                }
                Happening::Drawn { asked, reply, sent } => self.drawn(asked, reply, sent),
                Happening::CasDone { arrival, tries, version } => {
                    self.cas_done(arrival, tries, version);
                }
                Happening::CacheRead { daemon } => self.cache_read(daemon),
                Happening::TopUp(tokens) => self.top_up(tokens),
                Happening::Killed => self.killed(),
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let over = self.spent.iter().zip(&self.total).map(|(s, t)| s.saturating_sub(*t));
        self.outcome.overspend = over.sum();
        self.outcome.allowed = self.total.iter().sum();
        let left = self.spent.iter().zip(&self.total).map(|(s, t)| t.saturating_sub(*s));
        self.outcome.left = left.sum();
        let sizes = self
            .stored
            .values()
            .map(|(_, shard)| serde_json::to_vec(shard).map_or(0, |bytes| bytes.len() as u64));
        self.outcome.largest_shard = sizes.max().unwrap_or(0);
        self.outcome
    }

    fn store_answers(&self, daemon: usize) -> bool {
        let within = |span: Option<(Millis, Millis)>| {
            span.is_some_and(|(from, to)| (from..to).contains(&self.now))
        };
        let cut_off = within(self.load.failures.cut) && self.is_upper(daemon);
        !within(self.load.failures.store_away) && !cut_off
    }

    fn is_upper(&self, daemon: usize) -> bool {
        daemon >= self.load.daemons / 2
    }

    fn is_dead(&self, daemon: usize) -> bool {
        daemon == 1 && self.load.failures.daemon_killed.is_some_and(|at| self.now >= at)
    }

    fn linked(&self, one: usize, two: usize) -> bool {
        let cut = self.load.failures.cut;
        let cut = cut.is_some_and(|(from, to)| (from..to).contains(&self.now));
        let apart = cut && self.is_upper(one) != self.is_upper(two);
        !apart && !self.is_dead(one) && !self.is_dead(two)
    }

    fn arrives(&mut self, arrival: Arrival) {
        if self.is_dead(arrival.daemon) {
            return;
        }
        self.outcome.requests += 1;
        self.outcome.tokens += arrival.limit;
        match self.policy {
            Policy::Design | Policy::GrantsOnly | Policy::EqualSplit => {
                self.try_reserve(Waiting { arrival, draws: 0 });
            }
            Policy::UpdatePerRequest => self.start_cas(arrival, 0),
            Policy::CachedSum => {
                let known = self.cached[arrival.daemon][arrival.budget];
                if known + arrival.limit <= self.total[arrival.budget] {
                    self.admit(arrival, None);
                } else {
                    self.refuse(arrival);
                }
            }
        }
    }

    fn admit(&mut self, arrival: Arrival, reservation: Option<Reservation>) {
        self.set_aside[arrival.budget] += arrival.limit;
        let wait = self.now - arrival.at;
        self.outcome.longest_wait = self.outcome.longest_wait.max(wait);
        self.schedule.at(
            self.now + arrival.runs_for,
            Happening::Ends {
                daemon: arrival.daemon,
                budget: arrival.budget,
                reservation,
                limit: arrival.limit,
                used: arrival.used,
            },
        );
    }

    fn refuse(&mut self, arrival: Arrival) {
        self.outcome.refused += 1;
        let wait = self.now - arrival.at;
        self.outcome.longest_wait = self.outcome.longest_wait.max(wait);
        let gone = self.spent[arrival.budget] + self.set_aside[arrival.budget];
        if gone + arrival.limit <= self.total[arrival.budget] {
            self.outcome.false_refusals += 1;
            self.outcome.false_tokens += arrival.limit;
        }
    }

    fn ends(
        &mut self,
        daemon: usize,
        budget: usize,
        reservation: Option<Reservation>,
        limit: Tokens,
        used: Tokens,
    ) {
        self.spent[budget] += used;
        self.set_aside[budget] -= limit;
        if self.is_dead(daemon) {
            return;
        }
        if let Some(reservation) = reservation {
            self.holders[daemon].settle(reservation, used);
        } else if self.policy == Policy::UpdatePerRequest {
            // The difference goes back by another update.
            self.outcome.writes += 1;
            self.versions[budget] += 1;
        }
    }

    fn try_reserve(&mut self, waiting: Waiting) {
        let Arrival { daemon, budget, limit, .. } = waiting.arrival;
        let name = self.budgets[budget].clone();
        match self.holders[daemon].reserve(&name, limit, self.now) {
            Ok(reservation) => {
                self.admit(waiting.arrival, Some(reservation));
                self.draw_ahead(waiting.arrival, &name);
            }
            Err(_) if self.policy == Policy::EqualSplit => self.refuse(waiting.arrival),
            Err(_) if waiting.draws >= DRAWS => self.refuse(waiting.arrival),
            Err(short) if self.open(daemon, &name, short.missing) => {
                let waiting = Waiting { draws: waiting.draws + 1, ..waiting };
                self.try_reserve(waiting);
            }
            Err(short) => self.draw(waiting, &name, short.missing),
        }
    }

    fn terms(&self) -> Terms {
        Terms {
            tokens: self.load.tokens,
            version: 1,
            horizon_s: 10.0,
            share_divisor: self.load.share_divisor,
            held_ahead: self.load.held_ahead,
            daemons: self.load.daemons as u64,
        }
    }

    fn draw_ahead(&mut self, arrival: Arrival, name: &Name) {
        if self.holders[arrival.daemon].is_nearly_closed(name, self.now) {
            self.open(arrival.daemon, name, 0);
        }
        let place = (arrival.daemon, arrival.budget);
        let early = self.ahead_at.get(&place).is_some_and(|at| self.now < at + DRAW_AHEAD_MS);
        let grants = matches!(self.policy, Policy::Design | Policy::GrantsOnly);
        let low = self.holders[arrival.daemon].runs_low(name, &self.terms(), self.now);
        if grants && low && !early {
            self.ahead_at.insert(place, self.now);
            self.ask(None, arrival.daemon, name, 0);
        }
    }

    fn draw(&mut self, mut waiting: Waiting, name: &Name, need: Tokens) {
        waiting.draws += 1;
        self.ask(Some(waiting), waiting.arrival.daemon, name, need);
    }

    fn ask(&mut self, waiting: Option<Waiting>, daemon: usize, name: &Name, need: Tokens) {
        let shard = shard_of_budget(name, BUDGET_SHARDS);
        let owner = self.owner_of(shard, daemon);
        let terms = self.terms();
        let witnesses = self.witnesses(daemon);
        self.holders[daemon].propose_witnesses(name, &witnesses);
        let mut draw = self.holders[daemon].draw(name, need, terms, "127.0.0.1:20001", self.now);
        draw.witnesses.clone_from(&witnesses);
        draw.received = self.holders[daemon].received_from(name, Incarnation(owner as u64));
        self.next_ticket += 1;
        let asked = Asked { waiting, daemon, owner, budget: name.clone(), witnesses };
        self.tickets.insert(self.next_ticket, asked);
        self.outcome.messages += 2 * u64::from(owner != daemon);
        let event = Event::Asked(self.next_ticket, Request::Draw(draw));
        let at = self.now + if owner == daemon { 0 } else { LINK_MS };
        self.schedule.at(at, Happening::OwnerEvent { daemon: owner, shard, event });
    }

    /// The first daemon in reach, from a place that the shard decides.
    fn owner_of(&self, shard: u32, daemon: usize) -> usize {
        let first = shard as usize * 7 % self.load.daemons;
        let ranked = (0..self.load.daemons).map(|n| (first + n) % self.load.daemons);
        let mut usable = ranked.filter(|owner| self.linked(daemon, *owner));
        usable.next().unwrap_or(daemon)
    }

    fn owner_event(&mut self, daemon: usize, shard: u32, event: Event) {
        if self.is_dead(daemon) {
            return;
        }
        let collects = self.policy == Policy::Design;
        let owner = self.owners.entry((daemon, shard)).or_insert_with(|| {
            let owner =
                Owner::new(Incarnation(daemon as u64), "127.0.0.1:20001", WRITE_INTERVAL_MS);
            if collects { owner } else { owner.without_collecting() }
        });
        let commands = owner.handle(self.now, event);
        for command in commands {
            self.carry_out(daemon, shard, command);
        }
    }

    fn carry_out(&mut self, daemon: usize, shard: u32, command: Command) {
        let later = |event| Happening::OwnerEvent { daemon, shard, event };
        match command {
            Command::Load => {
                self.outcome.reads += 1;
                let event = if self.store_answers(daemon) {
                    let (version, value) = self.stored.get(&shard).cloned().unwrap_or_default();
                    Event::Loaded(version, value)
                } else {
                    Event::StoreAway
                };
                self.schedule.at(self.now + STORE_MS, later(event));
            }
            Command::Write(version, value) => {
                let event = self.store_write(daemon, shard, version, value);
                self.schedule.at(self.now + STORE_MS, later(event));
            }
            Command::Gather(budget, listed) => {
                let (event, took) = self.gather(daemon, shard, budget, &listed);
                self.schedule.at(self.now + took, later(event));
            }
            Command::Reply(ticket, reply) => self.reply(ticket, reply, None),
            Command::Give { own, ticket, draw, most, reply } => {
                if let Some((granted, opened)) = own {
                    self.holders[daemon].granted(&draw.budget, granted);
                    self.holders[daemon].opened(&draw.budget, opened);
                }
                self.give(daemon, ticket, &draw, most, reply);
            }
            Command::WakeAt(at) => self.schedule.at(at, later(Event::Tick)),
        }
    }

    /// The next two daemons in reach.
    fn witnesses(&self, daemon: usize) -> Vec<Witness> {
        let count = self.load.daemons;
        let others = (1..count).map(|n| (daemon + n) % count);
        let linked = others.filter(|other| self.linked(daemon, *other));
        let witness = |n: usize| Witness {
            incarnation: Incarnation(n as u64),
            address: "127.0.0.1:20001".into(),
        };
        linked.take(2).map(witness).collect()
    }

    fn open(&mut self, daemon: usize, budget: &Name, tokens: Tokens) -> bool {
        let Some(opening) = self.holders[daemon].opening(budget, tokens, self.now) else {
            return false;
        };
        let me = Incarnation(daemon as u64);
        self.outcome.messages += 2 * opening.witnesses.len() as u64;
        let agreed = opening.witnesses.iter().all(|witness| {
            let n = witness.incarnation.0 as usize;
            self.linked(daemon, n) && self.marks[n].open(me, budget, opening.opened)
        });
        agreed && self.holders[daemon].opening_agreed(budget, &opening)
    }

    fn reclaim(&mut self, daemon: usize, shard: u32, budget: &Name, gone: &HolderRef) {
        let live = gone.witnesses.iter().map(|witness| witness.incarnation);
        let live = live.into_iter().find(|n| self.linked(daemon, n.0 as usize));
        let Some(witness) = live else { return };
        self.outcome.messages += 2;
        let opened = self.marks[witness.0 as usize].close(gone.incarnation, budget);
        let (budget, holder) = (budget.clone(), gone.incarnation);
        let request = Request::Reclaim { budget, holder, witness, opened };
        let event = Event::Asked(0, request);
        self.schedule.at(self.now, Happening::OwnerEvent { daemon, shard, event });
    }

    fn store_write(&mut self, daemon: usize, shard: u32, version: u64, value: Shard) -> Event {
        self.outcome.writes += 1;
        if !self.store_answers(daemon) {
            return Event::StoreAway;
        }
        let found = self.stored.get(&shard).map_or(0, |(version, _)| *version);
        if found != version {
            return Event::Conflict;
        }
        self.stored.insert(shard, (version + 1, value));
        Event::Written(version + 1)
    }

    fn gather(
        &mut self,
        daemon: usize,
        shard: u32,
        budget: Name,
        listed: &[HolderRef],
    ) -> (Event, Millis) {
        for holder in listed {
            if self.is_dead(holder.incarnation.0 as usize) {
                self.reclaim(daemon, shard, &budget, holder);
            }
        }
        self.open(daemon, &budget, Tokens::MAX);
        let me = Incarnation(daemon as u64);
        let mut took = 2 * LINK_MS;
        for holder in 0..self.load.daemons {
            let knows = self.holders[holder].accounts().contains_key(&budget);
            if holder == daemon || !knows {
                continue;
            }
            self.outcome.messages += 2;
            if !self.linked(daemon, holder) {
                took = SILENT_MS;
                continue;
            }
            self.open(holder, &budget, Tokens::MAX);
            let sender = Incarnation(holder as u64);
            let received = self.holders[daemon].received_from(&budget, sender);
            let sent = self.holders[holder].give(&budget, me, received, Tokens::MAX);
            self.holders[daemon].received(&budget, sender, sent);
        }
        let free = self.holders[daemon].free(&budget);
        (Event::Gathered { budget, free, more_may_come: true }, took)
    }

    fn give(&mut self, owner: usize, ticket: u64, draw: &Draw, most: Tokens, reply: Reply) {
        if draw.holder.0 as usize == owner {
            return self.reply(ticket, reply, None);
        }
        let from = &mut self.holders[owner];
        if !from.can_give(&draw.budget, draw.holder, draw.received, draw.need) {
            return self.reply(ticket, Reply::Short { retry_after_ms: 1_000 }, None);
        }
        let sent = from.give(&draw.budget, draw.holder, draw.received, most);
        self.reply(ticket, reply, Some((Incarnation(owner as u64), sent)));
    }

    fn reply(&mut self, ticket: u64, reply: Reply, sent: Option<(Incarnation, Tokens)>) {
        let Some(asked) = self.tickets.remove(&ticket) else { return };
        let way = if asked.owner == asked.daemon { 0 } else { LINK_MS };
        self.schedule.at(self.now + way, Happening::Drawn { asked, reply, sent });
    }

    fn drawn(&mut self, asked: Asked, reply: Reply, sent: Option<(Incarnation, Tokens)>) {
        if self.is_dead(asked.daemon) {
            return;
        }
        if let Some((owner, cumulative)) = sent {
            self.holders[asked.daemon].received(&asked.budget, owner, cumulative);
        }
        if let Reply::Granted { granted, opened, recorded, .. } = reply {
            let holder = &mut self.holders[asked.daemon];
            holder.granted(&asked.budget, granted);
            holder.opened(&asked.budget, opened);
            if recorded {
                holder.witnesses_recorded(&asked.budget, &asked.witnesses);
            }
        }
        match (asked.waiting, reply) {
            (Some(waiting), Reply::Granted { .. }) => self.try_reserve(waiting),
            (Some(waiting), _) => self.refuse(waiting.arrival),
            (None, _) => {}
        }
    }

    fn start_cas(&mut self, arrival: Arrival, tries: u32) {
        self.outcome.reads += 1;
        let version = self.versions[arrival.budget];
        self.schedule.at(self.now + 2 * STORE_MS, Happening::CasDone { arrival, tries, version });
    }

    fn cas_done(&mut self, arrival: Arrival, tries: u32, version: u64) {
        if !self.store_answers(arrival.daemon) {
            return self.refuse(arrival);
        }
        let gone = self.spent[arrival.budget] + self.set_aside[arrival.budget];
        if gone + arrival.limit > self.total[arrival.budget] {
            return self.refuse(arrival);
        }
        self.outcome.writes += 1;
        if version != self.versions[arrival.budget] {
            return match tries {
                0..DRAWS => self.start_cas(arrival, tries + 1),
                _ => self.refuse(arrival),
            };
        }
        self.versions[arrival.budget] += 1;
        self.admit(arrival, None);
    }

    fn cache_read(&mut self, daemon: usize) {
        self.outcome.reads += 1;
        if self.store_answers(daemon) {
            self.cached[daemon].clone_from(&self.spent);
        }
        if self.now < self.load.length {
            self.schedule.at(self.now + CACHE_MS, Happening::CacheRead { daemon });
        }
    }

    fn top_up(&mut self, tokens: Tokens) {
        for budget in 0..self.budgets.len() {
            self.total[budget] += tokens;
            if !self.top_ups_seen.insert(budget) {
                continue;
            }
            let name = self.budgets[budget].clone();
            let shard = shard_of_budget(&name, BUDGET_SHARDS);
            let request = Request::TopUp { budget: name, id: "top-up".to_owned(), tokens };
            let owner = self.owner_of(shard, 0);
            self.owner_event(owner, shard, Event::Asked(0, request));
        }
    }

    fn killed(&mut self) {
        let accounts = self.holders[1].accounts().values();
        self.outcome.stranded = accounts.map(|account| account.free() + account.reserved).sum();
    }
}

/// Shards that a load touches.
pub fn shards_used(load: &Load) -> usize {
    let names = (0..load.budgets).map(|n| Name::from(format!("budget-{n}")));
    let shards: HashSet<u32> = names.map(|name| shard_of_budget(&name, BUDGET_SHARDS)).collect();
    shards.len().min(BUDGET_SHARDS as usize)
}
