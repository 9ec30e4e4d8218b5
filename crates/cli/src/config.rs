//! Connection settings. Flags take precedence over the environment, and the environment takes
//! precedence over a file.

use std::path::Path;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::args::{Connection, Format};
use crate::error::{Error, Result};

/// Daemon to connect to, and output format.
#[derive(Debug, Clone)]
pub struct Config {
    server: Option<String>,
    token: Option<String>,
    /// Output format.
    pub format: Format,
}

#[derive(Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct File {
    server: Option<String>,
    token: Option<String>,
}

impl Config {
    /// Builds the configuration from the command line, and from the file that it names.
    ///
    /// # Errors
    /// [`Error::ReadFile`] or [`Error::FileShape`] when the file can't be used.
    pub fn new(connection: &Connection) -> Result<Self> {
        let file: File = match &connection.config {
            Some(path) => read_json(path)?,
            None => File::default(),
        };
        Ok(Config {
            server: connection.server.clone().or(file.server),
            token: connection.token.clone().or(file.token),
            format: connection.output,
        })
    }

    /// Returns the address of the daemon's operator port.
    ///
    /// # Errors
    /// [`Error::NoConnection`] when none is configured.
    pub fn server(&self) -> Result<&str> {
        let missing = Error::NoConnection { what: "server", variable: "BANKCOVE_SERVER" };
        self.server.as_deref().ok_or(missing)
    }

    /// Returns the operators' token.
    ///
    /// # Errors
    /// [`Error::NoConnection`] when none is configured.
    pub fn token(&self) -> Result<&str> {
        let missing = Error::NoConnection { what: "token", variable: "BANKCOVE_TOKEN" };
        self.token.as_deref().ok_or(missing)
    }
}

/// Reads a JSON file; errors contain the path of the invalid field.
///
/// # Errors
/// [`Error::ReadFile`] or [`Error::FileShape`].
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::ReadFile { path: path.to_owned(), source })?;
    let mut json = serde_json::Deserializer::from_str(&text);
    serde_path_to_error::deserialize(&mut json).map_err(|e| Error::FileShape {
        path: path.to_owned(),
        place: e.path().to_string(),
        problem: e.inner().to_string(),
    })
}
