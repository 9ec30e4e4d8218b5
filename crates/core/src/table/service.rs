//! Services whose servers the platform lists, and limits on their callers' requests.

use serde::{Deserialize, Serialize};

use crate::{Millis, Name, Tokens};

/// Properties shared by the model engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Number of requests that one engine runs concurrently.
    pub slots: u32,
    /// Number of tokens that fit into an engine's memory.
    pub memory_tokens: Tokens,
    /// Maximum number of tokens in one event of a stream.
    pub tokens_per_event: Tokens,
}

/// Cold start of a service's servers: for some time after their start they can handle only
/// a low load, and break down under more.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Duration of the cold phase after a server's start, in milliseconds.
    pub lasts_ms: Millis,
    /// Requests per second that a cold server can handle.
    pub requests_per_s: f64,
}

/// A service whose servers the platform lists.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the row.
    pub name: Name,
    /// Maximum number of connections to one server from all daemons together.
    pub max_connections: u32,
    /// Path of the health check.
    pub health_path: String,
    /// Properties of its engines; none for a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<Engine>,
    /// Cold start of its servers; none when they reach full speed with the first request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_start: Option<ColdStart>,
    /// Table revision that last wrote this row; set by the system.
    #[serde(default)]
    pub version: u64,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request's header section, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time limit for sending a request's header section, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time for which a connection may be idle between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}
