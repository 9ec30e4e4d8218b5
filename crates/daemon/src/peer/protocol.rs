//! The RPC protocol between daemons.

use bankcove_core::bill::Bill;
use bankcove_core::crashes::{CrashFacts, ServerInstance};
use bankcove_core::hints::HintFact;
use bankcove_core::holder::{Allotted, DaemonHolding, ProtectionState, TokenRequest};
use bankcove_core::limits::{Issued, LimitFact, PermitRequest, RequestRate};
use bankcove_core::members::{Heartbeat, Host};
use bankcove_core::owner::{RETRY_LATER_MS, Reply, Request};
use bankcove_core::request_log::{Entry, Outcome};
use bankcove_core::rollout::{RolloutKey, ServiceOutcomes};
use bankcove_core::router::UnreadReport;
use bankcove_core::server_list::{ListUpdate, ListVersion};
use bankcove_core::slot_leases::{SlotAnswer, SlotId, SlotRequest};
use bankcove_core::stream_versions::{Admission, StreamAnswer, StreamKey};
use bankcove_core::{Incarnation, Millis, Name, Tokens};
use serde::{Deserialize, Serialize};

use crate::peer::packed_list::PackedList;
use crate::peer::packed_table::PackedTable;

/// Response of a shard's owner to a [`Request`], with the tokens sent along.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerAnswer {
    /// The reply of the owner.
    pub reply: Reply,
    /// The owner's incarnation and the cumulative tokens that it has sent to the requester, if it
    /// sent any.
    pub sent: Option<(Incarnation, Tokens)>,
}

/// Response to a request for unspent tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum GiveAnswer {
    /// Tokens were sent.
    Sent {
        /// Cumulative tokens sent to the requester.
        cumulative: Tokens,
        /// Tokens still reserved for running attempts.
        reserved: Tokens,
    },
    /// The requested incarnation is not running here any more.
    OtherIncarnation,
}

/// Slot whose request has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedSlot {
    /// Its server.
    pub server: ServerInstance,
    /// Its id.
    pub id: SlotId,
    /// Whether the server has rejected the request because it is full.
    pub is_rejected: bool,
}

/// Slots that a daemon holds at one server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotRenewal {
    /// The server.
    pub server: ServerInstance,
    /// Rejections per second that it bears.
    pub borne: RequestRate,
    /// Its slots by its listing; 0 if unknown.
    pub slots: u32,
    /// The ids of the held slots.
    pub ids: Vec<SlotId>,
}

/// Response to a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitAnswer {
    /// The permits issued.
    pub issued: Issued,
    /// Whether the server has no limit any more, as far as the issuer knows.
    pub is_free: bool,
    /// The limit as known to the issuer, if it differs from the one known to the requester.
    pub newer: Option<LimitFact>,
}

/// Reason why tokens were refused, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Delay before the next attempt, in milliseconds.
    pub retry_after_ms: Millis,
    /// Whether the store was unavailable, so that the budget may have more tokens there.
    pub store_away: bool,
    /// Maximum number of tokens that the request may take of the rest of the budget, if it was
    /// refused for requiring more.
    pub ration: Option<Tokens>,
    /// Tokens protected for more urgent requests, if the request was refused because of them.
    #[serde(default)]
    pub protected: Option<Tokens>,
}

impl Refusal {
    /// Creates a refusal for a budget with too few tokens left.
    pub(crate) fn short(retry_after_ms: Millis) -> Self {
        Refusal { retry_after_ms, store_away: false, ration: None, protected: None }
    }

    /// Creates a refusal for a budget that may have more tokens in the unavailable store.
    pub(crate) fn out_of_reach(retry_after_ms: Millis) -> Self {
        Refusal { store_away: true, ..Refusal::short(retry_after_ms) }
    }

    /// Creates a refusal for a request that requires more than its `ration` of a nearly spent
    /// budget.
    pub(crate) fn rationed(ration: Tokens) -> Self {
        Refusal { ration: Some(ration), ..Refusal::short(RETRY_LATER_MS) }
    }

    /// Creates a refusal for a request that would use tokens `protected` for more urgent ones.
    pub(crate) fn protected(protected: Tokens, retry_after_ms: Millis) -> Self {
        Refusal { protected: Some(protected), ..Refusal::short(retry_after_ms) }
    }
}

/// Response of a shard's owner to a [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllotAnswer {
    /// Tokens were allotted.
    Allotted(Allotted),
    /// No tokens were allotted; with what the owner protects of the budget.
    Refused(Refusal, Option<ProtectionState>),
}

/// Outcomes of a service's requests at one daemon since it learned of the rollout.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The rollout.
    pub rollout: RolloutKey,
    /// The sender.
    pub from: Incarnation,
    /// The outcomes.
    pub outcomes: ServiceOutcomes,
}

/// Response to a [`RolloutReport`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RolloutAnswer {
    /// Fraction of the service's requests that the new version may get now; `None` if the receiver
    /// is not the decider.
    pub fraction: Option<f64>,
}

