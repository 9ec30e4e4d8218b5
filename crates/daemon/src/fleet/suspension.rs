//! Notices that the host was suspended, so that what waits looks at the clock anew.

use std::time::Duration;

use crate::fleet::Fleet;

/// Pause between two looks: a caller's deadline is missed by this at most after a wake.
const LOOK: Duration = Duration::from_millis(100);

/// Shorter differences of the two clocks are those of reading them one after the other.
const LEAST: Duration = Duration::from_millis(20);

/// Looks until the daemon ends.
pub async fn watch(fleet: Fleet) {
    let mut known = fleet.base.clock.suspended_time();
    loop {
        tokio::select! {
            () = tokio::time::sleep(LOOK) => {}
            () = fleet.base.shutdown.cancelled() => return,
        }
        let suspended = fleet.base.clock.suspended_time();
        let since = suspended.saturating_sub(known);
        if since >= LEAST {
            known = suspended;
            fleet.base.metrics.count("host.suspended");
            slog::warn!(fleet.base.log, "host was suspended"; "for_ms" => since.as_millis() as u64,
                "view_age_ms" => fleet.contact.view_age(fleet.base.clock.now()));
            fleet.base.clock.notify_resumed();
        }
    }
}
