//! Tokens that one daemon hands on to others of a large fleet.
//!
//! In a large fleet only the owner of a budget's shard draws from the store; it
//! keeps a small reserve and hands tokens on to the other daemons, which answer
//! in the time of one call and leave no trace in the store: the ledger names the
//! owners alone, whatever the size of the fleet. Both directions count in
//! cumulative sums for each pair of daemons, debited before they are told.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::holder::{Account, DrawTerms, Holder, Outlook, RequestDemand, Shortfall};
use crate::{Incarnation, Millis, Name, Tokens};

/// What an owner keeps in reserve for others, in seconds of what it handed on of
/// late. It is lost with the owner; a write that refills it takes some 50 ms.
const RESERVE_S: f64 = 1.0;

/// A peer that is asked in an outage keeps the rest for its own callers.
const LENT_DIVISOR: Tokens = 2;

/// Below this part of the whole budget less and less of what is left is kept ahead.
/// With 0, fewer than a quarter of the requests were served 15 s after a loss of all
/// processes, on one of five seeds of a day on which a third was left by then.
const TAPER_BELOW: f64 = 0.3;

/// Of what is left of a budget, one part is kept ahead by all holders together
/// and this many stay with the store: what is kept is lost when all hosts lose
/// power at once, and must serve in a cut.
pub const LEFT_TO_HELD_RATIO: u64 = 2;

/// A daemon asks the owner of a budget's shard for tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The budget.
    pub budget: Name,
    /// Who asks.
    pub holder: Incarnation,
    /// The start of the owner that the sums below count with; none when the asker
    /// never had word of it.
    pub owner: Option<Incarnation>,
    /// Cumulative tokens that the asker had from that owner.
    pub received: Tokens,
    /// Cumulative tokens that the asker has given back to that owner.
    pub given_back: Tokens,
    /// Tokens that the asker has free.
    pub free: Tokens,
    /// Fewer tokens than these are of no use.
    pub need: Tokens,
    /// The request that needs them; none for an ask ahead.
    #[serde(rename = "wish")]
    pub demand: Option<RequestDemand>,
    /// Tokens that would last for the horizon.
    pub want: Tokens,
    /// Recent spending of the asker, in tokens a second.
    pub rate: Tokens,
}

/// What the owner has handed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotted {
    /// The owner.
    pub owner: Incarnation,
    /// Cumulative tokens that it has sent the asker.
    pub cumulative: Tokens,
    /// The budget as the owner sees it for the asker; none when it lends, or has not
    /// drawn on the budget yet and does not know.
    pub outlook: Option<Outlook>,
}

impl Account {
    /// What is to be kept in reserve for other daemons: something for needs that
    /// come up, and what they wanted ahead and did not get.
    pub(super) fn reserve_for_others(&self, now: Millis) -> Tokens {
        (self.allotted_rate.per_second(now) * RESERVE_S) as Tokens + self.unmet
    }

    /// The budget for a holder that spends at `rate`: it may keep ahead its part of
    /// what the whole fleet spends, of what may be held.
    fn outlook_for(&self, rate: Tokens, now: Millis) -> Outlook {
        let left = self.outlook.map_or(0, |outlook| outlook.left) + self.free();
        let fleet = self.rate.per_second(now) + self.allotted_rate.per_second(now);
        let part = (rate as f64 / fleet.max(1.0)).min(1.0);
        let share = (left as f64 * part * held_fraction(left, self.total)) as Tokens;
        Outlook { share, left }
    }
}

/// Part of what is left of a budget that all holders together keep ahead. It falls
/// as the budget nears its end: what is lost with the hosts then is missed for the
/// rest of its time, while a caller that is refused in a cut may come back.
pub fn held_fraction(left: Tokens, total: Tokens) -> f64 {
    end_taper(left, total) / LEFT_TO_HELD_RATIO as f64
}

/// 1 while more is left of a budget than its last part; from there on it falls to 0 with
/// what is left.
pub(super) fn end_taper(left: Tokens, total: Tokens) -> f64 {
    let near_end = total as f64 * TAPER_BELOW;
    if near_end > 0.0 { (left as f64 / near_end).min(1.0) } else { 1.0 }
}

impl Holder {
    /// What to ask the owner for, so that `need` more tokens can be reserved.
    pub fn token_request(
        &mut self,
        budget: &Name,
        owner: Option<Incarnation>,
        need: Tokens,
        terms: &DrawTerms,
        now: Millis,
    ) -> TokenRequest {
        let holder = self.incarnation;
        let usual = self.mean_request(now);
        let account = self.accounts.entry(budget.clone()).or_default();
        let at_hand = if need == 0 { account.free() } else { 0 };
        let ahead = account.prefetch_target(terms, usual, now).saturating_sub(at_hand);
        let sum = |sums: &HashMap<Incarnation, Tokens>| {
            owner.and_then(|owner| sums.get(&owner)).copied().unwrap_or(0)
        };
        TokenRequest {
            budget: budget.clone(),
            holder,
            owner,
            received: sum(&account.received),
            given_back: sum(&account.sent),
            free: account.free(),
            need,
            demand: None,
            want: need.saturating_add(ahead),
            rate: account.rate.per_second_with(need, now) as Tokens,
        }
    }

