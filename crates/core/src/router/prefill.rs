//! Effect of reading prompts (prefill) on the streams of the same server.
//!
//! An engine reads a prompt in chunks, between the tokens of the streams that it
//! runs; during each chunk all streams pause. How long depends on the chunk size,
//! which engines do not report, and on the engine's speed, which differs between
//! servers. Both are estimated from streams that have ended: the usual time between
//! two events gives the engine's speed, and the longest pause, as a multiple of
//! that time, gives the effect of a prompt. A pool's long prompts skip those of its
//! slower servers that would exceed the pause that callers accept.

use serde::{Deserialize, Serialize};

use crate::router::view::ServerView;
use crate::router::wait::ReadingTime;
use crate::{Millis, Name, Tokens};

/// Weight of a new sample in the moving averages of prompt length and event interval:
/// about ten samples count, which a daemon gets from each server in ten seconds.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Weights of a new sample of the relative pause when it is longer or shorter than the
/// estimate. Together they keep the estimate near the longest tenth of the pauses.
const LONGER_WEIGHT: f64 = 0.3;
const SHORTER_WEIGHT: f64 = 0.005;

/// Multiple of the pool's mean event interval above which a server counts as slower.
/// The speeds of users' servers are equal or differ by a factor of 1.3; different numbers of
/// concurrent streams account for about 0.1.
const SLOW_SERVER_FACTOR: f64 = 1.08;

/// Unread tokens that a server may have above its share, in mean prompts. With 4
/// instead of 1.5, a tenth more of the long prompts were late, but 6 to 10 % less of the
/// shared prefixes was read again (days with faults of two deployments, three seeds).
const UNREAD_SLACK_PROMPTS: f64 = 1.5;

/// Timing of the events of a stream that has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamPace {
    /// Usual time between two events, in milliseconds.
    pub event_ms: f64,
    /// Longest time between two events, in milliseconds.
    pub longest_pause_ms: f64,
}

/// A server's usual time between two events of a stream, as exchanged between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerPace {
    /// The server.
    pub server: Name,
    /// When this instance of it was started, as
    /// [`crate::server_list::ListedServer::started_ms`].
    pub started_ms: Millis,
    /// Usual time between two events, in microseconds.
    pub event_us: u32,
}

impl ServerPace {
    /// Returns the pace of a server, or `None` when it is unknown.
    pub(super) fn of(view: &ServerView) -> Option<Self> {
        let event_us = (view.event_ms? * 1000.0) as u32;
        let (server, started_ms) = (view.name.clone(), view.started_ms);
        Some(ServerPace { server, started_ms, event_us })
    }

    /// Returns the usual time between two events, in milliseconds.
    pub(super) fn event_ms(&self) -> f64 {
        f64::from(self.event_us) / 1000.0
    }
}

/// Statistics of the prompts and streams of one pool.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct PrefillStats {
    /// Mean length of a prompt, in tokens.
    mean_prompt: f64,
    /// Longest pause of a stream, as a multiple of the usual time between two events.
    stretch: f64,
    /// Time that servers take to read a prompt.
    pub(super) reading: ReadingTime,
}

/// Mean time between two events over the servers of a pool.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeanPace {
    sum_ms: f64,
    servers: u32,
}

impl MeanPace {
    /// Updates the mean when a server's time between two events changes.
    pub(super) fn change(&mut self, before: Option<f64>, after: Option<f64>) {
        self.sum_ms += after.unwrap_or(0.0) - before.unwrap_or(0.0);
        self.servers = self.servers + u32::from(after.is_some()) - u32::from(before.is_some());
    }

    /// Returns whether the server's event interval is above the mean by [`SLOW_SERVER_FACTOR`].
    pub(super) fn is_slower(&self, view: &ServerView) -> bool {
        let mean_ms = self.sum_ms / f64::from(self.servers.max(1));
        view.event_ms.is_some_and(|event_ms| event_ms > mean_ms * SLOW_SERVER_FACTOR)
    }
}

impl PrefillStats {
    /// Records a prompt that was sent to any server of the pool.
    pub(super) fn record_prompt(&mut self, prompt: Tokens) {
        self.mean_prompt = moving_average(self.mean_prompt, prompt as f64);
    }

    /// Records a stream from the server `view` that has ended.
    pub(super) fn record_stream(&mut self, view: &ServerView, pace: StreamPace, mean: &MeanPace) {
        // Slower servers get no long prompts, so their streams do not show the effect.
        if mean.is_slower(view) {
            return;
        }
        let stretch = pace.longest_pause_ms / pace.event_ms;
        let is_longer = stretch > self.stretch;
        let weight = if is_longer { LONGER_WEIGHT } else { SHORTER_WEIGHT };
        self.stretch += (stretch - self.stretch) * weight;
    }

    /// Returns whether a prompt of this length is longer than the pool's mean.
    pub(super) fn is_long(&self, prompt: Tokens) -> bool {
        prompt as f64 > self.mean_prompt
    }

    /// Returns whether a long prompt would make this server's streams pause for longer than
    /// `goal`, in milliseconds, and the server is slower than the pool's mean.
    pub(super) fn exceeds_pause_goal(
        &self,
        view: &ServerView,
        goal: Millis,
        mean: &MeanPace,
    ) -> bool {
        let pause = view.event_ms.unwrap_or(0.0) * self.stretch;
        pause > goal as f64 && mean.is_slower(view)
    }

    /// Returns the unread tokens that a server may have above its share.
    pub(super) fn unread_slack(&self) -> f64 {
        self.mean_prompt * UNREAD_SLACK_PROMPTS
    }
}

/// Returns the moving average with one more sample. A `before` of 0 means no sample yet.
pub(super) fn moving_average(before: f64, sample: f64) -> f64 {
    if before > 0.0 { before + (sample - before) * SAMPLE_WEIGHT } else { sample }
}
