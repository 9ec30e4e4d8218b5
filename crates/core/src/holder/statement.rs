//! Statement of a budget for operators: where all its tokens are.

use serde::{Deserialize, Serialize};

use crate::holder::Holder;
use crate::shard::Ledger;
use crate::{Incarnation, Name, Tokens};

/// Tokens of a budget at one daemon, as reported by it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonHolding {
    /// The budget.
    pub budget: Name,
    /// Name of the daemon.
    pub daemon: Name,
    /// Incarnation of the daemon.
    pub incarnation: Incarnation,
    /// Tokens spent by attempts that have finished there.
    pub spent: Tokens,
    /// Tokens reserved there for running attempts.
    pub reserved: Tokens,
    /// Unspent tokens held there, open or sealed.
    pub held: Tokens,
}

/// Where all tokens of a budget are: the parts add up to the total.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Tokens of the budget in all.
    pub total: Tokens,
    /// Tokens in the store that are granted to no daemon.
    pub not_granted: Tokens,
    /// Tokens spent by finished attempts at daemons that answered.
    pub spent: Tokens,
    /// Tokens reserved for running attempts.
    pub reserved: Tokens,
    /// Unspent tokens held by daemons that answered.
    pub held: Tokens,
    /// Tokens kept by incarnations that have ended: spent, or lost with them. Can be
    /// negative: with tokens that others had sent them, they may have returned or spent more
    /// than they were granted.
    pub ended: i64,
    /// Tokens granted to incarnations that did not answer: spent, held or lost there.
    #[serde(rename = "silent")]
    pub unanswered: Tokens,
    /// The remainder: tokens in transit between daemons and the store, or allotted to a daemon
    /// that did not answer. Negative when tokens are counted twice: a daemon reported them as
    /// held and then returned them to the store before the ledger was read, or sent them to a
    /// daemon that reported later.
    #[serde(rename = "on_the_way")]
    pub in_transit: i64,
    /// Reports of the daemons that have any tokens of it.
    pub holders: Vec<DaemonHolding>,
}

impl Statement {
    /// Computes the statement from the daemons' reports and the store's ledger, which was read
    /// just after them.
    pub fn new(ledger: &Ledger, mut holders: Vec<DaemonHolding>) -> Self {
        let sum = |part: fn(&DaemonHolding) -> Tokens| holders.iter().map(part).sum::<Tokens>();
        let (spent, reserved, held) = (
            sum(|holding| holding.spent),
            sum(|holding| holding.reserved),
            sum(|holding| holding.held),
        );
        let has_answered = |incarnation: &Incarnation| {
            holders.iter().any(|holding| holding.incarnation == *incarnation)
        };
        let unanswered = ledger.grants.iter().filter(|(incarnation, _)| !has_answered(incarnation));
        let unanswered =
            unanswered.map(|(_, grant)| grant.granted.saturating_sub(grant.returned)).sum();
        // The ledger includes what an ended incarnation kept, whether or not it still answers.
        let is_ended =
            |holding: &&DaemonHolding| ledger.retired_holders.contains(&holding.incarnation);
        let counted_twice: Tokens =
            holders.iter().filter(is_ended).map(|holding| holding.spent).sum();
        let ended = ledger.retired - counted_twice as i64;
        let at_daemons = spent + reserved + held + unanswered;
        let in_transit = ledger.committed() - ended - at_daemons as i64;
        holders.retain(|holding| holding.spent + holding.reserved + holding.held > 0);
        holders.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        Statement {
            total: ledger.total(),
            not_granted: ledger.available(),
            spent,
            reserved,
            held,
            ended,
            unanswered,
            in_transit,
            holders,
        }
    }

    /// Returns the tokens that are neither spent nor known to be available: reserved, in
    /// transit, or at daemons that have ended or did not answer.
    pub fn unaccounted(&self) -> i64 {
        self.total as i64 - self.spent as i64 - self.left() as i64
    }

    /// Returns the tokens that are known to be available for spending.
    pub fn left(&self) -> Tokens {
        self.not_granted + self.held
    }
}

impl Holder {
    /// Returns what this daemon holds and has spent of a budget.
    pub fn holding(&self, daemon: &Name, incarnation: Incarnation, budget: &Name) -> DaemonHolding {
        let account = self.accounts.get(budget);
        DaemonHolding {
            budget: budget.clone(),
            daemon: daemon.clone(),
            incarnation,
            spent: account.map_or(0, |account| account.spent),
            reserved: account.map_or(0, |account| account.reserved),
            held: account.map_or(0, |account| account.free() + account.sealed()),
        }
    }
}
