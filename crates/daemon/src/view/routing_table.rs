//! The table that the router works by: the operators' rows, and what the platform's lists
//! say of servers and halls as rows beside them.

use bankcove_core::hall_list::HallList;
use bankcove_core::server_list::ListedServer;
use bankcove_core::table::{Hall, ListedState, Server, ServerKind, ServerState, Table};
use bankcove_core::{Millis, Name};

use crate::daemon::Daemon;

/// Gives the router what the table and the lists say now.
pub fn refresh(daemon: &Daemon) {
    // The router's lock orders adoptions: a table read before it may be old.
    let mut router = daemon.router.lock();
    let Some(table) = daemon.table.load_full() else { return };
    router.adopt(&with_listed(daemon, &table));
    let list = daemon.servers.lock();
    let draining = list.servers().filter(|server| server.draining).count();
    slog::info!(daemon.log, "servers changed";
        "version" => list.version().at, "drops" => list.version().drops, "servers" => list.servers().count(), "draining" => draining);
}

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
