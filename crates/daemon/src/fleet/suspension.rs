//! Detects that the host was suspended, so that waiting tasks check their deadlines again.

use std::time::Duration;

use crate::fleet::Fleet;

/// Interval of the checks: once the host resumes, a caller's deadline is missed by at most this
/// time.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest suspension that is reported: smaller differences between the two clocks come from
/// reading them one after the other.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Checks for suspensions until the daemon ends, and wakes waiting tasks after each.
pub async fn watch(fleet: Fleet) {
    let mut known_suspended = fleet.base.clock.suspended_time();
    loop {
        // Without waiting tasks there is nothing to wake, and an idle host need not poll.
        tokio::select! {
            () = fleet.base.clock.wait_pending() => {}
            () = fleet.base.shutdown.cancelled() => return,
        }
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = fleet.base.shutdown.cancelled() => return,
        }
        let suspended = fleet.base.clock.suspended_time();
        let newly_suspended = suspended.saturating_sub(known_suspended);
        if newly_suspended >= MIN_SUSPENSION {
            known_suspended = suspended;
            fleet.base.metrics.count("host.suspended");
            slog::warn!(fleet.base.log, "host was suspended"; "for_ms" => newly_suspended.as_millis() as u64,
                "view_age_ms" => fleet.connectivity.view_age(fleet.base.clock.now()));
            fleet.base.clock.notify_resumed();
        }
    }
}
