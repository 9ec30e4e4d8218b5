//! Errors and exit codes of the client.

use std::path::PathBuf;
use std::process::ExitCode;

use bankcove_core::error::RowFault;
use miette::Diagnostic;

/// Exit code: refused or failed.
const REFUSED: u8 = 1;
/// Exit code: a row has changed since it was read.
const CONFLICT: u8 = 3;
/// Exit code: unknown whether the change was made.
const UNKNOWN: u8 = 4;
/// Exit code: the daemon can't be reached.
const UNREACHABLE: u8 = 5;

/// Fault of a table, for printing.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{sheet} '{row}', field '{field}': {problem}")]
#[diagnostic(help("{fix}"))]
pub struct Fault {
    sheet: String,
    row: String,
    field: String,
    problem: String,
    fix: String,
}

impl From<RowFault> for Fault {
    fn from(fault: RowFault) -> Self {
        Fault {
            sheet: fault.sheet,
            row: fault.row.to_string(),
            field: fault.field,
            problem: fault.problem,
            fix: fault.fix,
        }
    }
}

/// Error of the client.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// No address or token is given by flags, environment or file.
    #[error("no {what} is configured")]
    #[diagnostic(help(
        "set it with --{what}, the environment variable {variable}, or a file given with --config"
    ))]
    NoConnection {
        /// Name of the missing setting.
        what: &'static str,
        /// Environment variable that may contain it.
        variable: &'static str,
    },
    /// A file can't be read.
    #[error("can't read {}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Error of the system.
        source: std::io::Error,
    },
    /// A file's content is not valid.
    #[error("{}: at '{place}': {problem}", path.display())]
    #[diagnostic(help("correct the file at this place"))]
    FileShape {
        /// The file.
        path: PathBuf,
        /// Path of the invalid field.
        place: String,
        /// Description of the problem.
        problem: String,
    },
    /// A table has faults.
    #[error("the table has {} fault(s)", .0.len())]
    Faults(#[related] Vec<Fault>),
    /// The arguments can't be used.
    #[error("{0}")]
    #[diagnostic(help("see 'bankcove help'"))]
    Usage(String),
    /// The daemon refused the request.
    #[error("{code}: {message}")]
    Refused {
        /// Machine-readable code.
        code: String,
        /// Message of the daemon.
        message: String,
    },
    /// The daemon can't be reached.
    #[error("the daemon at {address} can't be reached")]
    #[diagnostic(help(
        "check that the address is the operator port of a daemon; a change sent again with the \
         same --change is applied only once"
    ))]
    Unreachable {
        /// Address of its operator port.
        address: String,
        /// Error of the connection.
        source: reqwest::Error,
    },
    /// The process can't be set up, or a port can't be listened on.
    #[error("can't set up the process")]
    Setup(#[source] std::io::Error),
    /// An embedded daemon can't be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Daemon(#[from] bankcoved::Error),
    /// A request of the demo failed.
    #[error("a request of the demo failed: {0}")]
    Demo(String),
}

impl Error {
    /// Returns the exit code for scripts.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            Error::Refused { code, .. } if code == "row_conflict" => CONFLICT,
            Error::Refused { code, .. } if code == "unknown" => UNKNOWN,
            Error::Unreachable { .. } => UNREACHABLE,
            _ => REFUSED,
        };
        ExitCode::from(code)
    }
}

/// Result of the client.
pub type Result<T, E = Error> = std::result::Result<T, E>;
