//! This daemon's view of the configuration, the servers, the halls and the hosts.
//!
//! Synchronizes the table and the platform's lists with the store and with peers (`table_sync`,
//! `server_sync`, `hall_sync`, `host_list`), builds the table for the router (`routing_table`)
//! and sends orders to backend servers (`orders`). May call the store, `fleet` and peers; called
//! by `membership`, `peer_server` and the startup code.

pub mod hall_sync;
pub mod host_list;
pub mod orders;
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

/// This daemon's view of the table, the servers, the halls and the hosts.
pub struct View {
    /// This daemon's view of the fleet.
    pub fleet: Fleet,
    /// The platform's store.
    pub store: Store,
    /// HTTP client that sends orders to backend servers.
    pub http: reqwest::Client,
    /// The table in force; `None` until the first table is adopted.
    pub table: Arc<ArcSwapOption<Table>>,
    /// The routing state.
    pub router: Arc<Mutex<Router>>,
    /// The platform's list of backend servers.
    pub servers: Mutex<ServerList>,
    /// The platform's list of evacuated halls, which take no new work.
    pub halls: Mutex<HallList>,
    /// The last host list read from the platform.
    pub hosts: ArcSwap<HostList>,
    /// Entries of the store that can't be parsed; each is logged once.
    unreadable: UnreadableEntries,
}

impl View {
    /// Creates a view in which neither the table nor any list is known.
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

    /// Returns the revision of the table in force; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.table.load().as_ref().map_or(0, |table| table.revision)
    }
}
