//! Outcomes of a service's requests by route and version, and whether the new version fails more.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Standard deviations by which the new version has to be worse than the old one. The outcomes are
/// judged some thirty times in a rollout, and a good version must not be rolled back by chance.
pub(super) const MIN_DEVIATIONS: f64 = 4.5;

/// Number of failures beyond the expected ones that are never taken as a sign.
const TOLERATED_FAILURES: f64 = 3.0;

/// Outcomes of requests to one version on one route.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Outcomes {
    /// Number of answers and failures.
    pub answers: u32,
    /// Number of failures: server errors, and requests that may have run and got no whole answer.
    pub failed: u32,
    /// Number of answers whose time was measured.
    pub timed: u32,
    /// Sum of the natural logarithms of these times in milliseconds.
    pub ln_sum: f64,
    /// Sum of their squares.
    pub ln_squares: f64,
}

impl Outcomes {
    /// Records an answer that took `millis`, if that was measured.
    pub fn record_answer(&mut self, millis: Option<f64>) {
        self.answers += 1;
        if let Some(millis) = millis {
            let ln = millis.max(0.1).ln();
            self.timed += 1;
            self.ln_sum += ln;
            self.ln_squares += ln * ln;
        }
    }

    /// Records a failure.
    pub fn record_failure(&mut self) {
        self.answers += 1;
        self.failed += 1;
    }

    fn add(&mut self, other: &Outcomes) {
        self.answers += other.answers;
        self.failed += other.failed;
        self.timed += other.timed;
        self.ln_sum += other.ln_sum;
        self.ln_squares += other.ln_squares;
    }

    fn since(&self, before: &Outcomes) -> Outcomes {
        Outcomes {
            answers: self.answers.saturating_sub(before.answers),
            failed: self.failed.saturating_sub(before.failed),
            timed: self.timed.saturating_sub(before.timed),
            ln_sum: self.ln_sum - before.ln_sum,
            ln_squares: self.ln_squares - before.ln_squares,
        }
    }
}

/// Outcomes of both versions on one route.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct RouteOutcomes {
    /// Of the new version.
    pub new: Outcomes,
    /// Of all others.
    pub old: Outcomes,
}

/// Outcomes of a service's requests by route.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceOutcomes {
    /// The routes.
    pub routes: BTreeMap<Name, RouteOutcomes>,
}

/// Why the new version is worse than the old one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// It fails more requests.
    Fails {
        /// Number of failures.
        failed: u32,
        /// Number of answers and failures.
        answers: u32,
    },
    /// It is slower.
    Slow {
        /// Ratio of its typical time to the old one's.
        ratio: f64,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Fails { failed, answers } => write!(f, "{failed} of {answers} requests failed"),
            Fault::Slow { ratio } => write!(f, "answers take {ratio:.1} times as long"),
        }
    }
}

impl RouteOutcomes {
    fn excess_failures(&self) -> Option<Fault> {
        let Outcomes { answers, failed, .. } = self.new;
        // With few answers of the old version its rate is not known well.
        let rate = f64::from(self.old.failed + 1) / f64::from(self.old.answers + 2);
        let expected = f64::from(answers) * rate;
        let deviation = (expected * (1.0 - rate)).sqrt();
        let allowed = expected + MIN_DEVIATIONS * deviation + TOLERATED_FAILURES;
        (f64::from(failed) > allowed).then_some(Fault::Fails { failed, answers })
    }
}

impl ServiceOutcomes {
    /// Adds the outcomes of another daemon.
    pub fn add(&mut self, other: &ServiceOutcomes) {
        for (route, outcomes) in &other.routes {
            let sum = self.routes.entry(route.clone()).or_default();
            sum.new.add(&outcomes.new);
            sum.old.add(&outcomes.old);
        }
    }

    /// Returns the outcomes since `before`, an earlier sum.
    #[must_use]
    pub fn since(&self, before: &ServiceOutcomes) -> ServiceOutcomes {
        let part = |(route, now): (&Name, &RouteOutcomes)| {
            let before = before.routes.get(route).copied().unwrap_or_default();
            let (new, old) = (now.new.since(&before.new), now.old.since(&before.old));
            (route.clone(), RouteOutcomes { new, old })
        };
        ServiceOutcomes { routes: self.routes.iter().map(part).collect() }
    }

    /// Returns the outcomes of the new version since `before`, an earlier sum, with all those of the
    /// old one, which gets few requests in the last stage.
    #[must_use]
    pub fn new_since(&self, before: &ServiceOutcomes) -> ServiceOutcomes {
        let mut since = self.since(before);
        for (route, outcomes) in &mut since.routes {
            outcomes.old = self.routes.get(route).map_or(outcomes.old, |all| all.old);
        }
        since
    }

    /// Returns the number of requests that the new version has answered or failed.
    pub fn new_answers(&self) -> u32 {
        self.routes.values().map(|route| route.new.answers).sum()
    }

    /// Returns why the new version fails too often on a route or on all together, with the route.
    pub fn fault(&self) -> Option<(Option<Name>, Fault)> {
        let mut all = RouteOutcomes::default();
        for (route, outcomes) in &self.routes {
            if let Some(fault) = outcomes.excess_failures() {
                return Some((Some(route.clone()), fault));
            }
            all.new.add(&outcomes.new);
            all.old.add(&outcomes.old);
        }
        all.excess_failures().map(|fault| (None, fault))
    }
}
