//! Totals of the tokens at one daemon, reported regularly so that operators can account
//! for the tokens of a process that has crashed.

use std::cmp::Reverse;
use std::fmt;

use serde::Serialize;

use crate::holder::Holder;
use crate::{Millis, Name, Tokens};

/// Number and mean age of the attempts that have tokens reserved.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RunningAttempts {
    /// Number of running attempts.
    pub count: u64,
    /// Sum of their start times, each in milliseconds on the daemon's clock.
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

    /// Returns the mean age in milliseconds; 0 when none is running.
    pub fn mean_age(&self, now: Millis) -> Millis {
        let began = self.began_sum.checked_div(self.count);
        began.map_or(0, |began| now.saturating_sub(began))
    }
}

/// Sums over all budgets of one daemon, in tokens. The credits (`granted`, `received`)
/// equal the debits (`returned`, `sent`, `spent`) plus what is held (`reserved`, `free`,
/// `sealed`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Holdings {
    /// Granted by the store.
    pub granted: Tokens,
    /// Received from other daemons.
    pub received: Tokens,
    /// Given back to the store.
    pub returned: Tokens,
    /// Sent to other daemons.
    pub sent: Tokens,
    /// Spent by finished attempts.
    pub spent: Tokens,
    /// Reserved for running attempts.
    pub reserved: Tokens,
    /// Free to be reserved.
    pub free: Tokens,
    /// Granted but not yet opened.
    pub sealed: Tokens,
    /// Running attempts.
    pub running: RunningAttempts,
}

/// Tokens of one budget held at this daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BudgetHolding {
    /// The budget.
    pub budget: Name,
    /// Free and sealed tokens.
    pub unspent: Tokens,
    /// Tokens reserved for running attempts.
    pub reserved: Tokens,
}

impl fmt::Display for BudgetHolding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}+{}", self.budget, self.unspent, self.reserved)
    }
}

impl Holder {
    /// Returns up to `count` budgets with the most tokens held, in descending order.
    pub fn largest_holdings(&self, count: usize) -> Vec<BudgetHolding> {
        let held = self.accounts.iter().map(|(budget, account)| BudgetHolding {
            budget: budget.clone(),
            unspent: account.free() + account.sealed(),
            reserved: account.reserved,
        });
        let mut held: Vec<BudgetHolding> =
            held.filter(|held| held.unspent + held.reserved > 0).collect();
        let descending = |held: &BudgetHolding| Reverse(held.unspent + held.reserved);
        if count < held.len() {
            // A daemon may have 39,000 budgets: only the reported ones are sorted.
            held.select_nth_unstable_by_key(count, descending);
            held.truncate(count);
        }
        held.sort_by_key(descending);
        held
    }

    /// Returns the totals over all budgets of this daemon.
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
