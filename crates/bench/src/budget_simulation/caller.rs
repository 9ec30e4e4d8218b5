//! Handling of callers' requests: admission, refusal and draws.

use bankcove_core::holder::{DrawTerms, PrefetchScope, Reservation};
use bankcove_core::owner::{Event, Reply, Request};
use bankcove_core::shard::{BUDGET_SHARDS, shard_of_budget};
use bankcove_core::{Incarnation, Millis, Name, Tokens};

use crate::budget_policy::Policy;
use crate::budget_simulation::{
    LINK_DELAY_MS, MAX_DRAWS, PendingDraw, Simulation, SimulationEvent, WaitingRequest,
};
use crate::budget_workload::Arrival;

/// Shortest time between two prefetches of a daemon from a budget, in milliseconds, as in the
/// daemon.
const PREFETCH_INTERVAL_MS: Millis = 1_000;

impl Simulation {
    /// Handles a new request by the policy.
    pub(super) fn handle_arrival(&mut self, arrival: Arrival) {
        if self.is_killed(arrival.daemon) {
            return;
        }
        self.outcome.requests += 1;
        self.outcome.tokens += arrival.max_tokens;
        match self.policy {
            Policy::Design | Policy::GrantsOnly | Policy::EqualSplit => {
                self.try_reserve(WaitingRequest { arrival, draws: 0 });
            }
            Policy::UpdatePerRequest => self.start_cas(arrival, 0),
            Policy::CachedSum => {
                let known = self.cached[arrival.daemon][arrival.budget];
                if known + arrival.max_tokens <= self.allowed[arrival.budget] {
                    self.admit(arrival, None);
                } else {
                    self.refuse(arrival);
                }
            }
        }
    }

    /// Admits a request, and schedules its end.
    pub(super) fn admit(&mut self, arrival: Arrival, reservation: Option<Reservation>) {
        self.reserved[arrival.budget] += arrival.max_tokens;
        let wait = self.now - arrival.at;
        self.outcome.longest_wait = self.outcome.longest_wait.max(wait);
        self.schedule.at(
            self.now + arrival.duration_ms,
            SimulationEvent::RequestEnded {
                daemon: arrival.daemon,
                budget: arrival.budget,
                reservation,
                max_tokens: arrival.max_tokens,
                used_tokens: arrival.used_tokens,
            },
        );
    }

    /// Refuses a request. The refusal is false if the budget had enough tokens.
    pub(super) fn refuse(&mut self, arrival: Arrival) {
        self.outcome.refused += 1;
        let wait = self.now - arrival.at;
        self.outcome.longest_wait = self.outcome.longest_wait.max(wait);
        let committed = self.spent[arrival.budget] + self.reserved[arrival.budget];
        if committed + arrival.max_tokens <= self.allowed[arrival.budget] {
            self.outcome.false_refusals += 1;
            self.outcome.false_tokens += arrival.max_tokens;
        }
    }

    /// Charges the actual cost of a finished request.
    pub(super) fn finish_request(
        &mut self,
        daemon: usize,
        budget: usize,
        reservation: Option<Reservation>,
        max_tokens: Tokens,
        used_tokens: Tokens,
    ) {
        self.spent[budget] += used_tokens;
        self.reserved[budget] -= max_tokens;
        if self.is_killed(daemon) {
            return;
        }
        if let Some(reservation) = reservation {
            self.holders[daemon].settle(reservation, used_tokens);
        } else if self.policy == Policy::UpdatePerRequest {
            // A second update returns the unused tokens.
            self.outcome.writes += 1;
            self.versions[budget] += 1;
        }
    }

