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
    // A request taken later might not end within the grace time. It is told at
    // once that it has not run.
    daemon.stopping.cancel();
    daemon.work.close();
    // What is still open then is cut by the platform's kill, and logged here.
    let ended = timeout_at(last, daemon.work.wait()).await.is_ok();
    slog::info!(daemon.log, "drained";
        "all_ended" => ended, "open" => daemon.work.len(),
        "after_ms" => started.elapsed().as_millis() as u64);
}
