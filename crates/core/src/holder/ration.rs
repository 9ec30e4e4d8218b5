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

impl Holder {
    /// Requests a second of one budget that the whole fleet lets in: what it takes, by the
    /// mean request here. Of one budget alone a daemon of a large fleet sees too few.
    fn fleet_requests_per_second(&self, account: &Account, now: Millis) -> f64 {
        let fleet_rate = account.taken.per_second(now).max(account.rate.per_second(now));
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
        let account = self.accounts.get(budget);
        let Some((account, outlook)) = account.and_then(|a| Some((a, a.outlook?))) else {
            return Tokens::MAX;
        };
        let window_s = ration_s * f64::from(rank.min(LOWEST_RANK)).exp2();
        let expected = self.fleet_requests_per_second(account, now) * window_s;
        let left = outlook.left.saturating_add(account.free());
        (left as f64 / expected.max(1.0)) as Tokens
    }

    /// Takes in what is known of a budget as a whole.
    pub fn known(&mut self, budget: &Name, outlook: Outlook, now: Millis) {
        let account = self.accounts.entry(budget.clone()).or_default();
        // What daemons draw ahead and give back again is not taken.
        let before = account.outlook.map_or(outlook.left, |before| before.left);
        account.taken.fell(before, outlook.left, now);
        account.outlook = Some(outlook);
        account.known_at = now;
    }

    /// How old that is, in milliseconds; none when nothing is known.
    pub fn outlook_age(&self, budget: &Name, now: Millis) -> Option<Millis> {
        let account = self.accounts.get(budget)?;
        account.outlook.map(|_| now.saturating_sub(account.known_at))
    }
}
