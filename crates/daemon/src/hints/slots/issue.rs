//! Issues slots to peers and to this daemon.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::crashes::ServerInstance;
use bankcove_core::limits::RequestRate;
use bankcove_core::slot_leases::{Grant, Requested, SlotAnswer, SlotId, SlotRequest};
use bankcove_core::{Incarnation, Millis};
use tokio::sync::oneshot;

use crate::hints::slots::Slots;
use crate::peer::{ReleasedSlot, SlotRenewal};

/// Requests that wait for slots of an issuer, by server and by the grant that ends their wait.
pub(super) type WaitingRequests = HashMap<(ServerInstance, Grant), oneshot::Sender<()>>;

/// Wait of a request for a slot. If it is dropped before the request is answered, because the daemon that
/// has sent the request no longer needs a slot, the wait or the lease ends.
struct WaitingRequest<'a> {
    slots: &'a Arc<Slots>,
    server: &'a ServerInstance,
    grant: Grant,
    is_answered: bool,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.slots.waiting.lock().remove(&(self.server.clone(), self.grant));
        if !self.is_answered {
            self.slots.end_lease(self.server, self.grant.to, self.grant.id, false);
        }
    }
}

impl WaitingRequest<'_> {
    /// Waits until the request is granted a slot, at most until this time; returns its answer.
    async fn wait(mut self, granted: oneshot::Receiver<()>, until: Millis) -> SlotAnswer {
        let clock = &self.slots.fleet.base.clock;
        // The answer says whether it was granted one.
        let _granted = clock.timeout_at(until, granted).await;
        let now = self.slots.now();
        let answer = self.slots.issuer.lock().end_wait(now, self.server, self.grant);
        self.is_answered = true;
        answer
    }
}

impl Slots {
    /// Leases a slot to a peer; `None` if this daemon is not an issuer of the server.
    pub async fn issue(
        self: &Arc<Self>,
        server: &ServerInstance,
        borne: RequestRate,
        request: SlotRequest,
        patience: Duration,
    ) -> Option<SlotAnswer> {
        if !self.is_issuer(server) {
            return None;
        }
        Some(self.issue_locally(server, borne, request, patience).await)
    }

    /// Leases a slot; the request waits for it if it can expect one in time.
    pub(super) async fn issue_locally(
        self: &Arc<Self>,
        server: &ServerInstance,
        borne: RequestRate,
        request: SlotRequest,
        patience: Duration,
    ) -> SlotAnswer {
        let grant = Grant { to: request.from, id: request.id };
        let (granted_tx, granted) = oneshot::channel();
        // Registered before it can be granted a slot.
        self.waiting.lock().insert((server.clone(), grant), granted_tx);
        let mut waiting = WaitingRequest { slots: self, server, grant, is_answered: false };
        let now = self.now();
        let until = now + patience.as_millis() as Millis;
        let (requested, grants) = self.issuer.lock().request(now, server, borne, request, until);
        self.send_grants(server, grants);
        match requested {
            Requested::Answered(answer) => {
                waiting.is_answered = true;
                answer
            }
            Requested::Waiting(until) => waiting.wait(granted, until).await,
        }
    }

    /// Grants slots that have come free with time.
    pub(super) fn grant_due(self: &Arc<Self>) {
        let now = self.now();
        let granted = self.issuer.lock().grant_due(now);
        for (server, grants) in granted {
            self.send_grants(&server, grants);
        }
    }

    /// Ends leases of a daemon.
    pub fn record_released(self: &Arc<Self>, from: Incarnation, released: &[ReleasedSlot]) {
        for ReleasedSlot { server, id, is_rejected } in released {
            self.end_lease(server, from, *id, *is_rejected);
        }
    }

    /// Renews leases of a daemon.
    pub fn record_renewed(&self, from: Incarnation, renewals: &[SlotRenewal]) {
        let now = self.now();
        let mut issuer = self.issuer.lock();
        for SlotRenewal { server, borne, slots, ids } in renewals {
            issuer.renew(now, server, *borne, *slots, from, ids);
        }
    }

    fn end_lease(
        self: &Arc<Self>,
        server: &ServerInstance,
        from: Incarnation,
        id: SlotId,
        is_rejected: bool,
    ) {
        let now = self.now();
        let mut issuer = self.issuer.lock();
        let grants = issuer.release(now, server, from, id, is_rejected);
        let stats = is_rejected.then(|| issuer.stats(now).find(|(known, _)| *known == server));
        let stats = stats.flatten().map(|(_, stats)| stats);
        drop(issuer);
        if let Some(stats) = stats {
            self.fleet.base.metrics.count("server.brittle_rejection");
            slog::info!(self.fleet.base.log, "brittle server rejected a request";
                "server" => %server.name, "started_ms" => server.started_ms, "from" => %from,
                "leased" => stats.leased, "limit" => stats.limit, "waiting" => stats.waiting);
        }
        self.send_grants(server, grants);
    }

    /// Answers the requests that are granted slots of this server.
    fn send_grants(self: &Arc<Self>, server: &ServerInstance, grants: Vec<Grant>) {
        for grant in grants {
            self.fleet.base.metrics.count("slot.granted_late");
            let waiting = self.waiting.lock().remove(&(server.clone(), grant));
            if waiting.is_none_or(|granted| granted.send(()).is_err()) {
                self.fleet.base.metrics.count("slot.grant_declined");
                self.end_lease(server, grant.to, grant.id, false);
            }
        }
    }
}
