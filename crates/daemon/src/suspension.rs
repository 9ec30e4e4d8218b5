//! Notices that the host was suspended, so that what waits looks at the clock anew.

use std::sync::Arc;
use std::time::Duration;

use crate::daemon::Daemon;

/// Pause between two looks: a caller's deadline is missed by this at most after a wake.
const LOOK: Duration = Duration::from_millis(100);

/// Shorter differences of the two clocks are those of reading them one after the other.
const LEAST: Duration = Duration::from_millis(20);

/// Looks until the daemon ends.
pub async fn watch(daemon: Arc<Daemon>) {
    let mut known = daemon.clock.suspended();
    loop {
        tokio::select! {
            () = tokio::time::sleep(LOOK) => {}
            () = daemon.ended.cancelled() => return,
        }
        let suspended = daemon.clock.suspended();
        let since = suspended.saturating_sub(known);
        if since >= LEAST {
            known = suspended;
            daemon.metrics.count("host.suspended");
            slog::warn!(daemon.log, "host was suspended"; "for_ms" => since.as_millis() as u64,
                "view_age_ms" => daemon.contact.view_age(daemon.clock.now()));
            daemon.clock.wake();
        }
    }
}
