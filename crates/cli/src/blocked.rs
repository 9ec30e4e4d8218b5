//! Commands of requests that crashed their servers.

use bankcove_core::crashes::Block;
use serde_json::{Value, json};

use crate::args::BlockedCommand;
use crate::client::Client;
use crate::config::Config;
use crate::error::Result;
use crate::output;

/// Milliseconds of a second.
const SECOND_MS: u64 = 1_000;

/// Runs a command of blocked requests.
///
/// # Errors
/// What the operator has to be told.
pub async fn run(cfg: &Config, command: BlockedCommand) -> Result<()> {
    let client = Client::new(cfg)?;
    match command {
        BlockedCommand::List => {
            let rows: Vec<Value> = client.blocked().await?.iter().map(row).collect();
            output::rows(&rows, cfg.format);
        }
        BlockedCommand::Lift { fingerprint } => {
            client.lift(fingerprint).await?;
            println!("request {fingerprint} may run again");
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
