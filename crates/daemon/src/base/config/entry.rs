//! Settings of the entry side.

use std::collections::BTreeMap;

use bankcove_core::retry_budget::Allowance;
use bankcove_core::table::Table;
use bankcove_core::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::error::ConfigFault;

/// Settings of the entry side.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Where the platform asks whether this daemon takes connections.
    pub ready_listen: String,
    /// Where metrics and the dump are read; none serves none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics_listen: Option<String>,
    /// Time between the signal to stop and the end, in seconds.
    #[serde(default = "default_stop_grace_s")]
    pub stop_grace_s: f64,
    /// Repeats for each request of the same service, for the whole fleet.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Repeats in a window beyond that.
    #[serde(default)]
    pub retry_extra: f64,
    /// The window, in seconds.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// Width of this host's link, in megabits a second; requests that it can't
    /// carry are refused at once. None refuses none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link_mbps: Option<f64>,
    /// How far ahead to draw on a workspace's budget, in seconds of recent
    /// spending: what a daemon lives on while it is cut off from everybody.
    #[serde(default = "default_horizon_s")]
    pub horizon_s: f64,
    /// At most 1/`share_divisor` of what is left is drawn at once.
    #[serde(default = "default_share_divisor")]
    pub share_divisor: u64,
    /// Part of an equal share that is drawn at least, 0 to 1.
    #[serde(default = "default_held_ahead")]
    pub held_ahead: f64,
    /// One request of the most urgent rank may take no more than an equal part of what
    /// is left of its budget, among the requests that are expected within so many
    /// seconds, and of each lower rank within twice as many. 0 lets it take all.
    #[serde(default = "default_ration_s")]
    pub ration_s: f64,
    /// Whether operators evacuate halls by the platform: it is watched for that, and what
    /// is known of it must be recent.
    #[serde(default)]
    pub follow_evacuations: bool,
    /// The region of each hall, for requests that may be served in some alone.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub hall_regions: BTreeMap<Name, Name>,
}

/// Milliseconds of a second.
const SECOND_MS: f64 = 1_000.0;

/// The users' deployments give 8 s.
fn default_stop_grace_s() -> f64 {
    8.0
}

/// The users' deployments allow 0.2.
fn default_retry_ratio() -> f64 {
    0.2
}

/// The users' deployments count over 10 s.
fn default_retry_window_s() -> f64 {
    10.0
}

/// Cuts of 7 to 12 s were measured on the users' days.
fn default_horizon_s() -> f64 {
    10.0
}

fn default_share_divisor() -> u64 {
    4
}

/// A tenth of an equal share lets a workspace that was quiet begin in a cut.
fn default_held_ahead() -> f64 {
    0.1
}

/// Measured on three deployments, five days of faults with three or four seeds each:
/// of the callers from 12 s after a loss of all daemons 0.73, 0.77 and 0.75 are served
/// in the mean and 0.48, 0.61 and 0.51 on the worst day; without 0.59, 0.65 and 0.68, and
/// 0.32, 0.43 and 0.50. Of all callers 0.810, 0.823 and 0.783; without 0.805, 0.823, 0.794.
fn default_ration_s() -> f64 {
    0.9
}

impl EntrySettings {
    /// Settings for a first look.
    pub fn example() -> Self {
        EntrySettings {
            ready_listen: "127.0.0.1:8083".to_owned(),
            metrics_listen: Some("127.0.0.1:8084".to_owned()),
            stop_grace_s: default_stop_grace_s(),
            retry_ratio: default_retry_ratio(),
            retry_extra: 50.0,
            retry_window_s: default_retry_window_s(),
            link_mbps: Some(1_000.0),
            horizon_s: default_horizon_s(),
            share_divisor: default_share_divisor(),
            held_ahead: default_held_ahead(),
            ration_s: default_ration_s(),
            follow_evacuations: true,
            hall_regions: BTreeMap::from([(Name::from("hall-1"), Name::from("region-1"))]),
        }
    }

    /// What the fleet may spend on repeats.
    pub fn retry_allowance(&self) -> Allowance {
        Allowance {
            ratio: self.retry_ratio,
            extra: self.retry_extra,
            window_ms: (self.retry_window_s * SECOND_MS) as Millis,
        }
    }

    /// Gives the budgets of a table, which say nothing of draws on this
    /// platform, the policy of these settings.
    pub fn apply_draw_policy(&self, table: &mut Table) {
        for row in &mut table.budgets {
            row.horizon_s = self.horizon_s;
            row.share_divisor = self.share_divisor;
            row.held_ahead = self.held_ahead;
        }
    }

    /// Every fault of these settings.
    pub fn faults(&self) -> Vec<ConfigFault> {
        let mut found = Vec::new();
        let mut check = |is_wrong: bool, path: &str, problem: &str, fix: &str| {
            if is_wrong {
                found.push(ConfigFault::new(path, problem, fix));
            }
        };
        let zero = "0 is not usable here";
        check(self.share_divisor == 0, "entry.share_divisor", zero, "use for example 4");
        let negative = "the figure is negative or no number";
        let is_usable = |figure: f64| figure.is_finite() && figure >= 0.0;
        check(!is_usable(self.retry_ratio), "entry.retry_ratio", negative, "use for example 0.2");
        check(!is_usable(self.retry_extra), "entry.retry_extra", negative, "use for example 50");
        for (path, seconds) in [
            ("entry.stop_grace_s", self.stop_grace_s),
            ("entry.retry_window_s", self.retry_window_s),
            ("entry.horizon_s", self.horizon_s),
        ] {
            let is_wrong = !is_usable(seconds) || seconds == 0.0;
            check(is_wrong, path, "the time is not above 0 seconds", "use for example 10");
        }
        check(
            self.link_mbps.is_some_and(|mbps| !is_usable(mbps) || mbps == 0.0),
            "entry.link_mbps",
            "the width is not above 0 megabits a second",
            "use the link's, for example 1000, or leave it out",
        );
        check(!is_usable(self.ration_s), "entry.ration_s", negative, "use for example 0.9");
        check(
            !(0.0..=1.0).contains(&self.held_ahead),
            "entry.held_ahead",
            "no part of a share",
            "use a number from 0 to 1",
        );
        found
    }
}
