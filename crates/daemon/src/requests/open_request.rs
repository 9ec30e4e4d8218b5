//! Accounting of requests that are open at a backend server, whichever interface received them.

use std::any::Any;
use std::sync::Arc;

use bankcove_core::router::{AnswerTimes, Choice};
use bankcove_core::{Millis, Name, Tokens};

use crate::crashes::isolation::IsolatedRun;
use crate::hints::slots::HeldSlot;
use crate::membership::unread_reports::MIN_REPORTED_TOKENS;
use crate::requests::RequestContext;
use crate::rollouts::{TrialOutcome, VersionTrial};

/// What a request has shown of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerVerdict {
    /// Nothing yet.
    Unknown,
    /// It answers.
    Works,
    /// It failed to serve the request.
    Failed,
}

/// A request that is open at a server. Dropping it records the request as ended.
pub struct OpenRequest {
    requests: Arc<RequestContext>,
    server: Name,
    started_ms: Millis,
    sent_at: Millis,
    /// Time from the send to the beginning of the response.
    first_ms: Option<Millis>,
    /// What its end tells of the server.
    verdict: ServerVerdict,
    unread_prompt: Tokens,
    /// Registration of its only further run, if it has the same crashes as another request
    /// ([`bankcove_core::crashes::Verdict::Isolated`]).
    pub isolated_run: Option<IsolatedRun>,
    /// Version that it tries, during a rollout.
    trial: Option<Box<VersionTrial>>,
    /// How the attempt ended, as far as it tells of the version.
    outcome: Option<TrialOutcome>,
    /// Slot that it holds at the server.
    slot: Option<HeldSlot>,
    /// Dropped after the request is recorded as ended.
    kept: Option<Box<dyn Any + Send>>,
}

impl OpenRequest {
    /// Records a request as open at the chosen server. `prompt` is the length of its prompt in
    /// tokens, 0 without one.
    pub fn new(requests: &Arc<RequestContext>, choice: &Choice, prompt: Tokens) -> Self {
        let sent_at = requests.base.clock.now();
        {
            let mut router = requests.router.lock();
            router.record_sent(&choice.server, choice.started_ms, prompt);
            router.record_wait(sent_at, &choice.server, choice.started_ms, prompt);
        }
        if prompt >= MIN_REPORTED_TOKENS {
            requests.unread_changed.notify_one();
        }
        OpenRequest {
            requests: Arc::clone(requests),
            server: choice.server.clone(),
            started_ms: choice.started_ms,
            first_ms: None,
            verdict: ServerVerdict::Works,
            sent_at,
            unread_prompt: prompt,
            isolated_run: None,
            trial: None,
            outcome: None,
            slot: None,
            kept: None,
        }
    }

    /// Records for the rollout of this service, if there is one, how the attempt ends.
    #[must_use]
    pub fn with_trial(mut self, service: &Name, route: &Name, choice: &Choice) -> Self {
        let trial = self.requests.rollouts.trial(service, route, choice.version.as_ref());
        self.trial = trial.map(Box::new);
        self
    }

    /// Keeps the slot that the request holds until it has ended.
    #[must_use]
    pub fn with_slot(mut self, slot: Option<HeldSlot>) -> Self {
        self.slot = slot;
        self
    }

    /// Records that the request waits for an answer: if its caller leaves before one begins, nothing
    /// is known of the server.
    pub fn await_answer(&mut self) {
        self.verdict = ServerVerdict::Unknown;
    }

    /// Records that the server has rejected the request because it is full.
    pub fn record_rejection(&mut self) {
        self.record_working();
        if let Some(slot) = &mut self.slot {
            slot.record_rejection();
        }
    }

    /// Keeps a value until the request has ended, and drops it after that is recorded.
    pub fn keep_until_end(&mut self, value: Box<dyn Any + Send>) {
        self.kept = Some(value);
    }

    /// Records that the whole answer was received; `millis` is the time by which versions are
    /// compared, if it was measured.
    pub fn record_answer(&mut self, millis: Option<f64>) {
        self.outcome = Some(TrialOutcome::Answered(millis));
        self.record_working();
    }

    fn record_working(&mut self) {
        if self.verdict == ServerVerdict::Unknown {
            self.verdict = ServerVerdict::Works;
        }
    }

    /// Records that the server has read the prompt, because its response has begun.
    pub fn record_prompt_read(&mut self) {
        self.first_ms.get_or_insert(self.requests.base.clock.now().saturating_sub(self.sent_at));
        self.record_working();
        self.end_wait(true);
    }

    /// Records that the server has read the prompt, or that the request was abandoned.
    fn end_wait(&mut self, is_answered: bool) {
        let prompt = std::mem::take(&mut self.unread_prompt);
        if prompt > 0 {
            let now = self.requests.base.clock.now();
            let mut router = self.requests.router.lock();
            router.record_prompt_read(&self.server, self.started_ms, prompt);
            let (server, started_ms) = (&self.server, self.started_ms);
            router.record_wait_ended(now, server, started_ms, self.sent_at, is_answered);
        }
        if prompt >= MIN_REPORTED_TOKENS {
            self.requests.unread_changed.notify_one();
        }
    }

    /// Records that the server failed to serve the request.
    pub fn record_failure(&mut self) {
        self.verdict = ServerVerdict::Failed;
        self.outcome = Some(TrialOutcome::Failed);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.end_wait(false);
        if let (Some(trial), Some(outcome)) = (&self.trial, self.outcome) {
            self.requests.rollouts.record(trial, outcome);
        }
        let now = self.requests.base.clock.now();
        let answer_ms = now.saturating_sub(self.sent_at);
        let is_answered = matches!(self.outcome, Some(TrialOutcome::Answered(_)));
        let mut router = self.requests.router.lock();
        let (server, started_ms) = (&self.server, self.started_ms);
        match self.verdict {
            ServerVerdict::Unknown => router.record_abandoned(server, started_ms),
            ServerVerdict::Works => router.record_ended(now, server, started_ms, true),
            ServerVerdict::Failed => router.record_ended(now, server, started_ms, false),
        }
        if is_answered {
            let times = AnswerTimes { first_ms: self.first_ms.unwrap_or(answer_ms), answer_ms };
            router.record_answer_times(&self.server, self.started_ms, times);
        }
    }
}
