//! What answers say of limits, and how daemons tell each other.

use bankcove_core::Millis;
use bankcove_core::limits::{LimitFact, LimitHeader};
use rand::Rng;

use super::event::Event;
use super::{HEARTBEAT_MS, Way, World};

const HEARTBEAT_FANOUT: usize = 2;
const TOLD_AT_ONCE: usize = 10;
const GATHER_MS: Millis = 20;
/// Bytes of a fact (by `slopes`).
const FACT_BYTES: u64 = 53;

impl World {
    pub(super) fn head(
        &mut self,
        daemon: usize,
        server: usize,
        asked_at: Millis,
        word: &LimitHeader,
    ) {
        if matches!(word, LimitHeader::Limit(_)) {
            self.named_at[server].get_or_insert(self.now);
            self.told_at.entry((daemon, server)).or_insert(self.now);
        }
        let start = self.starts[server].clone();
        let change = self.daemons[daemon].book.record_response(self.now, &start, asked_at, word);
        if let Some(change) = change {
            self.take_change(daemon, change.fact);
        }
    }

    pub(super) fn take_change(&mut self, daemon: usize, fact: LimitFact) {
        if let Some(server) = self.index.get(&fact.server).copied()
            && fact.limit.is_none()
        {
            self.daemons[daemon].passed_over[server] = 0;
        }
        self.tell(daemon, vec![fact]);
        self.note_known();
    }

    pub(super) fn note_known(&mut self) {
        let (Some(at), None) = (self.named_at[0], self.out.known_ms) else { return };
        let start = &self.starts[0];
        if self.daemons.iter().all(|daemon| daemon.book.limit(start).is_some()) {
            self.out.known_ms = Some(self.now - at);
        }
    }

    pub(super) fn take_facts(&mut self, daemon: usize, facts: &[LimitFact]) {
        let changes = self.daemons[daemon].book.merge(self.now, facts);
        for change in changes {
            self.take_change(daemon, change.fact);
        }
    }

    pub(super) fn tell(&mut self, from: usize, facts: Vec<LimitFact>) {
        if self.setup.way == Way::None {
            return;
        }
        let sent_at = self.now;
        for _ in 0..TOLD_AT_ONCE.min(self.daemons.len() - 1) {
            let to = self.rng.random_range(0..self.daemons.len());
            self.out.bytes += FACT_BYTES * facts.len() as u64;
            if to != from && self.setup.troubles.reaches(from, to, self.now) {
                let at = self.now + GATHER_MS + self.delay();
                self.push(at, Event::Told { to, facts: facts.clone(), sent_at });
            }
        }
    }

    pub(super) fn told(&mut self, to: usize, mut facts: Vec<LimitFact>, sent_at: Millis) {
        // What waits to be told gets older; what is under way does not.
        let waited = GATHER_MS.min(self.now - sent_at);
        for fact in &mut facts {
            fact.request_age_ms += waited;
            fact.received_age_ms += waited;
        }
        self.take_facts(to, &facts);
    }

    pub(super) fn beat(&mut self, daemon: usize) {
        self.push(self.now + HEARTBEAT_MS, Event::Beat { daemon });
        for _ in 0..HEARTBEAT_FANOUT {
            let peer = self.rng.random_range(0..self.daemons.len());
            let reaches = self.setup.troubles.reaches(daemon, peer, self.now)
                && self.setup.troubles.thaws_at(peer, self.now).is_none();
            if peer == daemon || !reaches || self.setup.way == Way::None {
                continue;
            }
            if self.daemons[daemon].book.digest() == self.daemons[peer].book.digest() {
                continue;
            }
            for (one, other) in [(daemon, peer), (peer, daemon)] {
                let facts = self.daemons[one].book.facts(self.now, usize::MAX, 0);
                self.out.bytes += FACT_BYTES * facts.len() as u64;
                self.take_facts(other, &facts);
            }
        }
    }
}
