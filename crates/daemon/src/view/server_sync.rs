//! Synchronizes the platform's list of backend servers: watches it in the store and fetches newer
//! versions from peers.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::server_list::{GRACE_PERIOD_MS, ServerChanges};

use crate::fleet;
use crate::peer::FETCH_TIMEOUT;
use crate::view::View;
use crate::view::routing_table;

/// Pause after a change, so that one call returns the changes that follow: at startup of the
/// fleet all servers write their entries within a second, in a release tens of them do.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// Watches the list in the store whenever this daemon reads the store itself, until the daemon
/// ends.
pub async fn watch(view: Arc<View>) {
    let mut at = 0;
    let mut was_unavailable = false;
    let mut failures = 0;
    let mut relies_on_peers = false;
    loop {
        let known = view.servers.lock().version();
        if let Some(pause) = view.fleet.time_until_stale().filter(|_| known.is_some()) {
            // Heartbeats announce newer lists, which are fetched from peers.
            relies_on_peers = true;
            at = known.at;
            was_unavailable = false;
            // Peers reach the store, so the next failed call counts as the first.
            failures = 0;
            drop_expired(&view);
            view.fleet.connectivity.clear_store_unavailable();
            let next_drop = view.servers.lock().next_drop(view.fleet.base.clock.now());
            let pause = next_drop.map_or(pause, |left| pause.min(Duration::from_millis(left)));
            tokio::select! {
                () = tokio::time::sleep(pause) => continue,
                () = view.fleet.recheck_sync.notified() => continue,
                () = view.fleet.base.shutdown.cancelled() => return,
            }
        }
        if view.fleet.is_in_startup_wait() {
            tokio::time::sleep(fleet::STARTUP_POLL).await;
            continue;
        }
        if std::mem::take(&mut relies_on_peers) {
            log_own_read(&view);
        }
        // The watch ends in time to drop entries as soon as their grace period is over.
        let next_drop = view.servers.lock().next_drop(view.fleet.base.clock.now());
        let longest = view.fleet.watch_timeout();
        let wait = next_drop.map_or(longest, |millis| longest.min(Duration::from_millis(millis)));
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
                let was_unavailable = std::mem::take(&mut was_unavailable);
                if apply_changes(&view, (asked_at, wait), changes, was_unavailable) {
                    tokio::time::sleep(CHANGE_PAUSE).await;
                }
            }
            Err(e) if e.ends_watch() => {
                slog::info!(view.fleet.base.log, "re-reading server list"; "reason" => %e);
                at = 0;
            }
            Err(e) => {
                view.fleet.connectivity.mark_store_unavailable();
                if !std::mem::replace(&mut was_unavailable, true) {
                    slog::warn!(view.fleet.base.log, "store lost"; "error" => %e);
                }
                // Reads the full list next, as changes may be missed meanwhile.
                at = 0;
                failures += 1;
                view.fleet.wait_for_store_probe(failures).await;
            }
        }
    }
}

/// Logs and counts that this daemon begins to read the store because its peers' news is too old.
fn log_own_read(view: &View) {
    let fleet = &view.fleet;
    fleet.base.metrics.count("store.read_without_peers");
    let policy = fleet.store_read_policy();
    slog::info!(fleet.base.log, "reading the store: the view is older than peers may be relied on";
        "view_age_ms" => fleet.connectivity.view_age(fleet.base.clock.now()),
        "relied_on_for_ms" => policy.stale_after(), "rank" => policy.rank,
        "hall_size" => policy.hall_size);
}

/// Applies a response of the store to a watch `asked` at a time, to last for a duration; returns whether
/// any server has changed. `was_unavailable` is
/// whether the store failed to answer before: missing entries then get a grace period, if they may
/// have lapsed.
fn apply_changes(
    view: &Arc<View>,
    asked: (Millis, Duration),
    changes: ServerChanges,
    was_unavailable: bool,
) -> bool {
    let now = view.fleet.base.clock.now();
    let was_current = view.fleet.is_current();
    let has_changes = changes.whole || !changes.put.is_empty() || !changes.gone.is_empty();
    let read_at = view.fleet.watch_answer_time(asked.0, asked.1, has_changes);
    view.fleet.connectivity.record_servers_read(read_at);
    view.fleet.announce_if_current_again(was_current);
    view.unreadable.log_new(&view.fleet.base.log, "servers", &changes.unreadable);
    let may_have_lapsed =
        was_unavailable && view.fleet.connectivity.may_entries_have_lapsed(now, GRACE_PERIOD_MS);
    let mut list = view.servers.lock();
    if was_unavailable {
        slog::info!(view.fleet.base.log, "store regained";
            "at" => changes.at, "may_have_lapsed" => may_have_lapsed);
    }
    if may_have_lapsed {
        list.start_grace_period(now);
    }
    let changed = list.apply(now, changes) | list.drop_expired(now);
    drop(list);
    if changed {
        routing_table::refresh(view);
        view.fleet.heartbeat_now.notify_one();
    }
    changed
}

/// Drops entries whose grace period is over, while this daemon learns of changes from peers.
fn drop_expired(view: &Arc<View>) {
    let dropped = view.servers.lock().drop_expired(view.fleet.base.clock.now());
    if dropped {
        routing_table::refresh(view);
        view.fleet.heartbeat_now.notify_one();
    }
}

/// Fetches the changes of the list since this daemon's version from a peer. If applying them does
/// not result in the peer's list, fetches the full list right away.
pub async fn fetch_from_peer(view: &Arc<View>, address: &str) {
    fetch_update(view, address).await;
    if view.servers.lock().needs_full_list() {
        view.fleet.base.metrics.count("servers.list_doubtful");
        slog::info!(view.fleet.base.log, "fetching full server list: applying the changes did not result in the peer's list"; "peer" => address);
        fetch_update(view, address).await;
    }
}

/// Fetches one update from a peer and applies it.
async fn fetch_update(view: &Arc<View>, address: &str) {
    let version = view.servers.lock().version_for_update();
    let fetch = |client: crate::peer::PeerServiceClient, cx| async move {
        client.servers_above(cx, version).await
    };
    let Some(Some((version, packed))) =
        view.fleet.base.peers.call(address, FETCH_TIMEOUT, fetch).await
    else {
        return;
    };
    let update = match packed.unpack() {
        Ok(update) => update,
        Err(e) => {
            slog::warn!(view.fleet.base.log, "failed to unpack server list received from a peer"; "error" => %e);
            return;
        }
    };
    let now = view.fleet.base.clock.now();
    if view.servers.lock().apply_update(now, version, update) {
        routing_table::refresh(view);
        if view.servers.lock().next_drop(now).is_some() {
            view.fleet.recheck_sync.notify_waiters();
        }
    }
}