    /// Reserves the tokens of a request and admits it; draws more tokens if there are too few.
    pub(super) fn try_reserve(&mut self, waiting: WaitingRequest) {
        let Arrival { daemon, budget, max_tokens, .. } = waiting.arrival;
        let name = self.budgets[budget].clone();
        match self.holders[daemon].reserve(&name, max_tokens, self.now) {
            Ok(reservation) => {
                self.admit(waiting.arrival, Some(reservation));
                self.prefetch(waiting.arrival, &name);
            }
            Err(_) if self.policy == Policy::EqualSplit => self.refuse(waiting.arrival),
            Err(_) if waiting.draws >= MAX_DRAWS => self.refuse(waiting.arrival),
            Err(short) if self.open(daemon, &name, short.missing) => {
                let waiting = WaitingRequest { draws: waiting.draws + 1, ..waiting };
                self.try_reserve(waiting);
            }
            Err(short) => self.request_draw(waiting, &name, short.missing),
        }
    }

    /// Returns the terms of all draws.
    pub(super) fn terms(&self) -> DrawTerms {
        DrawTerms {
            tokens: self.workload.tokens,
            version: 1,
            horizon_s: 10.0,
            share_divisor: self.workload.share_divisor,
            held_ahead: self.workload.held_ahead,
            kept_for_others: 0.0,
            prefetch: PrefetchScope::ForItself,
            daemons: self.workload.daemons as u64,
        }
    }

    /// Opens and draws tokens for later requests if few are left.
    pub(super) fn prefetch(&mut self, arrival: Arrival, name: &Name) {
        if self.holders[arrival.daemon].needs_opening(name, self.now) {
            self.open(arrival.daemon, name, 0);
        }
        let key = (arrival.daemon, arrival.budget);
        let is_recent =
            self.prefetched_at.get(&key).is_some_and(|at| self.now < at + PREFETCH_INTERVAL_MS);
        let grants = matches!(self.policy, Policy::Design | Policy::GrantsOnly);
        let is_low = self.holders[arrival.daemon].is_low(name, &self.terms(), self.now);
        if grants && is_low && !is_recent {
            self.prefetched_at.insert(key, self.now);
            self.send_draw(None, arrival.daemon, name, 0);
        }
    }

    /// Draws `need` tokens for a waiting request.
    pub(super) fn request_draw(&mut self, mut waiting: WaitingRequest, name: &Name, need: Tokens) {
        waiting.draws += 1;
        self.send_draw(Some(waiting), waiting.arrival.daemon, name, need);
    }

    /// Sends a draw to the owner of the budget's shard; `waiting` is `None` for a prefetch.
    pub(super) fn send_draw(
        &mut self,
        waiting: Option<WaitingRequest>,
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
        let pending = PendingDraw { waiting, daemon, owner, budget: name.clone(), witnesses };
        self.pending_draws.insert(self.next_ticket, pending);
        self.outcome.messages += 2 * u64::from(owner != daemon);
        let event = Event::Requested(self.next_ticket, Request::Draw(draw));
        let at = self.now + if owner == daemon { 0 } else { LINK_DELAY_MS };
        self.schedule.at(at, SimulationEvent::OwnerEvent { daemon: owner, shard, event });
    }

    /// Records the tokens of a reply, and retries or refuses the waiting request.
    pub(super) fn handle_draw_reply(
        &mut self,
        pending: PendingDraw,
        reply: Reply,
        sent: Option<(Incarnation, Tokens)>,
    ) {
        if self.is_killed(pending.daemon) {
            return;
        }
        if let Some((owner, cumulative)) = sent {
            self.holders[pending.daemon].record_received(&pending.budget, owner, cumulative);
        }
        if let Reply::Granted { granted, opened, recorded, .. } = reply {
            let holder = &mut self.holders[pending.daemon];
            holder.record_granted(&pending.budget, granted);
            holder.record_opened(&pending.budget, opened);
            if recorded {
                holder.set_recorded_witnesses(&pending.budget, &pending.witnesses);
            }
        }
        match (pending.waiting, reply) {
            (Some(waiting), Reply::Granted { .. }) => self.try_reserve(waiting),
            (Some(waiting), _) => self.refuse(waiting.arrival),
            (None, _) => {}
        }
    }
}
