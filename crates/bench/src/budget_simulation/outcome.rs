//! What a run came to.

use bankcove_core::{Millis, Tokens};
use serde::Serialize;

/// What a run came to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Requests that came.
    pub requests: u64,
    /// Requests refused.
    pub refused: u64,
    /// Refused although that many tokens were unspent and not set aside.
    pub false_refusals: u64,
    /// Tokens of false refusals, at their greatest cost.
    pub false_tokens: Tokens,
    /// Tokens of all requests, at their greatest cost.
    pub tokens: Tokens,
    /// Tokens spent beyond the budgets.
    pub overspend: Tokens,
    /// Writes of the store.
    pub writes: u64,
    /// Reads of the store.
    pub reads: u64,
    /// Messages between daemons.
    pub messages: u64,
    /// Bytes of the greatest stored shard.
    pub largest_shard: u64,
    /// Tokens left unspent at the end, over all budgets.
    pub left: Tokens,
    /// Tokens of all budgets.
    pub allowed: Tokens,
    /// Tokens that a dead daemon took along.
    pub stranded: Tokens,
    /// Longest wait for an admission, in milliseconds.
    pub longest_wait: Millis,
}

impl Outcome {
    /// False refusals, in % of requests.
    pub fn false_percent(&self) -> f64 {
        100.0 * self.false_refusals as f64 / self.requests.max(1) as f64
    }

    /// What was left in % of the budgets, when anything was refused.
    pub fn left_percent(&self) -> f64 {
        if self.refused == 0 {
            return 0.0;
        }
        100.0 * self.left as f64 / self.allowed.max(1) as f64
    }

    /// False refusals, in % of tokens.
    pub fn false_tokens_percent(&self) -> f64 {
        100.0 * self.false_tokens as f64 / self.tokens.max(1) as f64
    }
}
