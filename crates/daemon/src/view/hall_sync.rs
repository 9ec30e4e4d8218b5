//! Synchronizes the list of evacuated halls, which take no new work: the readers of each hall
//! watch it in the store, the other daemons receive it in heartbeats.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::hall_list::{EvacuatedHalls, HallChanges};

use crate::fleet::{STORE_RETRY_PAUSE, WatchStep};
use crate::view::View;
use crate::view::routing_table;

/// Watches the list in the store whenever this daemon reads the store itself, until the daemon
/// ends.
pub async fn watch(view: Arc<View>) {
    let mut at = 0;
    loop {
        let is_known = view.halls.lock().evacuated().at > 0;
        match view.fleet.next_watch_step(is_known).await {
            WatchStep::ReadStore => {}
            WatchStep::Wait => continue,
            WatchStep::Stop => return,
        }
        let (asked_at, wait) = (view.fleet.base.clock.now(), view.fleet.watch_timeout());
        let watched = tokio::select! {
            watched = view.store.watch_halls(at, wait) => watched,
            () = view.fleet.base.shutdown.cancelled() => return,
        };
        match watched {
            Ok(None) => return,
            Ok(Some(changes)) => {
                at = changes.at;
                apply_changes(&view, (asked_at, wait), changes);
            }
            Err(e) if e.ends_watch() => {
                slog::info!(view.fleet.base.log, "re-reading evacuated halls"; "reason" => %e);
                at = 0;
            }
            Err(e) => {
                slog::debug!(view.fleet.base.log, "failed to watch evacuated halls"; "error" => %e);
                // Reads the full list next, as changes may be missed meanwhile.
                at = 0;
                tokio::time::sleep(STORE_RETRY_PAUSE).await;
            }
        }
    }
}

fn apply_changes(view: &Arc<View>, asked: (Millis, Duration), changes: HallChanges) {
    let now = view.fleet.base.clock.now();
    let was_current = view.fleet.is_current();
    let has_changes =
        changes.whole || !changes.evacuated.is_empty() || !changes.reopened.is_empty();
    let read_at = view.fleet.watch_answer_time(asked.0, asked.1, has_changes);
    view.fleet.connectivity.record_halls_read(read_at);
    view.unreadable.log_new(&view.fleet.base.log, "evacuations", &changes.unreadable);
    let is_changed = view.halls.lock().apply(now, changes);
    if is_changed {
        publish_change(view);
    }
    view.fleet.announce_if_current_again(was_current);
}

/// Adopts the list of a peer if it is newer.
pub fn merge_from_peer(view: &Arc<View>, evacuated: &EvacuatedHalls) {
    let is_changed = view.halls.lock().adopt(view.fleet.base.clock.now(), evacuated.clone());
    if is_changed {
        publish_change(view);
    }
}

/// Routes by the changed list, logs it and triggers heartbeats, which carry it to peers.
fn publish_change(view: &Arc<View>) {
    routing_table::refresh(view);
    let evacuated = view.halls.lock().evacuated().clone();
    let names: Vec<String> = evacuated.halls.iter().map(ToString::to_string).collect();
    slog::info!(view.fleet.base.log, "evacuated halls changed"; "version" => evacuated.at, "halls" => names.join(", "));
    view.fleet.heartbeat_now.notify_one();
}
