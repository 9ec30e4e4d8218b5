//! Command-line arguments.

use std::path::PathBuf;

use bankcove_core::Fingerprint;
use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};

/// Manages a fleet of bankcove daemons: their table, budgets and drains.
///
/// Each command connects to one daemon's operator port; its changes take
/// effect on all daemons within seconds. The daemon's address and the token
/// are taken from flags, from the environment, or from a JSON file with the
/// fields "server" and "token".
///
/// Exit codes: 0 success; 1 refused or failed; 2 invalid arguments; 3 a row
/// has changed since it was read; 4 unknown whether the change was made, so
/// send it again with the same --change; 5 the daemon can't be reached.
#[derive(Debug, Parser)]
#[command(name = "bankcove", version)]
pub struct Args {
    /// Daemon to connect to, and output format.
    #[command(flatten)]
    pub connection: Connection,

    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Daemon to connect to, and output format.
#[derive(Debug, Clone, ClapArgs)]
pub struct Connection {
    /// Operator port of a daemon: IP address and port.
    #[arg(long, global = true, env = "BANKCOVE_SERVER", value_name = "ADDRESS")]
    pub server: Option<String>,

    /// Operator token.
    #[arg(long, global = true, env = "BANKCOVE_TOKEN", hide_env_values = true)]
    pub token: Option<String>,

    /// JSON file with the fields "server" and "token".
    #[arg(long, global = true, env = "BANKCOVE_CONFIG", value_name = "FILE")]
    pub config: Option<PathBuf>,

    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output: Format,
}

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, ValueEnum)]
pub enum Format {
    /// Aligned columns, for people.
    #[default]
    Text,
    /// JSON, for programs.
    Json,
    /// Comma-separated values, for spreadsheets; only for tables.
    Csv,
}

/// Command to run.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Read, check and change the table of weights and limits.
    #[command(subcommand)]
    Table(TableCommand),
    /// Change one row.
    #[command(subcommand)]
    Row(RowCommand),
    /// Show budgets and add tokens to them.
    #[command(subcommand)]
    Budget(BudgetCommand),
    /// Show and unblock requests that are blocked because they crashed their servers.
    #[command(subcommand)]
    Blocked(BlockedCommand),
    /// Show which backend servers announce a limit, and how many requests the daemon may send them.
    Limits,
    /// Show which backend servers the daemon and its peers have no path to, and the tunnels that
    /// they carry for each other.
    Paths,
    /// Show which backend servers get requests from the daemon, and why the others don't.
    Servers,
    /// Create and hash keys for callers.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Stop sending new requests to a backend server; running ones are finished.
    Drain {
        /// The server's name.
        #[arg(value_name = "SERVER")]
        name: String,
    },
    /// Send new requests to a drained backend server again.
    Undrain {
        /// The server's name.
        #[arg(value_name = "SERVER")]
        name: String,
    },
    /// Stop sending new requests to the servers of a hall; running ones are finished.
    Evacuate {
        /// The hall's name.
        #[arg(value_name = "HALL")]
        name: String,
    },
    /// Send new requests to the servers of an evacuated hall again.
    Reopen {
        /// The hall's name.
        #[arg(value_name = "HALL")]
        name: String,
    },
    /// Show the status of a daemon and its peers, and whose table is outdated.
    Status,
    /// Print the full state of a daemon as JSON.
    Dump,
    /// Send requests to daemons at a constant rate and measure the answers.
    Load(LoadArgs),
    /// Run stand-ins and three daemons in this process, as a demonstration.
    Demo {
        /// Send a few requests, print the answers, and exit.
        #[arg(long)]
        once: bool,
    },
    /// Run a stand-in of a service that bankcove uses, for tests.
    #[command(hide = true, subcommand)]
    Standin(StandinCommand),
    /// Print a completion script for a shell.
    Completions {
        /// Shell for which to print the script.
        shell: clap_complete::Shell,
    },
}

/// Command for the table.
#[derive(Debug, Subcommand)]
pub enum TableCommand {
    /// Check a file and report all faults.
    Check {
        /// JSON file with the table.
        file: PathBuf,
    },
    /// Show which rows a file would change.
    Plan {
        /// JSON file with the table.
        file: PathBuf,
    },
    /// Replace the table with the one in a file; rows that are missing from the file are removed.
    Apply {
        /// JSON file with the table.
        file: PathBuf,
        /// Identifier of the change; a change sent again with the same identifier is applied only once.
        #[arg(long)]
        change: Option<String>,
    },
    /// Print the table in force at the daemon.
    Get {
        /// Print only this sheet: halls, workspaces, budgets, servers, routes or services.
        sheet: Option<String>,
    },
    /// Print the most recent changes: time, user and rows.
    History,
}

