//! What an owner is asked and told, answers, and wants done.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::holder::{Draw, Outlook};
use crate::shard::Shard;
use crate::witness::Witness;
use crate::{Incarnation, Millis, Name, Tokens};

/// Names a caller of the owner; chosen by the shell.
pub type Ticket = u64;

/// What can be asked of an owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// More tokens for a holder.
    Draw(Draw),
    /// More tokens for a budget.
    TopUp {
        /// The budget.
        budget: Name,
        /// Identity that the operator's client gave it.
        id: String,
        /// Tokens to add.
        tokens: Tokens,
    },
    /// A holder stops for good.
    Retire {
        /// The budget.
        budget: Name,
        /// Who stops.
        holder: Incarnation,
        /// What it keeps of its grant.
        kept: i64,
    },
    /// What a silent holder never opened is taken back.
    Reclaim {
        /// The budget.
        budget: Name,
        /// Whose grant it is.
        holder: Incarnation,
        /// A witness of the holder, which has closed it.
        witness: Incarnation,
        /// What the holder had opened by that witness's word.
        opened: Tokens,
    },
}

impl Request {
    /// The draw, when somebody waits for it.
    pub(super) fn draw_now(&self) -> Option<&Draw> {
        match self {
            Request::Draw(draw) if draw.need > 0 => Some(draw),
            _ => None,
        }
    }

    /// The budget that it is about.
    pub fn budget(&self) -> &Name {
        match self {
            Request::Draw(draw) => &draw.budget,
            Request::TopUp { budget, .. }
            | Request::Retire { budget, .. }
            | Request::Reclaim { budget, .. } => budget,
        }
    }
}

/// What an owner answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The holder's cumulative grant; it covers the need.
    Granted {
        /// Cumulative tokens granted by the store.
        granted: Tokens,
        /// Cumulative tokens of the grant that may be spent.
        opened: Tokens,
        /// Whether the store has recorded the witnesses that the draw names.
        recorded: bool,
        /// The budget as the ledger has it; none when the owner does not know.
        outlook: Option<Outlook>,
        /// Another start at the holder's address that the ledger names: an earlier one,
        /// since the address is held for life.
        earlier_start: Option<Incarnation>,
    },
    /// Too little is left, also after collecting.
    Short {
        /// When it is worth asking again.
        retry_after_ms: Millis,
    },
    /// The request is recorded.
    Recorded,
    /// The store does not answer; nothing is known to be recorded.
    StoreAway {
        /// When it is worth asking again.
        retry_after_ms: Millis,
    },
}

/// What happens to an owner.
#[derive(Debug, Clone, PartialEq)]
#[expect(clippy::large_enum_variant, reason = "made once a call and moved twice")]
pub enum Event {
    /// Somebody asks.
    Requested(Ticket, Request),
    /// The shard was read; version 0 means that there is none yet.
    Loaded(u64, Shard),
    /// The write succeeded and made this version.
    Written(u64),
    /// The write was refused: the shard has changed.
    Conflict,
    /// The write was refused, and this is the shard that stands in its way.
    Superseded(u64, Shard),
    /// It is not known whether the write took effect.
    Ambiguous,
    /// The store does not answer; a write did not take effect.
    StoreUnavailable,
    /// A collection ended.
    Gathered {
        /// The budget collected for.
        budget: Name,
        /// What this daemon now has free.
        free: Tokens,
        /// Whether more may come: tokens reserved elsewhere, or silent holders.
        more_expected: bool,
    },
    /// A time asked for by [`Command::WakeAt`] has come.
    Tick,
}

/// A holder as the ledger has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderRef {
    /// The holder.
    pub incarnation: Incarnation,
    /// Its peer port.
    pub address: Arc<str>,
    /// Its witnesses.
    pub witnesses: Vec<Witness>,
}

/// What an owner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Read the shard.
    Load,
    /// Write the shard if it is still at this version.
    Write(u64, Shard),
    /// Ask these holders, and any others that may hold tokens, for all they
    /// have free of the budget; also the one that draws.
    Gather(Name, Vec<HolderRef>),
    /// Answer.
    Reply(Ticket, Reply),
    /// Send tokens that this daemon holds, and answer with the grant as well.
    Transfer {
        /// This daemon's own cumulative grant and what is open of it, when the
        /// write has raised them.
        own_grant: Option<(Tokens, Tokens)>,
        /// Whom to answer.
        ticket: Ticket,
        /// The draw that is served; `need` is what has to be sent.
        draw: Box<Draw>,
        /// Tokens that would do as well, at most.
        max: Tokens,
        /// The answer when they are sent.
        reply: Reply,
    },
    /// Send [`Event::Tick`] at this time.
    WakeAt(Millis),
}
