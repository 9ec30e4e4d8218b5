//! Stand-ins as separate processes, for tests.

use std::time::Duration;

use bankcove_standins::engine::Settings;
use bankcove_standins::{RunningStandIn, engine, service, store};
use serde_json::json;

use crate::args::StandinCommand;
use crate::error::{Error, Result};

/// Prints the address of a stand-in and runs it until the process ends.
///
/// # Errors
/// When the port can't be listened on.
pub async fn run(command: StandinCommand) -> Result<()> {
    let mut running = start(command).await.map_err(Error::Setup)?;
    println!("{}", json!({"address": running.address()}));
    running.wait().await;
    Ok(())
}

async fn start(command: StandinCommand) -> std::io::Result<RunningStandIn> {
    match command {
        StandinCommand::Store { listen } => store::start(&listen).await,
        StandinCommand::Service { listen } => service::start(&listen).await,
        StandinCommand::Engine { listen, step_ms, slots, ignores_orders, crash_on } => {
            let step = Duration::from_millis(step_ms);
            let settings = Settings { step, slots, checks_orders: !ignores_orders, crash_on };
            engine::start(&listen, settings).await
        }
    }
}
