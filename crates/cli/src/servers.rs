//! The command that shows what backend servers are to a daemon.

use crate::client::Client;
use crate::config::Config;
use crate::error::Result;
use crate::output;

/// Shows which servers get requests, and why the others don't.
///
/// # Errors
/// What the operator has to be told.
pub async fn run(cfg: &Config) -> Result<()> {
    let rows = Client::new(cfg)?.servers().await?;
    output::rows(&rows, cfg.format);
    Ok(())
}