    /// Takes in what the asker has given back.
    pub fn record_given_back(&mut self, ask: &TokenRequest, now: Millis) {
        if ask.owner != Some(self.incarnation) {
            return;
        }
        let known = self.received_from(&ask.budget, ask.holder);
        self.record_received(&ask.budget, ask.holder, ask.given_back);
        let account = self.accounts.entry(ask.budget.clone()).or_default();
        // What comes back was not spent.
        account.allotted_rate.record_drop(known, ask.given_back.max(known), now);
    }

    /// Hands on what `ask` needs, and what it wants as far as there is some.
    ///
    /// # Errors
    /// [`Shortfall`] when what it needs is not free here; nothing is sent then.
    pub fn allot(&mut self, ask: &TokenRequest, now: Millis) -> Result<Allotted, Shortfall> {
        let knows_me = ask.owner == Some(self.incarnation);
        let received = if knows_me { ask.received } else { 0 };
        let owner = self.incarnation;
        self.spending_since.get_or_insert(now);
        let account = self.accounts.entry(ask.budget.clone()).or_default();
        let is_known = account.outlook.is_some();
        let outlook = account.outlook_for(ask.rate, now);
        let ahead = outlook.share.saturating_sub(if ask.need == 0 { ask.free } else { 0 });
        let most = ask.want.min(ask.need.saturating_add(ahead));
        let free = account.free();
        let sent = account.sent.entry(ask.holder).or_default();
        // What was sent and not yet taken in counts: its answer was lost.
        let under_way = if knows_me { sent.saturating_sub(received) } else { 0 };
        let missing = ask.need.saturating_sub(under_way).saturating_sub(free);
        if missing > 0 {
            return Err(Shortfall { missing });
        }
        // What is kept for needs is not handed on ahead.
        let spare = free.saturating_sub(account.kept_for_needs);
        let needed = ask.need.saturating_sub(under_way).min(free);
        let more = most.saturating_sub(under_way).min(spare).max(needed);
        *sent += more;
        let cumulative = *sent;
        // They ask again soon; the next draw counts what they lack now.
        account.unmet += most.saturating_sub(under_way).saturating_sub(more);
        account.allotted_rate.add(more, now);
        if ask.need > 0 {
            // What a request of the asker lacks is what it costs, mostly.
            self.asked_for.add(ask.need, now);
            self.requests.add(1, now);
        }
        Ok(Allotted { owner, cumulative, outlook: is_known.then_some(outlook) })
    }

    /// Counts what an ask lacks in the next draw.
    pub fn record_unmet(&mut self, ask: &TokenRequest) {
        let account = self.accounts.entry(ask.budget.clone()).or_default();
        account.unmet += ask.want;
    }

    /// Whether others wanted tokens since the last draw and did not get them.
    pub fn has_unmet(&self, budget: &Name) -> bool {
        self.accounts.get(budget).is_some_and(|account| account.unmet > 0)
    }

    /// Hands on a part of what is free here to a peer that can't draw: the store
    /// is out of its reach, or has none left.
    pub fn lend(&mut self, ask: &TokenRequest) -> Allotted {
        let knows_me = ask.owner == Some(self.incarnation);
        let owner = self.incarnation;
        let account = self.accounts.entry(ask.budget.clone()).or_default();
        let spare = account.free() / LENT_DIVISOR;
        let sent = account.sent.entry(ask.holder).or_default();
        let under_way = if knows_me { sent.saturating_sub(ask.received) } else { 0 };
        *sent += ask.want.saturating_sub(under_way).min(spare);
        Allotted { owner, cumulative: *sent, outlook: None }
    }

    /// Debits all that is free, for a peer that goes on; returns the cumulative sum
    /// sent to it, which may be told again.
    pub fn transfer_all(&mut self, budget: &Name, receiver: Incarnation) -> Tokens {
        self.transfer(budget, receiver, 0, Tokens::MAX)
    }

    /// Takes in what a peer has lent; returns how many tokens are new.
    pub fn record_loan(&mut self, budget: &Name, lent: Allotted) -> Tokens {
        let before = self.received_from(budget, lent.owner);
        self.record_received(budget, lent.owner, lent.cumulative);
        lent.cumulative.saturating_sub(before)
    }

    /// Takes in what an owner has handed on.
    pub fn record_allotted(&mut self, budget: &Name, allotted: Allotted, now: Millis) {
        self.record_received(budget, allotted.owner, allotted.cumulative);
        if let Some(outlook) = allotted.outlook {
            self.set_outlook(budget, outlook, now);
        }
    }

    /// Debits what is free beyond need, to be given back to `owner` by the next
    /// ask; returns how much.
    pub fn return_surplus_to_owner(
        &mut self,
        budget: &Name,
        owner: Incarnation,
        terms: &DrawTerms,
        now: Millis,
    ) -> Tokens {
        let terms = self.effective(terms, now);
        let usual = self.mean_request(now);
        let Some(account) = self.accounts.get_mut(budget) else { return 0 };
        // The owner keeps for needs, and that is another one now.
        account.kept_for_needs = 0;
        let surplus = account.surplus(&terms, usual, now);
        if surplus > 0 {
            *account.sent.entry(owner).or_default() += surplus;
        }
        surplus
    }
}
