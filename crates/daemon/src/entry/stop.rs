//! A planned stop of the entry side: no new connections, nothing cut.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use tokio::time::sleep;

use crate::requests::Requests;

/// How long requests are still taken after the platform was told that this
/// daemon leaves: it asks each second and believes the second "no".
const NOTICE: Duration = Duration::from_millis(2_500);

/// Part of the grace time that is kept for giving tokens back.
const RESERVE: Duration = Duration::from_millis(1_000);

/// Part of the grace time that is kept for requests that take longer than
/// expected.
const SLACK: Duration = Duration::from_millis(2_000);

/// Longest pause between two looks whether all requests have ended.
const POLL: Duration = Duration::from_millis(50);

/// Leaves the platform's balancer and lets requests in flight end; whether all
/// have ended before the grace time is nearly over. What is free of the budgets
/// goes back meanwhile.
pub async fn drain(requests: &Arc<Requests>, grace: Duration) -> bool {
    let clock = &requests.base.clock;
    let started = clock.now();
    let moment = |after: Duration| started + after.as_millis() as Millis;
    let last = moment(grace.saturating_sub(RESERVE));
    requests.leaving.cancel();
    slog::info!(requests.base.log, "leaving"; "in_flight" => requests.work.len());
    clock.sleep_until(moment(NOTICE.min(grace / 3))).await;
    // When most daemons of a hall leave, the platform goes on using all of them:
    // what is sure to end in time is taken for as long as others are open.
    let last_end = moment(grace.saturating_sub(SLACK));
    *requests.last_end.lock() = Some(last_end);
    while !requests.work.is_empty() && clock.now() < last_end {
        sleep(POLL).await;
    }
    requests.stopping.cancel();
    requests.work.close();
    // What is still open then is cut by the platform's kill, and logged here.
    let ended = clock.timeout_at(last, requests.work.wait()).await.is_some();
    slog::info!(requests.base.log, "drained";
        "all_ended" => ended, "open" => requests.work.len(),
        "after_ms" => clock.now() - started);
    ended
}
