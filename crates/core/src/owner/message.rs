//! Requests, replies, events and commands of an owner.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::holder::{Draw, Outlook};
use crate::shard::Shard;
use crate::witness::Witness;
use crate::{Incarnation, Millis, Name, Tokens};

/// Identifies a pending request; chosen by the code that runs the owner.
pub type Ticket = u64;

/// A request to an owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Grants a holder more tokens.
    Draw(Draw),
    /// Adds tokens to a budget.
    TopUp {
        /// The budget.
        budget: Name,
        /// Unique ID assigned by the operator's client.
        id: String,
        /// Tokens to add.
        tokens: Tokens,
    },
    /// Ends a holder that stops permanently.
    Retire {
        /// The budget.
        budget: Name,
        /// The holder that stops.
        holder: Incarnation,
        /// Tokens of its grant that count as used; negative when it returns more than its
        /// grant.
        kept: i64,
    },
    /// Takes back the tokens that an unresponsive holder never opened.
    Reclaim {
        /// The budget.
        budget: Name,
        /// The holder of the grant.
        holder: Incarnation,
        /// A witness of the holder that attests no further openings by it.
        witness: Incarnation,
        /// Cumulative tokens that the holder had opened according to that witness.
        opened: Tokens,
    },
}

impl Request {
    /// Returns the draw if its holder needs the tokens now.
    pub(super) fn urgent_draw(&self) -> Option<&Draw> {
        match self {
            Request::Draw(draw) if draw.need > 0 => Some(draw),
            _ => None,
        }
    }

    /// Returns the budget that the request concerns.
    pub fn budget(&self) -> &Name {
        match self {
            Request::Draw(draw) => &draw.budget,
            Request::TopUp { budget, .. }
            | Request::Retire { budget, .. }
            | Request::Reclaim { budget, .. } => budget,
        }
    }
}

/// An owner's reply to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The draw is granted; the cumulative grant covers its need.
    Granted {
        /// Cumulative tokens granted by the store.
        granted: Tokens,
        /// Cumulative tokens of the grant that may be spent.
        opened: Tokens,
        /// Whether the store has recorded the witnesses named by the draw.
        recorded: bool,
        /// State of the whole budget according to the ledger; `None` when it is unknown.
        outlook: Option<Outlook>,
        /// Another incarnation recorded at the holder's address. It is an earlier one, since
        /// a process keeps its address for its whole lifetime.
        earlier_start: Option<Incarnation>,
    },
    /// Not enough tokens are left, even after a collection.
    Short {
        /// Delay in milliseconds before the request is worth retrying.
        retry_after_ms: Millis,
    },
    /// The request is recorded.
    Recorded,
    /// The store is unavailable; it is unknown whether anything was recorded.
    StoreAway {
        /// Delay in milliseconds before the request is worth retrying.
        retry_after_ms: Millis,
    },
}

/// An input of an owner.
#[derive(Debug, Clone, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "made once a call and moved twice")]
pub enum Event {
    /// A request was received.
    Requested(Ticket, Request),
    /// The shard was read; version 0 means that it does not exist yet.
    Loaded(u64, Shard),
    /// The write succeeded and created this version.
    Written(u64),
    /// The write was rejected because the shard had changed.
    Conflict,
    /// The write was rejected because of this newer version of the shard.
    Superseded(u64, Shard),
    /// It is unknown whether the write took effect.
    Ambiguous,
    /// The store is unavailable; a pending write did not take effect.
    StoreUnavailable,
    /// A collection has finished.
    Collected {
        /// The budget whose tokens were collected.
        budget: Name,
        /// Free tokens that this daemon now holds.
        free: Tokens,
        /// Whether a later collection may return more: some tokens are reserved elsewhere,
        /// or some holders did not respond.
        more_expected: bool,
    },
    /// The time given in a [`Command::WakeAt`] has been reached.
    Tick,
}

/// A holder as recorded in the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderRef {
    /// The holder.
    pub incarnation: Incarnation,
    /// Its peer address.
    pub address: Arc<str>,
    /// Its witnesses.
    pub witnesses: Vec<Witness>,
}

/// An action that the caller of the owner has to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Read the shard.
    Load,
    /// Write the shard if it is still at this version.
    Write(u64, Shard),
    /// Collect all free tokens of the budget from these holders and from any others that
    /// may hold some, including the one that draws.
    Collect(Name, Vec<HolderRef>),
    /// Answer the request.
    Reply(Ticket, Reply),
    /// Transfer tokens that this daemon holds to the drawing holder, together with the reply.
    Transfer {
        /// Cumulative granted and opened tokens of this daemon itself, if the write has
        /// increased them.
        own_grant: Option<(Tokens, Tokens)>,
        /// The request to answer.
        ticket: Ticket,
        /// The draw that is served; its `need` is the minimum to transfer.
        draw: Box<Draw>,
        /// Maximum number of tokens to transfer.
        max: Tokens,
        /// The reply if the transfer succeeds.
        reply: Reply,
    },
    /// Send [`Event::Tick`] at this time.
    WakeAt(Millis),
}
