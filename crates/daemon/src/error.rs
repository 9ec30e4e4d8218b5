//! Errors of the daemon.

use std::path::PathBuf;

use miette::Diagnostic;

/// Invalid setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("setting '{path}': {problem}")]
#[diagnostic(help("{fix}"))]
pub struct ConfigFault {
    /// Path of the setting; empty if the fault concerns the whole file.
    pub path: String,
    /// Description of the problem.
    pub problem: String,
    /// Suggested correction.
    pub fix: String,
}

impl ConfigFault {
    /// Creates a fault of the setting at `path`.
    pub fn new(path: &str, problem: &str, fix: &str) -> Self {
        ConfigFault { path: path.to_owned(), problem: problem.to_owned(), fix: fix.to_owned() }
    }
}

/// Error of the daemon.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// The settings file can't be read.
    #[error("can't read the settings in {}", path.display())]
    #[diagnostic(help("name a file that exists and may be read"))]
    ReadConfig {
        /// Path of the settings file.
        path: PathBuf,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// Some settings are invalid.
    #[error("the settings have {} fault(s)", .0.len())]
    Config(#[related] Vec<ConfigFault>),
    /// An address can't be bound.
    #[error("can't listen on {address}")]
    #[diagnostic(help("is another process using the port? is the address one of this host?"))]
    Listen {
        /// The address.
        address: String,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The runtime, a signal handler, the HTTP client or the metrics socket can't be set up.
    #[error("can't set up the process")]
    Setup(#[source] std::io::Error),
}

/// Result type of the daemon.
pub type Result<T, E = Error> = std::result::Result<T, E>;
