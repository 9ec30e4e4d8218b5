//! Command that shows which hosts reach which backend servers.

use crate::client::Client;
use crate::config::Config;
use crate::error::Result;
use crate::output;

/// Shows the paths of the daemon and of the peers that it has heartbeats from.
///
/// # Errors
/// Errors to print for the operator.
pub async fn run(cfg: &Config) -> Result<()> {
    let rows = Client::new(cfg)?.paths().await?;
    output::rows(&rows, cfg.format);
    Ok(())
}
