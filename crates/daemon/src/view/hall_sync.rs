//! Halls that take no new work: watched in the store by the readers of a hall, told to the
//! others in heartbeats.

use std::sync::Arc;

use bankcove_core::Millis;
use bankcove_core::hall_list::{EvacuatedHalls, HallChanges};

use crate::fleet::{STORE_PAUSE, Turn, WATCH};
use crate::view::View;
use crate::view::routing_table;

/// Watches the list in the store, as long as this daemon does so for its hall, until the
/// daemon ends.
pub async fn watch(view: Arc<View>) {
    let mut at = 0;
    loop {
        let is_known = view.halls.lock().evacuated().at > 0;
        match view.fleet.next_turn(is_known).await {
            Turn::Ask => {}
            Turn::Wait => continue,
            Turn::End => return,
        }
        let asked_at = view.fleet.base.clock.now();
        let watched = tokio::select! {
            watched = view.store.watch_halls(at, WATCH) => watched,
            () = view.fleet.base.shutdown.cancelled() => return,
        };
        match watched {
            Ok(None) => return,
            Ok(Some(changes)) => {
                at = changes.at;
                take_changes(&view, asked_at, changes);
            }
            Err(bankcove_ports::Error::HistoryGone { after }) => {
                slog::info!(view.fleet.base.log, "evacuated halls read anew: the store forgot its history"; "after" => after);
                at = 0;
            }
            Err(e) => {
                slog::debug!(view.fleet.base.log, "evacuated halls not watched"; "error" => %e);
                // What was missed meanwhile is read as a whole list.
                at = 0;
                tokio::time::sleep(STORE_PAUSE).await;
            }
        }
    }
}

fn take_changes(view: &Arc<View>, asked_at: Millis, changes: HallChanges) {
    let now = view.fleet.base.clock.now();
    let was_current = view.fleet.is_current();
    view.fleet.contact.halls_read(view.fleet.watched_at(asked_at));
    view.unreadable.tell(&view.fleet.base.log, "evacuations", &changes.unreadable);
    let is_changed = view.halls.lock().apply(now, changes);
    if is_changed {
        changed(view);
    }
    view.fleet.pass_on_return(was_current);
}

/// Takes the list of a peer, if it is newer.
pub fn heard(view: &Arc<View>, told: &EvacuatedHalls) {
    let is_changed = view.halls.lock().adopt(view.fleet.base.clock.now(), told.clone());
    if is_changed {
        changed(view);
    }
}

/// No new work goes there from here on, and others hear of it at once.
fn changed(view: &Arc<View>) {
    routing_table::refresh(view);
    let told = view.halls.lock().evacuated().clone();
    let names: Vec<String> = told.halls.iter().map(ToString::to_string).collect();
    slog::info!(view.fleet.base.log, "evacuated halls changed"; "version" => told.at, "halls" => names.join(", "));
    view.fleet.to_tell.notify_one();
}
