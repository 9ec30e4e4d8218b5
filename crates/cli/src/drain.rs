//! Draining a backend server, or all of a hall, and taking it back.

use serde_json::json;

use crate::client::Client;
use crate::config::Config;
use crate::error::Result;
use crate::table;

/// Sets whether a row of this sheet, a server or a hall, takes new work.
///
/// # Errors
/// What the operator has to be told.
pub async fn run(cfg: &Config, sheet: &str, name: &str, drain: bool) -> Result<()> {
    let state = if drain { "draining" } else { "serving" };
    let fields = vec![("state".to_owned(), json!(state))];
    table::set(&Client::new(cfg)?, sheet, name, fields, None, None).await
}
