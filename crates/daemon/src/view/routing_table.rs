//! Builds the table for the router: the operators' rows, with further rows for the servers and
//! halls of the platform's lists.

use crate::view::View;
use bankcove_core::hall_list::HallList;
use bankcove_core::router::{Adopted, ListedRow, Router};
use bankcove_core::server_list::ListedServer;
use bankcove_core::table::{Hall, ServerState, Table};
use bankcove_core::{Millis, Name};

/// Hands the router the table in force combined with the current lists.
pub fn refresh(view: &View) {
    // The router's lock serializes adoptions: a table loaded before locking may be outdated.
    let mut router = view.router.lock();
    let Some(table) = view.table.load_full() else { return };
    let adopted = adopt(view, &mut router, &table);
    let list = view.servers.lock();
    let draining = list.servers().filter(|server| server.draining).count();
    slog::info!(view.fleet.base.log, "servers changed";
        "version" => list.version().at, "drops" => list.version().drops, "servers" => list.servers().count(),
        "added" => adopted.added, "removed" => adopted.removed, "draining" => draining);
}

/// Hands the router this table with the rows of the platform's lists: servers, and halls that take
/// no new work.
///
/// A listed server's pool is its service; its weight in the pool is one.
pub fn adopt(view: &View, router: &mut Router, table: &Table) -> Adopted {
    let hall_list = view.halls.lock().clone();
    let list = view.servers.lock();
    let rows = list.servers_with_cold_until().map(|(server, cold_until)| ListedRow {
        server,
        cold_until: cold_until_of(table, &hall_list, server, cold_until),
    });
    let adopted = router.adopt_with_list(table, &merged_halls(view, table), rows);
    router.record_versions(view.fleet.base.clock.now());
    view.fleet.servers_changed.notify_waiters();
    adopted
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

/// Returns the hall rows with the regions from the settings and the platform's evacuated halls.
fn merged_halls(view: &View, table: &Table) -> Vec<Hall> {
    let mut halls = table.halls.clone();
    let evacuated = view.halls.lock().evacuated().halls.clone();
    let regions = view.fleet.base.cfg.entry.iter().flat_map(|entry| &entry.hall_regions);
    for (hall, region) in regions {
        hall_row(&mut halls, hall).region.get_or_insert_with(|| region.clone());
    }
    for hall in &evacuated {
        hall_row(&mut halls, hall).state = ServerState::Draining;
    }
    halls
}

/// Returns the row of this hall; adds one if there is none.
fn hall_row<'a>(halls: &'a mut Vec<Hall>, name: &Name) -> &'a mut Hall {
    let index = halls.iter().position(|row| row.name == *name);
    let index = index.unwrap_or_else(|| {
        halls.push(Hall::from_platform(name.clone()));
        halls.len() - 1
    });
    &mut halls[index]
}
