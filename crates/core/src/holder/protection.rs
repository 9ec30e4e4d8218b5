//! Protection: the tokens of a budget that only more urgent requests may reserve.
//!
//! While a budget lasts, a request that is not urgent costs as much as several urgent ones and
//! takes their tokens: then both kinds are refused. So a less urgent request is admitted only if
//! the tokens left afterwards cover what more urgent requests are expected to ask for within a
//! horizon. These are the protection levels of seat inventory control (Littlewood's rule, EMSR),
//! nested over the ranks.

mod host;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::holder::usage::{MAX_REPORTED_RANKS, RankForecast, Usage, UsageReport};
use crate::holder::{Account, Holder, RequestDemand, TokenRequest};
use crate::owner::RETRY_LATER_MS;
use crate::{Millis, Name, Tokens};

use host::ProtectionRecord;

pub use host::HostDecision;

/// Margin for the spread of the expected use, in standard deviations.
const SAFETY_FACTOR: f64 = 1.0;

/// Least ratio of the mean cost of the less urgent rank to that of the more urgent one from which
/// tokens are protected. An expected request may not come, and tokens kept for it are then unspent,
/// so a request that is here gives way only if it costs as much as several expected ones. Where the
/// ratio was 2, 173 more of some 930 requests were refused, and as many urgent ones as before.
const MIN_COST_RATIO: f64 = 4.0;

/// Expected requests within the horizon below which nothing is protected for a rank: its requests
/// have most likely stopped.
const MIN_EXPECTED_REQUESTS: f64 = 1.0;

/// Age in milliseconds above which the owner's answer no longer allows a daemon to spend held
/// tokens on a rank for which anything is protected. A daemon holds 2 s of its own spending, so
/// it sends a token request at least that often while it spends.
pub(super) const MAX_ANSWER_AGE_MS: Millis = 2_000;

/// Time in milliseconds without requests after which the counts of a budget are forgotten: all rates
/// have decayed by then.
const IDLE_MS: Millis = 180_000;

/// What a decision on protection depends on besides the account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProtectionTerms {
    /// Time for which the expected use of more urgent requests is protected, in seconds; 0
    /// disables protection.
    pub horizon_s: f64,
    /// The same while the store is unavailable: the time that an outage is expected to last.
    pub outage_horizon_s: f64,
    /// Whether the store is unavailable, so that the tokens left there are out of reach.
    pub is_store_unavailable: bool,
    /// Number of daemons for whose requests the counts of this one stand.
    pub daemons: f64,
    /// Tokens that the budget's row in the table allows.
    pub row_tokens: Tokens,
    /// Version of the row.
    pub row_version: u64,
}

impl ProtectionTerms {
    /// Returns whether protection is enabled.
    pub fn is_enabled(&self) -> bool {
        self.horizon_s > 0.0
    }

    fn horizon_s(&self) -> f64 {
        if !self.is_enabled() {
            0.0
        } else if self.is_store_unavailable {
            self.outage_horizon_s
        } else {
            self.horizon_s
        }
    }

    /// Returns the terms of a daemon that reaches no owner: its own tokens and its own requests.
    fn alone(self) -> Self {
        ProtectionTerms { is_store_unavailable: true, daemons: 1.0, ..self }
    }
}

/// Tokens that requests of one rank and of less urgent ones may not reserve.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankProtection {
    /// The rank.
    pub rank: u32,
    /// Tokens protected for more urgent ranks; 0 in unused entries.
    pub tokens: Tokens,
}

/// What an owner tells other daemons about the protection of a budget.
#[derive(Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProtectionState {
    /// Most urgent rank that may not be admitted from tokens held, only by the owner.
    pub held_back_from: Option<u32>,
    /// Tokens within the owner's reach.
    pub reachable: Tokens,
    /// Protected tokens, in ascending order of ranks. The last used entry is for ranks that have
    /// had no requests yet.
    pub amounts: [RankProtection; MAX_REPORTED_RANKS],
}

