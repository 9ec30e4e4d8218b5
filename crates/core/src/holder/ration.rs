//! What is known of a budget as a whole, and how much of its rest one request may take.
//!
//! Near a budget's end a request of 15,000 tokens takes the place of ten small ones. Let
//! in by the order in which they come, the large ones take nearly all of what is left
//! within seconds, and nobody is served until the next top-up.

use serde::{Deserialize, Serialize};

use crate::holder::{Account, Holder};
use crate::{Millis, Name, Tokens};

/// Ranks below this one count as this one, eight times the window: by doubling further,
/// the least urgent of ten ranks would be refused while most of a budget is left.
const MAX_RANK: u32 = 3;

/// A budget as its ledger, or its shard's owner, saw it last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// What the holder that is told may keep ahead, in tokens.
    pub share: Tokens,
    /// Tokens that nobody holds.
    pub left: Tokens,
}

/// What a request asks of its budget.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RequestDemand {
    /// The most that it may cost, in tokens.
    pub tokens: Tokens,
    /// How urgent the table calls it: 0 is the most urgent.
    pub rank: u32,
    /// How long the callers are expected for who share what is left, in seconds.
    pub ration_s: f64,
}

/// An outage is as likely as not to be over within the time that it has lasted, so that
/// what is in reach counts so many times in it: more is refused otherwise than is missing
/// at the end.
const OUTAGE_FACTOR: Tokens = 2;

impl Holder {
    /// The most that the request behind an ask may take, as the owner sees the budget
    /// ([`Holder::ration`]); what the store has left is out of reach while it is away.
    pub fn ration_for(
        &self,
        budget: &Name,
        demand: &RequestDemand,
        is_store_away: bool,
        now: Millis,
    ) -> Tokens {
        let Some(account) = self.accounts.get(budget) else { return Tokens::MAX };
        let Some(outlook) = account.outlook else { return Tokens::MAX };
        let free = account.free();
        let left = if is_store_away { free * OUTAGE_FACTOR } else { outlook.left + free };
        self.equal_part(account, left, demand, now)
    }

    fn equal_part(
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

    /// Requests a second of one budget that the whole fleet lets in: what it takes, by the
    /// mean request here. Of one budget alone a daemon of a large fleet sees too few.
    fn fleet_requests_per_second(&self, account: &Account, now: Millis) -> f64 {
        let through_here = account.rate.per_second(now) + account.allotted_rate.per_second(now);
        let fleet_rate = account.fleet_rate.per_second(now).max(through_here);
        let asked_for = self.asked_for.per_second(now);
        if asked_for == 0.0 {
            return 0.0;
        }
        fleet_rate * self.requests.per_second(now) / asked_for
    }

    /// The most that one request may set aside: an equal part of what is left, among the
    /// requests that are expected within `ration_s` seconds, and within twice as long
    /// for each `rank` below the most urgent (0). Without limit while nothing is known.
    pub fn ration(&self, budget: &Name, ration_s: f64, rank: u32, now: Millis) -> Tokens {
        let demand = RequestDemand { tokens: 0, rank, ration_s };
        self.ration_for(budget, &demand, false, now)
    }

    /// Takes in what is known of a budget as a whole.
    pub fn set_outlook(&mut self, budget: &Name, outlook: Outlook, now: Millis) {
        let account = self.accounts.entry(budget.clone()).or_default();
        // What daemons draw ahead and give back again is not taken.
        let before = account.outlook.map_or(outlook.left, |before| before.left);
        account.fleet_rate.record_drop(before, outlook.left, now);
        account.outlook = Some(outlook);
        account.outlook_at = now;
    }

    /// How old that is, in milliseconds; none when nothing is known.
    pub fn outlook_age(&self, budget: &Name, now: Millis) -> Option<Millis> {
        let account = self.accounts.get(budget)?;
        account.outlook.map(|_| now.saturating_sub(account.outlook_at))
    }
}
