//! Budget tokens that this daemon holds, reserves, spends and transfers.
//!
//! Credits and debits are cumulative sums per counterpart, so a repeated,
//! reordered or lost message does no harm: the next one corrects the sum.
//! The sender debits tokens before it reports them, so no token is ever
//! counted at two daemons.

mod account;
mod allot;
mod draw;
mod holdings;
mod prefetch;
mod protection;
mod rate;
mod ration;
mod statement;
mod usage;

pub use account::Account;
pub use allot::{Allotted, LEFT_TO_HELD_RATIO, TokenRequest, held_fraction};
pub use draw::{Draw, DrawTerms};
pub use holdings::{BudgetHolding, Holdings, RunningAttempts};
pub use prefetch::PrefetchScope;
pub use protection::{
    BudgetProtection, HostDecision, Protected, ProtectionState, ProtectionTerms, RankProtection,
};
pub use ration::{Outlook, RequestDemand};
pub use statement::{DaemonHolding, Statement};
pub use usage::{RankCount, RankForecast, Usage, UsageReport};

use std::collections::HashMap;

use serde::Serialize;

use crate::holder::rate::Rate;
use crate::witness::Witness;
use crate::{Incarnation, Millis, Name, Tokens};

/// A holder draws when it has less than this fraction of its prefetch target. With a fraction
/// of 0.8 and a shorter horizon, as many requests were refused in network cuts and after power
/// losses.
const LOW_FRACTION: f64 = 0.5;

/// Time after the first reservation, in milliseconds, from which the measured rates
/// alone decide how much to hold; equal to the time constant of the rates.
const RATE_WARMUP_MS: Millis = 10_000;

/// Error of a reservation or an allotment for which too few tokens are free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortfall {
    /// Number of tokens missing.
    pub missing: Tokens,
}

/// Tokens reserved for one attempt; a reservation is settled exactly once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is not settled keeps its tokens"]
pub struct Reservation {
    budget: Name,
    tokens: Tokens,
    since: Millis,
}

impl Reservation {
    /// Returns the budget whose tokens are reserved.
    pub fn budget(&self) -> &Name {
        &self.budget
    }

    /// Returns the most that the attempt may cost, in tokens.
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }
}

/// A proposal to open more of a grant, which takes effect once every witness has agreed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opening {
    /// Cumulative tokens of the grant that are open afterwards.
    pub opened: Tokens,
    /// Witnesses that have to agree.
    pub witnesses: Vec<Witness>,
}

/// The token accounts of this daemon, one for each budget.
#[derive(Debug, Clone, Serialize)]
pub struct Holder {
    incarnation: Incarnation,
    accounts: HashMap<Name, Account>,
    /// Rate of tokens, over all budgets, that requests reserved here or lacked at other daemons.
    asked_for: Rate,
    /// Rate of those requests.
    requests: Rate,
    /// Time of the first reservation or allotment at this daemon.
    spending_since: Option<Millis>,
}

impl Holder {
    /// Creates a holder without tokens.
    pub fn new(incarnation: Incarnation) -> Self {
        Holder {
            incarnation,
            accounts: HashMap::new(),
            asked_for: Rate::default(),
            requests: Rate::default(),
            spending_since: None,
        }
    }

    /// Returns the incarnation of this daemon.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the accounts of all budgets that this incarnation has used.
    pub fn accounts(&self) -> &HashMap<Name, Account> {
        &self.accounts
    }

    /// Returns the tokens of `budget` that may be reserved now.
    pub fn free(&self, budget: &Name) -> Tokens {
        self.accounts.get(budget).map_or(0, Account::free)
    }

    /// Returns the granted tokens of `budget` that must be opened before they can be spent.
    pub fn sealed(&self, budget: &Name) -> Tokens {
        self.accounts.get(budget).map_or(0, Account::sealed)
    }

    /// Returns the recent spending rate of `budget`, in tokens per second.
    pub fn rate(&self, budget: &Name, now: Millis) -> u64 {
        self.accounts.get(budget).map_or(0, |account| account.rate.per_second(now) as u64)
    }

    /// Returns the tokens of `budget` reserved for running attempts.
    pub fn reserved(&self, budget: &Name) -> Tokens {
        self.accounts.get(budget).map_or(0, |account| account.reserved)
    }

    /// Returns the tokens of all budgets reserved for running attempts.
    pub fn total_reserved(&self) -> Tokens {
        self.accounts.values().map(|account| account.reserved).sum()
    }

    /// Returns the daemons to which this one has sent tokens of `budget`.
    pub fn receivers(&self, budget: &Name) -> Vec<Incarnation> {
        let account = self.accounts.get(budget);
        account.map(|account| account.sent.keys().copied().collect()).unwrap_or_default()
    }

    /// Returns the cumulative tokens of `budget` received from `sender`.
    pub fn received_from(&self, budget: &Name, sender: Incarnation) -> Tokens {
        let account = self.accounts.get(budget);
        account.and_then(|account| account.received.get(&sender)).copied().unwrap_or(0)
    }

