//! Workloads of the budget simulation: times and costs of requests, and failures.

use bankcove_core::{Millis, Tokens};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// One request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// Time of its arrival.
    pub at: Millis,
    /// Daemon that receives it.
    pub daemon: usize,
    /// Budget that it is charged to.
    pub budget: usize,
    /// Maximum cost in tokens, which is reserved.
    pub max_tokens: Tokens,
    /// Actual cost in tokens.
    pub used_tokens: Tokens,
    /// Time for which it runs, in milliseconds.
    pub duration_ms: Millis,
}

/// Failures and other events in a run, with their times.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Failures {
    /// Start and end of an outage of the store.
    pub store_outage: Option<(Millis, Millis)>,
    /// Time at which daemon 1 is killed, with all tokens that it holds.
    pub daemon_killed: Option<Millis>,
    /// Start and end of a partition of the upper half of the daemons from the others and from the
    /// store.
    pub partition: Option<(Millis, Millis)>,
    /// Time of a top-up of each budget, and its tokens.
    pub top_up: Option<(Millis, Tokens)>,
}

/// A workload.
#[derive(Debug, Clone)]
pub struct Workload {
    /// Name of the workload.
    pub name: &'static str,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of budgets.
    pub budgets: usize,
    /// Tokens of each budget.
    pub tokens: Tokens,
    /// Requests per second of all daemons together.
    pub rate: f64,
    /// Time for which requests arrive, in milliseconds.
    pub length_ms: Millis,
    /// Whether the demand shifts from hall to hall.
    pub shifting: bool,
    /// A daemon draws at most 1/`share_divisor` of what is available at once.
    pub share_divisor: u64,
    /// Fraction of an equal share that a daemon holds at least.
    pub held_ahead: f64,
    /// Failures.
    pub failures: Failures,
}

impl Workload {
    /// Creates a workload with one budget and without failures.
    pub fn new(name: &'static str, daemons: usize, tokens: Tokens, rate: f64) -> Self {
        Workload {
            name,
            daemons,
            budgets: 1,
            tokens,
            rate,
            length_ms: 60_000,
            shifting: false,
            share_divisor: 4,
            held_ahead: 1.0,
            failures: Failures::default(),
        }
    }

    /// Sets the failures.
    #[must_use]
    pub fn with_failures(mut self, failures: Failures) -> Self {
        self.failures = failures;
        self
    }

    /// Draws the requests of this workload, in order of time.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        loop {
            at += -rng.random::<f64>().max(1e-12).ln() * 1000.0 / self.rate;
            if at >= self.length_ms as f64 {
                return arrivals;
            }
            let max_tokens = rng.random_range(100..600);
            arrivals.push(Arrival {
                at: at as Millis,
                daemon: self.daemon_at(at, &mut rng),
                budget: rng.random_range(0..self.budgets),
                max_tokens,
                used_tokens: rng.random_range(max_tokens / 5..=max_tokens),
                duration_ms: rng.random_range(100..3_000),
            });
        }
    }

    /// Draws the daemon of a request. Shifting demand moves through three halls over the length of
    /// the workload.
    fn daemon_at(&self, at: f64, rng: &mut StdRng) -> usize {
        if !self.shifting {
            return rng.random_range(0..self.daemons);
        }
        let halls = 3.min(self.daemons);
        let hall = (at / self.length_ms as f64 * halls as f64) as usize % halls;
        let in_hall = self.daemons.div_ceil(halls);
        (hall * in_hall + rng.random_range(0..in_hall)).min(self.daemons - 1)
    }
}
