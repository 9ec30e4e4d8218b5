//! Counts what reached servers against what they had said.

use std::collections::HashMap;

use bankcove_core::Millis;
use bankcove_core::crashes::ServerStart;

use super::{Outcome, Setup};
use crate::limit_simulation::FaultKind;

/// A word binds from so long after it.
const GRACE_MS: Millis = 500;

/// A daemon, a server and its start.
type ArrivalKey = (usize, usize, Millis);

/// What happened between daemons and servers.
#[derive(Debug, Default)]
pub(super) struct Check {
    arrivals: HashMap<ArrivalKey, Vec<Millis>>,
    rests: Vec<(ArrivalKey, Millis, Millis)>,
    leaving_read_at: HashMap<(usize, ServerStart), Millis>,
    first_read_at: HashMap<ServerStart, Millis>,
}

impl Check {
    pub(super) fn record_arrival(
        &mut self,
        daemon: usize,
        server: usize,
        start: Millis,
        now: Millis,
    ) {
        self.arrivals.entry((daemon, server, start)).or_default().push(now);
    }

    pub(super) fn record_rest(
        &mut self,
        daemon: usize,
        server: usize,
        start: Millis,
        now: Millis,
        rest_ms: Millis,
    ) {
        self.rests.push(((daemon, server, start), now, rest_ms));
    }

    pub(super) fn record_leaving(&mut self, daemon: usize, start: &ServerStart, now: Millis) {
        self.leaving_read_at.entry((daemon, start.clone())).or_insert(now);
        self.first_read_at.entry(start.clone()).or_insert(now);
    }

    /// When any daemon read first that this start leaves.
    pub(super) fn first_announcement(&self, start: &ServerStart) -> Option<Millis> {
        self.first_read_at.get(start).copied()
    }

    pub(super) fn finish(&self, outcome: &mut Outcome, setup: &Setup) {
        // A restart forgets, and a frozen daemon sends late what it had chosen before.
        let is_exempt = |daemon: usize, from: Millis, until: Millis| {
            setup.faults.0.iter().any(|fault| {
                fault.kind != FaultKind::Partition
                    && fault.daemons.contains(&daemon)
                    && fault.from <= until
                    && fault.until + GRACE_MS >= from
            })
        };
        for ((daemon, start), read_at) in &self.leaving_read_at {
            let number = start.name.as_str()[1..].parse().unwrap_or_default();
            let key = (*daemon, number, start.started_ms);
            let arrivals = self.arrivals.get(&key).into_iter().flatten();
            outcome.late_requests += arrivals
                .filter(|at| **at > read_at + GRACE_MS && !is_exempt(*daemon, *read_at, **at))
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
