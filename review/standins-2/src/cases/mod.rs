//! The cases.

pub mod bodies;
pub mod config;
pub mod drain;
pub mod streams;

use serde_json::{Value, json};

use crate::http::{Message, call};

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Returns a route to the plain service.
pub fn plain_route(name: &str, prefix: &str) -> Value {
    json!({
        "name": name, "host": HOST, "prefix": prefix, "kind": "safe", "timeout-ms": 1500,
        "goal-ms": 300, "priority": 2, "service": "order-api", "max-tries": 2, "public": false
    })
}

/// Returns a configuration with these routes.
pub fn config(version: u64, routes: &[Value]) -> Value {
    json!({
        "version": version, "routes": routes,
        "services": [{"name": "order-api", "health-path": "/health", "max-conns": 110,
                      "protocol": "h1", "tls": false}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "hule930", "api-keys": [KEY], "priority": 1, "prepaid": 100_000_000}]
    })
}

/// Sends a safe request to a daemon; the status of its answer is 0 if there was none.
pub async fn get(front: &str, id: &str, path: &str) -> Message {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\n\
         X-Key: {KEY}\r\nConnection: close\r\n\r\n"
    );
    call(front, request.as_bytes()).await.unwrap_or_default()
}
