//! The one gate on the way to a backend server: what is sent there takes a permit along.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::crashes::ServerStart;
use bankcove_core::hints::Closed;
use bankcove_core::limits::{ISSUERS_PER_SERVER, LimitFact, PermitRequest, RequestRate};
use bankcove_core::members::Peer;
use bankcove_core::router::{AtLimit, Choice};
use slog::Logger;

use crate::hints::Hints;
use crate::peer::{PeerServiceClient, PermitAnswer};

/// Longest wait for a peer's permits: a request of a caller waits for them.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// How long an issuer that did not answer is passed over, in milliseconds.
const SILENT_MS: Millis = 1_000;

/// How long a server is passed over for want of anybody to ask, in milliseconds.
const NOBODY_MS: Millis = 200;

/// Leave to send one request to the server that was chosen. Dropped unused it goes back.
#[derive(Debug)]
pub struct Permit {
    choice: Choice,
    hints: Arc<Hints>,
    /// Until when it may be used and has to be given back; none where no limit binds.
    lease: Option<Millis>,
}

/// Why nothing was sent with a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PermitError {
    /// The time to use it is over, as after a suspension of this host.
    #[error("the permit was not used in time")]
    Expired,
    /// The server has said something since.
    #[error(transparent)]
    Closed(#[from] Closed),
}

/// Why there is no permit for a server now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NoPermit {
    /// It takes no more than its limit.
    AtLimit(AtLimit),
    /// It leaves or rests.
    Closed(Closed),
}

impl From<AtLimit> for NoPermit {
    fn from(at_limit: AtLimit) -> Self {
        NoPermit::AtLimit(at_limit)
    }
}

impl Permit {
    /// The server.
    pub fn choice(&self) -> &Choice {
        &self.choice
    }

    /// Uses it up: the request is sent now.
    ///
    /// # Errors
    /// [`PermitError`] when the time to use it is over, or the server leaves or rests by now.
    pub fn consume(mut self) -> Result<Choice, PermitError> {
        self.hints.check_open(&self.choice)?;
        let lease = self.lease.take();
        let is_over = lease.is_some_and(|until| self.hints.fleet.base.clock.now() >= until);
        if is_over { Err(PermitError::Expired) } else { Ok(self.choice.clone()) }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(until) = self.lease.take() {
            let now = self.hints.fleet.base.clock.now();
            self.hints.leases.lock().give_back(now, &self.choice.start(), until);
        }
    }
}

impl Hints {
    /// Whether the server that was chosen neither leaves nor rests.
    fn check_open(&self, choice: &Choice) -> Result<(), Closed> {
        if !self.has_closed.load(Ordering::Relaxed) {
            return Ok(());
        }
        let now = self.fleet.base.clock.now();
        let checked = self.router.lock().check_open(now, &choice.start());
        if checked.is_err() {
            self.fleet.base.metrics.count("hint.not_sent");
        }
        checked
    }

    /// Takes a permit for the server that was chosen; `log` tells the request, `urgency` is 0
    /// for the most urgent. A server without a permit is not chosen again for a while.
    ///
    /// # Errors
    /// [`NoPermit`] when none is to be had now.
    pub async fn acquire_permit(
        self: &Arc<Self>,
        log: &Logger,
        choice: Choice,
        urgency: u32,
    ) -> Result<Permit, NoPermit> {
        if let Err(closed) = self.check_open(&choice) {
            slog::info!(log, "not sent there"; "server" => %choice.server, "why" => %closed);
            return Err(NoPermit::Closed(closed));
        }
        if !self.has_limits.load(Ordering::Relaxed) {
            return Ok(self.unlimited(choice));
        }
        let server = choice.start();
        let now = self.fleet.base.clock.now();
        let fact = self.book.lock().fact(now, &server);
        let Some((fact, limit)) = fact.and_then(|fact| fact.limit.map(|limit| (fact, limit)))
        else {
            return Ok(self.unlimited(choice));
        };
        let held = self.leases.lock().take(now, &server);
        if let Some(until) = held {
            return Ok(self.leased(choice, until));
        }
        let (issuer, answer) = self.ask_for_some(now, &fact, limit, urgency).await;
        if answer.is_free {
            return Ok(self.unlimited(choice));
        }
        if let Some(until) = self.take_issued(now, &server, answer.issued.permits) {
            self.router.lock().block_for_rate_limit(&server, limit.per_second(), 0);
            return Ok(self.leased(choice, until));
        }
        let at_limit = self.pass_over(&server, limit, answer.issued.retry_ms);
        slog::info!(log, "server at its limit";
            "server" => %server.name, "per_s" => limit.per_second(), "issuer" => issuer,
            "retry_ms" => at_limit.first_ms, "heard_ms_ago" => fact.received_age_ms);
        Err(at_limit.into())
    }

