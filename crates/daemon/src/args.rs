//! Arguments of the command line.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Routes requests to backend servers under prepaid token budgets.
///
/// The daemon stands on an entry host between callers and backend servers. It
/// reads its settings from one JSON file, takes the operators' table from the
/// platform's object API and from its peers, and keeps nothing on disk. It
/// stops on SIGTERM or SIGINT: requests in flight are finished first.
#[derive(Debug, Parser)]
#[command(name = "bankcoved", version, subcommand_negates_reqs = true)]
pub struct Args {
    /// JSON file with the settings of this daemon.
    #[arg(long, value_name = "FILE", required_unless_present = "print_defaults")]
    pub config: Option<PathBuf>,

    /// Print settings with every default written out, then exit.
    #[arg(long)]
    pub print_defaults: bool,

    /// Something other than serving.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What can be done besides serving.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a settings file as a whole and name every fault.
    Check {
        /// The JSON file.
        file: PathBuf,
    },
}
