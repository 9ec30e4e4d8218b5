//! Simulation of daemons that spend budgets, with a store and links between them.
//!
//! `caller` handles requests and draws, `owner` the owners of shards and what they request from
//! holders, and `baseline` the policies without owners.

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

use crate::budget_policy::Policy;
use crate::budget_workload::{Arrival, Workload};
use crate::schedule::Schedule;

/// Delay of a message between daemons, one way, in milliseconds.
const LINK_DELAY_MS: Millis = 1;

/// Duration of a call to the store, in milliseconds.
const STORE_CALL_MS: Millis = 5;

/// Maximum number of draws for one request before it is refused, as in the daemon.
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
    /// An input of the shard's owner at a daemon.
    OwnerEvent {
        daemon: usize,
        shard: u32,
        event: Event,
    },
    /// A reply to a draw reaches the holder.
    DrawReplied {
        pending: PendingDraw,
        reply: Reply,
        /// Daemon that transferred tokens, and its cumulative transfers to the holder.
        sent: Option<(Incarnation, Tokens)>,
    },
    /// A conditional update of [`Policy::UpdatePerRequest`] completes.
    CasDone {
        arrival: Arrival,
        tries: u32,
        version: u64,
    },
    /// A daemon with [`Policy::CachedSum`] reads the spent sums.
    CacheRead {
        daemon: usize,
    },
    /// Each budget gets more tokens.
    TopUp(Tokens),
    /// Daemon 1 is killed.
    DaemonKilled,
}

/// A request that waits for tokens.
#[derive(Debug, Clone, Copy)]
struct WaitingRequest {
    arrival: Arrival,
    /// Draws so far.
    draws: u32,
}

/// A pending draw; no request waits for a prefetch.
struct PendingDraw {
    waiting: Option<WaitingRequest>,
    daemon: usize,
    owner: usize,
    budget: Name,
    witnesses: Vec<Witness>,
}

/// State of a run.
pub struct Simulation {
    policy: Policy,
    workload: Workload,
    schedule: Schedule<SimulationEvent>,
    now: Millis,
    budgets: Vec<Name>,
    /// Shards in the store, with their versions.
    stored: HashMap<u32, (u64, Shard)>,
    owners: HashMap<(usize, u32), Owner>,
    holders: Vec<Holder>,
    witness_records: Vec<WitnessRecords>,
    /// Pending draws by ticket.
    pending_draws: HashMap<u64, PendingDraw>,
    /// Time of the last prefetch, by daemon and budget.
    prefetched_at: HashMap<(usize, usize), Millis>,
    next_ticket: u64,
    /// Tokens of each budget.
    allowed: Vec<Tokens>,
    /// Spent tokens of each budget.
    spent: Vec<Tokens>,
    /// Tokens of each budget that are reserved for running requests.
    reserved: Vec<Tokens>,
    /// Version of each budget, for [`Policy::UpdatePerRequest`].
    versions: Vec<u64>,
    /// Spent sums that each daemon read last, for [`Policy::CachedSum`].
    cached: Vec<Vec<Tokens>>,
    topped_up: HashSet<usize>,
    outcome: Outcome,
}

impl Simulation {
    /// Runs the simulation of a workload with this policy.
    pub fn run(policy: Policy, workload: &Workload, seed: u64) -> Outcome {
        let budgets: Vec<Name> =
            (0..workload.budgets).map(|n| Name::from(format!("budget-{n}"))).collect();
        let mut simulation = Simulation {
            policy,
            schedule: Schedule::default(),
            now: 0,
            stored: HashMap::new(),
            owners: HashMap::new(),
            holders: (0..workload.daemons).map(|n| Holder::new(Incarnation(n as u64))).collect(),
            witness_records: vec![WitnessRecords::default(); workload.daemons],
            pending_draws: HashMap::new(),
            prefetched_at: HashMap::new(),
            next_ticket: 0,
            allowed: vec![workload.tokens; workload.budgets],
            spent: vec![0; workload.budgets],
            reserved: vec![0; workload.budgets],
            versions: vec![0; workload.budgets],
            cached: vec![vec![0; workload.budgets]; workload.daemons],
            topped_up: HashSet::new(),
            outcome: Outcome::default(),
            budgets,
            workload: workload.clone(),
        };
        simulation.schedule_initial_events(seed);
        simulation.run_events();
        simulation.finish()
    }

    fn schedule_initial_events(&mut self, seed: u64) {
        for arrival in self.workload.arrivals(seed) {
            self.schedule.at(arrival.at, SimulationEvent::RequestArrived(arrival));
        }
        if let Some((at, tokens)) = self.workload.failures.top_up {
            self.schedule.at(at, SimulationEvent::TopUp(tokens));
        }
        if let Some(at) = self.workload.failures.daemon_killed {
            self.schedule.at(at, SimulationEvent::DaemonKilled);
        }
        if self.policy == Policy::CachedSum {
            for daemon in 0..self.workload.daemons {
                self.schedule.at(0, SimulationEvent::CacheRead { daemon });
            }
        }
        if self.policy == Policy::EqualSplit {
            let part = self.workload.tokens / self.workload.daemons as u64;
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

    /// Returns whether the daemon can reach the store now.
    fn can_reach_store(&self, daemon: usize) -> bool {
        let within = |span: Option<(Millis, Millis)>| {
            span.is_some_and(|(from, to)| (from..to).contains(&self.now))
        };
        let is_partitioned =
            within(self.workload.failures.partition) && self.is_in_upper_half(daemon);
        !within(self.workload.failures.store_outage) && !is_partitioned
    }

    /// Returns whether the daemon is among those that a partition separates from the store.
    fn is_in_upper_half(&self, daemon: usize) -> bool {
        daemon >= self.workload.daemons / 2
    }

    fn is_killed(&self, daemon: usize) -> bool {
        daemon == 1 && self.workload.failures.daemon_killed.is_some_and(|at| self.now >= at)
    }

    /// Returns whether two daemons can reach each other now.
    fn can_reach(&self, one: usize, two: usize) -> bool {
        let partition = self.workload.failures.partition;
        let partition = partition.is_some_and(|(from, to)| (from..to).contains(&self.now));
        let is_separated = partition && self.is_in_upper_half(one) != self.is_in_upper_half(two);
        !is_separated && !self.is_killed(one) && !self.is_killed(two)
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

/// Returns the number of shards that the budgets of a workload belong to.
pub fn shards_used(workload: &Workload) -> usize {
    let names = (0..workload.budgets).map(|n| Name::from(format!("budget-{n}")));
    let shards: HashSet<u32> = names.map(|name| shard_of_budget(&name, BUDGET_SHARDS)).collect();
    shards.len().min(BUDGET_SHARDS as usize)
}
