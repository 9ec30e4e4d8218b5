//! Counts what reached servers against what they had said.

use std::collections::HashMap;

use bankcove_core::Millis;
use bankcove_core::crashes::ServerInstance;

use super::{Outcome, Setup};
use crate::limit_world::Kind;

/// A word binds from so long after it.
const SLACK_MS: Millis = 500;

/// A daemon, a server and its start.
type Way = (usize, usize, Millis);

/// What happened between daemons and servers.
#[derive(Debug, Default)]
pub(super) struct Check {
    arrivals: HashMap<Way, Vec<Millis>>,
    rests: Vec<(Way, Millis, Millis)>,
    read: HashMap<(usize, ServerInstance), Millis>,
    first: HashMap<ServerInstance, Millis>,
}

impl Check {
    pub(super) fn arrived(&mut self, daemon: usize, server: usize, start: Millis, now: Millis) {
        self.arrivals.entry((daemon, server, start)).or_default().push(now);
    }

    pub(super) fn asked(
        &mut self,
        daemon: usize,
        server: usize,
        start: Millis,
        now: Millis,
        rest_ms: Millis,
    ) {
        self.rests.push(((daemon, server, start), now, rest_ms));
    }

    pub(super) fn read_leaving(&mut self, daemon: usize, start: &ServerInstance, now: Millis) {
        self.read.entry((daemon, start.clone())).or_insert(now);
        self.first.entry(start.clone()).or_insert(now);
    }

    /// When any daemon read first that this start leaves.
    pub(super) fn first_word(&self, start: &ServerInstance) -> Option<Millis> {
        self.first.get(start).copied()
    }

    pub(super) fn finish(&self, out: &mut Outcome, setup: &Setup) {
        // A restart forgets, and a frozen daemon sends late what it had chosen before.
        let forgets = |daemon: usize, from: Millis, until: Millis| {
            setup.troubles.0.iter().any(|trouble| {
                trouble.kind != Kind::Cut
                    && trouble.daemons.contains(&daemon)
                    && trouble.from <= until
                    && trouble.until + SLACK_MS >= from
            })
        };
        for ((daemon, start), read_at) in &self.read {
            let number = start.name.as_str()[1..].parse().unwrap_or_default();
            let way = (*daemon, number, start.started_ms);
            let late = self.arrivals.get(&way).into_iter().flatten();
            out.late += late
                .filter(|at| **at > read_at + SLACK_MS && !forgets(*daemon, *read_at, **at))
                .count();
        }
        for (way, at, rest_ms) in &self.rests {
            let (from, until) = (at + SLACK_MS, at + rest_ms);
            if forgets(way.0, *at, until) {
                continue;
            }
            let arrivals = self.arrivals.get(way).into_iter().flatten();
            let within = arrivals.filter(|at| **at > from && **at < until).count();
            out.worst_rest = out.worst_rest.max(within);
        }
    }
}
