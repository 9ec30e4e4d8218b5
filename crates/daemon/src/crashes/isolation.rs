//! Restrictions on a request before each attempt: it waits until its verdict is known, and a
//! request with the same crashes as another one runs once more in isolation, sent by a single host.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::crashes::{DECISION_DELAY_MS, Verdict};
use bankcove_core::{Fingerprint, Millis};
use parking_lot::Mutex;

use crate::crashes::{Crashes, Identity};

/// Pause between two checks for a verdict.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum wait for a verdict, in milliseconds. A crash is usually verified within some 130 ms and
/// decided on after [`DECISION_DELAY_MS`]. A caller that is refused instead retries after a second.
const MAX_WAIT_MS: Millis = 2 * DECISION_DELAY_MS;

/// Isolated requests that this daemon is running.
#[derive(Debug, Default)]
pub struct IsolatedRuns {
    running: Mutex<HashSet<Fingerprint>>,
}

/// The single run of an isolated request; dropping it ends the run.
pub struct IsolatedRun {
    crashes: Arc<Crashes>,
    request: Fingerprint,
}

impl Drop for IsolatedRun {
    fn drop(&mut self) {
        self.crashes.isolated_runs.running.lock().remove(&self.request);
    }
}

impl Crashes {
    /// Returns the verdict for the request as soon as it is known; [`Verdict::Undecided`] if it is
    /// still unknown at `deadline` or after `MAX_WAIT_MS`.
    pub async fn await_verdict<'a>(
        &self,
        deadline: Millis,
        request: impl Fn() -> Identity<'a>,
    ) -> Verdict {
        let until = deadline.min(self.fleet.base.clock.now() + MAX_WAIT_MS);
        loop {
            let verdict = self.verdict(&request);
            if verdict != Verdict::Undecided || self.fleet.base.clock.now() >= until {
                return verdict;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Begins the single run of an isolated request. Returns `None` if this daemon is not the owner
    /// of the request, or is already running it.
    pub fn begin_isolated_run(self: &Arc<Self>, request: Fingerprint) -> Option<IsolatedRun> {
        if !self.owns(request) {
            return None;
        }
        let is_first = self.isolated_runs.running.lock().insert(request);
        is_first.then(|| IsolatedRun { crashes: Arc::clone(self), request })
    }
}
