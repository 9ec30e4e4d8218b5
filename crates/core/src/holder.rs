//! The spending half of budgets: what this daemon holds and has promised.
//!
//! Every credit and debit is a cumulative sum per counterpart, so a message
//! that is repeated, reordered or lost does no harm: the next one heals it.
//! A debit is made before it is told, so a token is never in two places.

mod account;
mod allot;
mod draw;
mod holdings;
mod prefetch;
mod rate;
mod ration;
mod statement;

pub use account::Account;
pub use allot::{Allotted, LEFT_TO_HELD_RATIO, TokenRequest, held_fraction};
pub use draw::{Draw, DrawTerms};
pub use holdings::{BudgetHolding, Holdings, RunningAttempts};
pub use prefetch::PrefetchScope;
pub use ration::{Outlook, RequestDemand};
pub use statement::{DaemonHolding, Statement};

use std::collections::HashMap;

use serde::Serialize;

use crate::holder::rate::Rate;
use crate::witness::Witness;
use crate::{Incarnation, Millis, Name, Tokens};

/// Less than this part of what a holder needs ahead calls for a draw. With 0.8 and a
/// shorter horizon as much was refused in cuts and after losses of power.
const LOW_FRACTION: f64 = 0.5;

/// Once this daemon has spent for so long, its rates tell what to hold, in
/// milliseconds; it is the time constant of the rates.
const RATE_WARMUP_MS: Millis = 10_000;

/// What `reserve` answers when the tokens at hand do not suffice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shortfall {
    /// Tokens missing.
    pub missing: Tokens,
}

/// Tokens set aside for one attempt; it is settled exactly once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is not settled keeps its tokens"]
pub struct Reservation {
    budget: Name,
    tokens: Tokens,
    since: Millis,
}

impl Reservation {
    /// The budget that it draws on.
    pub fn budget(&self) -> &Name {
        &self.budget
    }

    /// The most that the attempt may cost.
    pub fn tokens(&self) -> Tokens {
        self.tokens
    }
}

/// A step that opens more of a grant, once every witness has agreed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Opening {
    /// Cumulative tokens of the grant that will be open.
    pub opened: Tokens,
    /// Who has to agree.
    pub witnesses: Vec<Witness>,
}

/// All that this daemon holds.
#[derive(Debug, Clone, Serialize)]
pub struct Holder {
    incarnation: Incarnation,
    accounts: HashMap<Name, Account>,
    /// Tokens set aside of all budgets, and the requests that they were for.
    asked_for: Rate,
    requests: Rate,
    /// When the first tokens of any budget were set aside here.
    spending_since: Option<Millis>,
}

