//! Permits to send requests to backend servers. Every request needs one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::crashes::ServerInstance;
use bankcove_core::hints::Closed;
use bankcove_core::limits::{
    ISSUERS_PER_SERVER, LimitFact, PERMIT_LIFETIME_MS, PermitRequest, RequestRate,
};
use bankcove_core::members::Peer;
use bankcove_core::router::{AtLimit, Choice, FullPool};
use slog::Logger;
use tokio::sync::oneshot;

use crate::hints::Hints;
use crate::hints::slots::HeldSlot;
use crate::peer::{PeerServiceClient, PermitAnswer};

/// Timeout for requesting permits from a peer, for which a caller's request waits.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout for an answer after which its permits have expired.
const LATE_TIMEOUT: Duration = Duration::from_millis(PERMIT_LIFETIME_MS);

/// Time for which a server is skipped when no issuer can be asked, in milliseconds.
const NO_ISSUER_RETRY_MS: Millis = 200;

/// Permit to send one request to the chosen server. It is given back if dropped unused.
#[derive(Debug)]
pub struct Permit {
    choice: Choice,
    hints: Arc<Hints>,
    purpose: Purpose,
    /// Its expiry time; `None` if the server has no limit.
    expires_at: Option<Millis>,
    /// Slot that the request holds until it has ended.
    slot: Option<HeldSlot>,
    /// Time until which the slot may be used.
    slot_expires_at: Millis,
}

/// What a request is sent to a server for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// To be run: the server must be listed as serving.
    NewWork,
    /// To read on from a run of an earlier request, which a draining server finishes.
    RunningWork,
}

/// Reason for which a permit could not be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PermitError {
    /// It has expired, e.g. because this host was suspended.
    #[error("the permit was not used in time")]
    Expired,
    /// The server is leaving, resting or no longer listed by now.
    #[error(transparent)]
    Closed(#[from] Closed),
}

/// Reason for which no permit for a server is available.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoPermit {
    /// The server is at its limit.
    AtLimit(AtLimit),
    /// The server is leaving, resting or no longer listed.
    Closed(Closed),
    /// The server is brittle, and no slot is free.
    Full(FullPool),
}

impl From<AtLimit> for NoPermit {
    fn from(at_limit: AtLimit) -> Self {
        NoPermit::AtLimit(at_limit)
    }
}

impl Permit {
    /// Returns the chosen server.
    pub fn choice(&self) -> &Choice {
        &self.choice
    }

    /// Returns the slot of the request, which is to be kept until the request has ended.
    pub fn take_slot(&mut self) -> Option<HeldSlot> {
        self.slot.take()
    }

    /// Uses the permit, immediately before the request is sent.
    ///
    /// # Errors
    /// [`PermitError`] when the permit has expired, or nothing may be sent to the server by now.
    pub fn consume(mut self) -> Result<Choice, PermitError> {
        self.hints.check_choice(&self.choice, self.purpose)?;
        let now = self.hints.fleet.base.clock.now();
        let expires_at = self.expires_at.take();
        let is_expired =
            expires_at.is_some_and(|until| now >= until) || now >= self.slot_expires_at;
        if is_expired { Err(PermitError::Expired) } else { Ok(self.choice.clone()) }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(until) = self.expires_at.take() {
            let now = self.hints.fleet.base.clock.now();
            self.hints.leases.lock().give_back(now, &self.choice.instance(), until);
        }
    }
}

impl Hints {
    /// Checks that the chosen server may be sent to for this purpose.
    fn check_choice(&self, choice: &Choice, purpose: Purpose) -> Result<(), Closed> {
        let now = self.fleet.base.clock.now();
        let router = self.router.lock();
        let checked = match purpose {
            Purpose::NewWork => router.check_choice(now, choice),
            Purpose::RunningWork => router.check_open(now, &choice.instance()),
        };
        drop(router);
        if checked.is_err() {
            self.fleet.base.metrics.count("hint.not_sent");
        }
        checked
    }

