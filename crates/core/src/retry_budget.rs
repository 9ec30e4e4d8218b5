//! One daemon's part of the fleet's retry budget.
//!
//! In any window a service may get a limited number of retries: a ratio of its requests
//! plus a constant. Each daemon applies the ratio to its own requests and uses an equal
//! part of the constant, so daemons need not coordinate.

use std::collections::{HashMap, VecDeque};

use crate::{Millis, Name};

/// Fraction of the allowance that is used: the windows of the daemons and of an outside
/// observer do not begin together, and daemons may join or leave during a window.
const USABLE_FRACTION: f64 = 0.6;

/// Retries that the fleet may send to each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Retries for each request of the same service, 0 to 1.
    pub ratio: f64,
    /// Further retries in a window, for the whole fleet.
    pub extra: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: Millis,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

/// Retry budget of one daemon, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    services: HashMap<Name, Counts>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(allowance: Allowance) -> Self {
        RetryBudget { allowance, services: HashMap::new() }
    }

    /// Replaces the allowance; requests and retries counted so far are kept.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Records a request for `service`.
    pub fn record_request(&mut self, service: &Name, now: Millis) {
        let window_ms = self.allowance.window_ms;
        let counts = self.counts(service);
        counts.requests.push_back(now);
        remove_expired(&mut counts.requests, now, window_ms);
    }

    /// Returns whether one more retry may be sent to `service`, and counts it if so. `daemons` is
    /// the number of daemons that share the allowance.
    pub fn try_retry(&mut self, service: &Name, daemons: usize, now: Millis) -> bool {
        let Allowance { ratio, extra, window_ms } = self.allowance;
        let counts = self.counts(service);
        remove_expired(&mut counts.requests, now, window_ms);
        remove_expired(&mut counts.retries, now, window_ms);
        let allowance_here = ratio * counts.requests.len() as f64 + extra / daemons.max(1) as f64;
        let allowed = (counts.retries.len() as f64) < allowance_here * USABLE_FRACTION;
        if allowed {
            counts.retries.push_back(now);
        }
        allowed
    }

    fn counts(&mut self, service: &Name) -> &mut Counts {
        self.services.entry(service.clone()).or_default()
    }
}

/// Removes the times that are outside the window ending at `now`.
fn remove_expired(times: &mut VecDeque<Millis>, now: Millis, window_ms: Millis) {
    while times.front().is_some_and(|at| at + window_ms <= now) {
        times.pop_front();
    }
}
