//! Fenced orders to backend servers that check them: leave, or serve again.
//!
//! An order's epoch is the version of the server's row. The store only accepts increasing
//! versions, so a server refuses the order of a daemon with an outdated table, whose epoch is
//! lower.

use crate::view::View;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Name;
use bankcove_core::table::{Server, ServerState, Table};
use reqwest::StatusCode;
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

/// Number of daemons that send the order for one server.
const SENDERS_PER_SERVER: usize = 2;

/// Maximum number of attempts to send one order.
const MAX_ATTEMPTS: u32 = 10;

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest wait for the response to one attempt.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends an order to each server whose state differs between `old` and `new`, if this daemon is
/// one of the order's senders.
pub fn send_changed(view: &Arc<View>, old: Option<&Table>, new: &Table) {
    for row in new.servers.iter().filter(|row| row.checks_orders) {
        let before = old.and_then(|table| table.server(&row.name)).map(|row| row.state);
        let changed = before.unwrap_or_default() != row.state;
        if changed && is_sender_for(view, &row.name) {
            tokio::spawn(send_order(Arc::clone(view), row.clone()));
        }
    }
}

/// Returns whether this daemon is one of the daemons that send orders to this server.
fn is_sender_for(view: &View, server: &Name) -> bool {
    let key = xxh3_64(server.as_str().as_bytes());
    view.fleet.members.lock().owners(key, SENDERS_PER_SERVER).iter().any(Option::is_none)
}

/// Sends the state of this row as an order until the server accepts or rejects it.
async fn send_order(view: Arc<View>, row: Server) {
    let url = format!("http://{}/v1/orders", row.address);
    let leave = row.state == ServerState::Draining;
    let order = json!({"epoch": row.version, "leave": leave});
    for _ in 0..MAX_ATTEMPTS {
        let sent = view.http.post(&url).json(&order).timeout(ORDER_TIMEOUT).send().await;
        match sent.map(|res| res.status()) {
            Ok(status) if status.is_success() => {
                slog::info!(view.fleet.base.log, "order accepted"; "server" => %row.name, "leave" => leave);
                return;
            }
            Ok(StatusCode::CONFLICT) => {
                slog::info!(view.fleet.base.log, "server rejected an outdated order"; "server" => %row.name);
                return;
            }
            _ => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    slog::warn!(view.fleet.base.log, "failed to deliver order"; "server" => %row.name, "leave" => leave);
}
