//! Rows of backend servers.

use serde::{Deserialize, Serialize};

use crate::table::one_weight;
use crate::{Millis, Name};

/// What kind of work a backend server does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// A language-model runner with the chat-completions interface.
    Model,
    /// A plain HTTP service.
    Service,
}

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// It takes new work.
    #[default]
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
}

impl ServerState {
    /// Whether it takes new work.
    pub fn is_serving(&self) -> bool {
        *self == ServerState::Serving
    }
}

/// What the platform's list tells of a server besides its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ListedState {
    /// When this start of it began, in milliseconds since 1970; 0 where nobody tells.
    pub started_ms: Millis,
    /// Until when it is cold, by this daemon's clock.
    pub cold_until: Millis,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The row's name.
    pub name: Name,
    /// The hall that it stands in.
    pub hall: Name,
    /// Its address, IP number and port.
    pub address: String,
    /// What kind of work it does.
    pub kind: ServerKind,
    /// Models that it serves; only for model servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Name>,
    /// Share of its hall's work, against the hall's other servers.
    #[serde(default = "one_weight")]
    pub weight: f64,
    /// Requests that one daemon may have open there at once.
    #[serde(default = "default_limit")]
    pub limit: u32,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: ServerState,
    /// Whether it checks the epoch of orders and refuses work by itself.
    #[serde(default)]
    pub checks_orders: bool,
    /// What the platform's list tells of it; nothing for a row of the operators.
    #[serde(skip)]
    pub listed: ListedState,
    /// Revision of the table that wrote this row last; written by the system.
    #[serde(default)]
    pub version: u64,
}

fn default_limit() -> u32 {
    64
}
