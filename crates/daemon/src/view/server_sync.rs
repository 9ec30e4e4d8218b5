//! The platform's list of backend servers: watched in the store, fetched from
//! peers that know a newer one.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::server_list::ServerChanges;

use crate::daemon::Daemon;
use crate::fleet;
use crate::fleet::WATCH;
use crate::fleet::membership;
use crate::peer::FETCH_TIMEOUT;
use crate::view::routing_table;

/// Pause after a change, so that one call brings those that follow: at a start all
/// servers write their entries within a second, in a release tens of them do.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// Watches the list in the store, as long as this daemon does so for its hall,
/// until the daemon ends.
pub async fn watch(daemon: Arc<Daemon>) {
    let mut at = 0;
    let mut was_away = false;
    let mut failures = 0;
    loop {
        let known = daemon.servers.lock().version();
        let told_pause = fleet::told_pause(&daemon);
        if let Some(pause) = told_pause.filter(|_| known.is_some()) {
            // Heartbeats tell of newer lists, and peers hand them over.
            at = known.at;
            was_away = false;
            // Peers reach the store: a look that fails from here on is the first.
            failures = 0;
            drop_lapsed(&daemon);
            daemon.contact.store_not_watched();
            tokio::select! {
                () = tokio::time::sleep(pause) => continue,
                () = daemon.ended.cancelled() => return,
            }
        }
        if fleet::awaits_peers(&daemon) {
            tokio::time::sleep(fleet::START_POLL).await;
            continue;
        }
        // Entries that lapsed are dropped when their grace is over, not later.
        let next_drop = daemon.servers.lock().next_drop(daemon.clock.now());
        let wait = next_drop.map_or(WATCH, |millis| WATCH.min(Duration::from_millis(millis)));
        let asked_at = daemon.clock.now();
        let watched = tokio::select! {
            watched = daemon.store.watch_servers(at, wait) => watched,
            () = daemon.ended.cancelled() => return,
        };
        match watched {
            Ok(None) => return,
            Ok(Some(changes)) => {
                failures = 0;
                at = changes.at;
                if take_changes(&daemon, asked_at, changes, std::mem::take(&mut was_away)) {
                    tokio::time::sleep(CHANGE_PAUSE).await;
                }
            }
            Err(bankcove_ports::Error::HistoryGone { after }) => {
                slog::info!(daemon.log, "servers listed anew: the store forgot its history"; "after" => after);
                at = 0;
            }
            Err(e) => {
                daemon.contact.store_lost();
                if !std::mem::replace(&mut was_away, true) {
                    slog::warn!(daemon.log, "store lost"; "error" => %e);
                }
                // What was missed meanwhile is read as a whole list.
                at = 0;
                failures += 1;
                membership::pause_without_store(&daemon, failures).await;
            }
        }
    }
}

/// Takes in what the store told; returns whether any server has changed.
fn take_changes(
    daemon: &Arc<Daemon>,
    asked_at: Millis,
    changes: ServerChanges,
    is_back: bool,
) -> bool {
    let now = daemon.clock.now();
    let was_current = membership::is_current(daemon);
    daemon.contact.servers_read(fleet::watched_at(daemon, asked_at));
    membership::pass_on_return(daemon, was_current);
    daemon.unreadable.tell(&daemon.log, "servers", &changes.unreadable);
    let mut list = daemon.servers.lock();
    if is_back {
        list.platform_returned(now);
        slog::info!(daemon.log, "store regained"; "at" => changes.at);
    }
    let changed = list.apply(now, changes) | list.drop_lapsed(now);
    drop(list);
    if changed {
        routing_table::refresh(daemon);
        tell_peers(daemon);
    }
    changed
}

/// Drops entries whose grace is over, while peers tell of changes.
fn drop_lapsed(daemon: &Arc<Daemon>) {
    let dropped = daemon.servers.lock().drop_lapsed(daemon.clock.now());
    if dropped {
        routing_table::refresh(daemon);
        tell_peers(daemon);
    }
}

/// Fetches the list from a peer that has a newer one.
pub async fn fetch_from_peer(daemon: &Arc<Daemon>, address: &str) {
    let version = daemon.servers.lock().version();
    let fetch = |client: crate::peer::PeerServiceClient, cx| async move {
        client.servers_above(cx, version).await
    };
    let Some(Some((version, servers))) = daemon.peers.call(address, FETCH_TIMEOUT, fetch).await
    else {
        return;
    };
    let now = daemon.clock.now();
    if daemon.servers.lock().adopt(now, version, servers) {
        routing_table::refresh(daemon);
    }
}

/// Others hear of the change at once, not at the next heartbeat.
pub fn tell_peers(daemon: &Arc<Daemon>) {
    let daemon = Arc::clone(daemon);
    tokio::spawn(async move { membership::beat(&daemon).await });
}
