//! Permit requests, and enforcement by fixed shares without permits.

use bankcove_core::limits::{Issued, LimitFact, PermitRequest, RequestRate};
use bankcove_core::{Incarnation, Millis};

use super::event::{CallerRequest, Event};
use super::{NO_ISSUER_RETRY_MS, Simulation};

/// Time to wait for a response to a permit request, in milliseconds.
const PERMIT_TIMEOUT_MS: Millis = 100;
/// Time for which an issuer that timed out is skipped, in milliseconds.
const UNRESPONSIVE_MS: Millis = 1_000;
/// Estimated size of a permit request with its response, in bytes. The bodies have 83 bytes, which
/// include the fact of 53 bytes in the request; the `slopes` benchmark prints both sizes. The rest
/// is an allowance for the framing of the call and for the fact that the response may contain.
const PERMIT_CALL_BYTES: u64 = 220;

impl Simulation {
    /// Sends the request if the daemon's share of the limit (90 % of it, divided into `parts`)
    /// allows it; otherwise tries other servers. The daemon saves up at most one request.
    pub(super) fn send_within_own_share(
        &mut self,
        req: CallerRequest,
        server: usize,
        limit: RequestRate,
        parts: usize,
        may_send: bool,
    ) {
        let now = self.now;
        let daemon = &mut self.daemons[req.daemon];
        let part_ms = limit.per_second() * 0.9 / parts as f64 / 1_000.0;
        let (own_share, at) = daemon.own_share[server];
        let own_share = (own_share + (now - at) as f64 * part_ms).min(1.0);
        daemon.own_share[server] = (own_share, now);
        if may_send && own_share >= 1.0 {
            daemon.own_share[server].0 -= 1.0;
            return self.send(&req, server);
        }
        let next_ms =
            if may_send { (1.0 - own_share) / part_ms } else { NO_ISSUER_RETRY_MS as f64 };
        daemon.skipped_until[server] = now + (next_ms.ceil() as Millis).clamp(1, 10_000);
        self.route(req);
    }

    /// Requests permits from the first issuer that is not skipped.
    pub(super) fn request_permit(&mut self, req: CallerRequest, server: usize) {
        let (from, now) = (req.daemon, self.now);
        let instance = self.instances[server].clone();
        let issuers = self.fleet.issuers(from, &instance, now);
        let daemon = &mut self.daemons[from];
        let fact = daemon.limits.fact(now, &instance).expect("the limit of the server is known");
        let permits = daemon.leases.permits_to_request(now, &instance);
        let request = PermitRequest { from: Incarnation(from as u64), permits, urgency: 0 };
        if daemon.leases.is_scarce(now, &instance) {
            daemon.skipped_until[server] = now + PERMIT_TIMEOUT_MS;
        }
        let issuer = issuers.into_iter().find(|issuer| now >= daemon.unresponsive_until(*issuer));
        let call_id = self.next_call_id;
        self.next_call_id += 1;
        self.waiting_requests.insert(call_id, req);
        let Some(to) = issuer else {
            return self.handle_denial(call_id, server, NO_ISSUER_RETRY_MS);
        };
        if to == from {
            let (issued, is_unlimited, newer_fact) = self.issue(to, server, &fact, request);
            return self.handle_permit_response(
                server,
                issued,
                is_unlimited,
                newer_fact,
                now,
                call_id,
            );
        }
        self.outcome.permit_requests += 1;
        self.outcome.bytes += PERMIT_CALL_BYTES;
        self.push(now + PERMIT_TIMEOUT_MS, Event::PermitTimeout { call_id, server, peer: to });
        if self.setup.faults.can_reach(from, to, now) {
            let at = now + self.delay();
            self.push(
                at,
                Event::PermitRequested {
                    from,
                    to,
                    server,
                    fact,
                    request,
                    requested_at: now,
                    call_id,
                },
            );
        }
    }

    /// Issues permits for a request of a peer, and responds.
    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    pub(super) fn handle_permit_request(
        &mut self,
        from: usize,
        to: usize,
        server: usize,
        fact: &LimitFact,
        request: PermitRequest,
        requested_at: Millis,
        call_id: u64,
    ) {
        let (issued, is_unlimited, newer_fact) = self.issue(to, server, fact, request);
        if self.setup.faults.can_reach(to, from, self.now) {
            let at = self.now + self.delay();
            self.push(
                at,
                Event::PermitResponse {
                    server,
                    issued,
                    is_unlimited,
                    newer_fact,
                    requested_at,
                    call_id,
                },
            );
        }
    }

    /// Issues permits at the daemon `at`. Returns them, whether the server has no limit there, and
    /// the limit known there if it differs from `fact`.
    pub(super) fn issue(
        &mut self,
        at: usize,
        server: usize,
        fact: &LimitFact,
        request: PermitRequest,
    ) -> (Issued, bool, Option<LimitFact>) {
        self.merge_facts(at, std::slice::from_ref(fact));
        let instance = self.instances[server].clone();
        let position = self.fleet.position(at, &instance, self.now, self.daemons[at].started_at);
        let daemon = &mut self.daemons[at];
        let known = daemon.limits.fact(self.now, &instance);
        let newer_fact = known.clone().filter(|known| known.limit != fact.limit);
        let Some(limit) = known.and_then(|known| known.limit) else {
            return (Issued { permits: 0, retry_ms: 0 }, true, newer_fact);
        };
        (daemon.issuer.issue(self.now, &instance, limit, position, request), false, newer_fact)
    }

    /// Adds issued permits to the leases, and sends the waiting request if it gets one.
    pub(super) fn handle_permit_response(
        &mut self,
        server: usize,
        issued: Issued,
        is_unlimited: bool,
        newer_fact: Option<LimitFact>,
        requested_at: Millis,
        call_id: u64,
    ) {
        let Some(req) = self.waiting_requests.get(&call_id).cloned() else { return };
        let (now, instance) = (self.now, self.instances[server].clone());
        self.merge_facts(req.daemon, newer_fact.as_slice());
        let daemon = &mut self.daemons[req.daemon];
        daemon.leases.add(requested_at, &instance, issued.permits);
        let may_send = is_unlimited || daemon.leases.take(now, &instance).is_some();
        if !may_send {
            return self.handle_denial(call_id, server, issued.retry_ms);
        }
        daemon.skipped_until[server] = 0;
        self.waiting_requests.remove(&call_id);
        self.send(&req, server);
    }

    /// Skips the server for `retry_ms` and tries other servers.
    pub(super) fn handle_denial(&mut self, call_id: u64, server: usize, retry_ms: Millis) {
        let Some(req) = self.waiting_requests.remove(&call_id) else { return };
        let daemon = &mut self.daemons[req.daemon];
        daemon.skipped_until[server] = self.now + retry_ms.max(1);
        daemon.leases.record_denial(self.now, &self.instances[server]);
        self.route(req);
    }

    /// Skips the issuer for [`UNRESPONSIVE_MS`], and handles the timeout as a denial.
    pub(super) fn handle_timeout(&mut self, call_id: u64, server: usize, peer: usize) {
        let Some(req) = self.waiting_requests.get(&call_id) else { return };
        self.daemons[req.daemon].unresponsive_until.insert(peer, self.now + UNRESPONSIVE_MS);
        self.handle_denial(call_id, server, NO_ISSUER_RETRY_MS);
    }
}
