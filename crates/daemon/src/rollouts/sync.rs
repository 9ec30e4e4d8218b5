//! Synchronizes the list of ordered rollouts: the readers of each hall watch it in the store, the
//! other daemons receive it in heartbeats.

use std::sync::Arc;

use crate::fleet::{STORE_RETRY_PAUSE, WatchStep};
use crate::rollouts::Rollouts;

/// Watches the list in the store whenever this daemon reads the store itself, until the daemon
/// ends.
pub async fn watch(rollouts: Arc<Rollouts>) {
    let fleet = &rollouts.fleet;
    let mut at = 0;
    loop {
        let is_known = rollouts.list.lock().orders().at > 0;
        match fleet.next_watch_step(is_known).await {
            WatchStep::ReadStore => {}
            WatchStep::Wait => continue,
            WatchStep::Stop => return,
        }
        let wait = fleet.watch_timeout();
        let watched = tokio::select! {
            watched = rollouts.store.watch_rollouts(at, wait) => watched,
            () = fleet.base.shutdown.cancelled() => return,
        };
        match watched {
            Ok(None) => return,
            Ok(Some(changes)) => {
                at = changes.at;
                for entry in &changes.unreadable {
                    slog::error!(fleet.base.log, "an entry of the store can't be read";
                        "kind" => "rollouts", "name" => entry.name.as_ref().map(ToString::to_string),
                        "problem" => &entry.problem);
                }
                if rollouts.list.lock().apply(changes) {
                    rollouts.publish_change();
                }
            }
            Err(e) if e.ends_watch() => {
                slog::info!(fleet.base.log, "re-reading rollouts"; "reason" => %e);
                at = 0;
            }
            Err(e) => {
                slog::debug!(fleet.base.log, "failed to watch rollouts"; "error" => %e);
                at = 0;
                tokio::time::sleep(STORE_RETRY_PAUSE).await;
            }
        }
    }
}
