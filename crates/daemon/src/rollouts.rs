//! Rollouts: which version of a service a request goes to, and how the two versions do.
//!
//! Owns the list of ordered rollouts (`sync`), this daemon's share of each and its outcomes
//! (`report`), and the decisions on those that it decides on (`decider`). May call the store,
//! `fleet` and peers; called by `membership`, `requests`, `entry` and `peer_server`.

mod decider;
pub mod report;
pub mod sync;

use std::collections::HashMap;

use bankcove_core::rollout::{
    Exposure, RolloutKey, RolloutList, RolloutOrder, RolloutOrders, ServiceOutcomes, Versions,
};
use bankcove_core::{Millis, Name};
use bankcove_ports::Store;
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::fleet::Fleet;
use crate::peer::{RolloutAnswer, RolloutReport};
use crate::rollouts::decider::Decider;

/// Rollouts as known to this daemon.
pub struct Rollouts {
    fleet: Fleet,
    store: Store,
    list: Mutex<RolloutList>,
    /// This daemon's part in each rollout that it has learned of.
    parts: Mutex<HashMap<RolloutKey, Part>>,
    /// State of the rollouts for which this daemon is a candidate to decide.
    deciders: Mutex<HashMap<RolloutKey, Decider>>,
}

/// This daemon's part in one rollout.
struct Part {
    /// When this daemon learned of it.
    known_at: Millis,
    exposure: Exposure,
    outcomes: ServiceOutcomes,
}

/// Version of a server to which one attempt was sent, for its outcome.
#[derive(Debug, Clone)]
pub struct VersionTrial {
    rollout: RolloutKey,
    route: Name,
    is_new: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TrialOutcome {
    /// It was answered; with the time that is compared, in milliseconds, if it was measured.
    Answered(Option<f64>),
    /// It failed, or its outcome is unknown.
    Failed,
}

impl Rollouts {
    /// Creates the state before the list is received.
    pub fn new(fleet: Fleet, store: Store) -> Self {
        Rollouts {
            fleet,
            store,
            list: Mutex::default(),
            parts: Mutex::default(),
            deciders: Mutex::default(),
        }
    }

    /// Returns the list, to send it to peers.
    pub fn orders(&self) -> RolloutOrders {
        self.list.lock().orders().clone()
    }

    /// Adopts the list of a peer if it is newer.
    pub fn merge_from_peer(&self, orders: &RolloutOrders) {
        // Nearly all heartbeats carry the list that is known.
        let is_newer = orders.at > self.list.lock().orders().at;
        if is_newer && self.list.lock().adopt(orders.clone()) {
            self.publish_change();
        }
    }

    /// Returns whether this daemon knows which rollouts were ordered, or the platform orders none.
    pub fn is_known(&self) -> bool {
        self.fleet.base.cfg.rollout_fraction().is_none() || self.list.lock().orders().at > 0
    }

    /// Chooses a server by `choose`, among those of the version whose turn it is. `is_first` is
    /// whether it is the first attempt of its request. When no server of the new version is usable
    /// in its turn, the old one is used.
    pub fn choose<T, E>(
        &self,
        service: &Name,
        is_first: bool,
        choose: impl Fn(Versions) -> Result<T, E>,
    ) -> Result<T, E> {
        let Some(order) = self.order(service) else { return choose(Versions::Any) };
        let now = self.fleet.base.clock.now();
        let mut parts = self.parts.lock();
        let part = parts.entry(order.key()).or_insert_with(|| Part::new(now));
        let versions = part.exposure.versions(now, &order, is_first);
        drop(parts);
        let chosen = choose(versions);
        let is_turn = matches!(versions, Versions::Only(_)) && !order.state.is_final();
        if chosen.is_err() && is_turn {
            return choose(Versions::Except(&order.to_version));
        }
        chosen
    }

    /// Returns the trial of an attempt on this route at a server of this version; `None` while no
    /// rollout of the service is under way.
    pub fn trial(
        &self,
        service: &Name,
        route: &Name,
        version: Option<&Name>,
    ) -> Option<VersionTrial> {
        let order = self.order(service).filter(|order| !order.state.is_final())?;
        let is_new = version == Some(&order.to_version);
        Some(VersionTrial { rollout: order.key(), route: route.clone(), is_new })
    }

    /// Records how an attempt ended.
    pub fn record(&self, trial: &VersionTrial, outcome: TrialOutcome) {
        let mut parts = self.parts.lock();
        let Some(part) = parts.get_mut(&trial.rollout) else { return };
        let route = part.outcomes.routes.entry(trial.route.clone()).or_default();
        let outcomes = if trial.is_new { &mut route.new } else { &mut route.old };
        match outcome {
            TrialOutcome::Answered(millis) => outcomes.record_answer(millis),
            TrialOutcome::Failed => outcomes.record_failure(),
        }
    }

    /// Takes a report of a daemon into account, if this daemon decides on the rollout.
    pub fn record_report(&self, report: RolloutReport) -> RolloutAnswer {
        let now = self.fleet.base.clock.now();
        let mut deciders = self.deciders.lock();
        let decider = deciders.get_mut(&report.rollout);
        let fraction = decider.and_then(|decider| decider.record_report(now, report));
        RolloutAnswer { fraction }
    }

    /// Returns the rollouts, this daemon's part in each and the decisions made here as JSON, for
    /// operators.
    pub fn dump(&self) -> Value {
        let now = self.fleet.base.clock.now();
        let orders = self.orders();
        let row = |order: &RolloutOrder| {
            let key = order.key();
            let parts = self.parts.lock();
            let part = parts.get(&key);
            let deciders = self.deciders.lock();
            json!({
                "service": order.service, "to_version": order.to_version,
                "state": order.state, "duration_ms": order.duration_ms,
                "known_ms": part.map(|part| now.saturating_sub(part.known_at)),
                "fraction": part.map(|part| part.exposure.fraction(now)),
                "outcomes_here": part.map(|part| &part.outcomes),
                "decides": deciders.get(&key).is_some_and(|decider| decider.is_deciding(now)),
            })
        };
        orders.orders.values().map(row).collect()
    }

    /// Returns the order for a service.
    fn order(&self, service: &Name) -> Option<RolloutOrder> {
        self.list.lock().order(service).cloned()
    }

    /// Logs the list, creates and removes this daemon's parts, and triggers heartbeats, which carry
    /// the list to peers.
    fn publish_change(&self) {
        let orders = self.orders();
        let now = self.fleet.base.clock.now();
        let is_ordered = |key: &RolloutKey| orders.orders.values().any(|order| order.key() == *key);
        let mut parts = self.parts.lock();
        parts.retain(|key, _| is_ordered(key));
        for order in orders.orders.values() {
            parts.entry(order.key()).or_insert_with(|| Part::new(now));
            slog::info!(self.fleet.base.log, "rollout";
                "service" => %order.service, "to_version" => %order.to_version,
                "state" => ?order.state, "duration_ms" => order.duration_ms, "version" => orders.at);
        }
        drop(parts);
        self.deciders.lock().retain(|key, _| is_ordered(key));
        self.fleet.heartbeat_now.notify_one();
    }
}

impl Part {
    fn new(now: Millis) -> Self {
        let exposure = Exposure::new(rand::random());
        Part { known_at: now, exposure, outcomes: ServiceOutcomes::default() }
    }
}
