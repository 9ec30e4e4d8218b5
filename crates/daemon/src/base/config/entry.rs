//! Settings of the entry proxy, which serves callers over the platform's protocol.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use bankcove_core::retry_budget::Allowance;
use bankcove_core::table::Table;
use bankcove_core::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::error::ConfigFault;

/// Settings of the entry proxy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Address on which the platform checks whether this daemon accepts connections.
    pub ready_listen: String,
    /// Address on which metrics and the dump are served; omitted to serve none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics_listen: Option<String>,
    /// Address on which peers that have lost their path to backend servers open connections to them
    /// through this host. Omitted, a free port at the address of `peer_listen`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tunnel_listen: Option<String>,
    /// Time between the stop signal and the end of the process, in seconds.
    #[serde(default = "default_stop_grace_s")]
    pub stop_grace_s: f64,
    /// Retries allowed for each request of the same service, for the whole fleet.
    #[serde(default = "default_retry_ratio")]
    pub retry_ratio: f64,
    /// Further retries allowed in a window, for the whole fleet.
    #[serde(default)]
    pub retry_extra: f64,
    /// Length of the window, in seconds.
    #[serde(default = "default_retry_window_s")]
    pub retry_window_s: f64,
    /// Bandwidth of this host's link, in megabits per second; requests that exceed it are
    /// refused at once. Omitted for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub link_mbps: Option<f64>,
    /// Time for which the requests of connections that wait to be accepted may occupy the link, in
    /// milliseconds; further connections are not made. 0 sets no limit.
    #[serde(default)]
    pub connect_queue_ms: f64,
    /// Memory of this host, in megabytes; parts of it hold request bodies and answers for callers that
    /// read slowly.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub memory_mb: Option<f64>,
    /// Maximum size of all answers held for callers that read slowly, in megabytes; derived from
    /// `memory_mb` if omitted. With 0, answers are read from servers only as fast as callers read
    /// them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held_answers_mb: Option<f64>,
    /// Maximum size of all request bodies held, in megabytes; derived from `memory_mb` if omitted.
    /// Requests whose bodies have no room are refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub held_bodies_mb: Option<f64>,
    /// How far ahead to draw on a workspace's budget, in seconds of recent spending; a daemon
    /// that is cut off from the store and all peers spends these tokens.
    #[serde(default = "default_horizon_s")]
    pub horizon_s: f64,
    /// At most 1/`share_divisor` of what is left of a budget is drawn at once.
    #[serde(default = "default_share_divisor")]
    pub share_divisor: u64,
    /// Fraction of an equal share that is drawn at least, 0 to 1.
    #[serde(default = "default_held_ahead")]
    pub held_ahead: f64,
    /// Rationing window, in seconds. A request of the most urgent rank may reserve no more than
    /// an equal part of what is left of its budget, divided among the requests expected within
    /// the window; the window doubles with each lower rank. 0 disables rationing.
    #[serde(default = "default_ration_s")]
    pub ration_s: f64,
    /// How long the last tokens of a budget are kept for more urgent requests, in seconds of their
    /// expected use: the time that an operator needs to raise the budget. 0 keeps none.
    #[serde(default)]
    pub protect_horizon_s: f64,
    /// Whether operators evacuate halls through the platform. If so, the daemon watches the
    /// platform's list of evacuated halls and requires it to be recent.
    #[serde(default)]
    pub follow_evacuations: bool,
    /// Fraction of a service's requests, 0 to 1, that a version under rollout may get before it has
    /// shown that it works. Omitted if the platform orders no rollouts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout_fraction: Option<f64>,
    /// Maximum number of requests that wait on this host for a place in each pool whose servers
    /// reject requests because they are full. 0 refuses such requests at once.
    #[serde(default)]
    pub place_queue: usize,
    /// IP address of this host from which it connects to backend servers. Omitted, the system
    /// chooses one for each connection.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source_ip: Option<IpAddr>,
    /// Interval at which backend servers write their entries in the platform's list, in milliseconds.
    /// An entry lapses after three intervals without a write.
    #[serde(default = "default_server_heartbeat_ms")]
    pub server_heartbeat_ms: Millis,
    /// Time after which a server that the platform lists as leaving must get no more requests, in
    /// milliseconds.
    #[serde(default = "default_in_force_ms")]
    pub drain_ms: Millis,
    /// Time within which a configuration must be in force, in milliseconds.
    #[serde(default = "default_in_force_ms")]
    pub apply_ms: Millis,
    /// Region of each hall, for requests that may be served only in some regions.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub hall_regions: BTreeMap<Name, Name>,
}

/// Number of intervals without a write of any server, during an outage of the platform, after which
/// entries may have lapsed: the last write before it may be an interval old.
const LAPSE_INTERVALS: Millis = 2;

fn default_server_heartbeat_ms() -> Millis {
    1_200
}

