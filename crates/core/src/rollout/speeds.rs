//! Comparison of two versions' times, period by period: the load of a service changes, and the new
//! version gets most of its requests at the end.

use std::collections::BTreeMap;

use crate::Name;
use crate::rollout::outcomes::{Fault, MIN_DEVIATIONS, Outcomes, RouteOutcomes, ServiceOutcomes};

/// Smallest number of timed answers of each version from which their speed is compared.
const MIN_TIMED: u32 = 8;

/// Ratio of the new version's typical time to the old one's from which it counts as slow.
const SLOW_RATIO: f64 = 1.5;

/// Smallest variance of logarithmic times that is assumed, against chance in a few equal samples.
const MIN_VARIANCE: f64 = 0.01;

/// Spread of one version's logarithmic times around its mean in each period.
#[derive(Debug, Clone, Copy, Default)]
struct Spread {
    timed: u32,
    periods: u32,
    squares: f64,
}

impl Spread {
    fn add(&mut self, outcomes: &Outcomes) {
        let count = f64::from(outcomes.timed);
        self.timed += outcomes.timed;
        self.periods += 1;
        self.squares += (outcomes.ln_squares - outcomes.ln_sum * outcomes.ln_sum / count).max(0.0);
    }

    fn variance(&self) -> f64 {
        let freedom = f64::from(self.timed.saturating_sub(self.periods).max(1));
        (self.squares / freedom).max(MIN_VARIANCE)
    }
}

/// Times of both versions on one route. Periods in which one of them has no timed answer don't
/// count.
#[derive(Debug, Clone, Copy, Default)]
struct RouteSpeeds {
    new: Spread,
    old: Spread,
    /// Sum over the periods of the weights, and of the weighted differences of the mean logarithms.
    weight: f64,
    weighted: f64,
}

impl RouteSpeeds {
    fn add(&mut self, period: &RouteOutcomes) {
        let RouteOutcomes { new, old } = period;
        if new.timed == 0 || old.timed == 0 {
            return;
        }
        let (new_count, old_count) = (f64::from(new.timed), f64::from(old.timed));
        // The inverse of the variance of the difference, but for the variance of one time.
        let weight = new_count * old_count / (new_count + old_count);
        self.weight += weight;
        self.weighted += weight * (new.ln_sum / new_count - old.ln_sum / old_count);
        self.new.add(new);
        self.old.add(old);
    }

    fn slowness(&self) -> Option<Fault> {
        if self.new.timed < MIN_TIMED || self.old.timed < MIN_TIMED {
            return None;
        }
        let difference = self.weighted / self.weight;
        let variance = self.new.variance().max(self.old.variance());
        let deviation = (variance / self.weight).sqrt();
        let is_slow = difference > SLOW_RATIO.ln() && difference > MIN_DEVIATIONS * deviation;
        is_slow.then(|| Fault::Slow { ratio: difference.exp() })
    }
}

/// Times of both versions on each route of a service.
#[derive(Debug, Clone, Default)]
pub struct Speeds {
    routes: BTreeMap<Name, RouteSpeeds>,
}

impl Speeds {
    /// Adds the outcomes of one period.
    pub fn add(&mut self, period: &ServiceOutcomes) {
        for (route, outcomes) in &period.routes {
            self.routes.entry(route.clone()).or_default().add(outcomes);
        }
    }

    /// Returns the route on which the new version is slower, if there is one, and its ratio.
    pub fn fault(&self) -> Option<(Option<Name>, Fault)> {
        self.routes
            .iter()
            .find_map(|(route, speeds)| speeds.slowness().map(|fault| (Some(route.clone()), fault)))
    }
}
