//! Rows of routes, which assign callers' requests to backend servers.

use serde::{Deserialize, Serialize};

use crate::table::one_weight;
use crate::{Name, Tokens};

/// A service's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// Service that gets this share.
    pub service: Name,
    /// Weight relative to the route's other shares.
    #[serde(default = "one_weight")]
    pub weight: f64,
}

/// The requests that a route matches and the servers that serve them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "to", rename_all = "snake_case")]
pub enum RouteTarget {
    /// Servers of a model, for requests to the chat-completions interface.
    Model {
        /// Model that callers request.
        model: Name,
    },
    /// Plain services, matched by a path prefix.
    Service {
        /// Prefix of the paths that are routed to `servers`.
        path_prefix: String,
        /// Names of the plain services.
        servers: Vec<Name>,
    },
    /// Services whose servers the platform lists, matched by the `Host` header
    /// and a path prefix.
    Host {
        /// Value of the `Host` header.
        host: String,
        /// Prefix of the paths that are routed to `split`; the longest match wins.
        path_prefix: String,
        /// Services and their shares.
        split: Vec<ServiceShare>,
    },
}

/// Assignment of callers' requests to backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the row.
    pub name: Name,
    /// Requests that it matches, and the servers that serve them.
    #[serde(flatten)]
    pub target: RouteTarget,
    /// Output limit of requests that specify none, and the highest one allowed, in tokens.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Price of one call to a plain service, in tokens.
    #[serde(default)]
    pub call_tokens: Tokens,
    /// Engine priority of its requests; higher runs first.
    #[serde(default)]
    pub priority: i32,
    /// Whether a request may be run again when its outcome is unknown.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Time limit of the whole request, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum number of servers to which one request is sent.
    #[serde(default = "default_max_tries")]
    pub max_tries: u32,
    /// Time within which a response, or the first event of a stream, is of full
    /// use to the caller, in milliseconds; 0 when unknown.
    #[serde(default)]
    pub goal_ms: u64,
    /// Longest time between two events of a stream that is of full use to the
    /// caller, in milliseconds; none when unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause_goal_ms: Option<u64>,
    /// Whether callers may omit the key.
    #[serde(default)]
    pub public: bool,
    /// Whether the response is a stream of events.
    #[serde(default)]
    pub streams: bool,
    /// Whether an interrupted stream may be resumed at another server.
    #[serde(default)]
    pub resumable: bool,
    /// Regions whose servers may serve it; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<Name>,
    /// Table revision that last wrote this row; set by the system.
    #[serde(default)]
    pub version: u64,
}

fn default_max_tokens() -> u64 {
    512
}

fn default_deadline_ms() -> u64 {
    60_000
}

fn default_max_tries() -> u32 {
    3
}

fn yes() -> bool {
    true
}
