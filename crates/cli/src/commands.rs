//! Dispatch of the subcommands, and implementation of the small ones.

use clap::CommandFactory;
use serde_json::{Value, json};

use crate::args::{Args, Command, Format, KeyCommand};
use crate::client::Client;
use crate::config::Config;
use crate::error::{Error, Result};
use crate::{blocked, budget, demo, drain, limits, load, output, paths, servers, standin, table};

/// Length of a new key, in bytes.
const KEY_BYTES: usize = 32;

/// Runs the command.
///
/// # Errors
/// Errors to print for the operator.
pub fn run(args: Args) -> Result<()> {
    let cfg = Config::new(&args.connection)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.map_err(Error::Setup)?.block_on(run_command(&cfg, args.command))
}

async fn run_command(cfg: &Config, command: Command) -> Result<()> {
    match command {
        Command::Table(command) => table::run(cfg, command).await,
        Command::Row(command) => table::run_row(cfg, command).await,
        Command::Budget(command) => budget::run(cfg, command).await,
        Command::Blocked(command) => blocked::run(cfg, command).await,
        Command::Limits => limits::run(cfg).await,
        Command::Paths => paths::run(cfg).await,
        Command::Servers => servers::run(cfg).await,
        Command::Key(command) => key(command),
        Command::Drain { name } => drain::run(cfg, "servers", &name, true).await,
        Command::Undrain { name } => drain::run(cfg, "servers", &name, false).await,
        Command::Evacuate { name } => drain::run(cfg, "halls", &name, true).await,
        Command::Reopen { name } => drain::run(cfg, "halls", &name, false).await,
        Command::Status => status(cfg).await,
        Command::Dump => {
            output::json(&Client::new(cfg)?.dump().await?);
            Ok(())
        }
        Command::Load(args) => load::run(&args, cfg.format).await,
        Command::Demo { once } => demo::run(once).await,
        Command::Standin(command) => standin::run(command).await,
        Command::Completions { shell } => {
            let mut command = Args::command();
            clap_complete::generate(shell, &mut command, "bankcove", &mut std::io::stdout());
            Ok(())
        }
    }
}

fn key(command: KeyCommand) -> Result<()> {
    let key = match command {
        KeyCommand::New => {
            let bytes: [u8; KEY_BYTES] = rand::random();
            bytes.iter().map(|byte| format!("{byte:02x}")).collect()
        }
        KeyCommand::Hash => {
            let mut line = String::new();
            std::io::stdin().read_line(&mut line).map_err(Error::Setup)?;
            line.trim().to_owned()
        }
    };
    if matches!(command, KeyCommand::New) {
        println!("key    {key}");
        println!("sha256 {}", bankcoved::auth::hash_key(&key));
    } else {
        println!("{}", bankcoved::auth::hash_key(&key));
    }
    Ok(())
}

async fn status(cfg: &Config) -> Result<()> {
    let status = Client::new(cfg)?.status().await?;
    if cfg.format == Format::Json {
        output::json(&status);
        return Ok(());
    }
    let summary = json!({
        "name": status["name"], "hall": status["hall"], "revision": status["revision"],
        "in flight": status["requests_in_flight"], "bills waiting": status["bills_waiting"],
        "store heard ms ago": status["store_heard_ms_ago"], "stopping": status["stopping"],
    });
    output::rows(&[summary], cfg.format);
    let newest = newest_revision(&status);
    let peers = status["peers"].as_array().cloned().unwrap_or_default();
    let peers: Vec<Value> = peers.into_iter().map(|peer| with_lag(peer, newest)).collect();
    println!();
    output::rows(&peers, cfg.format);
    Ok(())
}

fn newest_revision(status: &Value) -> u64 {
    let peers = status["peers"].as_array().into_iter().flatten();
    let revisions = peers.filter_map(|peer| peer["revision"].as_u64());
    revisions.chain(status["revision"].as_u64()).max().unwrap_or(0)
}

/// Adds the number of revisions by which the peer's table is outdated.
fn with_lag(mut peer: Value, newest: u64) -> Value {
    let revision = peer["revision"].as_u64().unwrap_or(0);
    peer["revisions behind"] = json!(newest - revision);
    peer
}
