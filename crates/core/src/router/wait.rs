//! Expected time to the first event of a request at a server.
//!
//! A server reads prompts one after the other, so a request waits for the unread tokens before it.
//! The time that a pool usually takes for a token is estimated from this daemon's own requests.
//! A server whose oldest unanswered request has waited for much longer than expected counts as
//! slower by that factor, until it answers: a passing slowness, or requests that this daemon knows
//! nothing of, delay it.

use serde::Serialize;

use crate::router::Router;
use crate::router::pool::Pool;
use crate::router::view::ServerView;
use crate::{Millis, Name, Tokens};

/// Multiple of the expected time from which a request counts as late. With 3 instead of 8, requests
/// that wait behind a long prompt count as well: the replay's prefix hits with equal servers
/// (tests/uneven_servers) fell from 79.3 to 78.5 %.
const LATE_FACTOR: f64 = 8.0;

/// Shortest expected time, in milliseconds: the time of very short prompts depends on the network.
const MIN_EXPECTED_MS: f64 = 25.0;

/// Highest factor by which a server counts as slower.
const MAX_SLOWNESS: f64 = 50.0;

/// Part of the past that stays in the estimate of a pool's reading time with each new sample.
const KEPT_PART: f64 = 0.98;

/// Requests after which the estimate is used.
const MIN_SAMPLES: u32 = 20;

/// Time that the servers of a pool take for a token of a prompt, at speed 1.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct ReadingTime {
    ms: f64,
    tokens: f64,
    samples: u32,
}

impl ReadingTime {
    /// Adds the time to the first event of a request that had this many unread tokens before its
    /// answer, including its own prompt.
    fn record(&mut self, ms: f64, tokens: f64) {
        self.ms = self.ms * KEPT_PART + ms;
        self.tokens = self.tokens * KEPT_PART + tokens;
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the usual time for this many tokens, in milliseconds; `None` while it is unknown.
    fn expected_ms(&self, tokens: f64) -> Option<f64> {
        let is_known = self.samples >= MIN_SAMPLES && self.tokens > 0.0;
        is_known.then(|| (self.ms / self.tokens * tokens).max(MIN_EXPECTED_MS))
    }
}

/// A request of this daemon that a server has not answered yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Unanswered {
    sent_at: Millis,
    /// Unread tokens at the server, including the request's own prompt.
    tokens: f64,
    /// Expected time to the first event, in milliseconds.
    expected_ms: Option<f64>,
}

impl Router {
    /// Records that a request with a prompt of this length waits for its first event from this
    /// instance of a server since `now`. Called after [`Router::record_sent`].
    pub fn record_wait(&mut self, now: Millis, name: &Name, started_ms: Millis, prompt: Tokens) {
        let Some(index) = self.index_of_instance(name, started_ms).filter(|_| prompt > 0) else {
            return;
        };
        let view = &self.servers[index];
        let tokens = (view.unread + view.unread_elsewhere).max(prompt) as f64;
        let expected_ms = self.pool_of(index).and_then(|pool| {
            let reading = self.prefill.get(&pool.name)?.reading;
            reading.expected_ms(tokens / pool.speed(view))
        });
        self.servers[index].unanswered.push(Unanswered { sent_at: now, tokens, expected_ms });
    }

    /// Records that the request that was sent at `sent_at` waits no longer: it was answered, or
    /// abandoned.
    pub fn record_wait_ended(
        &mut self,
        now: Millis,
        name: &Name,
        started_ms: Millis,
        sent_at: Millis,
        is_answered: bool,
    ) {
        let Some(index) = self.index_of_instance(name, started_ms) else { return };
        let unanswered = &mut self.servers[index].unanswered;
        let Some(at) = unanswered.iter().position(|request| request.sent_at == sent_at) else {
            return;
        };
        let request = unanswered.remove(at);
        if !is_answered {
            return;
        }
        let took_ms = now.saturating_sub(sent_at) as f64;
        let Some(pool) = self.pool_of(index) else { return };
        let (name, speed) = (pool.name.clone(), pool.speed(&self.servers[index]));
        let reading = &mut self.prefill.entry(name).or_default().reading;
        reading.record(took_ms * speed, request.tokens);
    }

    /// Returns the first pool of a server, whose other servers it is compared with.
    pub(super) fn pool_of(&self, index: usize) -> Option<&Pool> {
        let (pool, _) = self.memberships[index].first()?;
        self.pools.get(*pool as usize)
    }
}

impl ServerView {
    /// Returns the time for which its oldest unanswered request has waited, in milliseconds.
    pub(super) fn oldest_wait_ms(&self, now: Millis) -> Millis {
        self.unanswered.first().map_or(0, |request| now.saturating_sub(request.sent_at))
    }

    /// Returns the factor, at least 1, by which the server takes longer than expected at present.
    pub(super) fn slowness(&self, now: Millis) -> f64 {
        let oldest = self.unanswered.first();
        let factor = oldest.and_then(|request| {
            Some(now.saturating_sub(request.sent_at) as f64 / request.expected_ms?)
        });
        factor.filter(|factor| *factor > LATE_FACTOR).map_or(1.0, |factor| factor.min(MAX_SLOWNESS))
    }
}
