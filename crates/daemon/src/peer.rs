//! Calls between daemons, by tarpc.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bankcove_core::bill::Bill;
use bankcove_core::crashes::CrashFacts;
use bankcove_core::holder::{Allotted, Ask};
use bankcove_core::members::Heartbeat;
use bankcove_core::owner::{Reply, Request};
use bankcove_core::reqlog::{Entry, Outcome};
use bankcove_core::router::UnreadNews;
use bankcove_core::server_list::{ListVersion, SharedServer};
use bankcove_core::{Incarnation, Name, Tokens};
use futures::StreamExt;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::bill::request_log;
use crate::budget::allotment::{self, AllotAnswer};
use crate::budget::{collect, owner};
use crate::crashes::spread;
use crate::daemon::Daemon;
use crate::error::Result;
use crate::tcp;
use crate::view::host_list::HostsTold;
use crate::view::packed_table::PackedTable;

/// Largest message; a whole table fits.
const MAX_FRAME_BYTES: usize = 32 << 20;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest fetch of a table or a list from a peer: 400 KB take 0.3 s on the
/// narrowest link of the users' hosts, 10 Mbit/s, and a peer may serve three.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// An owner's answer, with the tokens that it sent along.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerAnswer {
    /// The answer.
    pub reply: Reply,
    /// The owner and its cumulative sum sent to the asker, when it sent any.
    pub sent: Option<(Incarnation, Tokens)>,
}

/// Answer to a request for unspent tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GiveAnswer {
    /// Tokens were sent.
    Sent {
        /// Cumulative sum sent to the asker.
        cumulative: Tokens,
        /// Tokens still set aside for running attempts.
        reserved: Tokens,
    },
    /// The asked incarnation does not run here any more.
    OtherIncarnation,
}

/// What daemons ask of each other.
#[tarpc::service]
pub trait PeerService {
    /// Tells of the sender and asks the same of the receiver.
    async fn heartbeat(from: Heartbeat) -> Heartbeat;
    /// Tells what the sender has sent to servers that is still to be read there.
    async fn told_unread(news: UnreadNews);
    /// The table in force, when its revision is above this one.
    async fn table_above(revision: u64) -> Option<PackedTable>;
    /// The receiver's list of backend servers and its version, when that is
    /// above this one.
    async fn servers_above(version: ListVersion) -> Option<(ListVersion, Vec<SharedServer>)>;
    /// The platform's host list as the receiver knows it, unless its hash is
    /// this one.
    async fn hosts_unless(hash: u64) -> Option<HostsTold>;
    /// Asks the receiver as the owner of a budget shard.
    async fn ask_owner(request: Request) -> OwnerAnswer;
    /// Asks the receiver, as the owner of a budget's shard, for tokens that it
    /// holds itself or draws.
    async fn allot(ask: Ask) -> AllotAnswer;
    /// Asks the receiver for a part of what it has free, while no more can be
    /// drawn from the store.
    async fn lend(ask: Ask) -> Allotted;
    /// Hands the receiver what `from`, which stops while the store is away, had free:
    /// a cumulative sum. Whether the receiver is still this start of it.
    async fn take(budget: Name, receiver: Incarnation, from: Incarnation, sum: Tokens) -> bool;
    /// Asks `holder` for up to `most` of what it has free of a budget.
    async fn give(
        budget: Name,
        holder: Incarnation,
        receiver: Incarnation,
        received: Tokens,
        most: Tokens,
    ) -> GiveAnswer;
    /// Asks the receiver as a witness to agree that `holder` opens its grant up
    /// to this cumulative sum.
    async fn open(holder: Incarnation, witness: Incarnation, budget: Name, opened: Tokens) -> bool;
    /// Asks the receiver as a witness to agree to nothing further of `holder`;
    /// answers what it had opened, or none when that witness is no more.
    async fn close(holder: Incarnation, witness: Incarnation, budget: Name) -> Option<Tokens>;
    /// Appends to the request log by way of the receiver.
    async fn submit(entry: Entry) -> Outcome;
    /// Tells of crashes that are new to the sender.
    async fn told_crashes(facts: CrashFacts);
    /// All that the receiver knows of crashes.
    async fn crash_facts() -> CrashFacts;
    /// Keeps a bill until the store takes it.
    async fn keep_bill(bill: Bill);
}

/// Connections to peers, made when needed.
#[derive(Debug, Default)]
pub struct PeerPool {
    clients: Mutex<HashMap<String, PeerServiceClient>>,
}

impl PeerPool {
    /// A client of the peer at this address.
    ///
    /// # Errors
    /// When it can't be connected to within `timeout`.
    pub async fn client(
        &self,
        address: &str,
        timeout: Duration,
    ) -> std::io::Result<PeerServiceClient> {
        if let Some(client) = self.clients.lock().get(address) {
            return Ok(client.clone());
        }
        let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
        // A call that follows another one must not wait for its acknowledgement.
        stream.set_nodelay(true)?;
        let transport = tarpc::serde_transport::new(framed(stream), Bincode::default());
        let client = PeerServiceClient::new(tarpc::client::Config::default(), transport).spawn();
        self.clients.lock().insert(address.to_owned(), client.clone());
        Ok(client)
    }

