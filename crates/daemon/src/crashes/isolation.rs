//! What a request meets on its way to a server: it waits while it is found out whether it has
//! crashed servers, and one with the same crashes as another runs once more, sent by one host.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::crashes::{DECISION_DELAY_MS, Verdict};
use bankcove_core::{Fingerprint, Millis};
use parking_lot::Mutex;

use crate::crashes::Crashes;

/// Pause between two looks whether it is known by now.
const LOOK: Duration = Duration::from_millis(20);

/// Longest wait, in milliseconds: a crash is found out within some 130 ms as a rule, and decided on
/// after [`DECISION_DELAY_MS`]. Who is refused instead comes back after a second.
const MOST_WAIT_MS: Millis = 2 * DECISION_DELAY_MS;

/// Requests that run apart here.
#[derive(Debug, Default)]
pub struct IsolatedRuns {
    running: Mutex<HashSet<Fingerprint>>,
}

/// The one run of a request that may run once more; dropping it ends the run.
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
    /// What follows for the request, once it is known or `deadline` has come.
    pub async fn await_verdict(
        &self,
        deadline: Millis,
        request: impl Fn() -> Fingerprint,
    ) -> Verdict {
        let until = deadline.min(self.fleet.base.clock.now() + MOST_WAIT_MS);
        loop {
            let verdict = self.verdict(&request);
            if verdict != Verdict::Undecided || self.fleet.base.clock.now() >= until {
                return verdict;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Begins the one run of a request that may run once more; none at another host than its owner,
    /// and while a copy runs.
    pub fn begin_isolated_run(self: &Arc<Self>, request: Fingerprint) -> Option<IsolatedRun> {
        if !self.owns(request) {
            return None;
        }
        let is_first = self.isolated_runs.running.lock().insert(request);
        is_first.then(|| IsolatedRun { crashes: Arc::clone(self), request })
    }
}
