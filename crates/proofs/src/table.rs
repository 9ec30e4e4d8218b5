//! The table that a fleet starts with, and the model and API key in it.

use bankcoved::auth::hash_key;
use serde_json::{Value, json};

/// The model of every test.
pub const MODEL: &str = "dispatch-8b";

/// The workspace's API key in every test.
pub const API_KEY: &str = "key-of-the-proof";

/// Returns a table with one workspace, one budget and one hall, and with servers at these
/// addresses.
pub fn table_with_servers(engines: &[String], services: &[String], tokens: u64) -> Value {
    let engine = |(n, address): (usize, &String)| {
        json!({
            "name": format!("engine-{n}"), "hall": "hall-1", "address": address,
            "kind": "model", "models": [MODEL], "checks_orders": true,
        })
    };
    let service = |(n, address): (usize, &String)| {
        json!({
            "name": format!("service-{n}"), "hall": "hall-1", "address": address, "kind": "service",
        })
    };
    let mut servers: Vec<Value> = engines.iter().enumerate().map(engine).collect();
    servers.extend(services.iter().enumerate().map(service));
    let mut routes =
        vec![json!({"name": "chat", "to": "model", "model": MODEL, "max_tokens": 512})];
    if !services.is_empty() {
        let names: Vec<String> = (0..services.len()).map(|n| format!("service-{n}")).collect();
        routes.push(json!({
            "name": "orders", "to": "service", "path_prefix": "/orders", "servers": names,
            "repeatable": false, "call_tokens": 5,
        }));
    }
    json!({
        "halls": [{"name": "hall-1"}],
        "workspaces": [
            {"name": "dispatch", "keys_sha256": [hash_key(API_KEY)], "default_budget": "main"},
        ],
        "budgets": [{"name": "main", "workspace": "dispatch", "tokens": tokens}],
        "servers": servers,
        "routes": routes,
    })
}
