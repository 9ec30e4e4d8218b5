//! Synchronizes the table in force: watches it in the store, fetches it from peers, and adopts
//! only newer revisions. Applies edits to it.

use std::sync::Arc;

use bankcove_core::Name;
use bankcove_core::edit::{Edit, apply};
use bankcove_core::server_list::Unreadable;
use bankcove_core::table::Table;
use bankcove_ports::{Kind, WriteOutcome};

use crate::fleet::{STORE_RETRY_PAUSE, WatchStep};
use crate::peer::FETCH_TIMEOUT;
use crate::view::View;
use crate::view::{orders, routing_table};

/// Name of the store object that holds the table.
pub const TABLE_NAME: &str = "main";

/// Maximum number of attempts to write an edit, which may conflict with concurrent edits or lose
/// its response.
const MAX_EDIT_ATTEMPTS: usize = 8;

/// Number of consecutive failures after which the table is read anew instead of its changes.
const MAX_WATCH_FAILURES: u32 = 2;

/// Why an edit was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum EditError {
    /// The edit is invalid.
    #[error(transparent)]
    Refused(#[from] bankcove_core::Error),
    /// The store did not answer; the edit may or may not have been accepted.
    #[error(
        "the store does not answer, so it is not known whether the edit was accepted; send it again with the same change id"
    )]
    Unknown,
}

/// Puts a table in force if its revision is newer than the current one.
pub fn adopt(view: &Arc<View>, mut table: Table) {
    if let Some(entry) = &view.fleet.base.cfg.entry {
        entry.apply_draw_policy(&mut table);
    }
    {
        // The router's lock serializes adoptions, so that none reverts a newer one.
        let mut router = view.router.lock();
        if table.revision <= view.revision() {
            return;
        }
        routing_table::adopt(view, &mut router, &table);
        let old = view.table.load_full();
        orders::send_changed(view, old.as_deref(), &table);
        slog::info!(view.fleet.base.log, "table adopted"; "revision" => table.revision);
        view.table.store(Some(Arc::new(table)));
    }
    view.fleet.base.metrics.count("table.adopted");
    // Announces the new revision at once, not with the next regular heartbeat.
    view.fleet.heartbeat_now.notify_one();
}

/// Watches the table in the store whenever this daemon reads the store itself, until the daemon
/// ends.
pub async fn watch(view: Arc<View>) {
    let mut at = 0;
    let mut failures = 0;
    loop {
        // Otherwise heartbeats announce new revisions, which are fetched from peers.
        match view.fleet.next_watch_step(view.revision() > 0).await {
            WatchStep::ReadStore => {}
            WatchStep::Wait => continue,
            WatchStep::Stop => return,
        }
        let (asked_at, wait) = (view.fleet.base.clock.now(), view.fleet.watch_timeout());
        let watched = tokio::select! {
            watched = view.store.watch::<Table>(Kind::Table, TABLE_NAME, at, wait) => watched,
            () = view.fleet.base.shutdown.cancelled() => return,
        };
        match watched {
            Ok(watched) => {
                let was_current = view.fleet.is_current();
                let read_at =
                    view.fleet.watch_answer_time(asked_at, wait, watched.changed.is_some());
                view.fleet.connectivity.record_table_read(read_at);
                view.fleet.announce_if_current_again(was_current);
                let is_missing = watched.version == 0 && watched.changed.is_none();
                at = watched.version;
                if let Some(read) = watched.changed {
                    adopt(&view, read.value);
                } else if is_missing {
                    view.fleet.wait_for_store_probe(u32::MAX).await;
                }
            }
            Err(e) if e.ends_watch() => {
                slog::info!(view.fleet.base.log, "re-reading table"; "reason" => %e);
                at = 0;
            }
            Err(e) => {
                failures += 1;
                // An answer that takes too long each time would be asked for again and again.
                if failures >= MAX_WATCH_FAILURES {
                    at = 0;
                }
                if let bankcove_ports::Error::InvalidValue { name, problem, .. } = &e {
                    let entry = Unreadable {
                        name: Some(Name::from(name.as_str())),
                        problem: problem.clone(),
                    };
                    view.unreadable.log_new(&view.fleet.base.log, "table", &[entry]);
                }
                slog::debug!(view.fleet.base.log, "failed to watch table"; "error" => %e);
                tokio::time::sleep(STORE_RETRY_PAUSE).await;
            }
        }
    }
}

/// Fetches the table from a peer and adopts it if it is newer.
pub async fn fetch_from_peer(view: &Arc<View>, address: &str) {
    let revision = view.revision();
    let fetch = |client: crate::peer::PeerServiceClient, cx| async move {
        client.table_above(cx, revision).await
    };
    let Some(Some(packed)) = view.fleet.base.peers.call(address, FETCH_TIMEOUT, fetch).await else {
        return;
    };
    match packed.unpack() {
        Ok(table) => adopt(view, table),
        Err(e) => {
            slog::warn!(view.fleet.base.log, "failed to unpack table received from a peer"; "error" => %e)
        }
    }
}

/// Applies an edit to the table in the store and adopts the result; the edit is stored when this
/// returns. An edit whose change id is already stored is not applied again.
///
/// # Errors
/// Returns [`EditError::Refused`] if the edit is invalid, [`EditError::Unknown`] if it is not
/// known whether it was stored.
pub async fn edit(view: &Arc<View>, edit: &Edit) -> Result<Arc<Table>, EditError> {
    for _ in 0..MAX_EDIT_ATTEMPTS {
        let Ok(read) = view.store.read::<Table>(Kind::Table, TABLE_NAME).await else {
            return Err(EditError::Unknown);
        };
        let (version, table) = read.map_or((0, Table::default()), |r| (r.version, r.value));
        if table.change(&edit.id).is_some() {
            adopt(view, table.clone());
            return Ok(Arc::new(table));
        }
        let next = apply(&table, edit, view.fleet.base.clock.unix_ms() / 1000)?;
        match view.store.write(Kind::Table, TABLE_NAME, version, &next).await {
            WriteOutcome::Written(_) => {
                adopt(view, next.clone());
                return Ok(Arc::new(next));
            }
            // The next attempt reads the object again, which shows whether it contains this edit.
            WriteOutcome::Conflict(_) | WriteOutcome::Ambiguous => {}
            WriteOutcome::NotSent => return Err(EditError::Unknown),
        }
    }
    Err(EditError::Unknown)
}