    /// Asks for a permit, and for as many more as are of use. Where permits are scarce, others
    /// pass the server over meanwhile.
    async fn ask_for_some(
        self: &Arc<Self>,
        now: Millis,
        fact: &LimitFact,
        limit: RequestRate,
        urgency: u32,
    ) -> (String, PermitAnswer) {
        let is_scarce = self.leases.lock().is_scarce(now, &fact.server);
        if is_scarce {
            let until = now + ASK_TIMEOUT.as_millis() as Millis;
            self.router.lock().block_for_rate_limit(&fact.server, limit.per_second(), until);
        }
        let permits = self.leases.lock().permits_to_request(now, &fact.server);
        let wish = PermitRequest { from: self.fleet.base.incarnation, permits, urgency };
        self.ask(fact.clone(), wish).await
    }

    /// Takes one of the permits that were asked for at `asked_at`; until when it may be used.
    fn take_issued(&self, asked_at: Millis, server: &ServerStart, permits: u32) -> Option<Millis> {
        if permits == 0 {
            return None;
        }
        self.fleet.base.metrics.add("limit.permits", u64::from(permits));
        let now = self.fleet.base.clock.now();
        let mut leases = self.leases.lock();
        leases.add(asked_at, server, permits);
        leases.take(now, server)
    }

    fn pass_over(&self, server: &ServerStart, limit: RequestRate, retry_ms: Millis) -> AtLimit {
        let now = self.fleet.base.clock.now();
        self.leases.lock().record_denial(now, server);
        let (first_ms, per_second) = (retry_ms.max(1), limit.per_second());
        self.router.lock().block_for_rate_limit(server, per_second, now + first_ms);
        self.fleet.base.metrics.count("limit.passed_over");
        AtLimit { first_ms, per_second }
    }

    fn unlimited(self: &Arc<Self>, choice: Choice) -> Permit {
        Permit { choice, hints: Arc::clone(self), lease: None }
    }

    fn leased(self: &Arc<Self>, choice: Choice, until: Millis) -> Permit {
        Permit { choice, hints: Arc::clone(self), lease: Some(until) }
    }

    /// Asks the first issuer that answers; tells its name.
    async fn ask(self: &Arc<Self>, fact: LimitFact, wish: PermitRequest) -> (String, PermitAnswer) {
        if self.fleet.size().is_none() {
            return ("unknown fleet".to_owned(), PermitAnswer::denied(NOBODY_MS));
        }
        for issuer in self.issuers(&fact.server) {
            let Some(peer) = issuer else {
                return ("here".to_owned(), self.issue(&fact, wish));
            };
            if self.is_silent(&peer) {
                continue;
            }
            match self.ask_peer(&peer, &fact, wish).await {
                Some(answer) => {
                    if let Some(fact) = &answer.newer {
                        self.merge_limits(std::slice::from_ref(fact));
                    }
                    return (peer.name.to_string(), answer);
                }
                None => self.fell_silent(&peer),
            }
            // A request waits for one answer at the most.
            return (peer.name.to_string(), PermitAnswer::denied(NOBODY_MS));
        }
        ("nobody".to_owned(), PermitAnswer::denied(NOBODY_MS))
    }

    async fn ask_peer(
        &self,
        peer: &Peer,
        fact: &LimitFact,
        wish: PermitRequest,
    ) -> Option<PermitAnswer> {
        let fact = fact.clone();
        let ask =
            |client: PeerServiceClient, cx| async move { client.permits(cx, fact, wish).await };
        self.fleet.base.peers.call(&peer.address, ASK_TIMEOUT, ask).await
    }

    /// Who issues permits for the server, in order; none stands for this daemon.
    pub(super) fn issuers(&self, server: &ServerStart) -> Vec<Option<Peer>> {
        self.fleet.members.lock().owners_including_silent(server.key(), ISSUERS_PER_SERVER)
    }

    fn is_silent(&self, peer: &Peer) -> bool {
        let now = self.fleet.base.clock.now();
        self.silent.lock().get(&peer.name).is_some_and(|until| now < *until)
    }

    fn fell_silent(&self, peer: &Peer) {
        let until = self.fleet.base.clock.now() + SILENT_MS;
        self.silent.lock().insert(peer.name.clone(), until);
        self.fleet.base.metrics.count("limit.issuer_silent");
        slog::info!(self.fleet.base.log, "issuer of permits does not answer"; "peer" => %peer.name);
    }
}
