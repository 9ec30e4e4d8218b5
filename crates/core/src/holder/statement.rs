//! Where all tokens of one budget are, for operators.

use serde::{Deserialize, Serialize};

use crate::holder::Holder;
use crate::shard::Ledger;
use crate::{Incarnation, Name, Tokens};

/// What one daemon says of a budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonHolding {
    /// The budget.
    pub budget: Name,
    /// The daemon.
    pub daemon: Name,
    /// The start of it.
    pub incarnation: Incarnation,
    /// Tokens spent by attempts that have ended there.
    pub spent: Tokens,
    /// Set aside there for attempts that run.
    pub reserved: Tokens,
    /// Held there and not spent, whether open or sealed.
    pub held: Tokens,
}

/// Where all tokens of a budget are: the parts add up to the total.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Tokens that may be spent in all.
    pub total: Tokens,
    /// In the store, with nobody.
    pub not_granted: Tokens,
    /// Spent by attempts that have ended at daemons that answer.
    pub spent: Tokens,
    /// Set aside for attempts that run.
    pub reserved: Tokens,
    /// Held by daemons that answer, and not spent.
    pub held: Tokens,
    /// Kept by starts of daemons that have ended: spent, or lost with them.
    pub ended: i64,
    /// Granted to starts that did not answer: spent, held or lost there.
    #[serde(rename = "silent")]
    pub unanswered: Tokens,
    /// What is left: on its way between daemons and the store, or handed on to a daemon that
    /// did not answer. Below zero while a daemon was asked before tokens came to it.
    #[serde(rename = "on_the_way")]
    pub in_transit: i64,
    /// The daemons that answered and had anything of it.
    pub holders: Vec<DaemonHolding>,
}

impl Statement {
    /// What the store says, and what daemons said just before.
    pub fn new(ledger: &Ledger, mut holders: Vec<DaemonHolding>) -> Self {
        let sum = |part: fn(&DaemonHolding) -> Tokens| holders.iter().map(part).sum::<Tokens>();
        let (spent, reserved, held) =
            (sum(|one| one.spent), sum(|one| one.reserved), sum(|one| one.held));
        let has_answered =
            |start: &Incarnation| holders.iter().any(|one| one.incarnation == *start);
        let unanswered = ledger.grants.iter().filter(|(start, _)| !has_answered(start));
        let unanswered =
            unanswered.map(|(_, grant)| grant.granted.saturating_sub(grant.returned)).sum();
        // What a start that has ended kept is in the ledger, whether or not it still answers.
        let is_ended = |one: &&DaemonHolding| ledger.retired_holders.contains(&one.incarnation);
        let told_twice: Tokens = holders.iter().filter(is_ended).map(|one| one.spent).sum();
        let ended = ledger.retired - told_twice as i64;
        let there = spent + reserved + held + unanswered;
        let in_transit = ledger.committed() - ended - there as i64;
        holders.retain(|one| one.spent + one.reserved + one.held > 0);
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

    /// What is neither spent nor known to be left: set aside, on its way, or with daemons that
    /// have ended or did not answer.
    pub fn unaccounted(&self) -> i64 {
        self.total as i64 - self.spent as i64 - self.left() as i64
    }

    /// What may still be spent, as far as it is known where it is.
    pub fn left(&self) -> Tokens {
        self.not_granted + self.held
    }
}

impl Holder {
    /// What this daemon holds and has spent of a budget.
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
