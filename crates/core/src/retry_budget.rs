//! The part of the fleet's retries that one daemon may spend.
//!
//! A service may get, in any window, so many retries: a share of its requests
//! and some more. Each daemon spends the share on its own requests, and an
//! equal part of the rest, so that no two have to agree.

use std::collections::{HashMap, VecDeque};

use crate::{Millis, Name};

/// Part of the allowance that is spent: windows of the daemons and of whoever
/// counts do not begin together, and daemons may join or leave meanwhile.
const USABLE_FRACTION: f64 = 0.6;

/// What the fleet may spend on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Repeats for each request of the same service, 0 to 1.
    pub ratio: f64,
    /// Repeats beyond that in a window, for the fleet as a whole.
    pub extra: f64,
    /// The window, in milliseconds.
    pub window_ms: Millis,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

/// Repeats of one daemon, by service.
#[derive(Debug)]
pub struct RetryBudget {
    allowance: Allowance,
    services: HashMap<Name, Counts>,
}

impl RetryBudget {
    /// A budget of which nothing is spent.
    pub fn new(allowance: Allowance) -> Self {
        RetryBudget { allowance, services: HashMap::new() }
    }

    /// Puts another allowance in force; what is counted stays.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Takes in a request for `service`.
    pub fn record_request(&mut self, service: &Name, now: Millis) {
        let window_ms = self.allowance.window_ms;
        let counts = self.counts(service);
        counts.requests.push_back(now);
        expire(&mut counts.requests, now, window_ms);
    }

    /// Whether one more repeat may go to `service`; it is counted then.
    /// `daemons` share the allowance.
    pub fn try_retry(&mut self, service: &Name, daemons: usize, now: Millis) -> bool {
        let Allowance { ratio, extra, window_ms } = self.allowance;
        let counts = self.counts(service);
        expire(&mut counts.requests, now, window_ms);
        expire(&mut counts.retries, now, window_ms);
        let allowed_retries = ratio * counts.requests.len() as f64 + extra / daemons.max(1) as f64;
        let allowed = (counts.retries.len() as f64) < allowed_retries * USABLE_FRACTION;
        if allowed {
            counts.retries.push_back(now);
        }
        allowed
    }

    fn counts(&mut self, service: &Name) -> &mut Counts {
        self.services.entry(service.clone()).or_default()
    }
}

fn expire(times: &mut VecDeque<Millis>, now: Millis, window_ms: Millis) {
    while times.front().is_some_and(|at| at + window_ms <= now) {
        times.pop_front();
    }
}
