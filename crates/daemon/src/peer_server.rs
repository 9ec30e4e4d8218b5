//! Server side of the RPC protocol: passes each call of a peer to the layer that handles it.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::bill::Bill;
use bankcove_core::crashes::{CrashFacts, ServerInstance};
use bankcove_core::hints::HintFact;
use bankcove_core::holder::{Allotted, DaemonHolding, TokenRequest};
use bankcove_core::limits::{LimitFact, PermitRequest, RequestRate};
use bankcove_core::members::Heartbeat;
use bankcove_core::owner::Request;
use bankcove_core::request_log::{Entry, Outcome};
use bankcove_core::router::UnreadReport;
use bankcove_core::server_list::{ListUpdate, ListVersion};
use bankcove_core::slot_leases::{SlotAnswer, SlotRequest};
use bankcove_core::stream_versions::{Admission, StreamAnswer, StreamKey};
use bankcove_core::{Incarnation, Millis, Name, Tokens};
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};

use crate::base::tcp;
use crate::bill::request_log;
use crate::budget::allotment;
use crate::budget::{collect, owner, statement};
use crate::daemon::Daemon;
use crate::error::Result;
use crate::hints::slots::issuers;
use crate::membership;
use crate::peer::packed_list::PackedList;
use crate::peer::packed_table::PackedTable;
use crate::peer::{
    AllotAnswer, GiveAnswer, HostListReply, OwnerAnswer, PeerService, PermitAnswer, ReleasedSlot,
    RolloutAnswer, RolloutReport, SlotRenewal,
};

/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Handler of the calls of one peer.
#[derive(Clone)]
struct PeerHandler {
    daemon: Arc<Daemon>,
}

impl PeerService for PeerHandler {
    async fn heartbeat(self, _: Context, from: Heartbeat) -> Heartbeat {
        membership::handle_heartbeat(&self.daemon.membership, &from);
        self.daemon.membership.heartbeat()
    }

    async fn told_unread(self, _: Context, report: UnreadReport) {
        let now = self.daemon.clock.now();
        self.daemon.router.lock().merge_unread_report(now, &report);
    }

    async fn table_above(self, _: Context, revision: u64) -> Option<PackedTable> {
        let table = self.daemon.table.load_full()?;
        if table.revision <= revision {
            return None;
        }
        match PackedTable::pack(&table) {
            Ok(packed) => Some(packed),
            Err(e) => {
                slog::error!(self.daemon.log, "failed to pack table"; "error" => %e);
                None
            }
        }
    }

    async fn servers_above(
        self,
        _: Context,
        version: ListVersion,
    ) -> Option<(ListVersion, PackedList<ListUpdate>)> {
        let now = self.daemon.clock.now();
        let (version, update) = self.daemon.view.servers.lock().update_since(now, version)?;
        match PackedList::pack(&update) {
            Ok(packed) => Some((version, packed)),
            Err(e) => {
                slog::error!(self.daemon.log, "failed to pack server list"; "error" => %e);
                None
            }
        }
    }

    async fn hosts_unless(self, _: Context, hash: u64) -> Option<HostListReply> {
        match self.daemon.view.hosts.load().unless_hash(hash, self.daemon.clock.now()) {
            Ok(reply) => reply,
            Err(e) => {
                slog::error!(self.daemon.log, "failed to pack host list"; "error" => %e);
                None
            }
        }
    }

    async fn ask_owner(self, _: Context, request: Request) -> OwnerAnswer {
        owner::ask_local_owner(&self.daemon.budgets, request).await
    }

    async fn allot(self, _: Context, request: TokenRequest) -> AllotAnswer {
        allotment::allot(&self.daemon.budgets, request).await
    }

    async fn lend(self, _: Context, request: TokenRequest) -> Allotted {
        self.daemon.budgets.holder().lend(&request)
    }

    async fn take(
        self,
        _: Context,
        budget: Name,
        receiver: Incarnation,
        from: Incarnation,
        sum: Tokens,
    ) -> bool {
        let is_current = receiver == self.daemon.incarnation;
        if is_current {
            self.daemon.budgets.holder().record_received(&budget, from, sum);
        }
        is_current
    }

    async fn give(
        self,
        _: Context,
        budget: Name,
        holder: Incarnation,
        receiver: Incarnation,
        received: Tokens,
        most: Tokens,
    ) -> GiveAnswer {
        if holder != self.daemon.incarnation {
            return GiveAnswer::OtherIncarnation;
        }
        collect::send_free_tokens(&self.daemon.budgets, &budget, receiver, received, most).await
    }

