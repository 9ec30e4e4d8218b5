//! A request that is open at a backend server, on either side for callers.

use std::sync::Arc;

use bankcove_core::router::Choice;
use bankcove_core::{Millis, Name, Tokens};

use crate::crashes::isolation::IsolatedRun;
use crate::membership::unread_reports::MIN_REPORTED_TOKENS;
use crate::requests::Requests;

/// A request that is open at a server; dropping it counts it as ended.
pub struct OpenRequest {
    requests: Arc<Requests>,
    server: Name,
    started_ms: Millis,
    well: bool,
    unread: Tokens,
    /// Its one further run, when it has the same crashes as another request.
    pub apart: Option<IsolatedRun>,
}

impl OpenRequest {
    /// Counts a request with a prompt of this length (0 without one) as open at
    /// the server of this choice.
    pub fn new(requests: &Arc<Requests>, choice: &Choice, prompt: Tokens) -> Self {
        requests.router.lock().record_sent(&choice.server, choice.started_ms, prompt);
        if prompt >= MIN_REPORTED_TOKENS {
            requests.unread_changed.notify_one();
        }
        OpenRequest {
            requests: Arc::clone(requests),
            server: choice.server.clone(),
            started_ms: choice.started_ms,
            well: true,
            unread: prompt,
            apart: None,
        }
    }

    /// The server has read the prompt: its answer has begun.
    pub fn begun(&mut self) {
        let prompt = std::mem::take(&mut self.unread);
        if prompt > 0 {
            self.requests.router.lock().record_prompt_read(&self.server, self.started_ms, prompt);
        }
        if prompt >= MIN_REPORTED_TOKENS {
            self.requests.unread_changed.notify_one();
        }
    }

    /// The server has failed this request.
    pub fn failed(&mut self) {
        self.well = false;
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.begun();
        let now = self.requests.base.clock.now();
        self.requests.router.lock().record_ended(now, &self.server, self.started_ms, self.well);
    }
}
