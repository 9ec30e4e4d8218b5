//! Commands that drain a backend server or a whole hall, and undo it.

use serde_json::json;

use crate::client::Client;
use crate::config::Config;
use crate::error::Result;
use crate::table;

/// Sets whether a server or a hall, a row of `sheet`, accepts new requests.
///
/// # Errors
/// Errors to print for the operator.
pub async fn run(cfg: &Config, sheet: &str, name: &str, drain: bool) -> Result<()> {
    let state = if drain { "draining" } else { "serving" };
    let fields = vec![("state".to_owned(), json!(state))];
    table::set(&Client::new(cfg)?, sheet, name, fields, None, None).await
}
