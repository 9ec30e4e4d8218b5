//! Counts requests that reached servers although they had announced that they are leaving or
//! asked for rest.

use std::collections::HashMap;

use bankcove_core::Millis;
use bankcove_core::crashes::ServerInstance;

use super::{Outcome, Setup};
use crate::limit_simulation::FaultKind;

/// Time after a hint from which it binds the daemon, in milliseconds.
const GRACE_MS: Millis = 500;

/// Daemon, server and start time of the server's instance.
type ArrivalKey = (usize, usize, Millis);

/// Requests and hints between daemons and servers.
#[derive(Debug, Default)]
pub(super) struct Check {
    arrivals: HashMap<ArrivalKey, Vec<Millis>>,
    /// Requested rests with their time and length.
    rests: Vec<(ArrivalKey, Millis, Millis)>,
    /// Time at which each daemon received the announcement of each leaving instance.
    leaving_received_at: HashMap<(usize, ServerInstance), Millis>,
    /// Time at which the first daemon received it.
    first_received_at: HashMap<ServerInstance, Millis>,
}

impl Check {
    /// Records that a request of the daemon reached the server.
    pub(super) fn record_arrival(
        &mut self,
        daemon: usize,
        server: usize,
        started_ms: Millis,
        now: Millis,
    ) {
        self.arrivals.entry((daemon, server, started_ms)).or_default().push(now);
    }

    /// Records that the server asked the daemon for rest.
    pub(super) fn record_rest(
        &mut self,
        daemon: usize,
        server: usize,
        started_ms: Millis,
        now: Millis,
        rest_ms: Millis,
    ) {
        self.rests.push(((daemon, server, started_ms), now, rest_ms));
    }

    /// Records that the daemon received the announcement that this instance is leaving.
    pub(super) fn record_leaving(&mut self, daemon: usize, instance: &ServerInstance, now: Millis) {
        self.leaving_received_at.entry((daemon, instance.clone())).or_insert(now);
        self.first_received_at.entry(instance.clone()).or_insert(now);
    }

    /// Returns when the first daemon received the announcement that this instance is leaving.
    pub(super) fn first_announcement(&self, instance: &ServerInstance) -> Option<Millis> {
        self.first_received_at.get(instance).copied()
    }

    /// Computes the counts of the outcome.
    pub(super) fn finish(&self, outcome: &mut Outcome, setup: &Setup) {
        // A restarted daemon has lost the hints, and a suspended one sends requests late that
        // it had routed before.
        let is_exempt = |daemon: usize, from: Millis, until: Millis| {
            setup.faults.0.iter().any(|fault| {
                fault.kind != FaultKind::Partition
                    && fault.daemons.contains(&daemon)
                    && fault.from <= until
                    && fault.until + GRACE_MS >= from
            })
        };
        for ((daemon, instance), received_at) in &self.leaving_received_at {
            let number = instance.name.as_str()[1..].parse().unwrap_or_default();
            let key = (*daemon, number, instance.started_ms);
            let arrivals = self.arrivals.get(&key).into_iter().flatten();
            outcome.late_requests += arrivals
                .filter(|at| {
                    **at > received_at + GRACE_MS && !is_exempt(*daemon, *received_at, **at)
                })
                .count();
        }
        for (key, at, rest_ms) in &self.rests {
            let (from, until) = (at + GRACE_MS, at + rest_ms);
            if is_exempt(key.0, *at, until) {
                continue;
            }
            let arrivals = self.arrivals.get(key).into_iter().flatten();
            let within = arrivals.filter(|at| **at > from && **at < until).count();
            outcome.max_in_rest = outcome.max_in_rest.max(within);
        }
    }
}
