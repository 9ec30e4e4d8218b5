//! Commands of requests that crashed their servers.

use bankcove_core::crashes::Sentence;
use serde_json::{Value, json};

use crate::args::CondemnedCommand;
use crate::client::Client;
use crate::config::Config;
use crate::error::Result;
use crate::output;

/// Milliseconds of a second.
const SECOND_MS: u64 = 1_000;

/// Runs a command of condemned requests.
///
/// # Errors
/// What the operator has to be told.
pub async fn run(cfg: &Config, command: CondemnedCommand) -> Result<()> {
    let client = Client::new(cfg)?;
    match command {
        CondemnedCommand::List => {
            let rows: Vec<Value> = client.condemned().await?.iter().map(row).collect();
            output::rows(&rows, cfg.format);
        }
        CondemnedCommand::Lift { fingerprint } => {
            client.lift(fingerprint).await?;
            println!("request {fingerprint} may run again");
        }
    }
    Ok(())
}

fn row(sentence: &Sentence) -> Value {
    let servers: Vec<&str> = sentence.servers.iter().map(|name| name.as_str()).collect();
    json!({
        "fingerprint": sentence.request, "condemned s ago": sentence.age_ms / SECOND_MS,
        "servers": servers.join(", "),
    })
}