    async fn holding(self, _: Context, budget: Name) -> DaemonHolding {
        statement::holding(&self.daemon.budgets, &budget)
    }

    async fn open(
        self,
        _: Context,
        holder: Incarnation,
        witness: Incarnation,
        budget: Name,
        opened: Tokens,
    ) -> bool {
        let is_current = witness == self.daemon.incarnation;
        is_current && self.daemon.budgets.witness_records().open(holder, &budget, opened)
    }

    async fn close(
        self,
        _: Context,
        holder: Incarnation,
        witness: Incarnation,
        budget: Name,
    ) -> Option<Tokens> {
        let is_current = witness == self.daemon.incarnation;
        is_current.then(|| self.daemon.budgets.witness_records().close(holder, &budget))
    }

    async fn submit(self, _: Context, entry: Entry) -> Outcome {
        request_log::submit_locally(&self.daemon.billing, entry).await
    }

    async fn told_crashes(self, _: Context, facts: CrashFacts) {
        self.daemon.crashes.merge_facts(facts);
    }

    async fn crash_facts(self, _: Context) -> CrashFacts {
        self.daemon.crashes.facts()
    }

    async fn told_hints(self, _: Context, facts: Vec<HintFact>) {
        self.daemon.hints.merge_facts(&facts);
    }

    async fn hint_facts(self, _: Context) -> Vec<HintFact> {
        self.daemon.hints.facts()
    }

    async fn told_rest(self, _: Context, server: ServerInstance, rest_ms: Millis) {
        self.daemon.hints.record_rest(&self.daemon.log, &server, rest_ms);
    }

    async fn permits(self, _: Context, fact: LimitFact, request: PermitRequest) -> PermitAnswer {
        self.daemon.hints.issue(&fact, request)
    }

    async fn slot(
        self,
        cx: Context,
        server: ServerInstance,
        borne: RequestRate,
        request: SlotRequest,
    ) -> Option<SlotAnswer> {
        let patience = issuers::patience(cx.deadline);
        self.daemon.hints.slots.issue(&server, borne, request, patience).await
    }

    async fn release_slots(self, _: Context, from: Incarnation, released: Vec<ReleasedSlot>) {
        self.daemon.hints.slots.record_released(from, &released);
    }

    async fn renew_slots(self, _: Context, from: Incarnation, renewals: Vec<SlotRenewal>) {
        self.daemon.hints.slots.record_renewed(from, &renewals);
    }

    async fn rollout_report(self, _: Context, report: RolloutReport) -> RolloutAnswer {
        self.daemon.rollouts.record_report(report)
    }

    async fn told_stream(self, _: Context, key: StreamKey, version: Name, life_ms: Millis) {
        self.daemon.requests.stream_versions.record_told(key, &version, life_ms);
    }

    async fn stream_version(
        self,
        _: Context,
        key: Option<StreamKey>,
        service: Name,
        life_ms: Millis,
    ) -> StreamAnswer {
        self.daemon.requests.stream_versions.answer(key, &service, life_ms)
    }

    async fn admitted_versions(self, _: Context) -> Admission {
        self.daemon.requests.stream_versions.admitted()
    }

    async fn keep_bill(self, _: Context, bill: Bill) {
        self.daemon.billing.enqueue(Entry::Bill(bill));
    }
}

/// Starts to serve peers, in the background, until the daemon ends.
///
/// # Errors
/// Returns [`crate::Error::Listen`] if listening on the peer port fails.
pub async fn serve(daemon: Arc<Daemon>) -> Result<()> {
    let listener = tcp::listen(&daemon.cfg.peer_listen)?;
    tokio::spawn(async move {
        let shutdown = daemon.shutdown.clone();
        tokio::select! {
            () = accept_connections(&daemon, listener) => {}
            () = shutdown.cancelled() => {}
        }
    });
    Ok(())
}

/// Accepts connections of peers and serves each in a task of its own.
async fn accept_connections(daemon: &Arc<Daemon>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve_connection(Arc::clone(daemon), stream))),
            Err(e) => {
                slog::warn!(daemon.log, "failed to accept a peer connection"; "error" => %e);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Serves one peer until it closes the connection or the daemon ends.
async fn serve_connection(daemon: Arc<Daemon>, stream: TcpStream) {
    let shutdown = daemon.shutdown.clone();
    let transport = tarpc::serde_transport::new(daemon.peers.framed(stream), Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    let requests = channel.execute(PeerHandler { daemon }.serve()).for_each(|response| async {
        tokio::spawn(response);
    });
    tokio::select! {
        () = requests => {}
        () = shutdown.cancelled() => {}
    }
}
