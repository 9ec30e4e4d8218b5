//! Errors of the client, and its exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use bankcove_core::error::RowFault;
use miette::Diagnostic;

/// Exit code: refused or at fault.
const REFUSED: u8 = 1;
/// Exit code: a row has changed since it was read.
const CONFLICT: u8 = 3;
/// Exit code: not known whether it was done.
const UNKNOWN: u8 = 4;
/// Exit code: the daemon can't be reached.
const UNREACHABLE: u8 = 5;

/// One fault of a table, for printing.
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

/// An error of this layer.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// Neither flags nor environment nor a file name a daemon.
    #[error("no {what} is given")]
    #[diagnostic(help("use --{what}, the environment's {variable}, or --config FILE"))]
    NoConnection {
        /// What is missing.
        what: &'static str,
        /// The variable that could hold it.
        variable: &'static str,
    },
    /// A file can't be read.
    #[error("can't read {}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A file does not hold what it should.
    #[error("{}: at '{place}': {problem}", path.display())]
    #[diagnostic(help("mend the file at that place"))]
    FileShape {
        /// The file.
        path: PathBuf,
        /// Path of the field.
        place: String,
        /// What is wrong there.
        problem: String,
    },
    /// A table has faults.
    #[error("the table has {} fault(s)", .0.len())]
    Faults(#[related] Vec<Fault>),
    /// The arguments can't be used.
    #[error("{0}")]
    #[diagnostic(help("see 'bankcove help'"))]
    Usage(String),
    /// The daemon refused.
    #[error("{code}: {message}")]
    Refused {
        /// Machine-readable code.
        code: String,
        /// What the daemon said.
        message: String,
    },
    /// The daemon can't be reached.
    #[error("the daemon at {address} can't be reached")]
    #[diagnostic(help("is the address a daemon's operator port? a change may be sent again"))]
    Unreachable {
        /// The address.
        address: String,
        /// What was seen.
        source: reqwest::Error,
    },
    /// The process can't be set up, or a port not be listened on.
    #[error("can't set up")]
    Setup(#[source] std::io::Error),
    /// An embedded daemon can't be started.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Daemon(#[from] bankcoved::Error),
    /// A request of the demo was not answered as it should be.
    #[error("the demo's request came to nothing: {0}")]
    Demo(String),
}

impl Error {
    /// The exit code that tells a script what happened.
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

/// Result of this layer.
pub type Result<T, E = Error> = std::result::Result<T, E>;
