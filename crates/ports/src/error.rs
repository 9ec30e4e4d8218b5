//! Errors of the client.

/// An error of this layer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The API does not answer, or says that it can't now.
    #[error("the object API at {address} does not answer: {problem}")]
    Unavailable {
        /// Address of the API.
        address: String,
        /// What was seen.
        problem: String,
    },
    /// The store has forgotten what changed since the version asked for.
    #[error("the history since version {after} is gone")]
    HistoryGone {
        /// The version asked for.
        after: u64,
    },
    /// The stored value is not what was expected there.
    #[error("object {kind}/{name} can't be read: {problem}")]
    InvalidValue {
        /// Kind of the object.
        kind: String,
        /// The object's name.
        name: String,
        /// What is wrong, with the path of the field.
        problem: String,
    },
}

/// Result of this layer.
pub type Result<T, E = Error> = std::result::Result<T, E>;