    /// Acquires a permit for the chosen server. `log` adds the request's id; an `urgency` of 0 is
    /// the most urgent. The request waits for a slot of a brittle server for at most
    /// `patience_ms`. A server without a permit is not chosen again for some time.
    ///
    /// # Errors
    /// [`NoPermit`] when no permit is available now.
    pub async fn acquire_permit(
        self: &Arc<Self>,
        log: &Logger,
        choice: Choice,
        purpose: Purpose,
        urgency: u32,
        patience_ms: Millis,
    ) -> Result<Permit, NoPermit> {
        if let Err(closed) = self.check_choice(&choice, purpose) {
            slog::info!(log, "not sent there"; "server" => %choice.server, "why" => %closed);
            return Err(NoPermit::Closed(closed));
        }
        let slot = self.slots.acquire(log, &choice, urgency, patience_ms).await;
        let slot = slot.map_err(NoPermit::Full)?;
        let mut permit = self.acquire_rate_permit(log, choice, purpose, urgency).await?;
        if self.slots.is_brittle(&permit.choice.instance()) {
            permit.slot_expires_at = self.fleet.base.clock.now() + PERMIT_LIFETIME_MS;
        }
        permit.slot = Some(slot);
        Ok(permit)
    }

    /// Acquires a permit as far as the server's limit in requests per second requires one.
    async fn acquire_rate_permit(
        self: &Arc<Self>,
        log: &Logger,
        choice: Choice,
        purpose: Purpose,
        urgency: u32,
    ) -> Result<Permit, NoPermit> {
        if !self.has_limits.load(Ordering::Relaxed) {
            return Ok(self.unlimited_permit(choice, purpose));
        }
        let server = choice.instance();
        let now = self.fleet.base.clock.now();
        let fact = self.limits.lock().fact(now, &server);
        let Some((fact, limit)) = fact.and_then(|fact| fact.limit.map(|limit| (fact, limit)))
        else {
            return Ok(self.unlimited_permit(choice, purpose));
        };
        let expires_at = self.leases.lock().take(now, &server);
        if let Some(until) = expires_at {
            return Ok(self.leased_permit(choice, purpose, until));
        }
        let (issuer, answer) = self.request_permits(now, &fact, limit, urgency).await;
        if answer.is_free {
            return Ok(self.unlimited_permit(choice, purpose));
        }
        if let Some(until) = self.take_issued(now, &server, answer.issued.permits) {
            self.router.lock().block_for_rate_limit(&server, limit.per_second(), 0);
            return Ok(self.leased_permit(choice, purpose, until));
        }
        let at_limit = self.block_at_limit(&server, limit, answer.issued.retry_ms);
        slog::info!(log, "server at its limit";
            "server" => %server.name, "per_s" => limit.per_second(), "issuer" => issuer,
            "retry_ms" => at_limit.first_ms, "heard_ms_ago" => fact.received_age_ms);
        Err(at_limit.into())
    }

    /// Requests permits: one, and as many more as can be used. While permits are scarce, other
    /// requests skip the server until the answer is received.
    async fn request_permits(
        self: &Arc<Self>,
        now: Millis,
        fact: &LimitFact,
        limit: RequestRate,
        urgency: u32,
    ) -> (String, PermitAnswer) {
        let is_scarce = self.leases.lock().is_scarce(now, &fact.server);
        if is_scarce {
            let until = now + PERMIT_TIMEOUT.as_millis() as Millis;
            self.router.lock().block_for_rate_limit(&fact.server, limit.per_second(), until);
        }
        let permits = self.leases.lock().permits_to_request(now, &fact.server);
        let request = PermitRequest { from: self.fleet.base.incarnation, permits, urgency };
        self.ask_issuers(fact.clone(), request).await
    }

    /// Stores permits that were requested at `requested_at` and takes one of them; returns its
    /// expiry time.
    fn take_issued(
        &self,
        requested_at: Millis,
        server: &ServerInstance,
        permits: u32,
    ) -> Option<Millis> {
        if permits == 0 {
            return None;
        }
        self.add_issued(requested_at, server, permits);
        let now = self.fleet.base.clock.now();
        self.leases.lock().take(now, server)
    }

    /// Stores permits that were requested at `requested_at`.
    fn add_issued(&self, requested_at: Millis, server: &ServerInstance, permits: u32) {
        if permits > 0 {
            self.fleet.base.metrics.add("limit.permits", u64::from(permits));
            self.leases.lock().add(requested_at, server, permits);
        }
    }