/// Fraction of the host's memory that may hold answers. As much may hold what is gathered of incomplete
/// ones.
const HELD_ANSWERS_FRACTION: f64 = 0.125;

/// Fraction of the host's memory that may hold request bodies. What it leaves beside answers is for the
/// daemon's own state (up to 64 MB) and the buffers of its connections.
const HELD_BODIES_FRACTION: f64 = 0.1875;

/// Megabytes of held bodies on a host whose memory is not set: that fraction of 128 MB.
const DEFAULT_HELD_BODIES_MB: f64 = 24.0;

/// Megabytes of held answers on a host whose memory is not set: an eighth of 128 MB.
const DEFAULT_HELD_ANSWERS_MB: f64 = 16.0;

/// Number of bytes in a megabyte.
const MEGABYTE: f64 = 1_048_576.0;
/// Longest queue for places: each request that joins or leaves sorts the whole queue, and one that
/// is behind a thousand others would seldom be answered in time.
const MAX_PLACE_QUEUE: usize = 1_000;

/// Number of milliseconds in a second.
const SECOND_MS: f64 = 1_000.0;

/// The shortest of the users' deployments.
fn default_in_force_ms() -> Millis {
    2_000
}

/// The users' deployments allow 8 s.
fn default_stop_grace_s() -> f64 {
    8.0
}

/// The users' deployments allow 0.2 retries per request.
fn default_retry_ratio() -> f64 {
    0.2
}

/// The users' deployments use a window of 10 s.
fn default_retry_window_s() -> f64 {
    10.0
}

/// Network cuts last 7 to 12 s in the users' recorded days.
fn default_horizon_s() -> f64 {
    10.0
}

fn default_share_divisor() -> u64 {
    4
}

/// A tenth of an equal share lets a workspace that was idle start during a network cut.
fn default_held_ahead() -> f64 {
    0.1
}

/// With rationing more callers are served after a loss of all daemons, and about as many overall.
/// Fraction of callers served in three deployments (five days of faults, three or four seeds
/// each), with and without rationing: from 12 s after a loss of all daemons: mean 0.73, 0.77
/// and 0.75 against 0.59, 0.65 and 0.68; worst day 0.48, 0.61 and 0.51 against 0.32, 0.43 and
/// 0.50; of all callers: 0.810, 0.823 and 0.783 against 0.805, 0.823 and 0.794.
fn default_ration_s() -> f64 {
    0.9
}

impl EntrySettings {
    /// Returns example settings.
    pub fn example() -> Self {
        EntrySettings {
            ready_listen: "127.0.0.1:8083".to_owned(),
            metrics_listen: Some("127.0.0.1:8084".to_owned()),
            tunnel_listen: Some("127.0.0.1:8085".to_owned()),
            stop_grace_s: default_stop_grace_s(),
            retry_ratio: default_retry_ratio(),
            retry_extra: 50.0,
            retry_window_s: default_retry_window_s(),
            link_mbps: Some(1_000.0),
            connect_queue_ms: 0.0,
            server_heartbeat_ms: default_server_heartbeat_ms(),
            drain_ms: default_in_force_ms(),
            apply_ms: default_in_force_ms(),
            memory_mb: Some(512.0),
            held_answers_mb: Some(64.0),
            held_bodies_mb: Some(96.0),
            horizon_s: default_horizon_s(),
            share_divisor: default_share_divisor(),
            held_ahead: default_held_ahead(),
            ration_s: default_ration_s(),
            protect_horizon_s: 0.0,
            follow_evacuations: true,
            rollout_fraction: Some(0.1),
            place_queue: 64,
            source_ip: Some(IpAddr::V4(Ipv4Addr::LOCALHOST)),
            hall_regions: BTreeMap::from([(Name::from("hall-1"), Name::from("region-1"))]),
        }
    }

    /// Returns the retries that the fleet may send.
    pub fn retry_allowance(&self) -> Allowance {
        Allowance {
            ratio: self.retry_ratio,
            extra: self.retry_extra,
            window_ms: (self.retry_window_s * SECOND_MS) as Millis,
        }
    }

    /// Returns the duration of an outage of the platform from which on entries of live servers may have
    /// lapsed, in milliseconds.
    pub fn entry_lapse_ms(&self) -> Millis {
        self.server_heartbeat_ms * LAPSE_INTERVALS
    }

    /// Returns the time within which any change in the store must be in force, in milliseconds.
    pub fn in_force_ms(&self) -> Millis {
        self.drain_ms.min(self.apply_ms)
    }

    /// Returns the maximum size of all request bodies held, in bytes.
    pub fn max_held_body_bytes(&self) -> u64 {
        let of_memory = self.memory_mb.map(|memory_mb| memory_mb * HELD_BODIES_FRACTION);
        let megabytes = self.held_bodies_mb.or(of_memory).unwrap_or(DEFAULT_HELD_BODIES_MB);
        (megabytes * MEGABYTE) as u64
    }

