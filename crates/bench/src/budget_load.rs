//! Loads on budgets: who asks when, for how much, and what fails meanwhile.

use bankcove_core::{Millis, Tokens};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// One request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When it comes.
    pub at: Millis,
    /// The daemon that it comes to.
    pub daemon: usize,
    /// The budget that pays.
    pub budget: usize,
    /// Its greatest cost.
    pub max_tokens: Tokens,
    /// Its actual cost.
    pub used_tokens: Tokens,
    /// How long it runs.
    pub duration_ms: Millis,
}

/// What fails, and when.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Failures {
    /// The store is away from this time to that.
    pub store_outage: Option<(Millis, Millis)>,
    /// Daemon 1 ends at this time, with all it holds.
    pub daemon_killed: Option<Millis>,
    /// The upper half of the daemons is apart from the others and from the
    /// store, from this time to that.
    pub partition: Option<(Millis, Millis)>,
    /// Tokens are added to each budget at this time.
    pub top_up: Option<(Millis, Tokens)>,
}

/// A load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Its name.
    pub name: &'static str,
    /// Daemons.
    pub daemons: usize,
    /// Budgets.
    pub budgets: usize,
    /// Tokens of each budget.
    pub tokens: Tokens,
    /// Requests a second, over all daemons.
    pub rate: f64,
    /// How long requests come, in milliseconds.
    pub length_ms: Millis,
    /// Whether demand wanders from hall to hall.
    pub shifting: bool,
    /// A daemon draws at most this part of what is available at once.
    pub share_divisor: u64,
    /// And at least this part of an equal share.
    pub held_ahead: f64,
    /// What fails.
    pub failures: Failures,
}

impl Load {
    /// A load without failures.
    pub fn new(name: &'static str, daemons: usize, tokens: Tokens, rate: f64) -> Self {
        Load {
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

    /// The same load with these failures.
    #[must_use]
    pub fn with_failures(mut self, failures: Failures) -> Self {
        self.failures = failures;
        self
    }

    /// The requests of this load, from a seed.
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

    /// Demand goes round three halls in the time of the load.
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
