//! What a request meets on its way to a server: it waits while it is found out whether it has
//! crashed servers, and one with the same crashes as another runs once more, sent by one host.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::crashes::{SETTLE_MS, Verdict};
use bankcove_core::{Fingerprint, Millis};
use parking_lot::Mutex;

use crate::crashes::owns;
use crate::daemon::Daemon;

/// Pause between two looks whether it is known by now.
const LOOK: Duration = Duration::from_millis(20);

/// Longest wait, in milliseconds: a crash is found out within some 130 ms as a rule, and decided on
/// after [`SETTLE_MS`]. Who is refused instead comes back after a second.
const MOST_WAIT_MS: Millis = 2 * SETTLE_MS;

/// Requests that run apart here.
#[derive(Debug, Default)]
pub struct Apart {
    running: Mutex<HashSet<Fingerprint>>,
}

/// The one run of a request that may run once more; dropping it ends the run.
pub struct RunApart {
    daemon: Arc<Daemon>,
    request: Fingerprint,
}

impl Drop for RunApart {
    fn drop(&mut self) {
        self.daemon.crashes.apart.running.lock().remove(&self.request);
    }
}

/// What follows for the request, once it is known or `deadline` has come.
pub async fn settled(
    daemon: &Daemon,
    deadline: Millis,
    request: impl Fn() -> Fingerprint,
) -> Verdict {
    let until = deadline.min(daemon.clock.now() + MOST_WAIT_MS);
    loop {
        let verdict = daemon.crashes.verdict(&request);
        if verdict != Verdict::Held || daemon.clock.now() >= until {
            return verdict;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Begins the one run of a request that may run once more; none at another host than its owner,
/// and while a copy runs.
pub fn run_apart(daemon: &Arc<Daemon>, request: Fingerprint) -> Option<RunApart> {
    if !owns(daemon, request) {
        return None;
    }
    let is_first = daemon.crashes.apart.running.lock().insert(request);
    is_first.then(|| RunApart { daemon: Arc::clone(daemon), request })
}
