//! Command-line arguments of the daemon.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Routes requests to backend servers under prepaid token budgets.
///
/// The daemon runs on an entry host between callers and backend servers. It
/// reads its settings from one JSON file, fetches the operators' table from the
/// platform's object API and from its peers, and stores nothing on disk. On
/// SIGTERM or SIGINT it finishes the requests in flight, then stops.
#[derive(Debug, Parser)]
#[command(name = "bankcoved", version, subcommand_negates_reqs = true)]
pub struct Args {
    /// JSON file with the daemon's settings.
    #[arg(long, value_name = "FILE", required_unless_present = "print_defaults")]
    pub config: Option<PathBuf>,

    /// Print the settings with all defaults, then exit.
    #[arg(long)]
    pub print_defaults: bool,

    /// Command to run instead of serving requests.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Commands other than serving requests.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a settings file and report every fault.
    Check {
        /// The JSON settings file.
        file: PathBuf,
    },
}
