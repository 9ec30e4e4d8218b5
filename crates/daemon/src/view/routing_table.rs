//! Builds the table for the router: the operators' rows, with further rows for the servers and
//! halls of the platform's lists.

use crate::view::View;
use bankcove_core::hall_list::HallList;
use bankcove_core::server_list::ListedServer;
use bankcove_core::table::{Hall, ListedState, Server, ServerKind, ServerState, Table};
use bankcove_core::{Millis, Name};

/// Hands the router the table in force combined with the current lists.
pub fn refresh(view: &View) {
    // The router's lock serializes adoptions: a table loaded before locking may be outdated.
    let mut router = view.router.lock();
    let Some(table) = view.table.load_full() else { return };
    router.adopt(&with_platform_lists(view, &table));
    let list = view.servers.lock();
    let draining = list.servers().filter(|server| server.draining).count();
    slog::info!(view.fleet.base.log, "servers changed";
        "version" => list.version().at, "drops" => list.version().drops, "servers" => list.servers().count(), "draining" => draining);
}

/// Returns the table with additional rows from the platform's lists, for the router: servers,
/// and halls that take no new work.
///
/// A listed server's pool is its service; its weight in the pool is one.
pub fn with_platform_lists(view: &View, table: &Table) -> Table {
    let mut table = table.clone();
    merge_halls(view, &mut table);
    let halls = view.halls.lock().clone();
    let list = view.servers.lock();
    for (listed, cold_until) in list.servers_with_cold_until() {
        let mut row = row_of(listed);
        row.listed.cold_until = cold_until_of(&table, &halls, listed, cold_until);
        table.servers.push(row);
    }
    table
}

/// Returns the time until which a listed server counts as cold; 0 if its service has no cold
/// start. The servers of a reopened hall may have become cold while they had no work, and their
/// entries report that only after the hall is reopened: without this rule 30 of them received
/// 21 requests a second each, while each can serve 19.
fn cold_until_of(
    table: &Table,
    halls: &HallList,
    listed: &ListedServer,
    listed_cold_until: Millis,
) -> Millis {
    let Some(cold) = table.service(&listed.service).and_then(|row| row.cold_start) else {
        return 0;
    };
    let reopened = halls.reopened_at(&listed.hall).map_or(0, |at| at + cold.lasts_ms);
    listed_cold_until.max(reopened)
}

/// Merges the regions from the settings and the platform's evacuated halls into the hall rows.
fn merge_halls(view: &View, table: &mut Table) {
    let evacuated = view.halls.lock().evacuated().halls.clone();
    let regions = view.fleet.base.cfg.entry.iter().flat_map(|entry| &entry.hall_regions);
    for (hall, region) in regions {
        hall_row(table, hall).region.get_or_insert_with(|| region.clone());
    }
    for hall in &evacuated {
        hall_row(table, hall).state = ServerState::Draining;
    }
}

/// Returns the row of this hall; adds one if there is none.
fn hall_row<'a>(table: &'a mut Table, name: &Name) -> &'a mut Hall {
    let index = table.halls.iter().position(|row| row.name == *name);
    let index = index.unwrap_or_else(|| {
        table.halls.push(Hall::from_platform(name.clone()));
        table.halls.len() - 1
    });
    &mut table.halls[index]
}

/// Returns the table row for a listed server.
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
        listed: ListedState {
            version: listed.version.clone(),
            started_ms: listed.started_ms,
            cold_until: 0,
        },
        version: 0,
    }
}
