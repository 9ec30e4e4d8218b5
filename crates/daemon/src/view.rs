//! What this daemon knows of the configuration, the servers, the halls and the hosts.
//!
//! Owns how the table and the lists are followed in the store and fetched from peers
//! (`table_sync`, `server_sync`, `hall_sync`, `host_list`), and what the router works by
//! (`routing_table`); tells servers of orders (`orders`). May call the store, `fleet` and peers;
//! called by `membership`, by the answers to peers and by the start.

pub mod hall_sync;
pub mod host_list;
mod orders;
pub mod routing_table;
pub mod server_sync;
pub mod table_sync;
pub mod unreadable;

use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use bankcove_core::hall_list::HallList;
use bankcove_core::router::Router;
use bankcove_core::server_list::ServerList;
use bankcove_core::table::Table;
use bankcove_ports::Store;
use parking_lot::Mutex;

use crate::fleet::Fleet;
use crate::view::host_list::HostList;
use crate::view::unreadable::UnreadableEntries;

/// What this daemon knows of the table, the servers, the halls and the hosts.
pub struct View {
    /// The other daemons.
    pub fleet: Fleet,
    /// The platform's store.
    pub store: Store,
    /// Connections to backend servers, for orders.
    pub http: reqwest::Client,
    /// The table in force; none until the first one is adopted.
    pub table: Arc<ArcSwapOption<Table>>,
    /// The routing state.
    pub router: Arc<Mutex<Router>>,
    /// The backend servers that the platform lists.
    pub servers: Mutex<ServerList>,
    /// Halls that take no new work.
    pub halls: Mutex<HallList>,
    /// The platform's host list as last read.
    pub hosts: ArcSwap<HostList>,
    /// Entries of the store that can't be read, each told once.
    unreadable: UnreadableEntries,
}

impl View {
    /// Nothing is known yet.
    pub fn new(
        fleet: Fleet,
        store: Store,
        http: reqwest::Client,
        table: Arc<ArcSwapOption<Table>>,
        router: Arc<Mutex<Router>>,
    ) -> Self {
        View {
            fleet,
            store,
            http,
            table,
            router,
            servers: Mutex::default(),
            halls: Mutex::default(),
            hosts: ArcSwap::from_pointee(HostList::default()),
            unreadable: UnreadableEntries::default(),
        }
    }

    /// Revision of the table in force; 0 when there is none yet.
    pub fn revision(&self) -> u64 {
        self.table.load().as_ref().map_or(0, |table| table.revision)
    }
}
