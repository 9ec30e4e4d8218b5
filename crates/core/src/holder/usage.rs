//! What requests of each rank ask of a budget: counts that daemons report to the budget's owner,
//! and the rates that follow from them.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::holder::rate::Rate;
use crate::{Incarnation, Millis, Tokens};

/// Maximum number of ranks in a report. The most urgent ones are reported: a budget is protected
/// for them.
pub const MAX_REPORTED_RANKS: usize = 4;

/// Ranks with fewer requests than this in the decaying sum are forgotten after [`MAX_GAP_MS`], so
/// that the rate of a rank that comes back is measured anew.
const MIN_COUNTED: f64 = 0.01;

/// Time in milliseconds after the last report of a daemon until an owner forgets what it has counted
/// of it. A daemon whose reports get no answer repeats them at least each second.
const REPORTER_MEMORY_MS: Millis = 30_000;

/// Time in milliseconds after which the next request of a rank counts as its first.
const MAX_GAP_MS: Millis = 60_000;

/// Requests of one rank, with the sums of their maximum costs and of the squares of these.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankCount {
    /// Urgency rank; 0 is the most urgent.
    pub rank: u32,
    /// Number of requests.
    pub requests: u64,
    /// Sum of the maximum costs.
    pub tokens: Tokens,
    /// Sum of the squares of the maximum costs.
    pub squares: u64,
}

impl RankCount {
    fn add(&mut self, tokens: Tokens) {
        self.requests += 1;
        self.tokens = self.tokens.saturating_add(tokens);
        self.squares = self.squares.saturating_add(tokens.saturating_mul(tokens));
    }

    fn since(self, earlier: RankCount) -> RankCount {
        RankCount {
            rank: self.rank,
            requests: self.requests.saturating_sub(earlier.requests),
            tokens: self.tokens.saturating_sub(earlier.tokens),
            squares: self.squares.saturating_sub(earlier.squares),
        }
    }
}

/// Counts of a daemon's requests as they go to the owner of a budget. They are cumulative, so that
/// a report that is repeated after a lost answer counts once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Counts since the daemon's start, of the ranks with requests since the last answer.
    pub totals: Vec<RankCount>,
    /// The same at the last answered report, in the same order.
    pub answered: Vec<RankCount>,
    /// Time since that report, or since the first request, in milliseconds.
    pub span_ms: Millis,
}

/// Expected requests of one rank.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RankForecast {
    /// Urgency rank; 0 is the most urgent.
    pub rank: u32,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Mean of their maximum costs, in tokens.
    pub mean: f64,
    /// Mean of the squares of their maximum costs.
    pub mean_square: f64,
}

/// Decaying rates of the requests of one rank.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct RankRates {
    rank: u32,
    requests: Rate,
    tokens: Rate,
    squares: Rate,
}

/// This daemon's own requests of one rank.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct OwnCount {
    total: RankCount,
    /// The total at the last answered report.
    answered: RankCount,
}

/// What an owner has counted of one daemon's reports.
#[derive(Debug, Clone, Default)]
struct Reporter {
    counted: Vec<RankCount>,
    at: Millis,
}

impl Reporter {
    fn counted_of(&mut self, rank: u32) -> &mut RankCount {
        let index = self.counted.iter().position(|count| count.rank == rank);
        let index = index.unwrap_or_else(|| {
            self.counted.push(RankCount { rank, ..RankCount::default() });
            self.counted.len() - 1
        });
        &mut self.counted[index]
    }
}

/// Requests on one budget: the rates of all that this daemon knows of, and the counts of its own.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Usage {
    /// In ascending order of ranks, as the counts.
    rates: Vec<RankRates>,
    counted_at: Option<Millis>,
    own: Vec<OwnCount>,
    /// Time of the last answered report, or of the first request.
    answered_at: Option<Millis>,
    #[serde(skip)]
    reporters: HashMap<Incarnation, Reporter>,
    reporters_pruned_at: Millis,
}

impl Usage {
    /// Counts a request of this daemon, whether it is admitted or not.
    pub(super) fn count(&mut self, rank: u32, tokens: Tokens, now: Millis) {
        let new = RankCount { rank, ..RankCount::default() };
        let own = entry(
            &mut self.own,
            rank,
            |own| own.total.rank,
            || OwnCount { total: new, answered: new },
        );
        own.total.add(tokens);
        self.answered_at.get_or_insert(now);
        let mut one = RankCount { rank, ..RankCount::default() };
        one.add(tokens);
        self.add(one, 0, now);
    }

    /// Returns the report for the next token request.
    pub(super) fn report(&self, now: Millis) -> UsageReport {
        let new = self.own.iter().filter(|own| own.total.requests > own.answered.requests);
        let new = new.take(MAX_REPORTED_RANKS);
        let (totals, answered) = new.map(|own| (own.total, own.answered)).unzip();
        let span_ms = now.saturating_sub(self.answered_at.unwrap_or(now));
        UsageReport { totals, answered, span_ms }
    }