    /// Calls the peer at this address; none when it does not answer in time.
    pub async fn call<T, F>(
        &self,
        address: &str,
        timeout: Duration,
        call: impl FnOnce(PeerServiceClient, Context) -> F,
    ) -> Option<T>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let client = self.client(address, timeout).await.ok()?;
        let mut cx = tarpc::context::current();
        cx.deadline = Instant::now() + timeout;
        let answer = tokio::time::timeout(timeout, call(client, cx)).await;
        match answer {
            Ok(Ok(answer)) => Some(answer),
            // After a cut a connection that was kept waits for its retransmission,
            // seconds longer than a new one takes.
            Ok(Err(_)) | Err(_) => {
                self.clients.lock().remove(address);
                None
            }
        }
    }

    /// How many connections are kept.
    pub fn len(&self) -> usize {
        self.clients.lock().len()
    }

    /// Whether no connection is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[derive(Clone)]
struct Server {
    daemon: Arc<Daemon>,
}

impl PeerService for Server {
    async fn heartbeat(self, _: Context, from: Heartbeat) -> Heartbeat {
        crate::fleet::membership::heard(&self.daemon, &from);
        self.daemon.heartbeat()
    }

    async fn told_unread(self, _: Context, news: UnreadNews) {
        let now = self.daemon.clock.now();
        self.daemon.router.lock().told_unread(now, &news);
    }

    async fn table_above(self, _: Context, revision: u64) -> Option<PackedTable> {
        let table = self.daemon.table.load_full()?;
        if table.revision <= revision {
            return None;
        }
        match PackedTable::pack(&table) {
            Ok(packed) => Some(packed),
            Err(e) => {
                slog::error!(self.daemon.log, "the table can't be packed"; "error" => %e);
                None
            }
        }
    }

    async fn servers_above(
        self,
        _: Context,
        version: ListVersion,
    ) -> Option<(ListVersion, Vec<SharedServer>)> {
        let now = self.daemon.clock.now();
        let list = self.daemon.servers.lock();
        (list.version() > version).then(|| (list.version(), list.shared(now)))
    }

    async fn hosts_unless(self, _: Context, hash: u64) -> Option<HostsTold> {
        self.daemon.hosts.load().unless(hash, self.daemon.clock.now())
    }

    async fn ask_owner(self, _: Context, request: Request) -> OwnerAnswer {
        owner::ask_local_owner(&self.daemon, request).await
    }

    async fn allot(self, _: Context, ask: Ask) -> AllotAnswer {
        allotment::allot(&self.daemon, ask).await
    }

    async fn lend(self, _: Context, ask: Ask) -> Allotted {
        self.daemon.budgets.holder().lend(&ask)
    }

    async fn take(
        self,
        _: Context,
        budget: Name,
        receiver: Incarnation,
        from: Incarnation,
        sum: Tokens,
    ) -> bool {
        let is_me = receiver == self.daemon.incarnation;
        if is_me {
            self.daemon.budgets.holder().received(&budget, from, sum);
        }
        is_me
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
        collect::give_all(&self.daemon, &budget, receiver, received, most).await
    }

    async fn open(
        self,
        _: Context,
        holder: Incarnation,
        witness: Incarnation,
        budget: Name,
        opened: Tokens,
    ) -> bool {
        let is_me = witness == self.daemon.incarnation;
        is_me && self.daemon.budgets.marks().open(holder, &budget, opened)
    }

    async fn close(
        self,
        _: Context,
        holder: Incarnation,
        witness: Incarnation,
        budget: Name,
    ) -> Option<Tokens> {
        let is_me = witness == self.daemon.incarnation;
        is_me.then(|| self.daemon.budgets.marks().close(holder, &budget))
    }

    async fn submit(self, _: Context, entry: Entry) -> Outcome {
        request_log::submit_here(&self.daemon, entry).await
    }

    async fn told_crashes(self, _: Context, facts: CrashFacts) {
        spread::told(&self.daemon, facts);
    }

    async fn crash_facts(self, _: Context) -> CrashFacts {
        spread::facts(&self.daemon)
    }

    async fn keep_bill(self, _: Context, bill: Bill) {
        self.daemon.billing.keep(Entry::Bill(bill));
    }
}

/// Serves peers until the daemon ends.
///
/// # Errors
/// [`crate::Error::Listen`] when the port can't be listened on.
pub async fn serve(daemon: Arc<Daemon>) -> Result<()> {
    let listener = tcp::listen(&daemon.cfg.peer_listen)?;
    tokio::spawn(async move {
        let ended = daemon.ended.clone();
        tokio::select! {
            () = accept(&daemon, listener) => {}
            () = ended.cancelled() => {}
        }
    });
    Ok(())
}

async fn accept(daemon: &Arc<Daemon>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(answer(Arc::clone(daemon), stream))),
            Err(e) => {
                slog::warn!(daemon.log, "a peer was not accepted"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers one peer until it leaves or the daemon ends.
async fn answer(daemon: Arc<Daemon>, stream: TcpStream) {
    let ended = daemon.ended.clone();
    let transport = tarpc::serde_transport::new(framed(stream), Bincode::default());
    let channel = BaseChannel::with_defaults(transport);
    let requests = channel.execute(Server { daemon }.serve()).for_each(|response| async {
        tokio::spawn(response);
    });
    tokio::select! {
        () = requests => {}
        () = ended.cancelled() => {}
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream)
}
