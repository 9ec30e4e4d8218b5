//! Hints in responses, and their exchange between daemons.

use bankcove_core::Millis;
use bankcove_core::hints::LeavingFact;
use bankcove_core::router::Choice;
use rand::Rng;

use super::{Event, HEARTBEAT_MS, ResponseHead, RestHandling, Simulation};

/// Number of peers that one heartbeat is sent to.
const HEARTBEAT_FANOUT: usize = 2;
/// Number of peers that a new fact is sent to.
const FANOUT: usize = 10;
/// Time for which facts are collected before they are sent, in milliseconds.
const BATCH_WINDOW_MS: Millis = 20;
/// Minimum interval between two fetches of a daemon, in milliseconds.
const MIN_FETCH_INTERVAL_MS: Millis = 1_000;
/// Maximum number of facts that one fetch returns.
const MAX_FETCHED_FACTS: usize = 512;
/// Size of an encoded fact in bytes: a name of about 12 bytes, a start time, an age and their
/// lengths.
const FACT_BYTES: u64 = 40;

impl Simulation {
    /// Records the hints of a response, and sends new ones to peers.
    pub(super) fn observe(&mut self, daemon: usize, choice: &Choice, head: ResponseHead) {
        let (now, instance) = (self.now, choice.instance());
        if head.is_leaving {
            self.check.record_leaving(daemon, &instance, now);
            if let Some(fact) = self.daemons[daemon].router.record_leaving(now, &instance) {
                self.send_leaving(daemon, vec![fact]);
                self.record_propagation(&instance);
            }
        }
        let Some(rest_ms) = head.rest_ms else { return };
        if self.setup.rest_handling == RestHandling::Ignored {
            return;
        }
        let is_new = self.daemons[daemon].router.record_rest(now, &instance, rest_ms);
        if !is_new || self.setup.rest_handling != RestHandling::Told {
            return;
        }
        for to in self.peers(daemon, FANOUT) {
            self.outcome.bytes += FACT_BYTES;
            let at = now + BATCH_WINDOW_MS + self.delay();
            let left_ms = rest_ms.saturating_sub(BATCH_WINDOW_MS);
            self.events.at(at, Event::Rest { to, server: instance.clone(), left_ms });
        }
    }

    /// Draws up to `max_count` random peers, and returns those that can be reached.
    fn peers(&mut self, from: usize, max_count: usize) -> Vec<usize> {
        let count = max_count.min(self.daemons.len() - 1);
        let drawn: Vec<usize> =
            (0..count).map(|_| self.rng.random_range(0..self.daemons.len())).collect();
        let reached = |to: &usize| *to != from && self.setup.faults.can_reach(from, *to, self.now);
        drawn.into_iter().filter(reached).collect()
    }

    /// Sends facts about leaving servers to random peers.
    fn send_leaving(&mut self, from: usize, facts: Vec<LeavingFact>) {
        for to in self.peers(from, FANOUT) {
            self.outcome.bytes += FACT_BYTES * facts.len() as u64;
            let at = self.now + BATCH_WINDOW_MS + self.delay();
            let aged = facts.iter().cloned();
            let facts =
                aged.map(|f| LeavingFact { age_ms: f.age_ms + BATCH_WINDOW_MS, ..f }).collect();
            self.events.at(at, Event::Leaving { to, facts });
        }
    }

    /// Merges facts about leaving servers from a peer, and forwards the new ones.
    pub(super) fn receive_leaving(&mut self, to: usize, facts: &[LeavingFact]) {
        let new = self.daemons[to].router.merge_leaving(self.now, facts);
        for fact in &new {
            self.record_propagation(&fact.server);
        }
        if !new.is_empty() {
            self.send_leaving(to, new);
        }
    }

    /// Records the time from the first announcement of a leaving server until all daemons know it.
    fn record_propagation(&mut self, server: &bankcove_core::crashes::ServerInstance) {
        let Some(at) = self.check.first_announcement(server) else { return };
        let knows = |daemon: &super::Daemon| daemon.router.check_open(self.now, server).is_err();
        if self.daemons.iter().all(knows) {
            let took = self.now - at;
            self.outcome.propagation_ms =
                Some(self.outcome.propagation_ms.map_or(took, |known| known.max(took)));
        }
    }

    /// Compares digests with random peers; daemons whose digests differ fetch each other's facts.
    pub(super) fn heartbeat(&mut self, daemon: usize) {
        self.events.at(self.now + HEARTBEAT_MS, Event::Heartbeat { daemon });
        self.daemons[daemon].router.remove_expired_hints(self.now);
        for peer in self.peers(daemon, HEARTBEAT_FANOUT) {
            let is_suspended = self.setup.faults.resumes_at(peer, self.now).is_some();
            let digest = |n: usize| self.daemons[n].router.leaving_digest();
            if is_suspended || digest(daemon) == digest(peer) {
                continue;
            }
            self.fetch_facts(daemon, peer);
            self.fetch_facts(peer, daemon);
        }
    }

    /// Fetches and merges the facts of a peer, unless `fetcher` has fetched facts recently.
    fn fetch_facts(&mut self, fetcher: usize, peer: usize) {
        if self.now < self.daemons[fetcher].next_fetch_at {
            return;
        }
        self.daemons[fetcher].next_fetch_at = self.now + MIN_FETCH_INTERVAL_MS;
        let offset = self.rng.random_range(0..usize::MAX);
        let facts = self.daemons[peer].router.leaving_facts(self.now, MAX_FETCHED_FACTS, offset);
        self.outcome.bytes += FACT_BYTES * facts.len() as u64;
        self.receive_leaving(fetcher, &facts);
    }
}
