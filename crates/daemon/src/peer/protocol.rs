//! What daemons ask of each other.

use bankcove_core::bill::Bill;
use bankcove_core::crashes::CrashFacts;
use bankcove_core::hints::HintFact;
use bankcove_core::holder::{Allotted, DaemonHolding, TokenRequest};
use bankcove_core::limits::{Issued, LimitFact, PermitRequest};
use bankcove_core::members::{Heartbeat, Host};
use bankcove_core::owner::{RETRY_LATER_MS, Reply, Request};
use bankcove_core::request_log::{Entry, Outcome};
use bankcove_core::router::UnreadReport;
use bankcove_core::server_list::{ListUpdate, ListVersion};
use bankcove_core::{Incarnation, Millis, Name, Tokens};
use serde::{Deserialize, Serialize};

use crate::peer::packed_table::PackedTable;

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

/// An answer to a daemon that asks for permits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The permits.
    pub issued: Issued,
    /// Whether the server names no limit any more, as far as the issuer knows.
    pub is_free: bool,
    /// What the issuer knows of the limit, when that is something else.
    pub newer: Option<LimitFact>,
}

/// Why tokens were refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// When it is worth asking again.
    pub retry_after_ms: Millis,
    /// Whether the store was away, so that more may be there.
    pub store_away: bool,
    /// What the request may take at most of the rest of the budget, when that is why.
    pub ration: Option<Tokens>,
}

impl Refusal {
    /// Too little is left of the budget.
    pub(crate) fn short(retry_after_ms: Millis) -> Self {
        Refusal { retry_after_ms, store_away: false, ration: None }
    }

    /// More may be left, but out of reach.
    pub(crate) fn out_of_reach(retry_after_ms: Millis) -> Self {
        Refusal { retry_after_ms, store_away: true, ration: None }
    }

    /// Too little is left for a request of this size.
    pub(crate) fn rationed(ration: Tokens) -> Self {
        Refusal { retry_after_ms: RETRY_LATER_MS, store_away: false, ration: Some(ration) }
    }
}

/// An owner's answer to a daemon that asks for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllotAnswer {
    /// Tokens were handed on.
    Allotted(Allotted),
    /// None were.
    Refused(Refusal),
}

/// The platform's host list, as a peer tells it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostListReply {
    /// The lines.
    pub hosts: Vec<Host>,
    /// How long ago the store was asked for it, in milliseconds.
    pub age_ms: i64,
}

/// What daemons ask of each other.
#[tarpc::service]
pub trait PeerService {
    /// Tells of the sender and asks the same of the receiver.
    async fn heartbeat(from: Heartbeat) -> Heartbeat;
    /// Tells what the sender has sent to servers that is still to be read there.
    async fn told_unread(news: UnreadReport);
    /// The table in force, when its revision is above this one.
    async fn table_above(revision: u64) -> Option<PackedTable>;
    /// What the receiver knows of the list of backend servers beyond this
    /// version, and its own version, when that is above this one.
    async fn servers_above(version: ListVersion) -> Option<(ListVersion, ListUpdate)>;
    /// The platform's host list as the receiver knows it, unless its hash is
    /// this one.
    async fn hosts_unless(hash: u64) -> Option<HostListReply>;
    /// Asks the receiver as the owner of a budget shard.
    async fn ask_owner(request: Request) -> OwnerAnswer;
    /// Asks the receiver, as the owner of a budget's shard, for tokens that it
    /// holds itself or draws.
    async fn allot(ask: TokenRequest) -> AllotAnswer;
    /// Asks the receiver for a part of what it has free, while no more can be
    /// drawn from the store.
    async fn lend(ask: TokenRequest) -> Allotted;
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
    /// What the receiver holds and has spent of a budget.
    async fn holding(budget: Name) -> DaemonHolding;
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
    /// Tells what servers have said that is new to the sender.
    async fn told_hints(facts: Vec<HintFact>);
    /// What the receiver knows of what servers have said; some of it, when it is much.
    async fn hint_facts() -> Vec<HintFact>;
    /// Asks the receiver for permits for the server that the sender knows this of.
    async fn permits(fact: LimitFact, wish: PermitRequest) -> PermitAnswer;
    /// Keeps a bill until the store takes it.
    async fn keep_bill(bill: Bill);
}
