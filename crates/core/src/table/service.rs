//! Services whose servers the platform lists, and what their callers may send.

use serde::{Deserialize, Serialize};

use crate::{Millis, Name, Tokens};

/// What a service's model engines have in common.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into an engine's memory.
    pub memory_tokens: Tokens,
    /// Most tokens that one event of a stream holds.
    pub tokens_per_event: Tokens,
}

/// How the servers of a service begin: for some time they carry little, and collapse
/// under more.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// How long a server stays cold after its start, in milliseconds.
    pub lasts_ms: Millis,
    /// Requests a second that a cold server carries.
    pub requests_per_s: f64,
}

/// A service whose servers the platform lists.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The row's name.
    pub name: Name,
    /// Connections that one server takes from all daemons together.
    pub max_connections: u32,
    /// Path of the health check.
    pub health_path: String,
    /// What its engines have in common; none for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<Engine>,
    /// How its servers begin; none where they are as fast as ever from the first request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStart>,
    /// Revision of the table that wrote this row last; written by the system.
    #[serde(default)]
    pub version: u64,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to send a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long a connection may rest between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}