/// Without unused entries: each token request is logged with its answer.
impl fmt::Debug for ProtectionState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let used = self.amounts.iter().filter(|amount| amount.tokens > 0);
        let amounts: Vec<(u32, Tokens)> = used.map(|amount| (amount.rank, amount.tokens)).collect();
        f.debug_struct("Protection")
            .field("held_back_from", &self.held_back_from)
            .field("reachable", &self.reachable)
            .field("amounts", &amounts)
            .finish()
    }
}

impl ProtectionState {
    /// Returns the tokens that requests of `rank` may not reserve.
    pub fn amount(&self, rank: u32) -> Tokens {
        let applies = |amount: &&RankProtection| amount.rank <= rank;
        self.amounts.iter().filter(applies).map(|amount| amount.tokens).max().unwrap_or(0)
    }

    /// Returns whether requests of `rank` may not be admitted from tokens held: because the owner
    /// says so, or because it has counted no requests of the rank.
    pub fn holds_back(&self, rank: u32) -> bool {
        let last_used = self.amounts.iter().rfind(|amount| amount.tokens > 0);
        let is_unknown = last_used.is_some_and(|unknown| unknown.rank <= rank);
        is_unknown || self.held_back_from.is_some_and(|from| from <= rank)
    }
}

/// Refusal of a request because of protection, with the inputs of the decision.
#[derive(Debug, Clone, PartialEq)]
pub struct Protected {
    /// Tokens within reach of the daemon that decided.
    pub reachable: Tokens,
    /// Tokens protected for more urgent requests.
    pub protected: Tokens,
    /// Whether the request would fit without protection.
    pub fits: bool,
    /// Retry delay in milliseconds.
    pub retry_after_ms: Millis,
    /// Forecast of the more urgent ranks.
    pub forecast: Vec<RankForecast>,
    /// Age of the forecast in milliseconds.
    pub forecast_age_ms: Option<Millis>,
}

/// What a daemon knows about the requests on a budget and their protection.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BudgetProtection {
    pub(super) usage: Usage,
    record: ProtectionRecord,
}

impl Account {
    fn usage(&self) -> Option<&Usage> {
        self.protection.as_ref().map(|protection| &protection.usage)
    }

    fn protection_mut(&mut self) -> &mut BudgetProtection {
        self.protection.get_or_insert_default()
    }

    /// Returns the counts for the next token request.
    pub(super) fn usage_report(&self, now: Millis) -> UsageReport {
        self.usage().map(|usage| usage.report(now)).unwrap_or_default()
    }

    /// Returns the tokens that a request of this rank and cost may not reserve. Only ranks count
    /// whose requests cost much less than those of this rank ([`MIN_COST_RATIO`]), and no more than
    /// this request: one that costs less than an urgent one displaces none.
    fn protected(&self, rank: u32, cost: f64, terms: &ProtectionTerms, now: Millis) -> Tokens {
        let Some(usage) = self.usage() else { return 0 };
        let horizon_s = terms.horizon_s();
        let own = usage.forecast(now).find(|forecast| forecast.rank == rank);
        let own_mean = own.map_or(cost, |forecast| forecast.mean);
        let displaced = |forecast: &RankForecast| {
            forecast.rank < rank
                && forecast.mean.round() <= cost
                && forecast.mean * MIN_COST_RATIO <= own_mean
        };
        let amount = |forecast: RankForecast| {
            let expected = forecast.requests_per_s * terms.daemons * horizon_s;
            if expected < MIN_EXPECTED_REQUESTS {
                return 0.0;
            }
            expected * forecast.mean + SAFETY_FACTOR * (expected * forecast.mean_square).sqrt()
        };
        usage.forecast(now).filter(displaced).map(amount).sum::<f64>() as Tokens
    }

