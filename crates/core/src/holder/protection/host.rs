//! Protection at daemons that do not own the budget: what they may spend of the tokens they hold,
//! which refusals they reuse, and how they decide when no owner answers.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::holder::protection::{MAX_ANSWER_AGE_MS, Protected, ProtectionState, ProtectionTerms};
use crate::holder::{Account, Holder, RequestDemand, TokenRequest};
use crate::{Millis, Name, Tokens};

/// Age in milliseconds above which the amounts that an owner has sent are not used any more by a
/// daemon that reaches no owner: as long as the time constant of the rates behind them.
const MAX_AMOUNTS_AGE_MS: Millis = 10_000;

/// Time in milliseconds for which a refusal answers further requests of its rank and size. Without
/// it, each refused retry would cost a message to the owner.
const REFUSAL_REUSE_MS: Millis = 1_000;

/// Time in milliseconds without a refusal after which the next one begins a new row, for which an
/// operator gets the whole horizon again.
const MAX_REFUSAL_GAP_MS: Millis = 10_000;

/// Time in milliseconds after an unanswered token request during which a daemon decides by itself,
/// since each further attempt would wait for the same timeout.
const NO_OWNER_MS: Millis = 1_000;

/// Decision of a daemon that is not the owner of the budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostDecision {
    /// The request may be served from the tokens held; missing tokens are requested from the
    /// owner, which decides again.
    Admit,
    /// The owner has to be asked.
    Ask,
    /// The owner has refused a request like this one within the last second.
    Refuse {
        /// Protected tokens at that time.
        protected: Tokens,
        /// Retry delay in milliseconds.
        retry_after_ms: Millis,
    },
    /// No owner has answered within the last second: the daemon decides by itself.
    Alone,
}

/// The last refusal of a rank, and the table row that it was based on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
struct CachedRefusal {
    tokens: Tokens,
    protected: Tokens,
    retry_after_ms: Millis,
    at: Millis,
    row: (Tokens, u64),
}

/// What a daemon knows about the protection of one budget.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct ProtectionRecord {
    /// The last answer of an owner, and the time at which it was requested.
    state: Option<(ProtectionState, Millis)>,
    /// Refusals by rank.
    refusals: BTreeMap<u32, CachedRefusal>,
    /// Time of the last token request that no owner answered.
    unanswered_at: Option<Millis>,
    /// Times of the first and the last refusal in a row.
    refused: Option<(Millis, Millis)>,
}

impl Account {
    /// Returns the last answer of an owner if it is not older than `max_age`.
    fn recent_state(&self, max_age: Millis, now: Millis) -> Option<ProtectionState> {
        let (state, at) = self.protection.as_ref()?.record.state?;
        (now.saturating_sub(at) <= max_age).then_some(state)
    }

    /// Returns the rank from which on tokens held here may not be spent without the owner.
    pub(in crate::holder) fn held_back_from(&self, now: Millis) -> Option<u32> {
        self.recent_state(MAX_AMOUNTS_AGE_MS, now)?.held_back_from
    }

    /// Returns the spending rate to prefetch for: without the ranks that are held back. The owner
    /// decides on each of their requests, and tokens prefetched for them would be missing for the
    /// more urgent ranks.
    pub(in crate::holder) fn rate_to_prefetch(&self, now: Millis) -> f64 {
        let own_rate = self.rate.per_second(now);
        match self.held_back_from(now) {
            Some(rank) => {
                let usage = self.usage();
                own_rate.min(usage.map_or(0.0, |usage| usage.token_rate_above(rank, now)))
            }
            None => own_rate,
        }
    }
}

impl Holder {
    /// Decides whether a daemon that is not the owner may admit a caller's request from the tokens
    /// that it holds.
    pub fn decide_as_host(
        &self,
        budget: &Name,
        demand: &RequestDemand,
        terms: &ProtectionTerms,
        now: Millis,
    ) -> HostDecision {
        let Some(account) = self.accounts.get(budget) else { return HostDecision::Admit };
        let Some(protection) = &account.protection else { return HostDecision::Admit };
        let record = &protection.record;
        if let Some(refusal) = record.cached_refusal(demand, terms, now) {
            let CachedRefusal { protected, retry_after_ms, .. } = refusal;
            return HostDecision::Refuse { protected, retry_after_ms };
        }
        let needs_owner = match record.state {
            Some((state, at)) if now.saturating_sub(at) <= MAX_ANSWER_AGE_MS => {
                state.holds_back(demand.rank)
            }
            Some((state, _)) => state.amount(demand.rank) > 0,
            None => account.protected(demand.rank, demand.tokens as f64, terms, now) > 0,
        };
        if !needs_owner {
            return HostDecision::Admit;
        }
        let unanswered_at = record.unanswered_at;
        if unanswered_at.is_some_and(|at| now < at + NO_OWNER_MS) {
            return HostDecision::Alone;
        }
        HostDecision::Ask
    }

