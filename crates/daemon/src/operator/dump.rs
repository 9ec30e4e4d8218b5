//! State of a daemon as JSON, for operators: a summary and a full dump.

use std::collections::HashMap;
use std::sync::Arc;

use bankcove_core::holder::DaemonHolding;
use bankcove_core::table::Budget;
use bankcove_core::{Name, Tokens};
use serde_json::{Value, json};

use crate::budget::{protection, statement};
use crate::daemon::Daemon;

/// Returns a summary of the daemon's state and its peers.
pub fn status(daemon: &Daemon) -> Value {
    let now = daemon.clock.now();
    let peers: Vec<Value> = {
        let members = daemon.fleet.members.lock();
        let peer = |peer: &bankcove_core::members::Peer| {
            json!({
                "name": peer.name, "hall": peer.hall, "revision": peer.revision,
                "usable": peer.is_usable(), "stopping": peer.stopping,
                "heard_ms_ago": peer.heard_at.map(|at| now.saturating_sub(at)),
            })
        };
        members.peers().map(peer).collect()
    };
    json!({
        "name": daemon.cfg.name,
        "hall": daemon.cfg.hall,
        "incarnation": daemon.incarnation,
        "revision": daemon.revision(),
        "stopping": daemon.requests.stopping.is_cancelled(),
        "store_heard_ms_ago": daemon.fleet.connectivity.store_age(now),
        "isolated": daemon.fleet.connectivity.is_isolated(now, daemon.cfg.limits.isolation_ms),
        "requests_in_flight": daemon.requests.in_flight.len(),
        "held_bodies": daemon.requests.body_memory.dump(),
        "held_answers": daemon.requests.answer_memory.dump(),
        "gathered": daemon.requests.gather_memory.dump(),
        "bills_waiting": daemon.billing.pending_entries(),
        "peers": peers,
    })
}

/// Returns the daemon's full state without keys.
pub async fn dump(daemon: &Arc<Daemon>) -> Value {
    let holder = daemon.budgets.holder().clone();
    let free: HashMap<String, Tokens> = holder
        .accounts()
        .iter()
        .map(|(name, account)| (name.to_string(), account.free()))
        .collect();
    let held = |name: &String| statement::holding(&daemon.budgets, &Name::from(name.as_str()));
    let holdings: Vec<DaemonHolding> = free.keys().map(held).collect();
    let protection: HashMap<String, Value> = {
        let table = daemon.table.load_full();
        let rows = table.iter().flat_map(|table| &table.budgets);
        let used = rows.filter(|row| holder.accounts().contains_key(&row.name));
        let report =
            |row: &Budget| Some((row.name.to_string(), protection::report(&daemon.budgets, row)?));
        used.filter_map(report).collect()
    };
    let mut table = daemon.table.load().as_ref().map(|table| (**table).clone());
    if let Some(table) = &mut table {
        // A dump contains no hashes of keys either.
        table.workspaces.iter_mut().for_each(|row| row.keys_sha256.clear());
    }
    let servers = daemon.router.lock().servers().to_vec();
    json!({
        "status": status(daemon),
        "table": table,
        "holder": holder,
        "free": free,
        "holdings": holdings,
        "protection": protection,
        "owners": daemon.budgets.owner_tasks.dump().await,
        "request_log": daemon.billing.log_tasks.dump().await,
        "servers": servers,
        "server_list": *daemon.view.servers.lock(),
        "limits": daemon.hints.dump(),
        "brittle_servers": daemon.hints.slots.dump(),
        "paths": daemon.paths.dump(),
        "places": daemon.entry.get().map(|entry| entry.places.dump()),
        "rollouts": daemon.rollouts.dump(),
        "stream_versions": daemon.requests.stream_versions.dump(),
        "crashes": daemon.crashes.facts(),
        "crashes_remembered": daemon.crashes.stats(),
        "marks_kept_for_others": daemon.budgets.witness_records().len(),
        "peer_connections": daemon.peers.len(),
    })
}
