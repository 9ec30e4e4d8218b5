//! What a daemon holds of one budget, and how much of it is enough.

use std::collections::HashMap;

use serde::Serialize;

use crate::holder::draw::DrawTerms;
use crate::holder::holdings::RunningAttempts;
use crate::holder::prefetch::PrefetchScope;
use crate::holder::rate::Rate;
use crate::holder::ration::Outlook;
use crate::witness::Witness;
use crate::{Incarnation, Millis, Tokens};

/// How much of a grant is opened at a time, in seconds of recent spending. This
/// much is lost with a daemon that dies; the sealed rest is taken back.
const OPEN_AHEAD_S: f64 = 2.0;

/// More than this many times what a holder needs ahead is given back.
pub(super) const SURPLUS_FACTOR: f64 = 1.5;

/// What this daemon holds of one budget.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Account {
    /// Cumulative grant by the store.
    pub granted: Tokens,
    /// What may be spent of it.
    pub opened: Tokens,
    /// Those that the store may have recorded as witnesses of this holder.
    pub witnesses: Vec<Witness>,
    /// Draws made.
    pub draws: u64,
    /// Tokens given back to the store.
    pub returned: Tokens,
    /// The budget as a whole, as the store's ledger or the shard's owner said last.
    pub outlook: Option<Outlook>,
    #[serde(rename = "known_at")]
    pub(super) outlook_at: Millis,
    /// What the whole fleet takes of what is left, as the outlooks show.
    #[serde(rename = "taken")]
    pub(super) fleet_rate: Rate,
    /// An earlier start at this daemon's address that the ledger still names.
    pub(super) earlier_start: Option<Incarnation>,
    /// Tokens that the budget's row allowed at the last draw.
    pub total: Tokens,
    /// Cumulative tokens received, by sender.
    pub received: HashMap<Incarnation, Tokens>,
    /// Cumulative tokens sent, by receiver.
    pub sent: HashMap<Incarnation, Tokens>,
    /// Tokens spent by finished attempts.
    pub spent: Tokens,
    /// Tokens set aside for running attempts.
    pub reserved: Tokens,
    /// Those attempts.
    pub running: RunningAttempts,
    /// Whether the store was told that this holder ends: what still arrives is not
    /// the holder's any more, since the store may have granted it to others by then.
    pub(super) retired: bool,
    pub(super) rate: Rate,
    #[serde(rename = "handed_on")]
    pub(super) allotted_rate: Rate,
    /// What an owner keeps for others until spending is known: handed on for needs only.
    /// Handed on ahead too, it was with a few daemons when the others asked.
    pub(super) kept_for_needs: Tokens,
    /// Tokens that other daemons wanted ahead since the last draw and did not get.
    pub(super) unmet: Tokens,
}

impl Account {
    /// Tokens of the grant that have to be opened before they are spent.
    pub fn sealed(&self) -> Tokens {
        self.granted - self.opened
    }

    /// What this holder may keep ahead; none while nothing is known.
    pub(super) fn max_prefetch(&self) -> Option<Tokens> {
        self.outlook.map(|outlook| outlook.share)
    }

    /// What to open beyond a need.
    pub(super) fn open_ahead(&self, now: Millis) -> Tokens {
        (self.rate.per_second(now) * OPEN_AHEAD_S) as Tokens
    }

    /// Spending once `need` tokens are spent now, in tokens a second: for the whole fleet
    /// where this holder keeps for it.
    pub(super) fn spending(&self, need: Tokens, terms: &DrawTerms, now: Millis) -> Tokens {
        let own = self.rate.per_second_with(need, now);
        let is_for_fleet = terms.prefetch == PrefetchScope::ForFleet;
        let others = if is_for_fleet { self.allotted_rate.per_second(now) } else { 0.0 };
        (own + others) as Tokens
    }

    /// What to keep whatever is spent.
    pub(super) fn min_held(&self, terms: &DrawTerms) -> Tokens {
        let left = self.outlook.map_or(terms.tokens, |outlook| outlook.left);
        terms.min_held(left, Tokens::MAX)
    }

    /// Tokens that may be reserved now.
    pub fn free(&self) -> Tokens {
        if self.retired {
            return 0;
        }
        let credits = self.opened + self.received.values().sum::<Tokens>();
        let debits = self.returned + self.sent.values().sum::<Tokens>();
        credits - debits - self.spent - self.reserved
    }
}