    /// Decides whether a daemon that reaches no owner may admit a caller's request: by the amounts
    /// of the last answer, scaled to the tokens held here, or by its own counts.
    ///
    /// # Errors
    /// [`Protected`] if not.
    pub fn decide_alone(
        &mut self,
        budget: &Name,
        demand: &RequestDemand,
        terms: &ProtectionTerms,
        now: Millis,
    ) -> Result<(), Protected> {
        let terms = &terms.alone();
        let Some(account) = self.accounts.get_mut(budget) else { return Ok(()) };
        let Some(state) = account.recent_state(MAX_AMOUNTS_AGE_MS, now) else {
            return self.check_protection(budget, demand, terms, now);
        };
        let held = account.free() + account.sealed();
        let part = (held as f64 / state.reachable.max(1) as f64).min(1.0);
        let protected = (state.amount(demand.rank) as f64 * part) as Tokens;
        let is_covered = held.checked_sub(demand.tokens).is_some_and(|left| left >= protected);
        if protected == 0 || is_covered {
            return Ok(());
        }
        Err(account.refuse(held, protected, demand, terms, now))
    }

    /// Records the answer of an owner to a token request that was sent at `sent_at`: its counts
    /// have arrived, and the owner's state is known.
    pub fn record_protection(
        &mut self,
        request: &TokenRequest,
        state: Option<ProtectionState>,
        sent_at: Millis,
    ) {
        let account = self.accounts.entry(request.budget.clone()).or_default();
        if account.protection.is_none() && state.is_none() {
            return;
        }
        let protection = account.protection_mut();
        protection.usage.record_answered(&request.usage, sent_at);
        let record = &mut protection.record;
        record.unanswered_at = None;
        // Answers may arrive in another order than they were requested.
        let is_newer = record.state.is_none_or(|(_, known_at)| sent_at >= known_at);
        if let Some(state) = state.filter(|_| is_newer) {
            record.state = Some((state, sent_at));
        }
    }

    /// Returns the last answer of an owner about the protection of a budget, and its age.
    pub fn last_protection(&self, budget: &Name, now: Millis) -> Option<(ProtectionState, Millis)> {
        let (state, at) = self.accounts.get(budget)?.protection.as_ref()?.record.state?;
        Some((state, now.saturating_sub(at)))
    }

    /// Records that no owner has answered a token request.
    pub fn record_no_owner(&mut self, budget: &Name, now: Millis) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.protection_mut().record.unanswered_at = Some(now);
    }

    /// Records that an owner has refused a request for protection.
    pub fn record_protection_refusal(
        &mut self,
        budget: &Name,
        demand: &RequestDemand,
        protected: Tokens,
        retry_after_ms: Millis,
        terms: &ProtectionTerms,
        now: Millis,
    ) {
        let account = self.accounts.entry(budget.clone()).or_default();
        let row = (terms.row_tokens, terms.row_version);
        let refusal =
            CachedRefusal { tokens: demand.tokens, protected, retry_after_ms, at: now, row };
        account.protection_mut().record.refusals.insert(demand.rank, refusal);
    }
}

impl ProtectionRecord {
    /// Records a refusal and returns the time of the first one in a row.
    pub(super) fn record_refusal(&mut self, now: Millis) -> Millis {
        let in_row = self.refused.filter(|(_, last)| now < last + MAX_REFUSAL_GAP_MS);
        let first = in_row.map_or(now, |(first, _)| first);
        self.refused = Some((first, now));
        first
    }

    /// Returns the recent refusal that applies to a request: of the same or a more urgent rank,
    /// and of the same or a smaller size.
    fn cached_refusal(
        &self,
        demand: &RequestDemand,
        terms: &ProtectionTerms,
        now: Millis,
    ) -> Option<CachedRefusal> {
        let row = (terms.row_tokens, terms.row_version);
        let applies = |refusal: &&CachedRefusal| {
            now < refusal.at + REFUSAL_REUSE_MS
                && refusal.row == row
                && refusal.tokens <= demand.tokens
        };
        self.refusals.range(..=demand.rank).map(|(_, refusal)| refusal).find(applies).copied()
    }
}
