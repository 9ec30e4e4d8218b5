//! Asks for permits, and the ways without any.

use bankcove_core::limits::{Issued, LimitFact, PermitRequest, RequestRate};
use bankcove_core::{Incarnation, Millis};

use super::event::{Event, Req};
use super::{NOBODY_MS, World};

const ASK_TIMEOUT_MS: Millis = 100;
const SILENT_MS: Millis = 1_000;
/// Bytes of an ask with its answer (83 of bodies, by `slopes`, and what calls put around them),
/// and of a fact (53).
const ASK_BYTES: u64 = 220;

impl World {
    pub(super) fn keep_own_part(
        &mut self,
        req: Req,
        server: usize,
        limit: RequestRate,
        parts: usize,
        may_send: bool,
    ) {
        let now = self.now;
        let daemon = &mut self.daemons[req.daemon];
        let part_ms = limit.per_second() * 0.9 / parts as f64 / 1_000.0;
        let (saved, at) = daemon.saved[server];
        let saved = (saved + (now - at) as f64 * part_ms).min(1.0);
        daemon.saved[server] = (saved, now);
        if may_send && saved >= 1.0 {
            daemon.saved[server].0 -= 1.0;
            return self.send(&req, server);
        }
        let next_ms = if may_send { (1.0 - saved) / part_ms } else { NOBODY_MS as f64 };
        daemon.passed_over[server] = now + (next_ms.ceil() as Millis).clamp(1, 10_000);
        self.choose(req);
    }

    pub(super) fn ask(&mut self, req: Req, server: usize) {
        let (from, now) = (req.daemon, self.now);
        let start = self.starts[server].clone();
        let issuers = self.fleet.issuers(from, &start, now);
        let daemon = &mut self.daemons[from];
        let fact = daemon.book.fact(now, &start).expect("a limit is known");
        let permits = daemon.leases.permits_to_request(now, &start);
        let wish = PermitRequest { from: Incarnation(from as u64), permits, urgency: 0 };
        if daemon.leases.is_scarce(now, &start) {
            daemon.passed_over[server] = now + ASK_TIMEOUT_MS;
        }
        let issuer = issuers.into_iter().find(|issuer| now >= daemon.silent_until(*issuer));
        let ask = self.numbers;
        self.numbers += 1;
        self.waiting.insert(ask, req);
        let Some(to) = issuer else { return self.denied(ask, server, NOBODY_MS) };
        if to == from {
            let (issued, is_free, newer) = self.issue(to, server, &fact, wish);
            return self.answered(server, issued, is_free, newer, now, ask);
        }
        self.out.asks += 1;
        self.out.bytes += ASK_BYTES;
        self.push(now + ASK_TIMEOUT_MS, Event::Timeout { ask, server, peer: to });
        if self.setup.troubles.reaches(from, to, now) {
            let at = now + self.delay();
            self.push(at, Event::Ask { from, to, server, fact, wish, asked_at: now, ask });
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    pub(super) fn asked(
        &mut self,
        from: usize,
        to: usize,
        server: usize,
        fact: &LimitFact,
        wish: PermitRequest,
        asked_at: Millis,
        ask: u64,
    ) {
        let (issued, is_free, newer) = self.issue(to, server, fact, wish);
        if self.setup.troubles.reaches(to, from, self.now) {
            let at = self.now + self.delay();
            self.push(at, Event::Answer { server, issued, is_free, newer, asked_at, ask });
        }
    }

    pub(super) fn issue(
        &mut self,
        at: usize,
        server: usize,
        fact: &LimitFact,
        wish: PermitRequest,
    ) -> (Issued, bool, Option<LimitFact>) {
        self.take_facts(at, std::slice::from_ref(fact));
        let start = self.starts[server].clone();
        let place = self.fleet.place(at, &start, self.now, self.daemons[at].started_at);
        let daemon = &mut self.daemons[at];
        let known = daemon.book.fact(self.now, &start);
        let newer = known.clone().filter(|known| known.limit != fact.limit);
        let Some(limit) = known.and_then(|known| known.limit) else {
            return (Issued { permits: 0, retry_ms: 0 }, true, newer);
        };
        (daemon.issuer.issue(self.now, &start, limit, place, wish), false, newer)
    }

    pub(super) fn answered(
        &mut self,
        server: usize,
        issued: Issued,
        is_free: bool,
        newer: Option<LimitFact>,
        asked_at: Millis,
        ask: u64,
    ) {
        let Some(req) = self.waiting.get(&ask).cloned() else { return };
        let (now, start) = (self.now, self.starts[server].clone());
        self.take_facts(req.daemon, newer.as_slice());
        let daemon = &mut self.daemons[req.daemon];
        daemon.leases.add(asked_at, &start, issued.permits);
        let may_send = is_free || daemon.leases.take(now, &start).is_some();
        if !may_send {
            return self.denied(ask, server, issued.retry_ms);
        }
        daemon.passed_over[server] = 0;
        self.waiting.remove(&ask);
        self.send(&req, server);
    }

    pub(super) fn denied(&mut self, ask: u64, server: usize, retry_ms: Millis) {
        let Some(req) = self.waiting.remove(&ask) else { return };
        let daemon = &mut self.daemons[req.daemon];
        daemon.passed_over[server] = self.now + retry_ms.max(1);
        daemon.leases.record_denial(self.now, &self.starts[server]);
        self.choose(req);
    }

    pub(super) fn timed_out(&mut self, ask: u64, server: usize, peer: usize) {
        let Some(req) = self.waiting.get(&ask) else { return };
        self.daemons[req.daemon].silent.insert(peer, self.now + SILENT_MS);
        self.denied(ask, server, NOBODY_MS);
    }
}
