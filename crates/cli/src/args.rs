//! Arguments of the command line.

use std::path::PathBuf;

use bankcove_core::Fingerprint;
use clap::{Args as ClapArgs, Parser, Subcommand, ValueEnum};

/// Runs a fleet of bankcove daemons: their table, budgets and drains.
///
/// Each command talks to one daemon's operator port; what it changes is in
/// force at all of them within seconds. The daemon's address and the token
/// come from flags, from the environment, or from a JSON file with the fields
/// "server" and "token".
///
/// Exit codes: 0 done; 1 refused or at fault; 2 unusable arguments; 3 a row
/// has changed since it was read; 4 not known whether it was done, so send it
/// again; 5 the daemon can't be reached.
#[derive(Debug, Parser)]
#[command(name = "bankcove", version)]
pub struct Args {
    /// Which daemon to talk to and how to print.
    #[command(flatten)]
    pub connection: Connection,

    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Which daemon to talk to, and how to print.
#[derive(Debug, Clone, ClapArgs)]
pub struct Connection {
    /// Operator port of a daemon, IP number and port.
    #[arg(long, global = true, env = "BANKCOVE_SERVER", value_name = "ADDRESS")]
    pub server: Option<String>,

    /// The operators' token.
    #[arg(long, global = true, env = "BANKCOVE_TOKEN", hide_env_values = true)]
    pub token: Option<String>,

    /// JSON file with the fields "server" and "token".
    #[arg(long, global = true, env = "BANKCOVE_CONFIG", value_name = "FILE")]
    pub config: Option<PathBuf>,

    /// How to print.
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output: Format,
}

/// How to print.
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

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Read, check and change the table of weights and limits.
    #[command(subcommand)]
    Table(TableCommand),
    /// Change one row.
    #[command(subcommand)]
    Row(RowCommand),
    /// Look at budgets and add to them.
    #[command(subcommand)]
    Budget(BudgetCommand),
    /// Look at requests that crashed their servers and run nowhere any more.
    #[command(subcommand)]
    Blocked(BlockedCommand),
    /// Show which backend servers name a limit, and what the daemon may send them.
    Limits,
    /// Show which backend servers get requests from the daemon, and why the others don't.
    Servers,
    /// Make keys for callers.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Let a backend server finish its work and take nothing new.
    Drain {
        /// The server's name.
        #[arg(value_name = "SERVER")]
        name: String,
    },
    /// Let a drained backend server take work again.
    Undrain {
        /// The server's name.
        #[arg(value_name = "SERVER")]
        name: String,
    },
    /// Give the servers of a hall nothing new; what runs there goes on.
    Evacuate {
        /// The hall's name.
        #[arg(value_name = "HALL")]
        name: String,
    },
    /// Let the servers of an evacuated hall take work again.
    Reopen {
        /// The hall's name.
        #[arg(value_name = "HALL")]
        name: String,
    },
    /// Show a daemon and its peers, and who is behind with the table.
    Status,
    /// Print everything that a daemon knows, as JSON.
    Dump,
    /// Send requests to a daemon at a steady rate and measure the answers.
    Load(LoadArgs),
    /// Run stand-ins and three daemons in this process, for a first look.
    Demo {
        /// Send a few requests, print what came of them, and exit.
        #[arg(long)]
        once: bool,
    },
    /// Run a stand-in of what stands around bankcove, for tests.
    #[command(hide = true, subcommand)]
    Standin(StandinCommand),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// What to do with the table.
#[derive(Debug, Subcommand)]
pub enum TableCommand {
    /// Check a file as a whole and name every fault.
    Check {
        /// JSON file with the table.
        file: PathBuf,
    },
    /// Show which rows a file would change.
    Plan {
        /// JSON file with the table.
        file: PathBuf,
    },
    /// Make the table what a file says; rows that the file lacks are removed.
    Apply {
        /// JSON file with the table.
        file: PathBuf,
        /// Identity of the change; a repeat with the same one counts once.
        #[arg(long)]
        change: Option<String>,
    },
    /// Print the table in force at the daemon.
    Get {
        /// Only this sheet: halls, workspaces, budgets, servers or routes.
        sheet: Option<String>,
    },
    /// Print the last changes: when, who, which rows.
    History,
}

/// What to do with a row.
#[derive(Debug, Subcommand)]
pub enum RowCommand {
    /// Set fields of a row, or add a row.
    ///
    /// Values are JSON; text that is no JSON is taken as a string.
    Set {
        /// The sheet: halls, workspaces, budgets, servers or routes.
        sheet: String,
        /// The row's name.
        name: String,
        /// Fields, like weight=2 or state=draining.
        #[arg(required = true, value_name = "FIELD=VALUE")]
        fields: Vec<String>,
        /// Version that the edit is made from; the one in force when left out.
        #[arg(long)]
        from_version: Option<u64>,
        /// Identity of the change; a repeat with the same one counts once.
        #[arg(long)]
        change: Option<String>,
    },
    /// Remove a row.
    Remove {
        /// The sheet.
        sheet: String,
        /// The row's name.
        name: String,
        /// Identity of the change; a repeat with the same one counts once.
        #[arg(long)]
        change: Option<String>,
    },
}

/// What to do with a budget.
#[derive(Debug, Subcommand)]
pub enum BudgetCommand {
    /// Show what a budget has and who holds it.
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
        /// Identity of the top-up; a repeat with the same one counts once.
        #[arg(long)]
        change: Option<String>,
    },
}

