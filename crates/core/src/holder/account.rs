//! The account of one budget at one daemon.

use std::collections::HashMap;

use serde::Serialize;

use crate::holder::draw::DrawTerms;
use crate::holder::holdings::RunningAttempts;
use crate::holder::prefetch::PrefetchScope;
use crate::holder::protection::BudgetProtection;
use crate::holder::rate::Rate;
use crate::holder::ration::Outlook;
use crate::witness::Witness;
use crate::{Incarnation, Millis, Tokens};

/// How much of a grant is opened at a time, in seconds of recent spending. An open part is
/// lost with a daemon that crashes, while the store takes the sealed rest back.
const OPEN_AHEAD_S: f64 = 2.0;

/// A holder gives tokens back when it has more than this multiple of its prefetch target.
pub(super) const SURPLUS_FACTOR: f64 = 1.5;

/// Tokens of one budget at this daemon: credits, debits and spending.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Account {
    /// Cumulative tokens granted by the store.
    pub granted: Tokens,
    /// Cumulative tokens of the grant that are open, which may be spent.
    pub opened: Tokens,
    /// Daemons that the store may have recorded as witnesses of this holder.
    pub witnesses: Vec<Witness>,
    /// Number of draws made.
    pub draws: u64,
    /// Cumulative tokens given back to the store.
    pub returned: Tokens,
    /// State of the whole budget, as last reported by the store's ledger or the shard's owner.
    pub outlook: Option<Outlook>,
    /// Time at which `outlook` was received.
    #[serde(rename = "known_at")]
    pub(super) outlook_at: Millis,
    /// Rate at which the whole fleet uses the budget, derived from successive outlooks.
    #[serde(rename = "taken")]
    pub(super) fleet_rate: Rate,
    /// An earlier incarnation at this daemon's address that the ledger still lists.
    pub(super) earlier_start: Option<Incarnation>,
    /// Tokens that the budget's row allowed at the last draw.
    pub total: Tokens,
    /// Cumulative tokens received, by sender.
    pub received: HashMap<Incarnation, Tokens>,
    /// Cumulative tokens sent, by receiver.
    pub sent: HashMap<Incarnation, Tokens>,
    /// Tokens spent by finished attempts.
    pub spent: Tokens,
    /// Tokens reserved for running attempts.
    pub reserved: Tokens,
    /// Number and age of those attempts.
    pub running: RunningAttempts,
    /// Whether the account was closed at the store. Tokens that arrive later do not belong to
    /// this holder, since the store may have granted them to others by then.
    pub(super) retired: bool,
    /// Spending rate of this daemon's own requests.
    pub(super) rate: Rate,
    /// Rate at which tokens are allotted to other daemons.
    #[serde(rename = "handed_on")]
    pub(super) allotted_rate: Rate,
    /// Tokens that an owner reserves for other daemons until spending is known. They are
    /// allotted only to cover a need: when they were also allotted ahead, a few daemons had all
    /// of them by the time the others requested some.
    pub(super) kept_for_needs: Tokens,
    /// Tokens that other daemons requested ahead since the last draw and did not receive.
    pub(super) unmet: Tokens,
    /// Tokens of the table row that `outlook` is based on.
    pub(super) outlook_row: Option<Tokens>,
    /// What is known about the protection of the budget; none without protection, and after a time
    /// without requests. Boxed, since a daemon may have 39,000 accounts.
    pub(super) protection: Option<Box<BudgetProtection>>,
}

impl Account {
    /// Returns the granted tokens that must be opened before they can be spent.
    pub fn sealed(&self) -> Tokens {
        self.granted - self.opened
    }

    /// Returns the most that this holder may prefetch; none while no outlook is known.
    pub(super) fn max_prefetch(&self) -> Option<Tokens> {
        self.outlook.map(|outlook| outlook.share)
    }

    /// Returns how many tokens to open beyond a need.
    pub(super) fn open_ahead(&self, now: Millis) -> Tokens {
        (self.rate.per_second(now) * OPEN_AHEAD_S) as Tokens
    }

    /// Returns the spending rate after spending `need` tokens now, in tokens per second: that
    /// of the whole fleet where this holder prefetches for the fleet.
    pub(super) fn spending_rate(&self, need: Tokens, terms: &DrawTerms, now: Millis) -> Tokens {
        let own = self.rate.per_second_with(need, now);
        let is_for_fleet = terms.prefetch == PrefetchScope::ForFleet;
        let others = if is_for_fleet { self.allotted_rate.per_second(now) } else { 0.0 };
        (own + others) as Tokens
    }

    /// Returns how many tokens to hold at least, regardless of spending.
    pub(super) fn min_held(&self, terms: &DrawTerms) -> Tokens {
        let left = self.outlook.map_or(terms.tokens, |outlook| outlook.left);
        terms.min_held(left, Tokens::MAX)
    }

    /// Returns the tokens that may be reserved now.
    pub fn free(&self) -> Tokens {
        if self.retired {
            return 0;
        }
        let credits = self.opened + self.received.values().sum::<Tokens>();
        let debits = self.returned + self.sent.values().sum::<Tokens>();
        credits - debits - self.spent - self.reserved
    }
}
