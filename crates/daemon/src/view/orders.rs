//! Fenced orders to backend servers that check them: leave, or serve again.
//!
//! An order's epoch is the version of the server's row, which the store only
//! lets rise: a daemon with an older table sends a lower epoch and is refused.

use crate::view::View;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Name;
use bankcove_core::table::{Server, ServerState, Table};
use reqwest::StatusCode;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

/// Daemons that send the order for one server.
const SENDERS: usize = 2;

/// Tries of one order.
const TRIES: u32 = 10;

/// Pause between two tries.
const RETRY: Duration = Duration::from_millis(500);

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Sends the orders that the step from `old` to `new` calls for, as far as
/// they are this daemon's to send.
pub fn send_changed(view: &Arc<View>, old: Option<&Table>, new: &Table) {
    for row in new.servers.iter().filter(|row| row.checks_orders) {
        let before = old.and_then(|table| table.server(&row.name)).map(|row| row.state);
        let changed = before.unwrap_or_default() != row.state;
        if changed && is_mine(view, &row.name) {
            tokio::spawn(send(Arc::clone(view), row.clone()));
        }
    }
}

fn is_mine(view: &View, server: &Name) -> bool {
    let key = xxh3_64(server.as_str().as_bytes());
    view.fleet.members.lock().owners(key, SENDERS).iter().any(Option::is_none)
}

async fn send(view: Arc<View>, row: Server) {
    let url = format!("http://{}/v1/orders", row.address);
    let leave = row.state == ServerState::Draining;
    let order = json!({"epoch": row.version, "leave": leave});
    for _ in 0..TRIES {
        let sent = view.http.post(&url).json(&order).timeout(TIMEOUT).send().await;
        match sent.map(|res| res.status()) {
            Ok(status) if status.is_success() => {
                slog::info!(view.fleet.base.log, "order taken"; "server" => %row.name, "leave" => leave);
                return;
            }
            Ok(StatusCode::CONFLICT) => {
                slog::info!(view.fleet.base.log, "order is outdated"; "server" => %row.name);
                return;
            }
            _ => tokio::time::sleep(RETRY).await,
        }
    }
    slog::warn!(view.fleet.base.log, "order not taken"; "server" => %row.name, "leave" => leave);
}
