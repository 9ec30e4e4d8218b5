//! Errors of this crate.

use crate::Name;

/// Invalid field of a table row.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, thiserror::Error)]
#[error("{sheet} '{row}', field '{field}': {problem}; {fix}")]
pub struct RowFault {
    /// Sheet of the row: halls, workspaces, budgets, servers, routes or services.
    pub sheet: String,
    /// Name of the row.
    pub row: Name,
    /// Name of the invalid field.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
    /// Suggested correction.
    pub fix: String,
}

/// Error of this crate.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The table was rejected because of these faults.
    #[error("the table has {} fault(s)", .0.len())]
    Table(Vec<RowFault>),
    /// The row has changed since the version on which the edit is based.
    #[error(
        "{sheet} '{row}' is at version {found}, the edit was made from version {expected}; read it again and repeat the edit"
    )]
    RowConflict {
        /// Sheet of the row.
        sheet: String,
        /// Name of the row.
        row: Name,
        /// Version on which the edit is based; 0 means "a new row".
        expected: u64,
        /// Current version; 0 means "no such row".
        found: u64,
    },
    /// The row does not match the schema of its sheet.
    #[error("{sheet} '{row}': {problem}")]
    RowShape {
        /// Sheet of the row.
        sheet: String,
        /// Name of the row, if it could be read.
        row: String,
        /// Path of the field and description of the problem.
        problem: String,
    },
}

/// Result of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
