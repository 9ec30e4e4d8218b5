//! What this daemon knows of the configuration, the servers, the halls and the hosts.
//!
//! Owns how the table and the lists are followed in the store and fetched from peers
//! (`table_sync`, `server_sync`, `hall_sync`, `host_list`), and what the router works by
//! (`routing_table`). May call the store, `fleet` and peers; called by `peer` and the start.

pub mod hall_sync;
pub mod host_list;
pub mod packed_table;
pub mod routing_table;
pub mod server_sync;
pub mod table_sync;
pub mod unreadable;
