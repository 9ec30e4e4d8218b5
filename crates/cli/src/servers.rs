//! Command that shows the state of the backend servers on a daemon.

use crate::client::Client;
use crate::config::Config;
use crate::error::Result;
use crate::output;

/// Shows which servers receive requests, and why the others don't.
///
/// # Errors
/// Errors to print for the operator.
pub async fn run(cfg: &Config) -> Result<()> {
    let rows = Client::new(cfg)?.servers().await?;
    output::rows(&rows, cfg.format);
    Ok(())
}
