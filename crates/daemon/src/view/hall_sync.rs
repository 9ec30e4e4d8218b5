//! Halls that take no new work: watched in the store by the readers of a hall, told to the
//! others in heartbeats.

use std::sync::Arc;

use bankcove_core::Millis;
use bankcove_core::hall_list::{EvacuatedHalls, HallChanges};

use crate::daemon::Daemon;
use crate::fleet::membership;
use crate::fleet::{STORE_PAUSE, Turn, WATCH, next_turn, watched_at};
use crate::view::{routing_table, server_sync};

/// Watches the list in the store, as long as this daemon does so for its hall, until the
/// daemon ends.
pub async fn watch(daemon: Arc<Daemon>) {
    let mut at = 0;
    loop {
        let is_known = daemon.halls.lock().told().at > 0;
        match next_turn(&daemon, is_known).await {
            Turn::Ask => {}
            Turn::Wait => continue,
            Turn::End => return,
        }
        let asked_at = daemon.clock.now();
        let watched = tokio::select! {
            watched = daemon.store.watch_halls(at, WATCH) => watched,
            () = daemon.ended.cancelled() => return,
        };
        match watched {
            Ok(None) => return,
            Ok(Some(changes)) => {
                at = changes.at;
                take_changes(&daemon, asked_at, changes);
            }
            Err(bankcove_ports::Error::HistoryGone { after }) => {
                slog::info!(daemon.log, "evacuated halls read anew: the store forgot its history"; "after" => after);
                at = 0;
            }
            Err(e) => {
                slog::debug!(daemon.log, "evacuated halls not watched"; "error" => %e);
                // What was missed meanwhile is read as a whole list.
                at = 0;
                tokio::time::sleep(STORE_PAUSE).await;
            }
        }
    }
}

fn take_changes(daemon: &Arc<Daemon>, asked_at: Millis, changes: HallChanges) {
    let now = daemon.clock.now();
    let was_current = membership::is_current(daemon);
    daemon.contact.halls_read(watched_at(daemon, asked_at));
    daemon.unreadable.tell(&daemon.log, "evacuations", &changes.unreadable);
    let is_changed = daemon.halls.lock().apply(now, changes);
    if is_changed {
        changed(daemon);
    }
    membership::pass_on_return(daemon, was_current);
}

/// Takes the list of a peer, if it is newer.
pub fn heard(daemon: &Arc<Daemon>, told: &EvacuatedHalls) {
    let is_changed = daemon.halls.lock().adopt(daemon.clock.now(), told.clone());
    if is_changed {
        changed(daemon);
    }
}

/// No new work goes there from here on, and others hear of it at once.
fn changed(daemon: &Arc<Daemon>) {
    routing_table::refresh(daemon);
    let told = daemon.halls.lock().told().clone();
    let names: Vec<String> = told.halls.iter().map(ToString::to_string).collect();
    slog::info!(daemon.log, "evacuated halls changed"; "version" => told.at, "halls" => names.join(", "));
    server_sync::tell_peers(daemon);
}
