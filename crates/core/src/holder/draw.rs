//! Draw requests of a holder to the store, and their terms.

use serde::{Deserialize, Serialize};

use crate::holder::allot::held_fraction;
use crate::holder::prefetch::PrefetchScope;
use crate::witness::Witness;
use crate::{Incarnation, Name, Tokens};

/// Settings of a budget's row that a draw carries, and the drawing daemon's role for the budget.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DrawTerms {
    /// Tokens that the budget's row allows.
    pub tokens: Tokens,
    /// The row's version.
    pub version: u64,
    /// How far ahead to draw, in seconds of recent spending.
    pub horizon_s: f64,
    /// At most 1/`share_divisor` of what is available is drawn at once.
    pub share_divisor: u64,
    /// Fraction of an equal share that is held at least, so that a daemon that spends little
    /// has tokens when the store is unavailable.
    pub held_ahead: f64,
    /// Fraction of what all holders together may prefetch ([`held_fraction`]) that an owner in
    /// a large fleet reserves for the other daemons before the spending is known; 0 for
    /// daemons that own no shard of the budget.
    pub kept_for_others: f64,
    /// For whom the holder prefetches tokens.
    #[serde(rename = "keeps")]
    pub prefetch: PrefetchScope,
    /// Number of daemons that share the budget, as known to the drawing one.
    pub daemons: u64,
}

impl DrawTerms {
    /// Returns how many of `available` tokens to grant to a holder that wants `want`.
    pub fn draw_amount(&self, want: Tokens, available: Tokens) -> Tokens {
        want.min(available / self.share_divisor.max(1))
    }

    /// Returns how many tokens a holder should hold regardless of its spending: a part of an
    /// equal share of `shared`, or of what all holders may prefetch if it reserves for others,
    /// and at most half of `available`.
    pub fn min_held(&self, shared: Tokens, available: Tokens) -> Tokens {
        let equal = shared as f64 / self.daemons.max(1) as f64;
        let for_others = shared as f64 * held_fraction(shared, self.tokens) * self.kept_for_others;
        let floor = (equal * self.held_ahead).max(for_others) as Tokens;
        floor.min(available / 2)
    }
}

/// Request of a holder for more tokens of a budget.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Draw {
    /// The budget.
    pub budget: Name,
    /// The requesting daemon.
    pub holder: Incarnation,
    /// Address at which the holder listens for peers.
    pub address: String,
    /// Cumulative grant known to the holder.
    pub known_granted: Tokens,
    /// Cumulative tokens that the holder has received from the asked daemon itself.
    pub received: Tokens,
    /// Tokens that are already free at the holder; `need` is in addition to them.
    pub free: Tokens,
    /// Cumulative tokens of its grant that the holder has opened.
    pub opened: Tokens,
    /// Witnesses that attest what the holder opens while the store is unavailable.
    pub witnesses: Vec<Witness>,
    /// An earlier incarnation at that address, as known to the holder, which this draw ends.
    #[serde(rename = "ends")]
    pub replaced_incarnation: Option<Incarnation>,
    /// Sequence number among the draws of this holder and budget.
    pub number: u64,
    /// Cumulative tokens that the holder has given back to the store; the holder has already
    /// debited them.
    pub returned: Tokens,
    /// Fewest tokens that are of use; 0 for a prefetch.
    pub need: Tokens,
    /// Tokens requested in all: `need` and the prefetch target.
    pub want: Tokens,
    /// Tokens of these to open at once; the rest stays sealed.
    pub open: Tokens,
    /// Recent spending rate of the holder, in tokens per second.
    pub rate: Tokens,
    /// Terms of the budget's row as known to the holder.
    pub terms: DrawTerms,
}
