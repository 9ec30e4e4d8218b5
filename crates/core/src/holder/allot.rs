//! Allotment and loan of tokens between the daemons of a large fleet.
//!
//! In a large fleet only the owner of a budget's shard draws from the store. It
//! keeps a small reserve and allots tokens to the other daemons, which get them
//! within one call and do not appear in the store: the ledger lists only the
//! owners, whatever the size of the fleet. Both directions are counted in
//! cumulative sums for each pair of daemons, debited before they are reported.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::holder::{
    Account, DrawTerms, Holder, Outlook, ProtectionState, RequestDemand, Shortfall, UsageReport,
};
use crate::{Incarnation, Millis, Name, Tokens};

/// Reserve that an owner keeps for other daemons, in seconds of its recent allotment
/// rate. It is lost with the owner; a store write that refills it takes some 50 ms.
const RESERVE_S: f64 = 1.0;

/// During an outage a peer lends 1/`LENT_DIVISOR` of its free tokens and keeps the rest
/// for its own callers.
const LENT_DIVISOR: Tokens = 2;

/// Fraction of the whole budget below which the prefetched part of the rest decreases.
/// Without the decrease (0), fewer than a quarter of the requests were served 15 s after
/// all processes were lost, in one of five simulated days (different seeds) with a third of
/// the budget left by then.
const TAPER_BELOW_FRACTION: f64 = 0.3;

/// Tokens of a budget that stay with the store for each one that all holders together
/// prefetch. Prefetched tokens are lost when all hosts lose power at once, but have to
/// cover the requests during a network cut.
pub const LEFT_TO_HELD_RATIO: u64 = 2;

/// Request of a daemon for tokens, to the owner of a budget's shard or to a lending peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The budget.
    pub budget: Name,
    /// The requesting daemon.
    pub holder: Incarnation,
    /// Incarnation of the asked daemon to which the sums below refer; none when the requester
    /// does not know it.
    pub owner: Option<Incarnation>,
    /// Cumulative tokens that the requester has received from it.
    pub received: Tokens,
    /// Cumulative tokens that the requester has given back to it.
    pub given_back: Tokens,
    /// Tokens that are free at the requester.
    pub free: Tokens,
    /// Fewest tokens that are of use; 0 for a prefetch.
    pub need: Tokens,
    /// The caller's request that needs them; none for a prefetch.
    #[serde(rename = "wish")]
    pub demand: Option<RequestDemand>,
    /// Tokens requested in all: `need` and the prefetch target.
    pub want: Tokens,
    /// Recent spending rate of the requester, in tokens per second.
    pub rate: Tokens,
    /// The requester's requests by rank since the last answer.
    #[serde(default)]
    pub usage: UsageReport,
    /// Rank from which on the requester spends no held tokens without the owner.
    #[serde(default)]
    pub held_back_from: Option<u32>,
}

/// Tokens that an owner has allotted, or a peer has lent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotted {
    /// Incarnation of the sending daemon.
    pub owner: Incarnation,
    /// Cumulative tokens that it has sent to the requester.
    pub cumulative: Tokens,
    /// State of the budget as the owner sees it for the requester; none for a loan, or when
    /// the owner has not drawn on the budget yet and does not know the state.
    pub outlook: Option<Outlook>,
    /// What is protected of the budget; none for a loan, or without protection.
    #[serde(default)]
    pub protection: Option<ProtectionState>,
}

impl Account {
    /// Returns the tokens to keep in reserve for other daemons: an amount for new needs, and
    /// what they requested ahead and did not receive.
    pub(super) fn reserve_for_others(&self, now: Millis) -> Tokens {
        (self.allotted_rate.per_second(now) * RESERVE_S) as Tokens + self.unmet
    }

    /// Returns the budget's state for a holder that spends at `rate`. Its share of what may be
    /// prefetched is proportional to its part of the fleet's spending.
    fn outlook_for(&self, rate: Tokens, now: Millis) -> Outlook {
        let left = self.outlook.map_or(0, |outlook| outlook.left) + self.free();
        let fleet = self.rate.per_second(now) + self.allotted_rate.per_second(now);
        let part = (rate as f64 / fleet.max(1.0)).min(1.0);
        let share = (left as f64 * part * held_fraction(left, self.total)) as Tokens;
        Outlook { share, left }
    }
}

/// Returns the fraction of what is left of a budget that all holders together prefetch. It
/// falls as the budget nears its end: tokens lost with hosts are missing for the rest of
/// the budget's time, while a caller refused during a network cut may retry.
pub fn held_fraction(left: Tokens, total: Tokens) -> f64 {
    end_taper(left, total) / LEFT_TO_HELD_RATIO as f64
}

/// Returns 1 while more than `TAPER_BELOW_FRACTION` of a budget is left, and below that a
/// factor that falls linearly to 0.
pub(super) fn end_taper(left: Tokens, total: Tokens) -> f64 {
    let taper_start = total as f64 * TAPER_BELOW_FRACTION;
    if taper_start > 0.0 { (left as f64 / taper_start).min(1.0) } else { 1.0 }
}

