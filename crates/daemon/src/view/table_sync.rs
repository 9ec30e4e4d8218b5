//! The table in force: watched in the store, fetched from peers, never older.

use std::sync::Arc;

use bankcove_core::Name;
use bankcove_core::edit::{Edit, apply};
use bankcove_core::server_list::Unreadable;
use bankcove_core::table::Table;
use bankcove_ports::{Kind, WriteOutcome};

use crate::fleet::{STORE_PAUSE, Turn, WATCH};
use crate::peer::FETCH_TIMEOUT;
use crate::view::View;
use crate::view::{orders, routing_table};

/// Name of the one object that holds the table.
pub const TABLE_NAME: &str = "main";

/// Tries of an edit against racing ones and lost answers.
const EDIT_TRIES: usize = 8;

/// Why an edit was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum EditError {
    /// The edit itself is at fault.
    #[error(transparent)]
    Refused(#[from] bankcove_core::Error),
    /// The store does not answer; the edit may or may not be accepted.
    #[error(
        "the store does not answer, so it is not known whether the edit was accepted; send it again with the same change id"
    )]
    Unknown,
}

/// Puts a table in force, if it is newer than the one in force.
pub fn adopt(view: &Arc<View>, mut table: Table) {
    if let Some(entry) = &view.fleet.base.cfg.entry {
        entry.apply_draw_policy(&mut table);
    }
    {
        // The router's lock orders adoptions, so that none goes back.
        let mut router = view.router.lock();
        if table.revision <= view.revision() {
            return;
        }
        router.adopt(&routing_table::with_listed(view, &table));
        let old = view.table.load_full();
        orders::send_changed(view, old.as_deref(), &table);
        slog::info!(view.fleet.base.log, "table adopted"; "revision" => table.revision);
        view.table.store(Some(Arc::new(table)));
    }
    view.fleet.base.metrics.count("table.adopted");
    // Others hear of the new revision at once, not at the next heartbeat.
    view.fleet.to_tell.notify_one();
}

/// Watches the table in the store, as long as this daemon does so for its
/// hall, until the daemon ends.
pub async fn watch(view: Arc<View>) {
    let mut at = 0;
    loop {
        // Heartbeats tell of new revisions, and peers hand them over.
        match view.fleet.next_turn(view.revision() > 0).await {
            Turn::Ask => {}
            Turn::Wait => continue,
            Turn::End => return,
        }
        let asked_at = view.fleet.base.clock.now();
        let watched = tokio::select! {
            watched = view.store.watch::<Table>(Kind::Table, TABLE_NAME, at, WATCH) => watched,
            () = view.fleet.base.shutdown.cancelled() => return,
        };
        match watched {
            Ok(watched) => {
                let was_current = view.fleet.is_current();
                view.fleet.contact.table_read(view.fleet.watched_at(asked_at));
                view.fleet.pass_on_return(was_current);
                let is_missing = watched.at == 0 && watched.changed.is_none();
                at = watched.at;
                if let Some(read) = watched.changed {
                    adopt(&view, read.value);
                } else if is_missing {
                    view.fleet.pause_without_store(u32::MAX).await;
                }
            }
            Err(bankcove_ports::Error::HistoryGone { after }) => {
                slog::info!(view.fleet.base.log, "table read anew: the store forgot its history"; "after" => after);
                at = 0;
            }
            Err(e) => {
                if let bankcove_ports::Error::Value { name, problem, .. } = &e {
                    let entry = Unreadable {
                        name: Some(Name::from(name.as_str())),
                        problem: problem.clone(),
                    };
                    view.unreadable.tell(&view.fleet.base.log, "table", &[entry]);
                }
                slog::debug!(view.fleet.base.log, "table not watched"; "error" => %e);
                tokio::time::sleep(STORE_PAUSE).await;
            }
        }
    }
}

/// Fetches the table from a peer that has a newer one.
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
        Err(e) => slog::warn!(view.fleet.base.log, "a peer's table can't be read"; "error" => %e),
    }
}

/// Accepts an edit: it is in the store when this returns.
///
/// # Errors
/// [`EditError`] tells whether the edit is at fault or its fate not known.
pub async fn edit(view: &Arc<View>, edit: &Edit) -> Result<Arc<Table>, EditError> {
    for _ in 0..EDIT_TRIES {
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
            // Read again: the object tells whether this edit is in it.
            WriteOutcome::Conflict(_) | WriteOutcome::Ambiguous => {}
            WriteOutcome::NotSent => return Err(EditError::Unknown),
        }
    }
    Err(EditError::Unknown)
}