    /// Returns the tokens within reach: those held and, unless the store is unavailable, those
    /// left there. `None` if it is not known what is left.
    fn reachable(&self, terms: &ProtectionTerms) -> Option<Tokens> {
        let held = self.free() + self.sealed();
        if terms.is_store_unavailable {
            return Some(held);
        }
        let outlook = self.outlook?;
        // A raised row is known before the next draw applies it to the ledger.
        let raised = self.outlook_row.map_or(0, |row| terms.row_tokens.saturating_sub(row));
        Some(held.saturating_add(outlook.left).saturating_add(raised))
    }

    /// Returns what is protected; `None` if it is not known what is left.
    fn state(&self, terms: &ProtectionTerms, now: Millis) -> Option<ProtectionState> {
        let usage = self.usage()?;
        let reachable = self.reachable(terms)?;
        let mut state = ProtectionState { reachable, ..ProtectionState::default() };
        // The root mean square stands for the large requests of a rank with mixed ones.
        let usual = |forecast: RankForecast| (forecast.rank, forecast.mean_square.sqrt());
        let mut ranks: Vec<(u32, f64)> = usage.forecast(now).map(usual).collect();
        ranks.truncate(MAX_REPORTED_RANKS);
        let Some((last, _)) = ranks.last().copied() else { return Some(state) };
        if ranks.len() == MAX_REPORTED_RANKS {
            // Nothing is protected from the most urgent rank.
            ranks.remove(0);
        }
        for (index, (rank, cost)) in ranks.iter().copied().enumerate() {
            let tokens = self.protected(rank, cost, terms, now);
            state.amounts[index] = RankProtection { rank, tokens };
            // Other daemons spend for some time before they learn of this answer.
            let until_known_s = MAX_ANSWER_AGE_MS as f64 / 1_000.0;
            let until_known = usage.token_rate_from(rank, now) * terms.daemons * until_known_s;
            let is_held_back = (reachable as f64) < tokens as f64 + cost + until_known;
            if tokens > 0 && is_held_back && state.held_back_from.is_none() {
                state.held_back_from = Some(rank);
            }
        }
        // Requests of a rank that has had none yet.
        let rank = last.saturating_add(1);
        let tokens = self.protected(rank, f64::INFINITY, terms, now);
        state.amounts[ranks.len()] = RankProtection { rank, tokens };
        Some(state)
    }
}

impl Holder {
    /// Counts a request for the forecast, whether it is admitted or not.
    pub fn count_request(&mut self, budget: &Name, rank: u32, tokens: Tokens, now: Millis) {
        let account = self.accounts.entry(budget.clone()).or_default();
        account.protection_mut().usage.count(rank, tokens, now);
    }

    /// Returns the counts for the next token request.
    pub fn usage_report(&self, budget: &Name, now: Millis) -> UsageReport {
        self.accounts.get(budget).map(|account| account.usage_report(now)).unwrap_or_default()
    }

    /// Returns the tokens that the request of a caller may not reserve.
    pub fn protected(
        &self,
        budget: &Name,
        demand: &RequestDemand,
        terms: &ProtectionTerms,
        now: Millis,
    ) -> Tokens {
        let account = self.accounts.get(budget);
        account
            .map_or(0, |account| account.protected(demand.rank, demand.tokens as f64, terms, now))
    }

    /// Decides, as the owner or in a small fleet, whether protection admits a caller's request.
    ///
    /// # Errors
    /// [`Protected`] if the tokens left afterwards do not cover the expected use by more urgent
    /// requests.
    pub fn check_protection(
        &mut self,
        budget: &Name,
        demand: &RequestDemand,
        terms: &ProtectionTerms,
        now: Millis,
    ) -> Result<(), Protected> {
        let Some(account) = self.accounts.get_mut(budget) else { return Ok(()) };
        let protected = account.protected(demand.rank, demand.tokens as f64, terms, now);
        if protected == 0 {
            return Ok(());
        }
        let Some(reachable) = account.reachable(terms) else { return Ok(()) };
        if reachable.checked_sub(demand.tokens).is_some_and(|left| left >= protected) {
            return Ok(());
        }
        Err(account.refuse(reachable, protected, demand, terms, now))
    }