impl Holder {
    /// Returns the request to `owner` after which `need` more tokens can be reserved.
    pub fn token_request(
        &mut self,
        budget: &Name,
        owner: Option<Incarnation>,
        need: Tokens,
        terms: &DrawTerms,
        now: Millis,
    ) -> TokenRequest {
        let holder = self.incarnation;
        let mean_request = self.mean_request_cost(now);
        let account = self.accounts.entry(budget.clone()).or_default();
        let held = if need == 0 { account.free() } else { 0 };
        let ahead = account.prefetch_target(terms, mean_request, now).saturating_sub(held);
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
            usage: account.usage_report(now),
            held_back_from: account.held_back_from(now),
        }
    }

    /// Records what the requester has given back.
    pub fn record_given_back(&mut self, request: &TokenRequest, now: Millis) {
        if request.owner != Some(self.incarnation) {
            return;
        }
        let known = self.received_from(&request.budget, request.holder);
        self.record_received(&request.budget, request.holder, request.given_back);
        let account = self.accounts.entry(request.budget.clone()).or_default();
        // Tokens that come back were not spent.
        account.allotted_rate.record_decrease(known, request.given_back.max(known), now);
    }

    /// Allots the tokens that `request` needs, and those that it wants ahead as far as there
    /// are some.
    ///
    /// # Errors
    /// [`Shortfall`] when what it needs is not free here; nothing is sent then.
    pub fn allot(&mut self, request: &TokenRequest, now: Millis) -> Result<Allotted, Shortfall> {
        let addresses_me = request.owner == Some(self.incarnation);
        let received = if addresses_me { request.received } else { 0 };
        let owner = self.incarnation;
        self.spending_since.get_or_insert(now);
        let account = self.accounts.entry(request.budget.clone()).or_default();
        let has_outlook = account.outlook.is_some();
        let outlook = account.outlook_for(request.rate, now);
        let ahead = outlook.share.saturating_sub(if request.need == 0 { request.free } else { 0 });
        let max = request.want.min(request.need.saturating_add(ahead));
        let free = account.free();
        let sent = account.sent.entry(request.holder).or_default();
        // Tokens sent but not yet received count: the reply that reported them was lost.
        let in_transit = if addresses_me { sent.saturating_sub(received) } else { 0 };
        let missing = request.need.saturating_sub(in_transit).saturating_sub(free);
        if missing > 0 {
            return Err(Shortfall { missing });
        }
        // Tokens kept for needs are not allotted ahead.
        let spare = free.saturating_sub(account.kept_for_needs);
        let needed = request.need.saturating_sub(in_transit).min(free);
        let more = max.saturating_sub(in_transit).min(spare).max(needed);
        *sent += more;
        let cumulative = *sent;
        // The requester retries soon; the next draw includes what it lacks now.
        account.unmet += max.saturating_sub(in_transit).saturating_sub(more);
        account.allotted_rate.add(more, now);
        if request.need > 0 {
            // What a caller's request lacks at the requester is mostly its whole cost.
            self.asked_for.add(request.need, now);
            self.requests.add(1, now);
        }
        let outlook = has_outlook.then_some(outlook);
        Ok(Allotted { owner, cumulative, outlook, protection: None })
    }

    /// Adds the wanted tokens of an unserved request to the next draw.
    pub fn record_unmet(&mut self, request: &TokenRequest) {
        let account = self.accounts.entry(request.budget.clone()).or_default();
        account.unmet += request.want;
    }

    /// Returns whether other daemons requested tokens since the last draw without receiving
    /// them.
    pub fn has_unmet(&self, budget: &Name) -> bool {
        self.accounts.get(budget).is_some_and(|account| account.unmet > 0)
    }

    /// Lends a part of the free tokens to a peer that can't draw because the store is
    /// unavailable to it or has no tokens left.
    pub fn lend(&mut self, request: &TokenRequest) -> Allotted {
        let addresses_me = request.owner == Some(self.incarnation);
        let owner = self.incarnation;
        let account = self.accounts.entry(request.budget.clone()).or_default();
        let spare = account.free() / LENT_DIVISOR;
        let sent = account.sent.entry(request.holder).or_default();
        let in_transit = if addresses_me { sent.saturating_sub(request.received) } else { 0 };
        *sent += request.want.saturating_sub(in_transit).min(spare);
        Allotted { owner, cumulative: *sent, outlook: None, protection: None }
    }

    /// Debits all free tokens for `receiver`, which keeps running; returns the cumulative sum
    /// sent to it, which may be reported repeatedly.
    pub fn transfer_all(&mut self, budget: &Name, receiver: Incarnation) -> Tokens {
        self.transfer(budget, receiver, 0, Tokens::MAX)
    }

    /// Records the tokens that a peer has lent; returns how many of them are new.
    pub fn record_loan(&mut self, budget: &Name, lent: Allotted) -> Tokens {
        let before = self.received_from(budget, lent.owner);
        self.record_received(budget, lent.owner, lent.cumulative);
        lent.cumulative.saturating_sub(before)
    }

    /// Records the tokens that an owner has allotted, and its outlook.
    pub fn record_allotted(&mut self, budget: &Name, allotted: Allotted, now: Millis) {
        self.record_received(budget, allotted.owner, allotted.cumulative);
        if let Some(outlook) = allotted.outlook {
            self.set_outlook(budget, outlook, now);
            self.accounts.entry(budget.clone()).or_default().outlook_row = None;
        }
    }

    /// Debits the surplus of free tokens for `owner`, to which the next token request reports
    /// it; returns how many.
    pub fn return_surplus_to_owner(
        &mut self,
        budget: &Name,
        owner: Incarnation,
        terms: &DrawTerms,
        now: Millis,
    ) -> Tokens {
        let terms = self.effective_terms(terms, now);
        let mean_request = self.mean_request_cost(now);
        let Some(account) = self.accounts.get_mut(budget) else { return 0 };
        // Only an owner keeps tokens for needs, and another daemon owns the shard now.
        account.kept_for_needs = 0;
        let surplus = account.surplus(&terms, mean_request, now);
        if surplus > 0 {
            *account.sent.entry(owner).or_default() += surplus;
        }
        surplus
    }
}
