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
use bankcove_core::witness::{Witness, WitnessMarks};
use bankcove_core::{Incarnation, Millis, Name, Tokens};

use crate::budget_load::{Arrival, Load};
use crate::budget_policy::Policy;
use crate::schedule::Schedule;

/// One way between daemons.
const LINK_DELAY_MS: Millis = 1;

/// A call of the store, there and back.
const STORE_CALL_MS: Millis = 5;

/// Draws of one request before it is refused, as in the daemon.
const MAX_DRAWS: u32 = 8;

enum SimulationEvent {
    RequestArrived(Arrival),
    RequestEnded {
        daemon: usize,
        budget: usize,
        reservation: Option<Reservation>,
        max_tokens: Tokens,
        used_tokens: Tokens,
    },
    OwnerEvent {
        daemon: usize,
        shard: u32,
        event: Event,
    },
    DrawReplied {
        pending: PendingDraw,
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
    DaemonKilled,
}

#[derive(Debug, Clone, Copy)]
struct WaitingRequest {
    arrival: Arrival,
    draws: u32,
}

/// A draw under way; nobody waits for one that is made ahead.
struct PendingDraw {
    waiting: Option<WaitingRequest>,
    daemon: usize,
    owner: usize,
    budget: Name,
    witnesses: Vec<Witness>,
}

/// The world of one run.
pub struct Simulation {
    policy: Policy,
    load: Load,
    schedule: Schedule<SimulationEvent>,
    now: Millis,
    budgets: Vec<Name>,
    stored: HashMap<u32, (u64, Shard)>,
    owners: HashMap<(usize, u32), Owner>,
    holders: Vec<Holder>,
    witness_marks: Vec<WitnessMarks>,
    pending_draws: HashMap<u64, PendingDraw>,
    prefetched_at: HashMap<(usize, usize), Millis>,
    next_ticket: u64,
    /// Per budget: allowed, spent, set aside.
    allowed: Vec<Tokens>,
    spent: Vec<Tokens>,
    reserved: Vec<Tokens>,
    versions: Vec<u64>,
    cached: Vec<Vec<Tokens>>,
    topped_up: HashSet<usize>,
    outcome: Outcome,
}

impl Simulation {
    /// Runs `load` under `policy` and returns what it came to.
    pub fn run(policy: Policy, load: &Load, seed: u64) -> Outcome {
        let budgets: Vec<Name> =
            (0..load.budgets).map(|n| Name::from(format!("budget-{n}"))).collect();
        let mut simulation = Simulation {
            policy,
            schedule: Schedule::default(),
            now: 0,
            stored: HashMap::new(),
            owners: HashMap::new(),
            holders: (0..load.daemons).map(|n| Holder::new(Incarnation(n as u64))).collect(),
            witness_marks: vec![WitnessMarks::default(); load.daemons],
            pending_draws: HashMap::new(),
            prefetched_at: HashMap::new(),
            next_ticket: 0,
            allowed: vec![load.tokens; load.budgets],
            spent: vec![0; load.budgets],
            reserved: vec![0; load.budgets],
            versions: vec![0; load.budgets],
            cached: vec![vec![0; load.budgets]; load.daemons],
            topped_up: HashSet::new(),
            outcome: Outcome::default(),
            budgets,
            load: load.clone(),
        };
        simulation.schedule_initial_events(seed);
        simulation.run_events();
        simulation.finish()
    }

    fn schedule_initial_events(&mut self, seed: u64) {
        for arrival in self.load.arrivals(seed) {
            self.schedule.at(arrival.at, SimulationEvent::RequestArrived(arrival));
        }
        if let Some((at, tokens)) = self.load.failures.top_up {
            self.schedule.at(at, SimulationEvent::TopUp(tokens));
        }
        if let Some(at) = self.load.failures.daemon_killed {
            self.schedule.at(at, SimulationEvent::DaemonKilled);
        }
        if self.policy == Policy::CachedSum {
            for daemon in 0..self.load.daemons {
                self.schedule.at(0, SimulationEvent::CacheRead { daemon });
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

    fn run_events(&mut self) {
        while let Some((at, event)) = self.schedule.take_next() {
            self.now = at;
            match event {
                SimulationEvent::RequestArrived(arrival) => self.handle_arrival(arrival),
                SimulationEvent::RequestEnded {
                    daemon,
                    budget,
                    reservation,
                    max_tokens,
                    used_tokens,
                } => {
                    self.finish_request(daemon, budget, reservation, max_tokens, used_tokens);
                }
                SimulationEvent::OwnerEvent { daemon, shard, event } => {
                    self.handle_owner_event(daemon, shard, event);
                }
                SimulationEvent::DrawReplied { pending, reply, sent } => {
                    self.handle_draw_reply(pending, reply, sent)
                }
                SimulationEvent::CasDone { arrival, tries, version } => {
                    self.finish_cas(arrival, tries, version);
                }
                SimulationEvent::CacheRead { daemon } => self.refresh_cache(daemon),
                SimulationEvent::TopUp(tokens) => self.top_up(tokens),
                SimulationEvent::DaemonKilled => self.handle_daemon_killed(),
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let over = self.spent.iter().zip(&self.allowed).map(|(s, t)| s.saturating_sub(*t));
        self.outcome.overspend = over.sum();
        self.outcome.allowed = self.allowed.iter().sum();
        let left = self.spent.iter().zip(&self.allowed).map(|(s, t)| t.saturating_sub(*s));
        self.outcome.left = left.sum();
        let sizes = self
            .stored
            .values()
            .map(|(_, shard)| serde_json::to_vec(shard).map_or(0, |bytes| bytes.len() as u64));
        self.outcome.largest_shard = sizes.max().unwrap_or(0);
        self.outcome
    }

    fn can_reach_store(&self, daemon: usize) -> bool {
        let within = |span: Option<(Millis, Millis)>| {
            span.is_some_and(|(from, to)| (from..to).contains(&self.now))
        };
        let is_partitioned = within(self.load.failures.partition) && self.is_in_upper_half(daemon);
        !within(self.load.failures.store_outage) && !is_partitioned
    }

    fn is_in_upper_half(&self, daemon: usize) -> bool {
        daemon >= self.load.daemons / 2
    }

    fn is_killed(&self, daemon: usize) -> bool {
        daemon == 1 && self.load.failures.daemon_killed.is_some_and(|at| self.now >= at)
    }

    fn can_reach(&self, one: usize, two: usize) -> bool {
        let partition = self.load.failures.partition;
        let partition = partition.is_some_and(|(from, to)| (from..to).contains(&self.now));
        let apart = partition && self.is_in_upper_half(one) != self.is_in_upper_half(two);
        !apart && !self.is_killed(one) && !self.is_killed(two)
    }

    fn top_up(&mut self, tokens: Tokens) {
        for budget in 0..self.budgets.len() {
            self.allowed[budget] += tokens;
            if !self.topped_up.insert(budget) {
                continue;
            }
            let name = self.budgets[budget].clone();
            let shard = shard_of_budget(&name, BUDGET_SHARDS);
            let request = Request::TopUp { budget: name, id: "top-up".to_owned(), tokens };
            let owner = self.owner_of(shard, 0);
            self.handle_owner_event(owner, shard, Event::Requested(0, request));
        }
    }

    fn handle_daemon_killed(&mut self) {
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
