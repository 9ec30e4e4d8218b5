//! Owners of shards, and the calls that they make to holders, witnesses and the store.

use bankcove_core::holder::Draw;
use bankcove_core::owner::{Command, Event, HolderRef, Owner, Reply, Request, WRITE_INTERVAL_MS};
use bankcove_core::shard::Shard;
use bankcove_core::witness::Witness;
use bankcove_core::{Incarnation, Millis, Name, Tokens};

use crate::budget_policy::Policy;
use crate::budget_simulation::{LINK_DELAY_MS, STORE_CALL_MS, Simulation, SimulationEvent};

/// Timeout of a call to a peer, in milliseconds.
const PEER_TIMEOUT_MS: Millis = 200;

impl Simulation {
    /// Returns the owner of a shard as seen by a daemon: the first one that it can reach, in an
    /// order that depends on the shard.
    pub(super) fn owner_of(&self, shard: u32, daemon: usize) -> usize {
        let first = shard as usize * 7 % self.workload.daemons;
        let ranked = (0..self.workload.daemons).map(|n| (first + n) % self.workload.daemons);
        let mut usable = ranked.filter(|owner| self.can_reach(daemon, *owner));
        usable.next().unwrap_or(daemon)
    }

    /// Passes an event to the owner of the shard at this daemon, and executes its commands.
    pub(super) fn handle_owner_event(&mut self, daemon: usize, shard: u32, event: Event) {
        if self.is_killed(daemon) {
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
            self.execute(daemon, shard, command);
        }
    }

    /// Executes a command of an owner, and schedules the resulting event.
    pub(super) fn execute(&mut self, daemon: usize, shard: u32, command: Command) {
        let later = |event| SimulationEvent::OwnerEvent { daemon, shard, event };
        match command {
            Command::Load => {
                self.outcome.reads += 1;
                let event = if self.can_reach_store(daemon) {
                    let (version, value) = self.stored.get(&shard).cloned().unwrap_or_default();
                    Event::Loaded(version, value)
                } else {
                    Event::StoreUnavailable
                };
                self.schedule.at(self.now + STORE_CALL_MS, later(event));
            }
            Command::Write(version, value) => {
                let event = self.store_write(daemon, shard, version, value);
                self.schedule.at(self.now + STORE_CALL_MS, later(event));
            }
            Command::Collect(budget, listed) => {
                let (event, took) = self.gather(daemon, shard, budget, &listed);
                self.schedule.at(self.now + took, later(event));
            }
            Command::Reply(ticket, reply) => self.reply(ticket, reply, None),
            Command::Transfer { own_grant, ticket, draw, max, reply } => {
                if let Some((granted, opened)) = own_grant {
                    self.holders[daemon].record_granted(&draw.budget, granted);
                    self.holders[daemon].record_opened(&draw.budget, opened);
                }
                self.transfer(daemon, ticket, &draw, max, reply);
            }
            Command::WakeAt(at) => self.schedule.at(at, later(Event::Tick)),
        }
    }

    /// Returns the witnesses of a holder: the next two daemons that it can reach.
    pub(super) fn witnesses(&self, daemon: usize) -> Vec<Witness> {
        let count = self.workload.daemons;
        let others = (1..count).map(|n| (daemon + n) % count);
        let reachable = others.filter(|other| self.can_reach(daemon, *other));
        let witness = |n: usize| Witness {
            incarnation: Incarnation(n as u64),
            address: "127.0.0.1:20001".into(),
        };
        reachable.take(2).map(witness).collect()
    }

    /// Opens granted tokens for spending if the witnesses agree; returns whether any were opened.
    pub(super) fn open(&mut self, daemon: usize, budget: &Name, tokens: Tokens) -> bool {
        let Some(opening) = self.holders[daemon].next_opening(budget, tokens, self.now) else {
            return false;
        };
        let me = Incarnation(daemon as u64);
        self.outcome.messages += 2 * opening.witnesses.len() as u64;
        let agreed = opening.witnesses.iter().all(|witness| {
            let n = witness.incarnation.0 as usize;
            self.can_reach(daemon, n) && self.witness_records[n].open(me, budget, opening.opened)
        });
        agreed && self.holders[daemon].confirm_opening(budget, &opening)
    }

