//! Issues slots to peers and to this daemon.

use std::sync::Arc;

use bankcove_core::Incarnation;
use bankcove_core::crashes::ServerInstance;
use bankcove_core::limits::RequestRate;
use bankcove_core::members::Peer;
use bankcove_core::slot_leases::{Grant, SlotAnswer, SlotId, SlotRequest};

use crate::hints::slots::Slots;
use crate::hints::slots::issuers::SLOT_TIMEOUT;
use crate::peer::{PeerServiceClient, ReleasedSlot, SlotRenewal};

impl Slots {
    /// Leases a slot to a peer; `None` if this daemon is not an issuer of the server.
    pub fn issue(
        self: &Arc<Self>,
        server: &ServerInstance,
        borne: RequestRate,
        request: SlotRequest,
    ) -> Option<SlotAnswer> {
        self.is_issuer(server).then(|| self.issue_locally(server, borne, request))
    }

    /// Leases a slot.
    pub(super) fn issue_locally(
        self: &Arc<Self>,
        server: &ServerInstance,
        borne: RequestRate,
        request: SlotRequest,
    ) -> SlotAnswer {
        let now = self.now();
        let (answer, grants) = self.issuer.lock().request(now, server, borne, request);
        self.send_grants(server, grants);
        answer
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

    /// Sends grants to the daemons that wait for slots of this server.
    fn send_grants(self: &Arc<Self>, server: &ServerInstance, grants: Vec<Grant>) {
        for grant in grants {
            self.fleet.base.metrics.count("slot.granted_late");
            let (slots, server) = (Arc::clone(self), server.clone());
            tokio::spawn(async move {
                if !slots.send_grant(&server, grant).await {
                    slots.fleet.base.metrics.count("slot.grant_declined");
                    slots.end_lease(&server, grant.to, grant.id, false);
                }
            });
        }
    }

    /// Sends a grant; returns whether it was accepted.
    async fn send_grant(self: &Arc<Self>, server: &ServerInstance, grant: Grant) -> bool {
        if grant.to == self.fleet.base.incarnation {
            return self.accept_grant(server, grant.id);
        }
        let Some(peer) = self.peer(grant.to) else { return false };
        let server = server.clone();
        let call = |client: PeerServiceClient, cx| async move {
            client.slot_granted(cx, server, grant.id).await
        };
        self.fleet.base.peers.call(&peer.address, SLOT_TIMEOUT, call).await.unwrap_or(false)
    }

    fn peer(&self, incarnation: Incarnation) -> Option<Peer> {
        let members = self.fleet.members.lock();
        members.peers().find(|peer| peer.incarnation == Some(incarnation)).cloned()
    }
}
