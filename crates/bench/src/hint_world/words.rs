//! What daemons read in answers, and tell each other.

use bankcove_core::Millis;
use bankcove_core::hints::LeavingFact;
use bankcove_core::router::Choice;
use rand::Rng;

use super::{Event, HEARTBEAT_MS, Head, RestWay, World};

const HEARTBEAT_FANOUT: usize = 2;
const TOLD_AT_ONCE: usize = 10;
const GATHER_MS: Millis = 20;
const ASK_PAUSE_MS: Millis = 1_000;
const MOST_PULLED: usize = 512;
/// Bytes of a word on the wire: a name of some 12 bytes, a start, an age and their lengths.
const FACT_BYTES: u64 = 40;

impl World {
    pub(super) fn observe(&mut self, daemon: usize, choice: &Choice, head: Head) {
        let (now, start) = (self.now, choice.instance());
        if head.leaves {
            self.check.read_leaving(daemon, &start, now);
            if let Some(fact) = self.daemons[daemon].router.record_leaving(now, &start) {
                self.tell_leaving(daemon, vec![fact]);
                self.note_known(&start);
            }
        }
        let Some(rest_ms) = head.rest_ms else { return };
        if self.setup.way == RestWay::Ignored {
            return;
        }
        let is_new = self.daemons[daemon].router.record_rest(now, &start, rest_ms);
        if !is_new || self.setup.way != RestWay::Told {
            return;
        }
        for to in self.peers(daemon, TOLD_AT_ONCE) {
            self.out.bytes += FACT_BYTES;
            let at = now + GATHER_MS + self.delay();
            let left_ms = rest_ms.saturating_sub(GATHER_MS);
            self.events.at(at, Event::Rest { to, server: start.clone(), left_ms });
        }
    }

    fn peers(&mut self, from: usize, most: usize) -> Vec<usize> {
        let count = most.min(self.daemons.len() - 1);
        let drawn: Vec<usize> =
            (0..count).map(|_| self.rng.random_range(0..self.daemons.len())).collect();
        let reached = |to: &usize| *to != from && self.setup.troubles.reaches(from, *to, self.now);
        drawn.into_iter().filter(reached).collect()
    }

    fn tell_leaving(&mut self, from: usize, facts: Vec<LeavingFact>) {
        for to in self.peers(from, TOLD_AT_ONCE) {
            self.out.bytes += FACT_BYTES * facts.len() as u64;
            let at = self.now + GATHER_MS + self.delay();
            let aged = facts.iter().cloned();
            let facts = aged.map(|f| LeavingFact { age_ms: f.age_ms + GATHER_MS, ..f }).collect();
            self.events.at(at, Event::Leaving { to, facts });
        }
    }

    pub(super) fn told_leaving(&mut self, to: usize, facts: &[LeavingFact]) {
        let new = self.daemons[to].router.merge_leaving(self.now, facts);
        for fact in &new {
            self.note_known(&fact.server);
        }
        if !new.is_empty() {
            self.tell_leaving(to, new);
        }
    }

    /// Notes how long it took until all daemons that are up knew of the first word.
    fn note_known(&mut self, server: &bankcove_core::crashes::ServerInstance) {
        let Some(at) = self.check.first_word(server) else { return };
        let knows = |daemon: &super::Daemon| daemon.router.check_open(self.now, server).is_err();
        if self.daemons.iter().all(knows) {
            let took = self.now - at;
            self.out.known_ms = Some(self.out.known_ms.map_or(took, |known| known.max(took)));
        }
    }

    pub(super) fn beat(&mut self, daemon: usize) {
        self.events.at(self.now + HEARTBEAT_MS, Event::Beat { daemon });
        self.daemons[daemon].router.remove_expired_hints(self.now);
        for peer in self.peers(daemon, HEARTBEAT_FANOUT) {
            let is_frozen = self.setup.troubles.thaws_at(peer, self.now).is_some();
            let digest = |n: usize| self.daemons[n].router.leaving_digest();
            if is_frozen || digest(daemon) == digest(peer) {
                continue;
            }
            self.ask_for_facts(daemon, peer);
            self.ask_for_facts(peer, daemon);
        }
    }

    fn ask_for_facts(&mut self, asker: usize, peer: usize) {
        if self.now < self.daemons[asker].asks_from {
            return;
        }
        self.daemons[asker].asks_from = self.now + ASK_PAUSE_MS;
        let turn = self.rng.random_range(0..usize::MAX);
        let facts = self.daemons[peer].router.leaving_facts(self.now, MOST_PULLED, turn);
        self.out.bytes += FACT_BYTES * facts.len() as u64;
        self.told_leaving(asker, &facts);
    }
}
