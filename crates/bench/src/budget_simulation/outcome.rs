//! Outcome of a run.

use bankcove_core::{Millis, Tokens};
use serde::Serialize;

/// Outcome of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Outcome {
    /// Number of requests.
    pub requests: u64,
    /// Number of refused requests.
    pub refused: u64,
    /// Number of false refusals: enough tokens were neither spent nor reserved.
    pub false_refusals: u64,
    /// Maximum cost of the falsely refused requests, in tokens.
    pub false_tokens: Tokens,
    /// Maximum cost of all requests, in tokens.
    pub tokens: Tokens,
    /// Tokens spent beyond the budgets.
    pub overspend: Tokens,
    /// Number of writes to the store.
    pub writes: u64,
    /// Number of reads from the store.
    pub reads: u64,
    /// Number of messages between daemons.
    pub messages: u64,
    /// Size of the largest stored shard, in bytes.
    pub largest_shard: u64,
    /// Unspent tokens of all budgets at the end.
    pub left: Tokens,
    /// Tokens of all budgets.
    pub allowed: Tokens,
    /// Tokens held by a killed daemon.
    pub stranded: Tokens,
    /// Longest time until a request was admitted or refused, in milliseconds.
    pub longest_wait: Millis,
}

impl Outcome {
    /// Returns the false refusals in % of all requests.
    pub fn false_percent(&self) -> f64 {
        100.0 * self.false_refusals as f64 / self.requests.max(1) as f64
    }

    /// Returns the unspent tokens in % of the budgets; 0 if no request was refused.
    pub fn left_percent(&self) -> f64 {
        if self.refused == 0 {
            return 0.0;
        }
        100.0 * self.left as f64 / self.allowed.max(1) as f64
    }

    /// Returns the cost of the false refusals in % of the cost of all requests.
    pub fn false_tokens_percent(&self) -> f64 {
        100.0 * self.false_tokens as f64 / self.tokens.max(1) as f64
    }
}