impl Holder {
    /// A holder that has nothing yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Holder {
            incarnation,
            accounts: HashMap::new(),
            asked_for: Rate::default(),
            requests: Rate::default(),
            spending_since: None,
        }
    }

    /// The start of the daemon that holds.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The budgets that this daemon ever held tokens of.
    pub fn accounts(&self) -> &HashMap<Name, Account> {
        &self.accounts
    }

    /// Tokens of `budget` that may be reserved now.
    pub fn free(&self, budget: &Name) -> Tokens {
        self.accounts.get(budget).map_or(0, Account::free)
    }

    /// Tokens of `budget` that have to be opened before they are spent.
    pub fn sealed(&self, budget: &Name) -> Tokens {
        self.accounts.get(budget).map_or(0, Account::sealed)
    }

    /// Recent spending of `budget`, in tokens a second.
    pub fn rate(&self, budget: &Name, now: Millis) -> u64 {
        self.accounts.get(budget).map_or(0, |account| account.rate.per_second(now) as u64)
    }

    /// Tokens of `budget` set aside for running attempts.
    pub fn reserved(&self, budget: &Name) -> Tokens {
        self.accounts.get(budget).map_or(0, |account| account.reserved)
    }

    /// Tokens of all budgets set aside for running attempts.
    pub fn total_reserved(&self) -> Tokens {
        self.accounts.values().map(|account| account.reserved).sum()
    }

    /// Whom this daemon ever sent tokens of `budget` to.
    pub fn receivers(&self, budget: &Name) -> Vec<Incarnation> {
        let account = self.accounts.get(budget);
        account.map(|account| account.sent.keys().copied().collect()).unwrap_or_default()
    }

    /// Cumulative tokens of `budget` that came from `sender`.
    pub fn received_from(&self, budget: &Name, sender: Incarnation) -> Tokens {
        let account = self.accounts.get(budget);
        account.and_then(|account| account.received.get(&sender)).copied().unwrap_or(0)
    }

    /// Sets `tokens` aside.
    ///
    /// # Errors
    /// [`Shortfall`] when fewer are free; nothing is set aside then.
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

    /// Ends a reservation: `used` tokens are spent, the others are free again.
    /// More than was reserved can't be spent: the excess is cut off.
    pub fn settle(&mut self, reservation: Reservation, used: Tokens) {
        let account = self.accounts.entry(reservation.budget).or_default();
        account.reserved -= reservation.tokens;
        account.running.end(reservation.since);
        account.spent += used.min(reservation.tokens);
    }

    /// What a request costs at its most, of late; 0 while none has come.
    fn mean_request(&self, now: Millis) -> Tokens {
        let requests = self.requests.per_second(now);
        if requests > 0.0 { (self.asked_for.per_second(now) / requests) as Tokens } else { 0 }
    }

    /// The terms without what is held ahead whatever is spent, once spending is
    /// known: it would only be lost with the host.
    fn effective(&self, terms: &DrawTerms, now: Millis) -> DrawTerms {
        let is_known = self.spending_since.is_some_and(|since| now >= since + RATE_WARMUP_MS);
        if is_known {
            DrawTerms { held_ahead: 0.0, kept_for_others: 0.0, ..*terms }
        } else {
            *terms
        }
    }

    /// Whether so little is free that it is time to draw ahead; also before the
    /// first request, which may come when the store is away.
    pub fn is_low(&self, budget: &Name, terms: &DrawTerms, now: Millis) -> bool {
        let Some(account) = self.accounts.get(budget) else {
            return self.effective(terms, now).min_held(terms.tokens, Tokens::MAX) > 0;
        };
        let at_hand = account.free() + account.sealed();
        let mut wanted = account.prefetch_target(terms, self.mean_request(now), now);
        let terms = self.effective(terms, now);
        if terms.kept_for_others > 0.0 {
            wanted = wanted.max(account.min_held(&terms));
        }
        (at_hand as f64) < wanted as f64 * LOW_FRACTION || account.unmet > 0
    }

    /// Gives back what is free beyond `SURPLUS_FACTOR` times the horizon and the floor
    /// that `terms` name; returns how much. The next draw tells the store.
    pub fn return_surplus_to_store(
        &mut self,
        budget: &Name,
        terms: &DrawTerms,
        now: Millis,
    ) -> Tokens {
        let terms = self.effective(terms, now);
        let usual = self.mean_request(now);
        let Some(account) = self.accounts.get_mut(budget) else { return 0 };
        account.kept_for_needs =
            if terms.kept_for_others > 0.0 { account.min_held(&terms) } else { 0 };
        // Only tokens of the own grant go back, and no more than it holds.
        let of_grant = account.opened.saturating_sub(account.returned);
        let surplus = account.surplus(&terms, usual, now).min(of_grant);
        account.returned += surplus;
        surplus
    }

    /// Whether so little is open that it is time to open more.
    pub fn needs_opening(&self, budget: &Name, now: Millis) -> bool {
        let Some(account) = self.accounts.get(budget) else { return false };
        account.sealed() > 0 && account.free() < account.open_ahead(now) / 2
    }

    /// The draw that would let `need` more tokens be reserved.
    pub fn draw(
        &mut self,
        budget: &Name,
        need: Tokens,
        terms: DrawTerms,
        address: &str,
        now: Millis,
    ) -> Draw {
        let terms = self.effective(&terms, now);
        let usual = self.mean_request(now);
        let account = self.accounts.entry(budget.clone()).or_default();
        let ahead = account.prefetch_target(&terms, usual, now);
        // A need is what is missing when all that is free is taken, so the whole
        // horizon comes on top of it.
        let at_hand = if need == 0 { account.free() + account.sealed() } else { 0 };
        let ahead = ahead.saturating_sub(at_hand);
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
            replaced_start: account.earlier_start,
            number: account.draws,
            returned: account.returned,
            need,
            want: need.saturating_add(ahead),
            open: need.saturating_add(account.open_ahead(now)),
            rate: account.spending(need, &terms, now),
            terms,
        }
    }

    /// Takes in that a draw will name these witnesses. Until its answer comes,
    /// the store may have recorded them or the ones before: all have to agree.
    pub fn propose_witnesses(&mut self, budget: &Name, witnesses: &[Witness]) {
        let account = self.accounts.entry(budget.clone()).or_default();
        for witness in witnesses {
            if !account.witnesses.contains(witness) {
                account.witnesses.push(witness.clone());
            }
        }
    }

    /// Takes in that the store has recorded these witnesses.
    pub fn set_recorded_witnesses(&mut self, budget: &Name, witnesses: &[Witness]) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.witnesses = witnesses.to_vec();
    }

    /// What would open `need` more of the grant and some ahead; none when
    /// nothing is sealed or there is nobody to attest it.
    pub fn next_opening(&self, budget: &Name, need: Tokens, now: Millis) -> Option<Opening> {
        let account = self.accounts.get(budget)?;
        let more = need.saturating_add(account.open_ahead(now)).min(account.sealed());
        if more == 0 || account.witnesses.is_empty() {
            return None;
        }
        let witnesses = account.witnesses.clone();
        Some(Opening { opened: account.opened + more, witnesses })
    }

    /// Takes in that every witness of `opening` has agreed. It counts only if
    /// nobody else may be a witness by now.
    pub fn confirm_opening(&mut self, budget: &Name, opening: &Opening) -> bool {
        let account = self.accounts.entry(budget.clone()).or_default();
        let agreed = account.witnesses.iter().all(|known| opening.witnesses.contains(known));
        if agreed {
            account.opened = account.opened.max(opening.opened).min(account.granted);
        }
        agreed
    }

    /// Takes in which other start at this daemon's address the ledger names. It was told
    /// to this one, so it ran before it.
    pub fn set_earlier_start(&mut self, budget: &Name, start: Option<Incarnation>) {
        self.accounts.entry(budget.clone()).or_default().earlier_start = start;
    }

    /// Takes in what may be spent of the grant, as a cumulative sum.
    pub fn record_opened(&mut self, budget: &Name, cumulative: Tokens) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.opened = account.opened.max(cumulative).min(account.granted);
    }

    /// Takes in the store's cumulative grant.
    pub fn record_granted(&mut self, budget: &Name, cumulative: Tokens) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.granted = account.granted.max(cumulative);
    }

    /// Takes in what `sender` has sent, as a cumulative sum.
    pub fn record_received(&mut self, budget: &Name, sender: Incarnation, cumulative: Tokens) {
        let account = self.accounts.entry(budget.clone()).or_default();
        let known = account.received.entry(sender).or_default();
        *known = (*known).max(cumulative);
    }

    /// Sends up to `most` free tokens to `receiver` and returns the cumulative
    /// sum sent to it. What it has not yet taken in (`already_received` tells)
    /// counts towards `most`, so that a lost answer is healed by asking again.
    pub fn transfer(
        &mut self,
        budget: &Name,
        receiver: Incarnation,
        already_received: Tokens,
        most: Tokens,
    ) -> Tokens {
        let account = self.accounts.entry(budget.clone()).or_default();
        let free = account.free();
        let sent = account.sent.entry(receiver).or_default();
        let under_way = sent.saturating_sub(already_received);
        *sent += most.saturating_sub(under_way).min(free);
        *sent
    }

    /// Whether `need` tokens can be sent to `receiver`, counting those that
    /// are under way to it.
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

    /// Gives all free and sealed tokens back to the store for good; returns
    /// what is kept of the grant.
    pub fn retire(&mut self, budget: &Name) -> i64 {
        let account = self.accounts.entry(budget.clone()).or_default();
        let kept = account.opened as i64 - account.free() as i64 - account.returned as i64;
        account.returned += account.free();
        account.granted = account.opened;
        account.retired = true;
        kept
    }
}