    /// Returns the maximum size of all answers held for callers, in bytes.
    pub fn max_held_answer_bytes(&self) -> u64 {
        let of_memory = self.memory_mb.map(|memory_mb| memory_mb * HELD_ANSWERS_FRACTION);
        let megabytes = self.held_answers_mb.or(of_memory).unwrap_or(DEFAULT_HELD_ANSWERS_MB);
        (megabytes * MEGABYTE) as u64
    }

    /// Sets the draw policy of all budgets in `table` from these settings; on this platform the
    /// table itself specifies none.
    pub fn apply_draw_policy(&self, table: &mut Table) {
        for row in &mut table.budgets {
            row.horizon_s = self.horizon_s;
            row.share_divisor = self.share_divisor;
            row.held_ahead = self.held_ahead;
        }
    }

    /// Returns all faults of these settings.
    pub fn faults(&self) -> Vec<ConfigFault> {
        let mut found = Vec::new();
        let mut check = |is_wrong: bool, path: &str, problem: &str, fix: &str| {
            if is_wrong {
                found.push(ConfigFault::new(path, problem, fix));
            }
        };
        let zero = "must not be 0";
        check(self.share_divisor == 0, "entry.share_divisor", zero, "use for example 4");
        let negative = "must be a number that is not negative";
        let is_usable = |number: f64| number.is_finite() && number >= 0.0;
        check(!is_usable(self.retry_ratio), "entry.retry_ratio", negative, "use for example 0.2");
        check(!is_usable(self.retry_extra), "entry.retry_extra", negative, "use for example 50");
        for (path, seconds) in [
            ("entry.stop_grace_s", self.stop_grace_s),
            ("entry.retry_window_s", self.retry_window_s),
            ("entry.horizon_s", self.horizon_s),
        ] {
            let is_wrong = !is_usable(seconds) || seconds == 0.0;
            check(is_wrong, path, "must be above 0 seconds", "use for example 10");
        }
        check(
            self.link_mbps.is_some_and(|mbps| !is_usable(mbps) || mbps == 0.0),
            "entry.link_mbps",
            "must be above 0 megabits per second",
            "use the link's bandwidth, for example 1000, or omit it",
        );
        check(
            !is_usable(self.connect_queue_ms),
            "entry.connect_queue_ms",
            negative,
            "use for example 20, or 0 for no limit",
        );
        check(
            self.memory_mb.is_some_and(|memory| !is_usable(memory) || memory == 0.0),
            "entry.memory_mb",
            "must be above 0 megabytes",
            "use the host's memory, for example 512, or omit it",
        );
        check(
            self.held_answers_mb.is_some_and(|held| !is_usable(held)),
            "entry.held_answers_mb",
            negative,
            "use a part of the host's memory, for example 16, or omit it",
        );
        check(
            matches!((self.held_answers_mb, self.memory_mb), (Some(held), Some(memory)) if held > memory),
            "entry.held_answers_mb",
            "is more than the host's memory, entry.memory_mb",
            "use a part of it, or omit it",
        );
        check(
            self.held_bodies_mb.is_some_and(|held| !is_usable(held) || held == 0.0),
            "entry.held_bodies_mb",
            "must be above 0 megabytes",
            "use a part of the host's memory, for example 24, or omit it",
        );
        check(
            matches!((self.held_bodies_mb, self.memory_mb), (Some(held), Some(memory)) if held > memory),
            "entry.held_bodies_mb",
            "is more than the host's memory, entry.memory_mb",
            "use a part of it, or omit it",
        );
        check(
            self.rollout_fraction.is_some_and(|fraction| !(0.0..=1.0).contains(&fraction)),
            "entry.rollout_fraction",
            "must be a fraction of the requests",
            "use a number from 0 to 1, for example 0.1, or omit it",
        );
        check(
            self.server_heartbeat_ms == 0,
            "entry.server_heartbeat_ms",
            "must be above 0 milliseconds",
            "use for example 1200",
        );
        for (path, millis) in [("entry.drain_ms", self.drain_ms), ("entry.apply_ms", self.apply_ms)]
        {
            check(millis == 0, path, "must be above 0 milliseconds", "use for example 2000");
        }
        check(
            self.place_queue > MAX_PLACE_QUEUE,
            "entry.place_queue",
            "must be at most 1000 requests",
            "use for example 64, or 0 to let none wait",
        );
        check(!is_usable(self.ration_s), "entry.ration_s", negative, "use for example 0.9");
        let horizon = self.protect_horizon_s;
        check(!is_usable(horizon), "entry.protect_horizon_s", negative, "use for example 30");
        check(
            !(0.0..=1.0).contains(&self.held_ahead),
            "entry.held_ahead",
            "must be a fraction of a share",
            "use a number from 0 to 1",
        );
        found
    }
}
