//! Command that shows the limits of backend servers.

use crate::client::Client;
use crate::config::Config;
use crate::error::Result;
use crate::output;

/// Shows the limits known to the daemon.
///
/// # Errors
/// Errors to print for the operator.
pub async fn run(cfg: &Config) -> Result<()> {
    let rows = Client::new(cfg)?.limits().await?;
    output::rows(&rows, cfg.format);
    Ok(())
}
