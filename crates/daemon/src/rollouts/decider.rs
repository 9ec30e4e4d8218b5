//! Decides on a rollout for the fleet, while this daemon holds the rollout's lease.

use std::sync::Arc;

use bankcove_core::Millis;
use bankcove_core::rollout::{Decision, Lease, LeaseRecord, Plan, RolloutOrder, RolloutState};
use bankcove_ports::{Kind, Versioned, WriteOutcome};

use crate::peer::RolloutReport;
use crate::rollouts::Rollouts;

/// State of one rollout at a candidate.
#[derive(Debug, Default)]
pub(super) struct Decider {
    lease: Lease,
    plan: Plan,
    /// Fraction of the requests that the new version may get now.
    fraction: f64,
    /// Final state that was decided on; it is written until the store has it.
    ended: Option<RolloutState>,
    /// Time since the order at `elapsed_at`, by the lease's record; a daemon that has restarted does
    /// not know when the rollout was ordered.
    elapsed_ms: Millis,
    elapsed_at: Millis,
}

impl Decider {
    /// Records a report and returns the fraction in force; `None` without the lease.
    pub(super) fn record_report(&mut self, now: Millis, report: RolloutReport) -> Option<f64> {
        if !self.lease.is_held(now) {
            return None;
        }
        self.plan.record_report(now, report.from, report.outcomes);
        Some(self.fraction)
    }

    /// Returns whether this daemon decides on the rollout now.
    pub(super) fn is_deciding(&self, now: Millis) -> bool {
        self.lease.is_held(now)
    }

    /// Sets the fraction in force; returns the decision that ends the rollout, when it is made.
    fn decide(
        &mut self,
        now: Millis,
        elapsed: Millis,
        order: &RolloutOrder,
        max_fraction: f64,
    ) -> Option<Decision> {
        if self.ended.is_some() {
            return None;
        }
        let decision = self.plan.decide(now, elapsed, order.duration_ms, max_fraction);
        (self.fraction, self.ended) = match decision {
            Decision::Continue(fraction) => (fraction, None),
            Decision::Done => (1.0, Some(RolloutState::Done)),
            Decision::RollBack { .. } => (0.0, Some(RolloutState::RolledBack)),
        };
        self.ended.is_some().then_some(decision)
    }

    /// Returns the time since the order, which this daemon learned of at `known_at`.
    fn elapsed(&self, now: Millis, known_at: Millis) -> Millis {
        let by_record = self.elapsed_ms + now.saturating_sub(self.elapsed_at);
        let by_record = if self.elapsed_ms > 0 { by_record } else { 0 };
        now.saturating_sub(known_at).max(by_record)
    }
}

impl Rollouts {
    /// Claims or renews the lease of a rollout and, as its holder, decides on it. `may_claim` is
    /// whether this daemon may take the lease over from a silent candidate.
    pub(super) async fn tend(self: &Arc<Self>, order: &RolloutOrder, may_claim: bool) {
        let now = self.fleet.base.clock.now();
        let (is_held, is_due) = self.with_decider(order, |decider| {
            (decider.lease.is_held(now), decider.lease.is_renewal_due(now))
        });
        if (!is_held && may_claim) || is_due {
            self.claim(order).await;
        }
        let now = self.fleet.base.clock.now();
        if self.with_decider(order, |decider| decider.lease.is_held(now)) {
            self.decide(order).await;
        }
    }

    fn with_decider<T>(&self, order: &RolloutOrder, f: impl FnOnce(&mut Decider) -> T) -> T {
        f(self.deciders.lock().entry(order.key()).or_default())
    }

    /// Returns when this daemon learned of the rollout.
    fn known_at(&self, order: &RolloutOrder) -> Millis {
        let known_at = self.parts.lock().get(&order.key()).map(|part| part.known_at);
        known_at.unwrap_or_else(|| self.fleet.base.clock.now())
    }

    /// Writes the lease's record, unless another daemon may hold the lease.
    async fn claim(&self, order: &RolloutOrder) {
        let name = order.service.as_str();
        let now = self.fleet.base.clock.now();
        if !self.with_decider(order, |decider| decider.lease.is_renewal_due(now)) {
            let read = self.store.read::<LeaseRecord>(Kind::RolloutLeases, name).await;
            let Ok(read) = read else { return };
            self.with_decider(order, |decider| decider.record_lease(now, order, read));
        }
        let known_at = self.known_at(order);
        let asked_at = self.fleet.base.clock.now();
        let (expect, record) = self.with_decider(order, |decider| {
            let is_renewal = decider.lease.is_renewal_due(asked_at);
            let record = LeaseRecord {
                rollout: order.key(),
                epoch: decider.lease.epoch() + u64::from(!is_renewal),
                holder: self.fleet.base.incarnation,
                elapsed_ms: decider.elapsed(asked_at, known_at),
            };
            (decider.lease.claimable(asked_at), record)
        });
        let Some(expect) = expect else { return };
        match self.store.write(Kind::RolloutLeases, name, expect, &record).await {
            WriteOutcome::Written(version) => {
                self.with_decider(order, |decider| {
                    decider.lease.record_written(asked_at, version, record.epoch);
                });
            }
            failed => {
                slog::info!(self.fleet.base.log, "lease of a rollout not written";
                    "service" => name, "epoch" => record.epoch, "outcome" => ?failed);
                self.with_decider(order, |decider| decider.lease.record_lost());
            }
        }
    }

    /// Decides on a rollout whose lease this daemon holds, and writes its state when it changes.
    async fn decide(self: &Arc<Self>, order: &RolloutOrder) {
        let now = self.fleet.base.clock.now();
        let Some(max_fraction) = self.fleet.base.cfg.rollout_fraction() else { return };
        if order.state == RolloutState::Ordered
            && !self.write_state(order, RolloutState::Running).await
        {
            return;
        }
        let known_at = self.known_at(order);
        let ended = self.with_decider(order, |decider| {
            let elapsed = decider.elapsed(now, known_at);
            let decision = decider.decide(now, elapsed, order, max_fraction)?;
            slog::info!(self.fleet.base.log, "rollout decided";
                "service" => %order.service, "to_version" => %order.to_version,
                "decision" => ?decision, "outcomes" => ?decider.plan.sum());
            decider.ended
        });
        let ended = ended.or_else(|| self.with_decider(order, |decider| decider.ended));
        if let Some(state) = ended {
            self.write_state(order, state).await;
        }
    }

    /// Writes the state of a rollout to the store; returns whether it was written.
    async fn write_state(&self, order: &RolloutOrder, state: RolloutState) -> bool {
        let outcome = self.store.write_rollout_state(order, state).await;
        let is_written = matches!(outcome, WriteOutcome::Written(_));
        slog::info!(self.fleet.base.log, "state of a rollout written";
            "service" => %order.service, "state" => ?state, "written" => is_written);
        // The watch or the next heartbeats bring the new state, and the version for the next write.
        is_written
    }
}

impl Decider {
    /// Records what the store holds. A record of an earlier rollout of the service is replaced.
    fn record_lease(
        &mut self,
        now: Millis,
        order: &RolloutOrder,
        read: Option<Versioned<LeaseRecord>>,
    ) {
        if let Some(read) = &read
            && read.value.rollout == order.key()
        {
            (self.elapsed_ms, self.elapsed_at) = (read.value.elapsed_ms, now);
        }
        self.lease.record_read(now, read.map(|read| (read.version, read.value.epoch)));
    }
}
