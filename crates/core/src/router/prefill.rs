//! What the reading of prompts does to the streams beside it.
//!
//! An engine reads a prompt in pieces, between the tokens of the streams that it
//! runs: while it reads, each stream pauses. How long depends on the size of the
//! pieces, which nobody tells, and on the speed of the engine, which differs from
//! one to the next. Both are taken from streams that have ended: the usual time
//! between two events tells the engine's speed, and the longest pause, in such
//! times, what a prompt does to it. A pool's long prompts pass by the slower of its
//! servers that would exceed the pause that callers accept.

use serde::{Deserialize, Serialize};

use crate::router::view::ServerView;
use crate::{Millis, Name, Tokens};

/// Part of a new sample in the mean prompt and in a server's time between events:
/// some ten samples count, which a daemon sees of each server in ten seconds.
const SAMPLE_WEIGHT: f64 = 0.1;

/// What a prompt does to streams is taken from those that pause for longest: one
/// that pauses for longer than was known counts by this part, one that does not
/// takes this part off. Together they stand near the longest tenth.
const LONGER_WEIGHT: f64 = 0.3;
const SHORTER_WEIGHT: f64 = 0.005;

/// A server is one of the slower when its time between events is this many times
/// the pool's mean: users' servers are equal, or differ by 1.3; streams that run at
/// once make up for some 0.1.
const SLOW_SERVER_FACTOR: f64 = 1.08;

/// Unread prompts that a server may have beyond its part, in mean prompts. With 4 in
/// place of 1.5 a tenth more of the long prompts came late, and 6 to 10 % less of shared
/// parts was read again (days with faults of two deployments, three seeds).
const UNREAD_SLACK_PROMPTS: f64 = 1.5;

/// How the events of a stream came that has ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StreamPace {
    /// Usual time between two events, in milliseconds.
    pub event_ms: f64,
    /// Longest time between two events, in milliseconds.
    pub longest_pause_ms: f64,
}

/// A server's usual time between two events of a stream, as daemons tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerPace {
    /// The server.
    pub server: Name,
    /// The start of it, as [`crate::server_list::ListedServer::started_ms`].
    pub started_ms: Millis,
    /// The time, in microseconds.
    pub event_us: u32,
}

impl ServerPace {
    /// What is known of a server's pace, if anything is.
    pub(super) fn of(view: &ServerView) -> Option<Self> {
        let event_us = (view.event_ms? * 1000.0) as u32;
        let (server, started_ms) = (view.name.clone(), view.started_ms);
        Some(ServerPace { server, started_ms, event_us })
    }

    /// The time, in milliseconds.
    pub(super) fn event_ms(&self) -> f64 {
        f64::from(self.event_us) / 1000.0
    }
}

/// What the streams and prompts of one pool have shown.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct PrefillStats {
    /// Mean prompt, in tokens.
    mean_prompt: f64,
    /// Longest pause of a stream, in times between two events.
    stretch: f64,
}

/// The mean time between two events over the servers of a pool.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeanPace {
    sum_ms: f64,
    servers: u32,
}

impl MeanPace {
    /// Takes in that a server's time between two events has changed.
    pub(super) fn change(&mut self, before: Option<f64>, after: Option<f64>) {
        self.sum_ms += after.unwrap_or(0.0) - before.unwrap_or(0.0);
        self.servers = self.servers + u32::from(after.is_some()) - u32::from(before.is_some());
    }

    fn is_slower(&self, view: &ServerView) -> bool {
        let mean_ms = self.sum_ms / f64::from(self.servers.max(1));
        view.event_ms.is_some_and(|event_ms| event_ms > mean_ms * SLOW_SERVER_FACTOR)
    }
}

impl PrefillStats {
    /// Takes in a prompt that was sent to some server.
    pub(super) fn record_prompt(&mut self, prompt: Tokens) {
        self.mean_prompt = mean(self.mean_prompt, prompt as f64);
    }

    /// Takes in a stream that has ended at `view`.
    pub(super) fn record_stream(&mut self, view: &ServerView, pace: StreamPace, mean: &MeanPace) {
        // Where no long prompts go there is nothing to be learned of them.
        if mean.is_slower(view) {
            return;
        }
        let stretch = pace.longest_pause_ms / pace.event_ms;
        let is_longer = stretch > self.stretch;
        let weight = if is_longer { LONGER_WEIGHT } else { SHORTER_WEIGHT };
        self.stretch += (stretch - self.stretch) * weight;
    }

    /// Whether a prompt of this length is longer than the pool's mean.
    pub(super) fn is_long(&self, prompt: Tokens) -> bool {
        prompt as f64 > self.mean_prompt
    }

    /// Whether reading a long prompt at this server would make its streams pause
    /// for longer than `goal`, and for longer than at other servers.
    pub(super) fn exceeds_pause_goal(
        &self,
        view: &ServerView,
        goal: Millis,
        mean: &MeanPace,
    ) -> bool {
        let pause = view.event_ms.unwrap_or(0.0) * self.stretch;
        pause > goal as f64 && mean.is_slower(view)
    }

    /// Unread tokens that a server may have beyond its part.
    pub(super) fn unread_slack(&self) -> f64 {
        self.mean_prompt * UNREAD_SLACK_PROMPTS
    }
}

/// The running mean with one more sample; 0 when there is none yet.
pub(super) fn mean(before: f64, sample: f64) -> f64 {
    if before > 0.0 { before + (sample - before) * SAMPLE_WEIGHT } else { sample }
}
