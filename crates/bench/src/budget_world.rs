//! Daemons, a store and links in simulated time, for loads on budgets.

mod baseline;
mod caller;
mod outcome;
mod owner;

pub use outcome::Outcome;

use std::collections::{HashMap, HashSet};

use bankcove_core::holder::{Holder, Reservation};
use bankcove_core::owner::{Event, Owner, Reply, Request};
use bankcove_core::shard::{BUDGET_SHARDS, Shard, shard_of_budget};
use bankcove_core::witness::{Witness, WitnessRecords};
use bankcove_core::{Incarnation, Millis, Name, Tokens};

use crate::budget_load::{Arrival, Load};
use crate::budget_policy::Policy;
use crate::schedule::Schedule;

/// One way between daemons.
const LINK_MS: Millis = 1;

/// A call of the store, there and back.
const STORE_MS: Millis = 5;

/// Draws of one request before it is refused, as in the daemon.
const DRAWS: u32 = 8;

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
    marks: Vec<WitnessRecords>,
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
            marks: vec![WitnessRecords::default(); load.daemons],
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
                    holder.record_granted(budget, part);
                    holder.record_opened(budget, part);
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
            self.owner_event(owner, shard, Event::Requested(0, request));
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
