//! One daemon's choice between the old and the new version for each request.

use crate::rollout::{RolloutOrder, RolloutState};
use crate::{Millis, Name};

/// Time from asking the decider for which its answer is valid, in milliseconds: two reports may be
/// lost, and a version that fails gets nothing within seconds, whatever is cut off.
pub const DECISION_VALID_MS: Millis = 1_500;

/// Time after the end of a rollout for which servers of the old version, which may still be listed,
/// get no requests, in milliseconds.
const OLD_VERSION_LISTED_MS: Millis = 10_000;

/// Versions of a service's servers that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Versions<'a> {
    /// All versions.
    #[default]
    Any,
    /// This version alone.
    Only(&'a Name),
    /// All versions but this one.
    Except(&'a Name),
    /// All versions but these.
    ExceptAll(&'a [Name]),
    /// This version alone, for a stream that servers of it have begun. Ejected servers are used if
    /// there are no others.
    OfStream(&'a Name),
}

impl Versions<'_> {
    /// Returns whether a server of this version may get the request.
    pub fn allow(&self, version: Option<&Name>) -> bool {
        match self {
            Versions::Any => true,
            Versions::Only(only) | Versions::OfStream(only) => version == Some(only),
            Versions::Except(except) => version != Some(except),
            Versions::ExceptAll(excluded) => {
                version.is_none_or(|version| !excluded.contains(version))
            }
        }
    }
}

/// Fraction of a service's requests that this daemon sends to the new version.
#[derive(Debug, Clone)]
pub struct Exposure {
    fraction: f64,
    valid_until: Millis,
    /// Requests that may be sent to the new version now; a whole one is due.
    credit: f64,
    ended_at: Option<Millis>,
}

impl Exposure {
    /// Creates the exposure of a rollout that gets nothing yet. `seed`, from 0 to 1, is random, so
    /// that many daemons with few requests each send the fraction together.
    pub fn new(seed: f64) -> Self {
        Exposure { fraction: 0.0, valid_until: 0, credit: seed, ended_at: None }
    }

    /// Sets the fraction from an answer of the decider to a report sent at `asked_at`.
    pub fn set_fraction(&mut self, asked_at: Millis, fraction: f64) {
        self.fraction = fraction;
        self.valid_until = asked_at + DECISION_VALID_MS;
    }

    /// Returns the fraction in force.
    pub fn fraction(&self, now: Millis) -> f64 {
        if now < self.valid_until { self.fraction } else { 0.0 }
    }

    /// Returns the versions that the next request may be sent to. `is_first` is whether it is the
    /// first attempt of its request: a repeated attempt goes to the old version.
    pub fn versions<'a>(
        &mut self,
        now: Millis,
        order: &'a RolloutOrder,
        is_first: bool,
    ) -> Versions<'a> {
        match order.state {
            RolloutState::RolledBack => Versions::Except(&order.to_version),
            RolloutState::Done => {
                let ended_at = *self.ended_at.get_or_insert(now);
                let is_listed = now < ended_at + OLD_VERSION_LISTED_MS;
                if is_listed { Versions::Only(&order.to_version) } else { Versions::Any }
            }
            RolloutState::Ordered | RolloutState::Running => {
                if is_first && self.take_turn(now) {
                    Versions::Only(&order.to_version)
                } else {
                    Versions::Except(&order.to_version)
                }
            }
        }
    }

    /// Counts one request and returns whether it is the new version's turn.
    fn take_turn(&mut self, now: Millis) -> bool {
        self.credit += self.fraction(now);
        let is_due = self.credit >= 1.0;
        if is_due {
            self.credit -= 1.0;
        }
        is_due
    }
}
