//! Rows of backend servers.

use serde::{Deserialize, Serialize};

use crate::table::one_weight;
use crate::{Millis, Name};

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// A language-model server with the chat-completions interface.
    Model,
    /// A plain HTTP service.
    Service,
}

/// Whether a backend server, or a hall, accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Accepts new requests.
    #[default]
    Serving,
    /// Finishes running requests and accepts no new ones.
    Draining,
}

impl ServerState {
    /// Returns whether new requests are accepted.
    pub fn is_serving(&self) -> bool {
        *self == ServerState::Serving
    }
}

/// State of a server from the platform's list that its row does not contain.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ListedState {
    /// Version of its software; `None` when unknown.
    pub version: Option<Name>,
    /// Start time of its process, in milliseconds since 1970; 0 when unknown.
    pub started_ms: Millis,
    /// Time until which it is cold, on this daemon's clock.
    pub cold_until: Millis,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Name of the row.
    pub name: Name,
    /// Hall that contains it.
    pub hall: Name,
    /// Its IP address and port.
    pub address: String,
    /// Kind of the server.
    pub kind: ServerKind,
    /// Models that it serves; model servers only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Name>,
    /// Weight relative to the hall's other servers.
    #[serde(default = "one_weight")]
    pub weight: f64,
    /// Maximum number of concurrent requests from one daemon.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Whether it accepts new requests.
    #[serde(default)]
    pub state: ServerState,
    /// Whether it takes orders to leave or to serve again, checks their epoch, and refuses
    /// requests by itself while it is leaving.
    #[serde(default)]
    pub checks_orders: bool,
    /// State from the platform's list; the default for an operators' row.
    #[serde(skip)]
    pub listed: ListedState,
    /// Table revision that last wrote this row; set by the system.
    #[serde(default)]
    pub version: u64,
}

fn default_limit() -> u32 {
    64
}