    /// Reclaims the unopened tokens of a killed holder through one of its witnesses.
    pub(super) fn reclaim(
        &mut self,
        daemon: usize,
        shard: u32,
        budget: &Name,
        killed_holder: &HolderRef,
    ) {
        let live = killed_holder.witnesses.iter().map(|witness| witness.incarnation);
        let live = live.into_iter().find(|n| self.can_reach(daemon, n.0 as usize));
        let Some(witness) = live else { return };
        self.outcome.messages += 2;
        let opened =
            self.witness_records[witness.0 as usize].close(killed_holder.incarnation, budget);
        let (budget, holder) = (budget.clone(), killed_holder.incarnation);
        let request = Request::Reclaim { budget, holder, witness, opened };
        let event = Event::Requested(0, request);
        self.schedule.at(self.now, SimulationEvent::OwnerEvent { daemon, shard, event });
    }

    /// Writes a shard to the store if its version is still `version`.
    pub(super) fn store_write(
        &mut self,
        daemon: usize,
        shard: u32,
        version: u64,
        value: Shard,
    ) -> Event {
        self.outcome.writes += 1;
        if !self.can_reach_store(daemon) {
            return Event::StoreUnavailable;
        }
        let found = self.stored.get(&shard).map_or(0, |(version, _)| *version);
        if found != version {
            return Event::Conflict;
        }
        self.stored.insert(shard, (version + 1, value));
        Event::Written(version + 1)
    }

    /// Collects the free tokens of all reachable holders at the owner; returns the resulting event
    /// and the duration in milliseconds.
    pub(super) fn gather(
        &mut self,
        daemon: usize,
        shard: u32,
        budget: Name,
        listed: &[HolderRef],
    ) -> (Event, Millis) {
        for holder in listed {
            if self.is_killed(holder.incarnation.0 as usize) {
                self.reclaim(daemon, shard, &budget, holder);
            }
        }
        self.open(daemon, &budget, Tokens::MAX);
        let me = Incarnation(daemon as u64);
        let mut took = 2 * LINK_DELAY_MS;
        for holder in 0..self.workload.daemons {
            let knows = self.holders[holder].accounts().contains_key(&budget);
            if holder == daemon || !knows {
                continue;
            }
            self.outcome.messages += 2;
            if !self.can_reach(daemon, holder) {
                took = PEER_TIMEOUT_MS;
                continue;
            }
            self.open(holder, &budget, Tokens::MAX);
            let sender = Incarnation(holder as u64);
            let received = self.holders[daemon].received_from(&budget, sender);
            let sent = self.holders[holder].transfer(&budget, me, received, Tokens::MAX);
            self.holders[daemon].record_received(&budget, sender, sent);
        }
        let free = self.holders[daemon].free(&budget);
        (Event::Collected { budget, free, more_expected: true }, took)
    }

    /// Transfers up to `most` tokens of the owner to the holder of a draw, and replies.
    pub(super) fn transfer(
        &mut self,
        owner: usize,
        ticket: u64,
        draw: &Draw,
        most: Tokens,
        reply: Reply,
    ) {
        if draw.holder.0 as usize == owner {
            return self.reply(ticket, reply, None);
        }
        let from = &mut self.holders[owner];
        if !from.can_transfer(&draw.budget, draw.holder, draw.received, draw.need) {
            return self.reply(ticket, Reply::Short { retry_after_ms: 1_000 }, None);
        }
        let sent = from.transfer(&draw.budget, draw.holder, draw.received, most);
        self.reply(ticket, reply, Some((Incarnation(owner as u64), sent)));
    }

    /// Sends the reply to a pending draw.
    pub(super) fn reply(&mut self, ticket: u64, reply: Reply, sent: Option<(Incarnation, Tokens)>) {
        let Some(pending) = self.pending_draws.remove(&ticket) else { return };
        let delay_ms = if pending.owner == pending.daemon { 0 } else { LINK_DELAY_MS };
        self.schedule
            .at(self.now + delay_ms, SimulationEvent::DrawReplied { pending, reply, sent });
    }
}
