//! Rationing: the most that one request may reserve of what is left of a budget.
//!
//! Near a budget's end a request of 15,000 tokens displaces ten small ones. Admitted in
//! order of arrival, the large requests take nearly all of what is left within seconds,
//! and no request is served until the next top-up.

use serde::{Deserialize, Serialize};

use crate::holder::{Account, Holder};
use crate::{Millis, Name, Tokens};

/// Less urgent ranks count as this one, which has eight times the window: with further
/// doubling the least urgent of ten ranks would be refused while most of a budget is left.
const MAX_RANK: u32 = 3;

/// State of a budget as last reported by its ledger or its shard's owner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// Most tokens that the receiving holder may prefetch.
    pub share: Tokens,
    /// Tokens that no daemon holds.
    pub left: Tokens,
}

/// Cost, rank and rationing window of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RequestDemand {
    /// Most tokens that it may cost.
    pub tokens: Tokens,
    /// Urgency rank by the table; 0 is the most urgent.
    pub rank: u32,
    /// Window whose expected requests share what is left, in seconds.
    pub ration_s: f64,
}

/// Factor applied to the free tokens during an outage of the store. An outage is as likely
/// as not to end within the time that it has already lasted; without the factor, requests
/// are refused for tokens that are still unused when it ends.
const OUTAGE_FACTOR: Tokens = 2;

impl Holder {
    /// Returns the most that the caller's request behind a token request may reserve
    /// ([`Holder::ration`]), as the owner sees the budget. While the store is unavailable, the
    /// tokens left with it do not count.
    pub fn ration_for(
        &self,
        budget: &Name,
        demand: &RequestDemand,
        is_store_unavailable: bool,
        now: Millis,
    ) -> Tokens {
        self.ration_beyond(budget, demand, 0, is_store_unavailable, now)
    }

    /// Returns the same where `protected` tokens of what is left are not for this request.
    pub fn ration_beyond(
        &self,
        budget: &Name,
        demand: &RequestDemand,
        protected: Tokens,
        is_store_unavailable: bool,
        now: Millis,
    ) -> Tokens {
        let Some(account) = self.accounts.get(budget) else { return Tokens::MAX };
        let Some(outlook) = account.outlook else { return Tokens::MAX };
        let free = account.free();
        let left = if is_store_unavailable { free * OUTAGE_FACTOR } else { outlook.left + free };
        self.equal_share(account, left.saturating_sub(protected), demand, now)
    }

    fn equal_share(
        &self,
        account: &Account,
        left: Tokens,
        demand: &RequestDemand,
        now: Millis,
    ) -> Tokens {
        let window_s = demand.ration_s * f64::from(demand.rank.min(MAX_RANK)).exp2();
        let expected = self.fleet_requests_per_second(account, now) * window_s;
        (left as f64 / expected.max(1.0)) as Tokens
    }

    /// Returns the requests per second of one budget that the whole fleet admits: the fleet's
    /// rate of tokens divided by the mean request here over all budgets, since one daemon of a
    /// large fleet gets too few requests of one budget.
    fn fleet_requests_per_second(&self, account: &Account, now: Millis) -> f64 {
        let local_rate = account.rate.per_second(now) + account.allotted_rate.per_second(now);
        let fleet_rate = account.fleet_rate.per_second(now).max(local_rate);
        let asked_for = self.asked_for.per_second(now);
        if asked_for == 0.0 {
            return 0.0;
        }
        fleet_rate * self.requests.per_second(now) / asked_for
    }

    /// Returns the most that one request may reserve: an equal part of what is left among the
    /// requests expected within `ration_s` seconds, a window that doubles with each `rank`
    /// below the most urgent (0). Unlimited while no outlook is known.
    pub fn ration(&self, budget: &Name, ration_s: f64, rank: u32, now: Millis) -> Tokens {
        let demand = RequestDemand { tokens: 0, rank, ration_s };
        self.ration_for(budget, &demand, false, now)
    }

    /// Records the reported state of a budget.
    pub fn set_outlook(&mut self, budget: &Name, outlook: Outlook, now: Millis) {
        let account = self.accounts.entry(budget.clone()).or_default();
        // Tokens that daemons prefetch and give back again are not counted as used.
        let before = account.outlook.map_or(outlook.left, |before| before.left);
        account.fleet_rate.record_decrease(before, outlook.left, now);
        account.outlook = Some(outlook);
        account.outlook_at = now;
    }

    /// Returns the age of that state, in milliseconds; none when no outlook is known.
    pub fn outlook_age(&self, budget: &Name, now: Millis) -> Option<Millis> {
        let account = self.accounts.get(budget)?;
        account.outlook.map(|_| now.saturating_sub(account.outlook_at))
    }
}
