//! The command that shows the limits of backend servers.

use crate::client::Client;
use crate::config::Config;
use crate::error::Result;
use crate::output;

/// Shows the limits that the daemon knows of.
///
/// # Errors
/// What the operator has to be told.
pub async fn run(cfg: &Config) -> Result<()> {
    let rows = Client::new(cfg)?.limits().await?;
    output::rows(&rows, cfg.format);
    Ok(())
}
