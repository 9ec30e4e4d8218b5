//! Decisions on one rollout: the fraction of requests that the new version may get, and its end.

use std::collections::HashMap;

use crate::rollout::speeds::Speeds;
use crate::rollout::{Fault, ServiceOutcomes};
use crate::{Incarnation, Millis, Name};

/// Stages in which the new version is observed: the part of the duration at which each ends, and the
/// fraction of requests in it, as a multiple of the fraction that a bad version may get over the
/// whole duration. They use up a third of that.
const STAGES: [(f64, f64); 3] = [(0.65, 0.15), (0.8, 0.5), (0.9, 1.5)];

/// Longest part of the duration, after the stages, in which the new version gets most requests
/// before the servers of the old one end, and its share of what a bad version may get.
const MAX_CLOSING: f64 = 0.05;
const CLOSING_SHARE: f64 = 0.5;

/// Fraction of requests that the new version gets in it; the others show how fast the old one is
/// at the same time.
const CLOSING_FRACTION: f64 = 0.9;

/// Number of periods of the duration in each of which the versions' times are compared.
const PERIODS: f64 = 60.0;

/// Smallest number of requests that the new version must have answered before it gets all.
const MIN_ANSWERS: u32 = 12;

/// Greatest age of a daemon's report that counts as recent, in milliseconds.
const RECENT_MS: Millis = 1_500;

/// Decision of the decider.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// The rollout goes on; the new version gets this fraction of the requests.
    Continue(f64),
    /// All requests go to the new version.
    Done,
    /// No request goes to the new version any more.
    RollBack {
        /// Route on which it is worse; `None` if on all together, or if it was not seen to work.
        route: Option<Name>,
        /// Why it is worse; `None` if it was not seen to work by the end.
        fault: Option<Fault>,
    },
}

/// State of the decider of one rollout.
#[derive(Debug, Clone, Default)]
pub struct Plan {
    /// Latest report of each daemon, with the time of its receipt.
    reports: HashMap<Incarnation, (Millis, ServiceOutcomes)>,
    stage: usize,
    /// Outcomes before the current stage.
    before_stage: ServiceOutcomes,
    period: u32,
    /// Whether the daemons' fractions change in the current period, so that a change of load in it
    /// meets the versions' requests unequally.
    is_mixed: bool,
    /// Outcomes before the current period.
    before_period: ServiceOutcomes,
    /// Times in the periods before it, from the beginning and in the current stage.
    speeds: Speeds,
    stage_speeds: Speeds,
}

impl Plan {
    /// Replaces the report of a daemon, which counts from the start of the rollout.
    pub fn record_report(&mut self, now: Millis, from: Incarnation, outcomes: ServiceOutcomes) {
        self.reports.insert(from, (now, outcomes));
    }

    /// Returns the outcomes of all daemons together.
    pub fn sum(&self) -> ServiceOutcomes {
        let mut sum = ServiceOutcomes::default();
        self.reports.values().for_each(|(_, outcomes)| sum.add(outcomes));
        sum
    }

    /// Decides on a rollout of `duration` that was ordered `elapsed` ago. A version that may turn
    /// out bad gets at most `max_fraction` of the requests over the whole duration.
    pub fn decide(
        &mut self,
        now: Millis,
        elapsed: Millis,
        duration: Millis,
        max_fraction: f64,
    ) -> Decision {
        let sum = self.sum();
        let part = elapsed as f64 / duration.max(1) as f64;
        let stage = STAGES.iter().take_while(|(end, _)| part >= *end).count();
        self.advance(stage, (part * PERIODS) as u32, &sum);
        if let Some((route, fault)) = self.fault(&sum) {
            return Decision::RollBack { route, fault: Some(fault) };
        }
        let is_recent = self.reports.values().any(|(at, _)| now.saturating_sub(*at) < RECENT_MS);
        let works = is_recent && sum.new_answers() >= MIN_ANSWERS;
        let (observed_until, last_fraction) = STAGES[STAGES.len() - 1];
        match STAGES.get(stage) {
            Some((_, fraction)) => Decision::Continue((max_fraction * fraction).min(1.0)),
            None if works => {
                let closing = MAX_CLOSING.min(max_fraction * CLOSING_SHARE);
                let is_over = part >= observed_until + closing;
                if is_over { Decision::Done } else { Decision::Continue(CLOSING_FRACTION) }
            }
            None if part < 1.0 => Decision::Continue((max_fraction * last_fraction).min(1.0)),
            None => Decision::RollBack { route: None, fault: None },
        }
    }

    /// Begins a new stage or period when its time has come.
    fn advance(&mut self, stage: usize, period: u32, sum: &ServiceOutcomes) {
        if stage != self.stage || period != self.period {
            let in_period = self.since_period(sum);
            self.speeds.add(&in_period);
            self.stage_speeds.add(&in_period);
            self.period = period;
            self.before_period = sum.clone();
            self.is_mixed = stage != self.stage;
        }
        if stage != self.stage {
            self.stage = stage;
            self.before_stage = sum.clone();
            self.stage_speeds = Speeds::default();
        }
    }

    /// Returns the outcomes whose times can be compared since the current period began.
    fn since_period(&self, sum: &ServiceOutcomes) -> ServiceOutcomes {
        if self.is_mixed { ServiceOutcomes::default() } else { sum.since(&self.before_period) }
    }

    /// Returns why the new version is worse, from the beginning or in the current stage, with the
    /// route.
    fn fault(&self, sum: &ServiceOutcomes) -> Option<(Option<Name>, Fault)> {
        let in_period = self.since_period(sum);
        let is_slow = |speeds: &Speeds| {
            let mut speeds = speeds.clone();
            speeds.add(&in_period);
            speeds.fault()
        };
        let fails = sum.fault().or_else(|| sum.new_since(&self.before_stage).fault());
        fails.or_else(|| is_slow(&self.speeds)).or_else(|| is_slow(&self.stage_speeds))
    }
}
