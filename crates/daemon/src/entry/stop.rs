//! A planned stop of the entry side: no new connections, nothing cut.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use crate::daemon::Daemon;

/// How long requests are still taken after the platform was told that this
/// daemon leaves: it asks each second and believes the second "no".
const NOTICE: Duration = Duration::from_millis(2_500);

/// Part of the grace time that is kept for giving tokens back.
const RESERVE: Duration = Duration::from_millis(1_000);

/// Leaves the platform's balancer and lets requests in flight end. Returns when
/// none is left or the grace time is nearly over.
pub async fn drain(daemon: &Arc<Daemon>, grace: Duration) {
    let started = Instant::now();
    let last = started + grace.saturating_sub(RESERVE);
    daemon.leaving.cancel();
    slog::info!(daemon.log, "leaving"; "in_flight" => daemon.work.len());
    sleep(NOTICE.min(grace / 3)).await;
    // Connections that are kept open may still bring requests: none is refused
    // before the others have ended.
    while !daemon.work.is_empty() && Instant::now() < last {
        daemon.work.close();
        let ended = timeout_at(last, daemon.work.wait()).await.is_ok();
        daemon.work.reopen();
        if ended && daemon.work.is_empty() {
            break;
        }
    }
    daemon.stopping.cancel();
    slog::info!(daemon.log, "drained";
        "cut" => daemon.work.len(), "after_ms" => started.elapsed().as_millis() as u64);
}
