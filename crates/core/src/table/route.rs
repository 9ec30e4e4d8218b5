//! Rows of routes: ways from a caller's request to backend servers.

use serde::{Deserialize, Serialize};

use crate::table::one_weight;
use crate::{Name, Tokens};

/// A part of a route's requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceShare {
    /// The service that takes this part.
    pub service: Name,
    /// Its part, against the route's other shares.
    #[serde(default = "one_weight")]
    pub weight: f64,
}

/// What a route leads to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "to", rename_all = "snake_case")]
pub enum RouteTarget {
    /// Servers that serve this model, by the chat-completions interface.
    Model {
        /// The model that callers ask for.
        model: Name,
    },
    /// Plain services, by the first part of the path.
    Service {
        /// Paths that begin so are led to `servers`.
        path_prefix: String,
        /// The plain services.
        servers: Vec<Name>,
    },
    /// Services whose servers the platform lists, by the caller's `Host` header
    /// and the first part of the path.
    Host {
        /// The host that callers name.
        host: String,
        /// Paths that begin so are led to `split`; the longest one wins.
        path_prefix: String,
        /// The services, each with its part.
        split: Vec<ServiceShare>,
    },
}

/// A way from a caller's request to backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The row's name.
    pub name: Name,
    /// What it leads to.
    #[serde(flatten)]
    pub target: RouteTarget,
    /// Output limit of callers that give none, and the most that one may ask.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u64,
    /// Price of one call of a plain service, in tokens.
    #[serde(default)]
    pub call_tokens: Tokens,
    /// Higher goes first at the engine.
    #[serde(default)]
    pub priority: i32,
    /// Whether a request may run again when its outcome is not known.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// Longest time for the whole request, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Servers that one request may be sent to, at most.
    #[serde(default = "default_max_tries")]
    pub max_tries: u32,
    /// Time within which an answer (of a stream its first event) is of full
    /// use to the caller, in milliseconds; 0 when that is not known.
    #[serde(default)]
    pub goal_ms: u64,
    /// Longest time between two events of a stream that is of full use to the
    /// caller, in milliseconds; none when that is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause_goal_ms: Option<u64>,
    /// Whether callers need no key.
    #[serde(default)]
    pub public: bool,
    /// Whether the answer is a stream of events.
    #[serde(default)]
    pub streams: bool,
    /// Whether a broken stream may go on at another server.
    #[serde(default)]
    pub resumable: bool,
    /// Regions whose servers may serve it; with none all may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<Name>,
    /// Revision of the table that wrote this row last; written by the system.
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
