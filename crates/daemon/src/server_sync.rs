//! The platform's list of backend servers: watched in the store, fetched from
//! peers that know a newer one.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::hall_list::HallList;
use bankcove_core::server_list::{ListedServer, ServerChanges};
use bankcove_core::table::{Hall, ListedState, Server, ServerKind, ServerState, Table};
use bankcove_core::{Millis, Name};

use crate::daemon::Daemon;
use crate::peer::FETCH_TIMEOUT;
use crate::{fleet, membership};

/// Longest watch of the list. A cut path shows only when an answer does not
/// come, so this is also how long a cut may go unnoticed.
const WATCH: Duration = Duration::from_millis(1_500);

/// Pause between two looks whether peers still tell of changes.
const TOLD_POLL: Duration = Duration::from_millis(200);

/// Pause after a change, so that one call brings those that follow: at a start all
/// servers write their entries within a second, in a release tens of them do.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// The table with what the platform's lists say as rows of it, for the router: servers,
/// and halls that take no new work.
///
/// A listed server's pool is its service; its weight in the pool is one.
pub fn with_listed(daemon: &Daemon, table: &Table) -> Table {
    let mut table = table.clone();
    put_halls(daemon, &mut table);
    let halls = daemon.halls.lock().clone();
    let list = daemon.servers.lock();
    for (listed, cold_until) in list.servers_with_cold() {
        let mut row = row_of(listed);
        row.listed.cold_until = cold_until_of(&table, &halls, listed, cold_until);
        table.servers.push(row);
    }
    table
}

/// Until when a listed server is taken for cold: only where its service knows of that. The
/// servers of a hall that takes work again may have turned cold while they had none, and
/// their entries say so later than the hall is opened: 30 of them got 21 requests a second
/// each where they bear 19.
fn cold_until_of(table: &Table, halls: &HallList, listed: &ListedServer, told: Millis) -> Millis {
    let Some(cold) = table.service(&listed.service).and_then(|row| row.cold_start) else {
        return 0;
    };
    let reopened = halls.reopened_at(&listed.hall).map_or(0, |at| at + cold.lasts_ms);
    told.max(reopened)
}

/// Puts the regions of the settings and the platform's evacuated halls to the rows of halls.
fn put_halls(daemon: &Daemon, table: &mut Table) {
    let evacuated = daemon.halls.lock().told().halls.clone();
    let regions = daemon.cfg.entry.iter().flat_map(|entry| &entry.hall_regions);
    for (hall, region) in regions {
        hall_row(table, hall).region.get_or_insert_with(|| region.clone());
    }
    for hall in &evacuated {
        hall_row(table, hall).state = ServerState::Draining;
    }
}

fn hall_row<'a>(table: &'a mut Table, name: &Name) -> &'a mut Hall {
    let place = table.halls.iter().position(|row| row.name == *name);
    let place = place.unwrap_or_else(|| {
        table.halls.push(Hall::of_platform(name.clone()));
        table.halls.len() - 1
    });
    &mut table.halls[place]
}

fn row_of(listed: &ListedServer) -> Server {
    Server {
        name: listed.name.clone(),
        hall: listed.hall.clone(),
        address: listed.address.clone(),
        kind: ServerKind::Model,
        models: vec![listed.service.clone()],
        weight: 1.0,
        limit: u32::MAX,
        state: if listed.draining { ServerState::Draining } else { ServerState::Serving },
        checks_orders: false,
        listed: ListedState { started_ms: listed.started_ms, cold_until: 0 },
        version: 0,
    }
}

/// Watches the list in the store, as long as this daemon does so for its hall,
/// until the daemon ends.
pub async fn watch(daemon: Arc<Daemon>) {
    let mut at = 0;
    let mut was_away = false;
    let mut failures = 0;
    loop {
        let known = daemon.servers.lock().version();
        if known.is_some() && fleet::is_told_by_peers(&daemon) {
            // Heartbeats tell of newer lists, and peers hand them over.
            at = known.at;
            was_away = false;
            // Peers reach the store: a look that fails from here on is the first.
            failures = 0;
            drop_lapsed(&daemon);
            daemon.contact.store_not_watched();
            tokio::select! {
                () = tokio::time::sleep(TOLD_POLL) => continue,
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
        let watched = tokio::select! {
            watched = daemon.store.watch_servers(at, wait) => watched,
            () = daemon.ended.cancelled() => return,
        };
        match watched {
            Ok(None) => return,
            Ok(Some(changes)) => {
                failures = 0;
                at = changes.at;
                if take_changes(&daemon, changes, std::mem::take(&mut was_away)) {
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
fn take_changes(daemon: &Arc<Daemon>, changes: ServerChanges, is_back: bool) -> bool {
    let now = daemon.clock.now();
    let was_current = membership::is_current(daemon);
    daemon.contact.servers_read(now);
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
        refresh_router(daemon);
        tell_peers(daemon);
    }
    changed
}

/// Drops entries whose grace is over, while peers tell of changes.
fn drop_lapsed(daemon: &Arc<Daemon>) {
    let dropped = daemon.servers.lock().drop_lapsed(daemon.clock.now());
    if dropped {
        refresh_router(daemon);
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
        refresh_router(daemon);
    }
}

/// Gives the router what the table and the lists say now.
pub fn refresh_router(daemon: &Daemon) {
    // The router's lock orders adoptions: a table read before it may be old.
    let mut router = daemon.router.lock();
    let Some(table) = daemon.table.load_full() else { return };
    router.adopt(&with_listed(daemon, &table));
    let list = daemon.servers.lock();
    let draining = list.servers().filter(|server| server.draining).count();
    slog::info!(daemon.log, "servers changed";
        "version" => list.version().at, "drops" => list.version().drops, "servers" => list.servers().count(), "draining" => draining);
}

/// Others hear of the change at once, not at the next heartbeat.
pub fn tell_peers(daemon: &Arc<Daemon>) {
    let daemon = Arc::clone(daemon);
    tokio::spawn(async move { membership::beat(&daemon).await });
}
