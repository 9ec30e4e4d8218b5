//! Errors of the decisions.

use crate::Name;

/// What is wrong with one field of one row of the table.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize, thiserror::Error)]
#[error("{sheet} '{row}', field '{field}': {problem}; {fix}")]
pub struct RowFault {
    /// The sheet: halls, workspaces, budgets, servers or routes.
    pub sheet: String,
    /// The row's name.
    pub row: Name,
    /// The field at fault.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What would mend it.
    pub fix: String,
}

/// An error of this layer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The table as a whole was refused; each fault is named.
    #[error("the table has {} fault(s)", .0.len())]
    Table(Vec<RowFault>),
    /// An edit was made from a row that has changed since.
    #[error(
        "{sheet} '{row}' is at version {found}, the edit was made from version {expected}; read it again and repeat the edit"
    )]
    RowConflict {
        /// The sheet of the row.
        sheet: String,
        /// The row's name.
        row: Name,
        /// Version that the edit was made from; 0 means "a new row".
        expected: u64,
        /// Version that stands now; 0 means "no such row".
        found: u64,
    },
    /// A row does not have the shape of its sheet.
    #[error("{sheet} '{row}': {problem}")]
    RowShape {
        /// The sheet of the row.
        sheet: String,
        /// The row's name, as far as it could be read.
        row: String,
        /// Path of the field and what is wrong there.
        problem: String,
    },
}

/// Result of this layer.
pub type Result<T, E = Error> = std::result::Result<T, E>;
