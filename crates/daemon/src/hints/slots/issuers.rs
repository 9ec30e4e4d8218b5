//! Finds the issuer of a server's slots, and asks it for one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bankcove_core::Millis;
use bankcove_core::crashes::ServerInstance;
use bankcove_core::limits::RequestRate;
use bankcove_core::members::Peer;
use bankcove_core::slot_leases::{SLOT_ISSUERS, SlotAnswer, SlotRequest};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::hints::slots::Slots;
use crate::peer::PeerServiceClient;

/// Time for which a caller's request waits for the answer of an issuer, beside the wait for a slot.
const ANSWER_WAIT: Duration = Duration::from_millis(250);

/// Timeout of calls about slots, beside the wait for a slot. An issuer is skipped only when it does not
/// answer for so long: a host that is short of processor time answers late, and two issuers of a server
/// that don't know of each other lease more slots than it has.
pub(super) const SLOT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after which a daemon asks again whose issuer answers late or does not know that it is one,
/// or that knows none, in milliseconds.
const NO_ANSWER_RETRY_MS: Millis = 100;

/// Answer in place of one that is missing.
const NO_ANSWER: SlotAnswer = SlotAnswer::Denied { retry_ms: NO_ANSWER_RETRY_MS };

impl Slots {
    /// Requests a slot from the first issuer that answers. Returns the issuer's name and its answer.
    pub(super) async fn ask_issuers(
        self: &Arc<Self>,
        server: &ServerInstance,
        borne: RequestRate,
        request: SlotRequest,
        patience: Duration,
    ) -> (String, SlotAnswer) {
        let Some(hosts) = self.fleet.size() else {
            return ("unknown fleet".to_owned(), NO_ANSWER);
        };
        for issuer in self.responsive_issuers(server) {
            let Some(peer) = issuer else {
                let answer = self.issue_locally(server, borne, request, patience).await;
                return ("here".to_owned(), answer);
            };
            if let Some(answer) = self.ask_peer(&peer, server, borne, request, patience).await {
                return (peer.name.to_string(), answer);
            }
        }
        if self.fleet.members.lock().usable().next().is_some() {
            return ("none answers".to_owned(), NO_ANSWER);
        }
        // Cut off from all hosts, each may use its part of the slots.
        let slots = (request.slots / hosts.max(1) as u32).max(1);
        let request = SlotRequest { slots, ..request };
        ("alone".to_owned(), self.issue_locally(server, borne, request, patience).await)
    }

    /// Requests a slot from a peer; `None` if it can't be reached. A slot that is leased later than the
    /// request waits for is released, and the wait of a request that is dropped ends.
    async fn ask_peer(
        self: &Arc<Self>,
        peer: &Peer,
        server: &ServerInstance,
        borne: RequestRate,
        request: SlotRequest,
        patience: Duration,
    ) -> Option<SlotAnswer> {
        let (answer_tx, answer_rx) = oneshot::channel();
        let given_up = CancellationToken::new();
        let call_guard = given_up.clone().drop_guard();
        let (slots, peer, server) = (Arc::clone(self), peer.clone(), server.clone());
        tokio::spawn(async move {
            let asked = server.clone();
            let call = |client: PeerServiceClient, cx| async move {
                client.slot(cx, asked, borne, request).await
            };
            let timeout = patience + SLOT_TIMEOUT;
            let answer = tokio::select! {
                answer = slots.fleet.base.peers.call(&peer.address, timeout, call) => answer,
                // The issuer ends the wait, or else the lease.
                () = given_up.cancelled() => return slots.queue_release(&server, request.id, false),
            };
            if answer.is_none() {
                slots.mark_unresponsive(&peer);
            }
            let answer = answer.map(|answer| answer.unwrap_or(NO_ANSWER));
            if answer_tx.send(answer) == Err(Some(SlotAnswer::Granted)) {
                slots.queue_release(&server, request.id, false);
            }
        });
        let answer = tokio::time::timeout(patience + ANSWER_WAIT, answer_rx).await;
        // Whether the issuer answers at all is still of interest.
        call_guard.disarm();
        match answer {
            Ok(answer) => answer.ok().flatten(),
            Err(_) => Some(NO_ANSWER),
        }
    }

    /// Returns the first issuer of the server that is not known to be unresponsive; `None` stands for
    /// this daemon.
    pub(super) fn issuer_of(&self, server: &ServerInstance) -> Option<Peer> {
        self.responsive_issuers(server).into_iter().next().flatten()
    }

    /// Returns whether this daemon is one of the issuers of the server.
    pub(super) fn is_issuer(&self, server: &ServerInstance) -> bool {
        self.fleet.size().is_some() && self.issuers(server).iter().any(Option::is_none)
    }

    /// Skips an issuer that did not answer for some time.
    pub(super) fn mark_unresponsive(&self, peer: &Peer) {
        self.silent_issuers.add(self.now(), peer);
        self.fleet.base.metrics.count("slot.issuer_silent");
        slog::info!(self.fleet.base.log, "issuer of slots does not answer"; "peer" => %peer.name);
    }

    fn responsive_issuers(&self, server: &ServerInstance) -> Vec<Option<Peer>> {
        let now = self.now();
        let mut issuers = self.issuers(server);
        let is_skipped = |peer: &Peer| self.silent_issuers.contains(now, peer);
        issuers.retain(|issuer| !issuer.as_ref().is_some_and(is_skipped));
        issuers
    }

    /// Returns the issuers of the server, by rank; `None` stands for this daemon.
    fn issuers(&self, server: &ServerInstance) -> Vec<Option<Peer>> {
        self.fleet.members.lock().owners_including_silent(server.key(), SLOT_ISSUERS)
    }
}

/// Returns the time for which a request whose call has this deadline may wait for a slot.
pub fn patience(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now()).saturating_sub(SLOT_TIMEOUT)
}
