//! The platform's list of backend servers: watched in the store, fetched from
//! peers that know a newer one.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::server_list::ServerChanges;

use crate::fleet;
use crate::fleet::WATCH;
use crate::peer::FETCH_TIMEOUT;
use crate::view::View;
use crate::view::routing_table;

/// Pause after a change, so that one call brings those that follow: at a start all
/// servers write their entries within a second, in a release tens of them do.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// Watches the list in the store, as long as this daemon does so for its hall,
/// until the daemon ends.
pub async fn watch(view: Arc<View>) {
    let mut at = 0;
    let mut was_away = false;
    let mut failures = 0;
    loop {
        let known = view.servers.lock().version();
        let told_pause = view.fleet.told_pause();
        if let Some(pause) = told_pause.filter(|_| known.is_some()) {
            // Heartbeats tell of newer lists, and peers hand them over.
            at = known.at;
            was_away = false;
            // Peers reach the store: a look that fails from here on is the first.
            failures = 0;
            drop_expired(&view);
            view.fleet.contact.store_not_watched();
            tokio::select! {
                () = tokio::time::sleep(pause) => continue,
                () = view.fleet.base.shutdown.cancelled() => return,
            }
        }
        if view.fleet.awaits_peers() {
            tokio::time::sleep(fleet::START_POLL).await;
            continue;
        }
        // Entries that lapsed are dropped when their grace is over, not later.
        let next_drop = view.servers.lock().next_drop(view.fleet.base.clock.now());
        let wait = next_drop.map_or(WATCH, |millis| WATCH.min(Duration::from_millis(millis)));
        let asked_at = view.fleet.base.clock.now();
        let watched = tokio::select! {
            watched = view.store.watch_servers(at, wait) => watched,
            () = view.fleet.base.shutdown.cancelled() => return,
        };
        match watched {
            Ok(None) => return,
            Ok(Some(changes)) => {
                failures = 0;
                at = changes.at;
                if take_changes(&view, asked_at, changes, std::mem::take(&mut was_away)) {
                    tokio::time::sleep(CHANGE_PAUSE).await;
                }
            }
            Err(bankcove_ports::Error::HistoryGone { after }) => {
                slog::info!(view.fleet.base.log, "servers listed anew: the store forgot its history"; "after" => after);
                at = 0;
            }
            Err(e) => {
                view.fleet.contact.store_lost();
                if !std::mem::replace(&mut was_away, true) {
                    slog::warn!(view.fleet.base.log, "store lost"; "error" => %e);
                }
                // What was missed meanwhile is read as a whole list.
                at = 0;
                failures += 1;
                view.fleet.pause_without_store(failures).await;
            }
        }
    }
}

/// Takes in what the store told; returns whether any server has changed.
fn take_changes(view: &Arc<View>, asked_at: Millis, changes: ServerChanges, is_back: bool) -> bool {
    let now = view.fleet.base.clock.now();
    let was_current = view.fleet.is_current();
    view.fleet.contact.servers_read(view.fleet.watched_at(asked_at));
    view.fleet.pass_on_return(was_current);
    view.unreadable.tell(&view.fleet.base.log, "servers", &changes.unreadable);
    let mut list = view.servers.lock();
    if is_back {
        list.start_grace_period(now);
        slog::info!(view.fleet.base.log, "store regained"; "at" => changes.at);
    }
    let changed = list.apply(now, changes) | list.drop_expired(now);
    drop(list);
    if changed {
        routing_table::refresh(view);
        view.fleet.to_tell.notify_one();
    }
    changed
}

/// Drops entries whose grace is over, while peers tell of changes.
fn drop_expired(view: &Arc<View>) {
    let dropped = view.servers.lock().drop_expired(view.fleet.base.clock.now());
    if dropped {
        routing_table::refresh(view);
        view.fleet.to_tell.notify_one();
    }
}

/// Fetches what a peer knows of the list beyond this daemon's version; all of it at once where
/// the changes alone have not led to the peer's list.
pub async fn fetch_from_peer(view: &Arc<View>, address: &str) {
    fetch_news(view, address).await;
    if view.servers.lock().needs_full_list() {
        view.fleet.base.metrics.count("servers.list_doubtful");
        slog::info!(view.fleet.base.log, "servers listed anew: changes led to another list"; "peer" => address);
        fetch_news(view, address).await;
    }
}

async fn fetch_news(view: &Arc<View>, address: &str) {
    let version = view.servers.lock().version_for_update();
    let fetch = |client: crate::peer::PeerServiceClient, cx| async move {
        client.servers_above(cx, version).await
    };
    let Some(Some((version, news))) =
        view.fleet.base.peers.call(address, FETCH_TIMEOUT, fetch).await
    else {
        return;
    };
    let now = view.fleet.base.clock.now();
    if view.servers.lock().apply_update(now, version, news) {
        routing_table::refresh(view);
    }
}
