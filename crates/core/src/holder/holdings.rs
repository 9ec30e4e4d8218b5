//! Where the tokens are that a daemon has drawn: what an operator asks after hosts
//! were lost, since a process that dies tells nothing.

use std::cmp::Reverse;
use std::fmt;

use serde::Serialize;

use crate::holder::Holder;
use crate::{Millis, Name, Tokens};

/// How many attempts have tokens set aside, and for how long.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RunningAttempts {
    /// Attempts.
    pub count: u64,
    /// Sum of the times at which they began, each in milliseconds since the start.
    began_sum: Millis,
}

impl RunningAttempts {
    pub(super) fn begin(&mut self, now: Millis) {
        self.count += 1;
        self.began_sum += now;
    }

    pub(super) fn end(&mut self, began: Millis) {
        self.count -= 1;
        self.began_sum -= began;
    }

    fn add(&mut self, other: RunningAttempts) {
        self.count += other.count;
        self.began_sum += other.began_sum;
    }

    /// Mean age in milliseconds; 0 when none runs.
    pub fn mean_age(&self, now: Millis) -> Millis {
        let began = self.began_sum.checked_div(self.count);
        began.map_or(0, |began| now.saturating_sub(began))
    }
}

/// Sums over all budgets of one daemon, in tokens. What came in (`granted`,
/// `received`) is what went out (`returned`, `sent`, `spent`) and what is here
/// (`reserved`, `free`, `sealed`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Holdings {
    /// Granted by the store.
    pub granted: Tokens,
    /// Come from other daemons.
    pub received: Tokens,
    /// Given back to the store.
    pub returned: Tokens,
    /// Gone to other daemons.
    pub sent: Tokens,
    /// Spent by attempts that have ended.
    pub spent: Tokens,
    /// Set aside for attempts that run.
    pub reserved: Tokens,
    /// Free to be set aside.
    pub free: Tokens,
    /// Granted, but not yet open.
    pub sealed: Tokens,
    /// Attempts that run.
    pub running: RunningAttempts,
}

/// What is held of one budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BudgetHolding {
    /// The budget.
    pub budget: Name,
    /// Free or sealed.
    pub unspent: Tokens,
    /// Set aside for attempts that run.
    pub reserved: Tokens,
}

impl fmt::Display for BudgetHolding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}+{}", self.budget, self.unspent, self.reserved)
    }
}

impl Holder {
    /// The budgets of which most is held, at most `count` of them, the most first.
    pub fn largest_holdings(&self, count: usize) -> Vec<BudgetHolding> {
        let held = self.accounts.iter().map(|(budget, account)| BudgetHolding {
            budget: budget.clone(),
            unspent: account.free() + account.sealed(),
            reserved: account.reserved,
        });
        let mut held: Vec<BudgetHolding> =
            held.filter(|held| held.unspent + held.reserved > 0).collect();
        let most_first = |held: &BudgetHolding| Reverse(held.unspent + held.reserved);
        if count < held.len() {
            // A daemon may have 39,000 budgets: only those that are told get sorted.
            held.select_nth_unstable_by_key(count, most_first);
            held.truncate(count);
        }
        held.sort_by_key(most_first);
        held
    }

    /// Where all tokens are that this daemon ever had.
    pub fn holdings(&self) -> Holdings {
        let mut sum = Holdings::default();
        for account in self.accounts.values() {
            sum.granted += account.granted;
            sum.received += account.received.values().sum::<Tokens>();
            sum.returned += account.returned;
            sum.sent += account.sent.values().sum::<Tokens>();
            sum.spent += account.spent;
            sum.reserved += account.reserved;
            sum.free += account.free();
            sum.sealed += account.sealed();
            sum.running.add(account.running);
        }
        sum
    }
}