    /// Reserves `tokens` of `budget` for one attempt.
    ///
    /// # Errors
    /// [`Shortfall`] when fewer are free; nothing is reserved then.
    pub fn reserve(
        &mut self,
        budget: &Name,
        tokens: Tokens,
        now: Millis,
    ) -> Result<Reservation, Shortfall> {
        let account = self.accounts.entry(budget.clone()).or_default();
        let free = account.free();
        if free < tokens {
            return Err(Shortfall { missing: tokens - free });
        }
        account.reserved += tokens;
        account.running.begin(now);
        account.rate.add(tokens, now);
        self.asked_for.add(tokens, now);
        self.requests.add(1, now);
        self.spending_since.get_or_insert(now);
        Ok(Reservation { budget: budget.clone(), tokens, since: now })
    }

    /// Adds `tokens` to a reservation; returns whether they were free.
    pub fn extend(&mut self, reservation: &mut Reservation, tokens: Tokens) -> bool {
        let account = self.accounts.entry(reservation.budget.clone()).or_default();
        let is_free = account.free() >= tokens;
        if is_free {
            account.reserved += tokens;
            reservation.tokens += tokens;
        }
        is_free
    }

    /// Ends a reservation: `used` tokens are spent and the rest become free again.
    /// `used` is capped at the reserved amount.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens) {
        let account = self.accounts.entry(reservation.budget).or_default();
        account.reserved -= reservation.tokens;
        account.running.end(reservation.since);
        if used == 0 {
            // A request that did not run is no spending: counted, those that servers reject would
            // shrink the ration and raise the prefetch of this host.
            account.rate.take_back(reservation.tokens, reservation.since);
        }
        account.spent += used.min(reservation.tokens);
    }

    /// Returns the recent mean of what one request reserves, in tokens; 0 before the first.
    fn mean_request_cost(&self, now: Millis) -> Tokens {
        let requests = self.requests.per_second(now);
        if requests > 0.0 { (self.asked_for.per_second(now) / requests) as Tokens } else { 0 }
    }

    /// Returns `terms` without the amounts that are held regardless of spending, once the
    /// spending rate is known: those tokens would only be lost with the host.
    fn effective_terms(&self, terms: &DrawTerms, now: Millis) -> DrawTerms {
        let is_known = self.spending_since.is_some_and(|since| now >= since + RATE_WARMUP_MS);
        if is_known {
            DrawTerms { held_ahead: 0.0, kept_for_others: 0.0, ..*terms }
        } else {
            *terms
        }
    }

    /// Returns whether tokens should be prefetched because too few are held. True also before
    /// the first request, which may arrive while the store is unavailable.
    pub fn is_low(&self, budget: &Name, terms: &DrawTerms, now: Millis) -> bool {
        let Some(account) = self.accounts.get(budget) else {
            return self.effective_terms(terms, now).min_held(terms.tokens, Tokens::MAX) > 0;
        };
        let held = account.free() + account.sealed();
        let mut wanted = account.prefetch_target(terms, self.mean_request_cost(now), now);
        let terms = self.effective_terms(terms, now);
        if terms.kept_for_others > 0.0 {
            wanted = wanted.max(account.min_held(&terms));
        }
        (held as f64) < wanted as f64 * LOW_FRACTION || account.unmet > 0
    }

    /// Gives tokens back to the store when more than `SURPLUS_FACTOR` times the prefetch target
    /// and the minimum of `terms` is free; returns how many. The next draw reports it.
    pub fn return_surplus_to_store(
        &mut self,
        budget: &Name,
        terms: &DrawTerms,
        now: Millis,
    ) -> Tokens {
        let terms = self.effective_terms(terms, now);
        let mean_request = self.mean_request_cost(now);
        let Some(account) = self.accounts.get_mut(budget) else { return 0 };
        account.kept_for_needs =
            if terms.kept_for_others > 0.0 { account.min_held(&terms) } else { 0 };
        // Only tokens of this daemon's own grant go back, and no more than it contains.
        let of_grant = account.opened.saturating_sub(account.returned);
        let surplus = account.surplus(&terms, mean_request, now).min(of_grant);
        account.returned += surplus;
        surplus
    }

    /// Returns whether more of the grant should be opened because too little of it is free.
    pub fn needs_opening(&self, budget: &Name, now: Millis) -> bool {
        let Some(account) = self.accounts.get(budget) else { return false };
        account.sealed() > 0 && account.free() < account.open_ahead(now) / 2
    }

    /// Returns the draw request after which `need` more tokens can be reserved.
    pub fn draw(
        &mut self,
        budget: &Name,
        need: Tokens,
        terms: DrawTerms,
        address: &str,
        now: Millis,
    ) -> Draw {
        let terms = self.effective_terms(&terms, now);
        let mean_request = self.mean_request_cost(now);
        let account = self.accounts.entry(budget.clone()).or_default();
        let ahead = account.prefetch_target(&terms, mean_request, now);
        // `need` is what is missing once all free tokens are used, so the whole prefetch
        // target is added to it.
        let held = if need == 0 { account.free() + account.sealed() } else { 0 };
        let ahead = ahead.saturating_sub(held);
        account.draws += 1;
        account.unmet = 0;
        account.total = terms.tokens;
        Draw {
            budget: budget.clone(),
            holder: self.incarnation,
            address: address.to_owned(),
            known_granted: account.granted,
            received: 0,
            free: account.free(),
            opened: account.opened,
            witnesses: Vec::new(),
            replaced_incarnation: account.earlier_start,
            number: account.draws,
            returned: account.returned,
            need,
            want: need.saturating_add(ahead),
            open: need.saturating_add(account.open_ahead(now)),
            rate: account.spending_rate(need, &terms, now),
            terms,
        }
    }

    /// Adds the witnesses that the next draw names. Until its reply arrives, the store may
    /// have recorded either these or the previous ones, so all of them have to agree.
    pub fn propose_witnesses(&mut self, budget: &Name, witnesses: &[Witness]) {
        let account = self.accounts.entry(budget.clone()).or_default();
        for witness in witnesses {
            if !account.witnesses.contains(witness) {
                account.witnesses.push(witness.clone());
            }
        }
    }

    /// Replaces the witnesses by those that the store has recorded.
    pub fn set_recorded_witnesses(&mut self, budget: &Name, witnesses: &[Witness]) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.witnesses = witnesses.to_vec();
    }

    /// Returns the proposal to open `need` more tokens of the grant and some ahead; none when
    /// nothing is sealed or no witness is known.
    pub fn next_opening(&self, budget: &Name, need: Tokens, now: Millis) -> Option<Opening> {
        let account = self.accounts.get(budget)?;
        let more = need.saturating_add(account.open_ahead(now)).min(account.sealed());
        if more == 0 || account.witnesses.is_empty() {
            return None;
        }
        let witnesses = account.witnesses.clone();
        Some(Opening { opened: account.opened + more, witnesses })
    }

    /// Applies `opening` after all its witnesses have agreed, and returns whether it did.
    /// It does not apply when another witness may have been recorded in the meantime.
    pub fn confirm_opening(&mut self, budget: &Name, opening: &Opening) -> bool {
        let account = self.accounts.entry(budget.clone()).or_default();
        let agreed = account.witnesses.iter().all(|known| opening.witnesses.contains(known));
        if agreed {
            account.opened = account.opened.max(opening.opened).min(account.granted);
        }
        agreed
    }

    /// Records the other incarnation that the ledger lists at this daemon's address. It was
    /// reported to the current incarnation, so it is an earlier one.
    pub fn set_earlier_start(&mut self, budget: &Name, start: Option<Incarnation>) {
        self.accounts.entry(budget.clone()).or_default().earlier_start = start;
    }

    /// Records how much of the grant is open, as a cumulative sum.
    pub fn record_opened(&mut self, budget: &Name, cumulative: Tokens) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.opened = account.opened.max(cumulative).min(account.granted);
    }

    /// Records the cumulative grant of the store.
    pub fn record_granted(&mut self, budget: &Name, cumulative: Tokens) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.granted = account.granted.max(cumulative);
    }

    /// Records what `sender` has sent, as a cumulative sum.
    pub fn record_received(&mut self, budget: &Name, sender: Incarnation, cumulative: Tokens) {
        let account = self.accounts.entry(budget.clone()).or_default();
        let known = account.received.entry(sender).or_default();
        *known = (*known).max(cumulative);
    }

    /// Debits up to `max` free tokens for `receiver` and returns the cumulative sum sent to
    /// it. Tokens sent beyond `already_received`, its own cumulative count, are still in
    /// transit and count towards `max`: a retry after a lost reply debits nothing twice.
    pub fn transfer(
        &mut self,
        budget: &Name,
        receiver: Incarnation,
        already_received: Tokens,
        max: Tokens,
    ) -> Tokens {
        let account = self.accounts.entry(budget.clone()).or_default();
        let free = account.free();
        let sent = account.sent.entry(receiver).or_default();
        let in_transit = sent.saturating_sub(already_received);
        *sent += max.saturating_sub(in_transit).min(free);
        *sent
    }

    /// Returns whether `need` tokens can be sent to `receiver`, including those already in
    /// transit to it.
    pub fn can_transfer(
        &self,
        budget: &Name,
        receiver: Incarnation,
        already_received: Tokens,
        need: Tokens,
    ) -> bool {
        let Some(account) = self.accounts.get(budget) else { return need == 0 };
        let sent = account.sent.get(&receiver).copied().unwrap_or(0);
        sent.saturating_sub(already_received) + account.free() >= need
    }

    /// Gives all free and sealed tokens back to the store and closes the account; returns how
    /// much of the grant stays debited to this daemon.
    pub fn retire(&mut self, budget: &Name) -> i64 {
        let account = self.accounts.entry(budget.clone()).or_default();
        let kept = account.opened as i64 - account.free() as i64 - account.returned as i64;
        account.returned += account.free();
        account.granted = account.opened;
        account.retired = true;
        kept
    }
}