/// The platform's host list, as sent by a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostListReply {
    /// The rows.
    pub hosts: PackedList<Vec<Host>>,
    /// Time since the store was asked for it, in milliseconds.
    pub age_ms: i64,
}

/// The calls that each daemon answers.
#[tarpc::service]
pub trait PeerService {
    /// Announces the sender's state and returns the receiver's.
    async fn heartbeat(from: Heartbeat) -> Heartbeat;
    /// Reports the prompt tokens that the sender has sent to servers and that are not read there
    /// yet.
    async fn told_unread(report: UnreadReport);
    /// Returns the table in force if its revision is above `revision`.
    async fn table_above(revision: u64) -> Option<PackedTable>;
    /// Returns the changes of the receiver's server list since `version`, with the version of that
    /// list; `None` if it is not above `version`.
    async fn servers_above(version: ListVersion) -> Option<(ListVersion, PackedList<ListUpdate>)>;
    /// Returns the receiver's copy of the platform's host list, unless its hash is `hash`.
    async fn hosts_unless(hash: u64) -> Option<HostListReply>;
    /// Sends a request to the receiver as the owner of a budget shard.
    async fn ask_owner(request: Request) -> OwnerAnswer;
    /// Requests tokens from the receiver as the owner of a budget's shard, which holds them or
    /// draws them from the store.
    async fn allot(request: TokenRequest) -> AllotAnswer;
    /// Requests a part of the receiver's free tokens while none can be drawn from the store.
    async fn lend(request: TokenRequest) -> Allotted;
    /// Transfers the free tokens of `from`, which stops while the store is unavailable, to the
    /// receiver. `sum` is cumulative. Returns whether the receiver still is the incarnation
    /// `receiver`.
    async fn take(budget: Name, receiver: Incarnation, from: Incarnation, sum: Tokens) -> bool;
    /// Requests up to `most` of the free tokens that `holder` has of a budget, on behalf of
    /// `receiver`, which has `received` this cumulative sum from it so far.
    async fn give(
        budget: Name,
        holder: Incarnation,
        receiver: Incarnation,
        received: Tokens,
        most: Tokens,
    ) -> GiveAnswer;
    /// Returns how much of a budget the receiver holds and has spent.
    async fn holding(budget: Name) -> DaemonHolding;
    /// Asks the receiver as a witness to let `holder` open its grant up to the cumulative sum
    /// `opened`. Returns whether it agrees.
    async fn open(holder: Incarnation, witness: Incarnation, budget: Name, opened: Tokens) -> bool;
    /// Asks the receiver as a witness to let `holder` open nothing further. Returns the cumulative
    /// sum opened before; `None` if the incarnation `witness` is not running any more.
    async fn close(holder: Incarnation, witness: Incarnation, budget: Name) -> Option<Tokens>;
    /// Appends an entry to the request log through the receiver.
    async fn submit(entry: Entry) -> Outcome;
    /// Sends crash facts that are new to the sender.
    async fn told_crashes(facts: CrashFacts);
    /// Returns all crash facts known to the receiver.
    async fn crash_facts() -> CrashFacts;
    /// Sends server hints, such as limits, that are new to the sender.
    async fn told_hints(facts: Vec<HintFact>);
    /// Returns the server hints known to the receiver; a part of them if there are many.
    async fn hint_facts() -> Vec<HintFact>;
    /// Reports that a server has asked the receiver for a rest of `rest_ms`, in its response to a
    /// request that the receiver carried.
    async fn told_rest(server: ServerInstance, rest_ms: Millis);
    /// Requests permits for a server from the receiver. `fact` is the server's limit as known to
    /// the sender.
    async fn permits(fact: LimitFact, request: PermitRequest) -> PermitAnswer;
    /// Requests a slot of a server, which bears `borne` rejections a second, from the receiver as its
    /// issuer. The answer comes when a slot is free, if that is expected some time before the deadline of
    /// the call. `None` if the receiver is not its issuer.
    async fn slot(
        server: ServerInstance,
        borne: RequestRate,
        request: SlotRequest,
    ) -> Option<SlotAnswer>;
    /// Releases slots that the receiver has issued to `from`.
    async fn release_slots(from: Incarnation, released: Vec<ReleasedSlot>);
    /// Renews the leases of `from` with the receiver as their issuer.
    async fn renew_slots(from: Incarnation, renewals: Vec<SlotRenewal>);
    /// Reports the outcomes of a rollout to the receiver, which may be its decider.
    async fn rollout_report(report: RolloutReport) -> RolloutAnswer;
    /// Records the version of a stream that the sender carries and that can go on for `life_ms`.
    async fn told_stream(key: StreamKey, version: Name, life_ms: Millis);
    /// Returns what the receiver knows of the version of a stream of this service. `key` is missing
    /// if the caller does not name the attempt that began the stream.
    async fn stream_version(key: Option<StreamKey>, service: Name, life_ms: Millis)
    -> StreamAnswer;
    /// Returns the versions of servers at which streams may begin, as known to the receiver.
    async fn admitted_versions() -> Admission;
    /// Hands the receiver a bill, which it keeps until the store accepts it.
    async fn keep_bill(bill: Bill);
}
