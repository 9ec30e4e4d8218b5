//! What a holder asks the store for, and the terms of it.

use serde::{Deserialize, Serialize};

use crate::holder::allot::held_fraction;
use crate::holder::prefetch::PrefetchScope;
use crate::witness::Witness;
use crate::{Incarnation, Name, Tokens};

/// Terms of a budget's row that go along with a draw.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DrawTerms {
    /// Tokens that the row allows.
    pub tokens: Tokens,
    /// The row's version.
    pub version: u64,
    /// How far ahead to draw, in seconds of recent spending.
    pub horizon_s: f64,
    /// At most 1/`share_divisor` of what is available is drawn at once.
    pub share_divisor: u64,
    /// At least this part of an equal share, so that a daemon that spends
    /// little has something in hand when the store is away.
    pub held_ahead: f64,
    /// Part of what all holders together may keep ([`held_fraction`]) that an owner in a
    /// large fleet keeps for the others before any spending is known; 0 for the others.
    pub kept_for_others: f64,
    /// For whom the holder keeps tokens ahead.
    #[serde(rename = "keeps")]
    pub prefetch: PrefetchScope,
    /// Daemons that share the budget, as the drawing one knows.
    pub daemons: u64,
}

impl DrawTerms {
    /// What to give a holder that wants `want` of `available` tokens.
    pub fn draw_amount(&self, want: Tokens, available: Tokens) -> Tokens {
        want.min(available / self.share_divisor.max(1))
    }

    /// What a holder should have in hand, whatever it spends: a part of an
    /// equal share of `shared`, and never more than half of what is still
    /// available.
    pub fn min_held(&self, shared: Tokens, available: Tokens) -> Tokens {
        let equal = shared as f64 / self.daemons.max(1) as f64;
        let for_others = shared as f64 * held_fraction(shared, self.tokens) * self.kept_for_others;
        let floor = (equal * self.held_ahead).max(for_others) as Tokens;
        floor.min(available / 2)
    }
}

/// A holder's request for more tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Draw {
    /// The budget.
    pub budget: Name,
    /// Who asks.
    pub holder: Incarnation,
    /// Where the holder's peer port listens.
    pub address: String,
    /// Cumulative grant that the holder knows of.
    pub known_granted: Tokens,
    /// Cumulative tokens that the holder had from the asked daemon itself.
    pub received: Tokens,
    /// Tokens that the holder has free already; `need` comes on top.
    pub free: Tokens,
    /// Cumulative tokens of its grant that the holder has opened.
    pub opened: Tokens,
    /// Who is to attest what the holder opens while the store is away.
    pub witnesses: Vec<Witness>,
    /// An earlier start at that address, by the holder's word, which ends with this draw.
    #[serde(rename = "ends")]
    pub replaced_start: Option<Incarnation>,
    /// Counts the draws of this holder and budget.
    pub number: u64,
    /// Cumulative tokens that the holder has given back to the store; they are
    /// debited at the holder already.
    pub returned: Tokens,
    /// Fewer tokens than these are of no use.
    pub need: Tokens,
    /// Tokens that would last for the horizon.
    pub want: Tokens,
    /// Tokens to open of them; the rest stays sealed.
    pub open: Tokens,
    /// Recent spending of the holder, in tokens a second.
    pub rate: Tokens,
    /// The budget's row as the holder knows it.
    pub terms: DrawTerms,
}
