//! What daemons do for callers: admissions, refusals, draws.

use bankcove_core::holder::{DrawTerms, PrefetchScope, Reservation};
use bankcove_core::owner::{Event, Reply, Request};
use bankcove_core::shard::{BUDGET_SHARDS, shard_of_budget};
use bankcove_core::{Incarnation, Millis, Name, Tokens};

use crate::budget_load::Arrival;
use crate::budget_policy::Policy;
use crate::budget_world::{Asked, DRAWS, Happening, LINK_MS, Waiting, World};

/// Shortest time between two draws ahead, as in the daemon.
const DRAW_AHEAD_MS: Millis = 1_000;

impl World {
    pub(super) fn arrives(&mut self, arrival: Arrival) {
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

    pub(super) fn admit(&mut self, arrival: Arrival, reservation: Option<Reservation>) {
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

    pub(super) fn refuse(&mut self, arrival: Arrival) {
        self.outcome.refused += 1;
        let wait = self.now - arrival.at;
        self.outcome.longest_wait = self.outcome.longest_wait.max(wait);
        let gone = self.spent[arrival.budget] + self.set_aside[arrival.budget];
        if gone + arrival.limit <= self.total[arrival.budget] {
            self.outcome.false_refusals += 1;
            self.outcome.false_tokens += arrival.limit;
        }
    }

    pub(super) fn ends(
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

    pub(super) fn try_reserve(&mut self, waiting: Waiting) {
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

    pub(super) fn terms(&self) -> DrawTerms {
        DrawTerms {
            tokens: self.load.tokens,
            version: 1,
            horizon_s: 10.0,
            share_divisor: self.load.share_divisor,
            held_ahead: self.load.held_ahead,
            kept_for_others: 0.0,
            prefetch: PrefetchScope::ForItself,
            daemons: self.load.daemons as u64,
        }
    }

    pub(super) fn draw_ahead(&mut self, arrival: Arrival, name: &Name) {
        if self.holders[arrival.daemon].needs_opening(name, self.now) {
            self.open(arrival.daemon, name, 0);
        }
        let place = (arrival.daemon, arrival.budget);
        let early = self.ahead_at.get(&place).is_some_and(|at| self.now < at + DRAW_AHEAD_MS);
        let grants = matches!(self.policy, Policy::Design | Policy::GrantsOnly);
        let low = self.holders[arrival.daemon].is_low(name, &self.terms(), self.now);
        if grants && low && !early {
            self.ahead_at.insert(place, self.now);
            self.ask(None, arrival.daemon, name, 0);
        }
    }

    pub(super) fn draw(&mut self, mut waiting: Waiting, name: &Name, need: Tokens) {
        waiting.draws += 1;
        self.ask(Some(waiting), waiting.arrival.daemon, name, need);
    }

    pub(super) fn ask(
        &mut self,
        waiting: Option<Waiting>,
        daemon: usize,
        name: &Name,
        need: Tokens,
    ) {
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
        let event = Event::Requested(self.next_ticket, Request::Draw(draw));
        let at = self.now + if owner == daemon { 0 } else { LINK_MS };
        self.schedule.at(at, Happening::OwnerEvent { daemon: owner, shard, event });
    }

    pub(super) fn drawn(
        &mut self,
        asked: Asked,
        reply: Reply,
        sent: Option<(Incarnation, Tokens)>,
    ) {
        if self.is_dead(asked.daemon) {
            return;
        }
        if let Some((owner, cumulative)) = sent {
            self.holders[asked.daemon].record_received(&asked.budget, owner, cumulative);
        }
        if let Reply::Granted { granted, opened, recorded, .. } = reply {
            let holder = &mut self.holders[asked.daemon];
            holder.record_granted(&asked.budget, granted);
            holder.record_opened(&asked.budget, opened);
            if recorded {
                holder.set_recorded_witnesses(&asked.budget, &asked.witnesses);
            }
        }
        match (asked.waiting, reply) {
            (Some(waiting), Reply::Granted { .. }) => self.try_reserve(waiting),
            (Some(waiting), _) => self.refuse(waiting.arrival),
            (None, _) => {}
        }
    }
}