/// What to do with blocked requests.
#[derive(Debug, Subcommand)]
pub enum BlockedCommand {
    /// Show them, with the servers that crashed under each.
    List,
    /// Let one run again, at all daemons.
    Lift {
        /// Its fingerprint, 32 hexadecimal digits, as in the list and in logs.
        fingerprint: Fingerprint,
    },
}

/// What to do with keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Make a new key; the table takes its hash, the caller the key itself.
    New,
    /// Print the hash of a key that is read from standard input.
    Hash,
}

/// A stand-in.
#[derive(Debug, Subcommand)]
pub enum StandinCommand {
    /// The platform's object API and host list.
    Store {
        /// Where to listen.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: String,
    },
    /// A model engine.
    Engine {
        /// Where to listen.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: String,
        /// Time between two tokens, in milliseconds.
        #[arg(long, default_value_t = 4)]
        step_ms: u64,
        /// Requests that run at once.
        #[arg(long, default_value_t = 32)]
        slots: usize,
        /// Whether it ignores orders.
        #[arg(long)]
        ignores_orders: bool,
        /// A prompt with this in it crashes the process.
        #[arg(long, value_name = "TEXT")]
        crash_on: Option<String>,
    },
    /// A plain service.
    Service {
        /// Where to listen.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: String,
    },
}

/// What load to send.
#[derive(Debug, Clone, ClapArgs)]
pub struct LoadArgs {
    /// Caller ports of daemons; requests go to them in turn.
    #[arg(long = "target", required = true, value_name = "ADDRESS")]
    pub targets: Vec<String>,
    /// Stand-ins of backend servers, of which it is told what each got.
    #[arg(long = "stand-in", value_name = "ADDRESS")]
    pub stand_ins: Vec<String>,
    /// Bearer keys of workspaces; requests use them in turn.
    #[arg(long = "key", required = true)]
    pub keys: Vec<String>,
    /// Models to ask for; each request takes one at random.
    #[arg(long = "model", required = true)]
    pub models: Vec<String>,
    /// Requests a second.
    #[arg(long, default_value_t = 20.0)]
    pub rate: f64,
    /// How long to send, in seconds.
    #[arg(long, default_value_t = 10.0)]
    pub duration: f64,
    /// Greatest length of a prompt, in bytes; lengths vary below it.
    #[arg(long, default_value_t = 400)]
    pub prompt_bytes: usize,
    /// Output limit of each request, in tokens.
    #[arg(long, default_value_t = 16)]
    pub max_tokens: u64,
    /// Share of requests that ask for a stream.
    #[arg(long, default_value_t = 0.8)]
    pub streams: f64,
    /// Prompt of a caller that sends the same request again and again.
    #[arg(long, value_name = "TEXT")]
    pub repeated_prompt: Option<String>,
    /// Share of requests that are this caller's.
    #[arg(long, default_value_t = 0.1)]
    pub repeated_share: f64,
    /// Retries of a request that was not done, as a caller would.
    #[arg(long, default_value_t = 2)]
    pub retries: u32,
    /// Seed of everything that is drawn at random.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}