    /// Records that an owner has answered the report that was sent at `sent_at`.
    pub(super) fn record_answered(&mut self, report: &UsageReport, sent_at: Millis) {
        for total in &report.totals {
            let own = self.own.iter_mut().find(|own| own.total.rank == total.rank);
            if let Some(own) = own.filter(|own| total.requests > own.answered.requests) {
                own.answered = *total;
            }
        }
        self.answered_at = self.answered_at.max(Some(sent_at));
    }

    /// Adds the counts of a report, as its receiver, that are not yet counted.
    pub(super) fn record_report(&mut self, from: Incarnation, report: &UsageReport, now: Millis) {
        if report.totals.is_empty() {
            return;
        }
        if now >= self.reporters_pruned_at + REPORTER_MEMORY_MS {
            self.reporters.retain(|_, reporter| now < reporter.at + REPORTER_MEMORY_MS);
            self.reporters_pruned_at = now;
        }
        let reporter = self.reporters.entry(from).or_default();
        let heard_before_ms = now.saturating_sub(reporter.at);
        if heard_before_ms >= REPORTER_MEMORY_MS {
            // The daemon may have forgotten its counts in the meantime.
            reporter.counted.clear();
        }
        reporter.at = now;
        let mut new = Vec::new();
        for (index, total) in report.totals.iter().take(MAX_REPORTED_RANKS).enumerate() {
            let answered = report.answered.get(index).copied().unwrap_or_default();
            let counted = reporter.counted_of(total.rank);
            let (known, span_ms) = if counted.requests > answered.requests {
                (*counted, report.span_ms.min(heard_before_ms))
            } else {
                (answered, report.span_ms)
            };
            if total.requests > known.requests {
                *counted = *total;
                new.push((total.since(known), span_ms));
            }
        }
        for (count, span_ms) in new {
            self.add(count, span_ms, now);
        }
    }

    /// Adds requests that came evenly during the last `span_ms`. A single first one only begins
    /// the measurement: counted, it would stand for a rate of one in four seconds.
    fn add(&mut self, count: RankCount, span_ms: Millis, now: Millis) {
        self.rates.retain(|rates| {
            rates.requests.sum(now) >= MIN_COUNTED || rates.requests.idle_ms(now) < MAX_GAP_MS
        });
        let is_first = !self.rates.iter().any(|rates| rates.rank == count.rank);
        let is_alone = is_first && count.requests == 1 && span_ms == 0;
        let count =
            if is_alone { RankCount { rank: count.rank, ..RankCount::default() } } else { count };
        let new = || RankRates { rank: count.rank, ..RankRates::default() };
        let rates = entry(&mut self.rates, count.rank, |rates| rates.rank, new);
        rates.requests.add_over(count.requests, span_ms, now);
        rates.tokens.add_over(count.tokens, span_ms, now);
        rates.squares.add_over(count.squares, span_ms, now);
        self.counted_at = Some(now);
    }

    /// Returns the forecast of each rank, the most urgent first.
    pub(super) fn forecast(&self, now: Millis) -> impl Iterator<Item = RankForecast> {
        self.rates.iter().filter_map(move |rates| {
            let requests_per_s = rates.requests.per_second(now);
            (requests_per_s > 0.0).then(|| RankForecast {
                rank: rates.rank,
                requests_per_s,
                mean: rates.tokens.per_second(now) / requests_per_s,
                mean_square: rates.squares.per_second(now) / requests_per_s,
            })
        })
    }

    /// Returns the rate at which requests of ranks more urgent than `rank` ask for tokens, per
    /// second.
    pub(super) fn token_rate_above(&self, rank: u32, now: Millis) -> f64 {
        self.sum_tokens(|known| known < rank, now)
    }

    /// Returns the rate at which requests of `rank` and of less urgent ones ask for tokens.
    pub(super) fn token_rate_from(&self, rank: u32, now: Millis) -> f64 {
        self.sum_tokens(|known| known >= rank, now)
    }

    fn sum_tokens(&self, includes: impl Fn(u32) -> bool, now: Millis) -> f64 {
        let included = self.rates.iter().filter(|rates| includes(rates.rank));
        included.map(|rates| rates.tokens.per_second(now)).sum()
    }

    /// Returns the time since the last count, in milliseconds; `None` before the first.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.counted_at.map(|at| now.saturating_sub(at))
    }
}

/// Returns the entry of `rank` in a list in ascending order of ranks; adds it if there is none.
fn entry<T>(
    list: &mut Vec<T>,
    rank: u32,
    rank_of: impl Fn(&T) -> u32,
    new: impl FnOnce() -> T,
) -> &mut T {
    let index = match list.binary_search_by_key(&rank, rank_of) {
        Ok(index) => index,
        Err(index) => {
            list.insert(index, new());
            index
        }
    };
    &mut list[index]
}