    /// Stops sending to a server for `retry_ms`, because no permit was issued for it.
    fn block_at_limit(
        &self,
        server: &ServerInstance,
        limit: RequestRate,
        retry_ms: Millis,
    ) -> AtLimit {
        let now = self.fleet.base.clock.now();
        self.leases.lock().record_denial(now, server);
        let (first_ms, per_second) = (retry_ms.max(1), limit.per_second());
        self.router.lock().block_for_rate_limit(server, per_second, now + first_ms);
        self.fleet.base.metrics.count("limit.passed_over");
        AtLimit { first_ms, per_second }
    }

    fn unlimited_permit(self: &Arc<Self>, choice: Choice, purpose: Purpose) -> Permit {
        self.new_permit(choice, purpose, None)
    }

    fn leased_permit(self: &Arc<Self>, choice: Choice, purpose: Purpose, until: Millis) -> Permit {
        self.new_permit(choice, purpose, Some(until))
    }

    fn new_permit(
        self: &Arc<Self>,
        choice: Choice,
        purpose: Purpose,
        expires_at: Option<Millis>,
    ) -> Permit {
        let hints = Arc::clone(self);
        Permit { choice, hints, purpose, expires_at, slot: None, slot_expires_at: Millis::MAX }
    }

    /// Requests permits from the first issuer that is not known to be unresponsive. Returns the
    /// issuer's name and its answer.
    async fn ask_issuers(
        self: &Arc<Self>,
        fact: LimitFact,
        request: PermitRequest,
    ) -> (String, PermitAnswer) {
        if self.fleet.size().is_none() {
            return ("unknown fleet".to_owned(), PermitAnswer::denied(NO_ISSUER_RETRY_MS));
        }
        for issuer in self.issuers(&fact.server) {
            let Some(peer) = issuer else {
                return ("here".to_owned(), self.issue(&fact, request));
            };
            if self.silent_issuers.contains(self.fleet.base.clock.now(), &peer) {
                continue;
            }
            match self.ask_peer(&peer, &fact, request).await {
                Some(answer) => {
                    if let Some(fact) = &answer.newer {
                        self.merge_limits(std::slice::from_ref(fact));
                    }
                    return (peer.name.to_string(), answer);
                }
                None => self.mark_unresponsive(&peer),
            }
            // A request waits for at most one issuer.
            return (peer.name.to_string(), PermitAnswer::denied(NO_ISSUER_RETRY_MS));
        }
        ("nobody".to_owned(), PermitAnswer::denied(NO_ISSUER_RETRY_MS))
    }

    /// Requests permits from a peer; returns `None` if it does not answer in time. Permits that
    /// arrive later are kept for the next requests.
    async fn ask_peer(
        self: &Arc<Self>,
        peer: &Peer,
        fact: &LimitFact,
        request: PermitRequest,
    ) -> Option<PermitAnswer> {
        let (answer_tx, answer_rx) = oneshot::channel();
        let (hints, peer, fact) = (Arc::clone(self), peer.clone(), fact.clone());
        tokio::spawn(async move {
            let requested_at = hints.fleet.base.clock.now();
            let server = fact.server.clone();
            let call = |client: PeerServiceClient, cx| async move {
                client.permits(cx, fact, request).await
            };
            let answer = hints.fleet.base.peers.call(&peer.address, LATE_TIMEOUT, call).await;
            if let Err(Some(late)) = answer_tx.send(answer) {
                hints.silent_issuers.remove(&peer);
                hints.add_issued(requested_at, &server, late.issued.permits);
            }
        });
        tokio::time::timeout(PERMIT_TIMEOUT, answer_rx).await.ok()?.ok()?
    }

    /// Returns the issuers of permits for the server, by rank; `None` stands for this daemon.
    pub(super) fn issuers(&self, server: &ServerInstance) -> Vec<Option<Peer>> {
        self.fleet.members.lock().owners_including_silent(server.key(), ISSUERS_PER_SERVER)
    }

    /// Skips an issuer that did not answer for some time.
    fn mark_unresponsive(&self, peer: &Peer) {
        self.silent_issuers.add(self.fleet.base.clock.now(), peer);
        self.fleet.base.metrics.count("limit.issuer_silent");
        slog::info!(self.fleet.base.log, "issuer of permits does not answer"; "peer" => %peer.name);
    }
}