    /// Decides as the owner on a token request: counts the requests that it reports, and reduces
    /// what is allotted ahead if the requester does not know yet which ranks are held back.
    ///
    /// # Errors
    /// [`Protected`] if the caller's request behind it is not admitted.
    pub fn check_token_request(
        &mut self,
        request: &mut TokenRequest,
        terms: &ProtectionTerms,
        now: Millis,
    ) -> Result<(), Protected> {
        let account = self.accounts.entry(request.budget.clone()).or_default();
        account.protection_mut().usage.record_report(request.holder, &request.usage, now);
        let held_back_from = account.state(terms, now).and_then(|state| state.held_back_from);
        let is_known = |rank: u32| request.held_back_from.is_some_and(|known| known <= rank);
        if held_back_from.is_some_and(|rank| !is_known(rank)) {
            request.want = request.need;
        }
        match request.demand {
            Some(demand) => self.check_protection(&request.budget, &demand, terms, now),
            None => Ok(()),
        }
    }

    /// Returns what is protected of a budget, for other daemons and operators; `None` if nothing
    /// is known of its use.
    pub fn protection_state(
        &self,
        budget: &Name,
        terms: &ProtectionTerms,
        now: Millis,
    ) -> Option<ProtectionState> {
        let account = self.accounts.get(budget)?;
        account.usage()?.age(now)?;
        account.state(terms, now)
    }

    /// Returns the forecast of each rank from the counts known here, the most urgent first.
    pub fn forecast(&self, budget: &Name, now: Millis) -> Vec<RankForecast> {
        let usage = self.accounts.get(budget).and_then(Account::usage);
        usage.map(|usage| usage.forecast(now).collect()).unwrap_or_default()
    }

    /// Returns the time since the last count, in milliseconds; `None` before the first.
    pub fn forecast_age(&self, budget: &Name, now: Millis) -> Option<Millis> {
        self.accounts.get(budget)?.usage()?.age(now)
    }

    /// Forgets the counts of budgets that have had no requests for some time.
    pub fn forget_idle_usage(&mut self, now: Millis) {
        for account in self.accounts.values_mut() {
            let age = account.usage().and_then(|usage| usage.age(now));
            if age.is_some_and(|age| age >= IDLE_MS) {
                account.protection = None;
            }
        }
    }

    /// Records the tokens of the table row that the current outlook is based on.
    pub fn record_outlook_row(&mut self, budget: &Name, row_tokens: Tokens) {
        self.accounts.entry(budget.clone()).or_default().outlook_row = Some(row_tokens);
    }
}

impl Account {
    /// Returns the refusal of a request. A retry can succeed after a top-up, which an operator is
    /// expected to make within the horizon.
    fn refuse(
        &mut self,
        reachable: Tokens,
        protected: Tokens,
        demand: &RequestDemand,
        terms: &ProtectionTerms,
        now: Millis,
    ) -> Protected {
        let since = self.protection_mut().record.record_refusal(now);
        let horizon_ms = (terms.horizon_s() * 1_000.0) as Millis;
        let remaining = horizon_ms.saturating_sub(now.saturating_sub(since));
        let fits = reachable >= demand.tokens;
        let forecast = self.usage().into_iter().flat_map(|usage| usage.forecast(now));
        Protected {
            reachable,
            protected,
            fits,
            retry_after_ms: if fits { remaining.max(RETRY_LATER_MS) } else { RETRY_LATER_MS },
            forecast: forecast.filter(|forecast| forecast.rank < demand.rank).collect(),
            forecast_age_ms: self.usage().and_then(|usage| usage.age(now)),
        }
    }
}