/// Command for a row.
#[derive(Debug, Subcommand)]
pub enum RowCommand {
    /// Set fields of a row, or add a row.
    ///
    /// Values are JSON; text that is not valid JSON is used as a string.
    Set {
        /// The sheet: halls, workspaces, budgets, servers, routes or services.
        sheet: String,
        /// The row's name.
        name: String,
        /// Fields to set, for example weight=2 or state=draining.
        #[arg(required = true, value_name = "FIELD=VALUE")]
        fields: Vec<String>,
        /// Version of the row on which the edit is based [default: the version in force].
        #[arg(long)]
        from_version: Option<u64>,
        /// Identifier of the change; a change sent again with the same identifier is applied only once.
        #[arg(long)]
        change: Option<String>,
    },
    /// Remove a row.
    Remove {
        /// The sheet.
        sheet: String,
        /// The row's name.
        name: String,
        /// Identifier of the change; a change sent again with the same identifier is applied only once.
        #[arg(long)]
        change: Option<String>,
    },
}

/// Command for a budget.
#[derive(Debug, Subcommand)]
pub enum BudgetCommand {
    /// Show the tokens of a budget and the daemons that hold them.
    Show {
        /// The budget's name.
        name: String,
    },
    /// Add tokens to a budget.
    TopUp {
        /// The budget's name.
        name: String,
        /// Tokens to add.
        tokens: u64,
        /// Identifier of the top-up; a top-up sent again with the same identifier counts only once.
        #[arg(long)]
        change: Option<String>,
    },
}

/// Command for blocked requests.
#[derive(Debug, Subcommand)]
pub enum BlockedCommand {
    /// List the blocked requests with the servers that each one crashed.
    List,
    /// Unblock a request on all daemons.
    Lift {
        /// Fingerprint of the request: 32 hexadecimal digits, as in the list and in logs.
        fingerprint: Fingerprint,
    },
}

/// Command for keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Create a key and print it with its hash: the key is for the caller, the hash for the table.
    New,
    /// Print the hash of a key read from standard input.
    Hash,
}

/// Stand-in to run.
#[derive(Debug, Subcommand)]
pub enum StandinCommand {
    /// The platform's object API and host list.
    Store {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: String,
    },
    /// A model engine.
    Engine {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: String,
        /// Interval between tokens, in milliseconds.
        #[arg(long, default_value_t = 4)]
        step_ms: u64,
        /// Number of requests that run at once.
        #[arg(long, default_value_t = 32)]
        slots: usize,
        /// Ignore the daemons' orders to accept or refuse requests.
        #[arg(long)]
        ignores_orders: bool,
        /// Text that crashes the process when a prompt contains it.
        #[arg(long, value_name = "TEXT")]
        crash_on: Option<String>,
    },
    /// A service without a model.
    Service {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: String,
    },
}

/// Arguments of the load generator.
#[derive(Debug, Clone, ClapArgs)]
pub struct LoadArgs {
    /// Caller ports of daemons; requests are sent to them in turn.
    #[arg(long = "target", required = true, value_name = "ADDRESS")]
    pub targets: Vec<String>,
    /// Stand-ins of backend servers; the report includes the requests that each received.
    #[arg(long = "stand-in", value_name = "ADDRESS")]
    pub stand_ins: Vec<String>,
    /// Bearer keys of workspaces; requests use them in turn.
    #[arg(long = "key", required = true)]
    pub keys: Vec<String>,
    /// Models to request; each request uses one at random.
    #[arg(long = "model", required = true)]
    pub models: Vec<String>,
    /// Number of requests to send per second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub duration: f64,
    /// Maximum length of a prompt, in bytes; lengths vary up to it.
    #[arg(long, default_value_t = 400)]
    pub prompt_bytes: usize,
    /// Output limit of each request, in tokens.
    #[arg(long, default_value_t = 16)]
    pub max_tokens: u64,
    /// Fraction of requests whose answer is streamed.
    #[arg(long, default_value_t = 0.8)]
    pub streams: f64,
    /// Prompt of a caller that repeats the same request.
    #[arg(long, value_name = "TEXT")]
    pub repeated_prompt: Option<String>,
    /// Fraction of requests that this caller sends.
    #[arg(long, default_value_t = 0.1)]
    pub repeated_share: f64,
    /// Maximum number of retries of a request that was not completed.
    #[arg(long, default_value_t = 2)]
    pub retries: u32,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
