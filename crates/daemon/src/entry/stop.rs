//! Graceful shutdown of the entry proxy: withdraws its readiness, later stops accepting requests,
//! and lets open requests end.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use tokio::time::sleep;

use crate::requests::RequestContext;

/// Time for which all requests are still accepted after readiness was withdrawn: the platform asks
/// once a second and acts on the second negative answer.
const LEAVE_NOTICE: Duration = Duration::from_millis(2_500);

/// Part of the grace time that is reserved for giving tokens back.
const TOKEN_RETURN_TIME: Duration = Duration::from_millis(1_000);

/// Part of the grace time that is reserved for requests that take longer than expected.
const OVERRUN_TIME: Duration = Duration::from_millis(2_000);

/// Interval of the checks whether all requests have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Leaves the platform's load balancer and waits for requests in flight; returns whether all of
/// them ended before `grace` minus `TOKEN_RETURN_TIME`. Free tokens of the budgets are given back
/// in the meantime.
pub async fn drain(requests: &Arc<RequestContext>, grace: Duration) -> bool {
    let clock = &requests.base.clock;
    let started = clock.now();
    let time_after = |after: Duration| started + after.as_millis() as Millis;
    let deadline = time_after(grace.saturating_sub(TOKEN_RETURN_TIME));
    requests.leaving.cancel();
    slog::info!(requests.base.log, "leaving"; "in_flight" => requests.in_flight.len());
    clock.sleep_until(time_after(LEAVE_NOTICE.min(grace / 3))).await;
    // When most daemons of a hall leave, the platform continues to use all of them. Requests that
    // will certainly end in time are therefore accepted while others are open.
    let last_end = time_after(grace.saturating_sub(OVERRUN_TIME));
    *requests.latest_end.lock() = Some(last_end);
    while !requests.in_flight.is_empty() && clock.now() < last_end {
        sleep(POLL_INTERVAL).await;
    }
    requests.stopping.cancel();
    requests.in_flight.close();
    // Requests that are still open then are logged, and end when the platform kills the process.
    let ended = clock.timeout_at(deadline, requests.in_flight.wait()).await.is_some();
    slog::info!(requests.base.log, "drained";
        "all_ended" => ended, "open" => requests.in_flight.len(),
        "after_ms" => clock.now() - started);
    ended
}
