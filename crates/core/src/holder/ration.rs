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
const LOWEST_RANK: u32 = 3;

/// A budget as its ledger, or its shard's owner, saw it last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// What the holder that is told may keep ahead, in tokens.
    pub share: Tokens,
    /// Tokens that nobody holds.
    pub left: Tokens,
}

impl Account {
    /// Requests a second that the whole fleet lets in: this holder's, scaled by what
    /// the fleet spends. Callers are taken to ask for the same sizes everywhere.
    fn fleet_requests_per_second(&self, now: Millis) -> f64 {
        let own_rate = self.rate.per_second(now);
        if own_rate == 0.0 {
            return 0.0;
        }
        let fleet_rate = self.taken.per_second(now).max(own_rate);
        self.requests.per_second(now) * fleet_rate / own_rate
    }
}

impl Holder {
    /// The most that one request may set aside: an equal part of what is left, among the
    /// requests that are expected within `ration_s` seconds, and within twice as long
    /// for each `rank` below the most urgent (0). Without limit while nothing is known.
    pub fn ration(&self, budget: &Name, ration_s: f64, rank: u32, now: Millis) -> Tokens {
        let account = self.accounts.get(budget);
        let Some((account, outlook)) = account.and_then(|a| Some((a, a.outlook?))) else {
            return Tokens::MAX;
        };
        let window_s = ration_s * f64::from(rank.min(LOWEST_RANK)).exp2();
        let expected = account.fleet_requests_per_second(now) * window_s;
        let left = outlook.left.saturating_add(account.free());
        (left as f64 / expected.max(1.0)) as Tokens
    }

    /// Takes in what is known of a budget as a whole.
    pub fn known(&mut self, budget: &Name, outlook: Outlook, now: Millis) {
        let account = self.accounts.entry(budget.clone()).or_default();
        let left_before = account.outlook.map_or(0, |before| before.left);
        account.taken.add(left_before.saturating_sub(outlook.left), now);
        account.outlook = Some(outlook);
        account.known_at = now;
    }

    /// How old that is, in milliseconds; none when nothing is known.
    pub fn outlook_age(&self, budget: &Name, now: Millis) -> Option<Millis> {
        let account = self.accounts.get(budget)?;
        account.outlook.map(|_| now.saturating_sub(account.known_at))
    }
}
