//! Errors of the daemon.

use std::path::PathBuf;

use miette::Diagnostic;

/// What is wrong with one setting.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Diagnostic)]
#[error("setting '{path}': {problem}")]
#[diagnostic(help("{fix}"))]
pub struct ConfigFault {
    /// Path of the setting; empty for the file as a whole.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// What would mend it.
    pub fix: String,
}

impl ConfigFault {
    /// A fault of the setting at `path`.
    pub fn new(path: &str, problem: &str, fix: &str) -> Self {
        ConfigFault { path: path.to_owned(), problem: problem.to_owned(), fix: fix.to_owned() }
    }
}

/// An error of this layer.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// The settings can't be read.
    #[error("can't read the settings in {}", path.display())]
    #[diagnostic(help("name a file that exists and may be read"))]
    ReadConfig {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The settings have faults.
    #[error("the settings have {} fault(s)", .0.len())]
    Config(#[related] Vec<ConfigFault>),
    /// A port can't be listened on.
    #[error("can't listen on {address}")]
    #[diagnostic(help("is another process using the port? is the address one of this host?"))]
    Listen {
        /// The address.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The process can't be set up.
    #[error("can't set up the process")]
    Setup(#[source] std::io::Error),
}

/// Result of this layer.
pub type Result<T, E = Error> = std::result::Result<T, E>;
