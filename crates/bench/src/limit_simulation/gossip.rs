//! Limits in responses, and their exchange between daemons: new ones are sent to random peers,
//! and heartbeats with differing digests exchange all of them.

use bankcove_core::Millis;
use bankcove_core::limits::{LimitFact, LimitHeader};
use rand::Rng;

use super::event::Event;
use super::{Enforcement, HEARTBEAT_MS, Simulation};

/// Number of peers that one heartbeat is sent to.
const HEARTBEAT_FANOUT: usize = 2;
/// Number of peers that a changed limit is sent to.
const FANOUT: usize = 10;
/// Time for which facts are collected before they are sent, in milliseconds.
const BATCH_WINDOW_MS: Millis = 20;
/// Size of an encoded fact in bytes, as printed by the `slopes` benchmark.
const FACT_BYTES: u64 = 53;

impl Simulation {
    /// Records the limit header of a server's response.
    pub(super) fn handle_response(
        &mut self,
        daemon: usize,
        server: usize,
        requested_at: Millis,
        header: &LimitHeader,
    ) {
        if matches!(header, LimitHeader::Limit(_)) {
            self.announced_at[server].get_or_insert(self.now);
            self.first_response_at.entry((daemon, server)).or_insert(self.now);
        }
        let instance = self.instances[server].clone();
        let change =
            self.daemons[daemon].limits.record_response(self.now, &instance, requested_at, header);
        if let Some(change) = change {
            self.apply_change(daemon, change.fact);
        }
    }

    /// Uses the server again if its limit was lifted, and sends the change to peers.
    pub(super) fn apply_change(&mut self, daemon: usize, fact: LimitFact) {
        if let Some(server) = self.index.get(&fact.server).copied()
            && fact.limit.is_none()
        {
            self.daemons[daemon].skipped_until[server] = 0;
        }
        self.send_facts(daemon, vec![fact]);
        self.record_propagation();
    }

    /// Records the time until all daemons know the limit of server 0.
    pub(super) fn record_propagation(&mut self) {
        let (Some(at), None) = (self.announced_at[0], self.outcome.propagation_ms) else { return };
        let instance = &self.instances[0];
        if self.daemons.iter().all(|daemon| daemon.limits.limit(instance).is_some()) {
            self.outcome.propagation_ms = Some(self.now - at);
        }
    }

    /// Merges facts of a peer into the limits of a daemon.
    pub(super) fn merge_facts(&mut self, daemon: usize, facts: &[LimitFact]) {
        let changes = self.daemons[daemon].limits.merge(self.now, facts);
        for change in changes {
            self.apply_change(daemon, change.fact);
        }
    }

    /// Sends facts to random peers.
    pub(super) fn send_facts(&mut self, from: usize, facts: Vec<LimitFact>) {
        if self.setup.enforcement == Enforcement::None {
            return;
        }
        let sent_at = self.now;
        for _ in 0..FANOUT.min(self.daemons.len() - 1) {
            let to = self.rng.random_range(0..self.daemons.len());
            self.outcome.bytes += FACT_BYTES * facts.len() as u64;
            if to != from && self.setup.faults.can_reach(from, to, self.now) {
                let at = self.now + BATCH_WINDOW_MS + self.delay();
                self.push(at, Event::Facts { to, facts: facts.clone(), sent_at });
            }
        }
    }

    /// Merges facts that were collected for sending at `sent_at`.
    pub(super) fn receive_facts(&mut self, to: usize, mut facts: Vec<LimitFact>, sent_at: Millis) {
        // The ages in a fact include the time before it was sent, but not the time in transit.
        let waited = BATCH_WINDOW_MS.min(self.now - sent_at);
        for fact in &mut facts {
            fact.request_age_ms += waited;
            fact.received_age_ms += waited;
        }
        self.merge_facts(to, &facts);
    }

    /// Compares digests with random peers; daemons whose digests differ exchange all facts.
    pub(super) fn heartbeat(&mut self, daemon: usize) {
        self.push(self.now + HEARTBEAT_MS, Event::Heartbeat { daemon });
        for _ in 0..HEARTBEAT_FANOUT {
            let peer = self.rng.random_range(0..self.daemons.len());
            let can_reach = self.setup.faults.can_reach(daemon, peer, self.now)
                && self.setup.faults.resumes_at(peer, self.now).is_none();
            if peer == daemon || !can_reach || self.setup.enforcement == Enforcement::None {
                continue;
            }
            if self.daemons[daemon].limits.digest() == self.daemons[peer].limits.digest() {
                continue;
            }
            for (one, other) in [(daemon, peer), (peer, daemon)] {
                let facts = self.daemons[one].limits.facts(self.now, usize::MAX, 0);
                self.outcome.bytes += FACT_BYTES * facts.len() as u64;
                self.merge_facts(other, &facts);
            }
        }
    }
}
