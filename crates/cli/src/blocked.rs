//! Commands for requests that are blocked because they crashed their servers.

use bankcove_core::crashes::Block;
use serde_json::{Value, json};

use crate::args::BlockedCommand;
use crate::client::Client;
use crate::config::Config;
use crate::error::Result;
use crate::output;

/// Number of milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// Runs a command for blocked requests.
///
/// # Errors
/// Errors to print for the operator.
pub async fn run(cfg: &Config, command: BlockedCommand) -> Result<()> {
    let client = Client::new(cfg)?;
    match command {
        BlockedCommand::List => {
            let rows: Vec<Value> = client.blocked().await?.iter().map(row).collect();
            output::rows(&rows, cfg.format);
        }
        BlockedCommand::Lift { fingerprint } => {
            client.lift(fingerprint).await?;
            println!("request {fingerprint} is no longer blocked");
        }
    }
    Ok(())
}

fn row(block: &Block) -> Value {
    let servers: Vec<&str> = block.servers.iter().map(|name| name.as_str()).collect();
    json!({
        "fingerprint": block.request, "blocked s ago": block.age_ms / SECOND_MS,
        "servers": servers.join(", "),
    })
}
