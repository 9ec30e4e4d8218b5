//! Objects, their kinds and versions.

/// Version of an object; 0 means that there is no such object.
pub type Version = u64;

/// Digits of a segment's number, so that names sort as numbers do.
const SEGMENT_DIGITS: usize = 12;

/// Kinds of objects that bankcove keeps in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The operators' table.
    Table,
    /// Shards of budgets.
    Budgets,
    /// Segments of this shard of the request log.
    RequestLog(u32),
    /// Epochs of fenced orders.
    Epochs,
    /// Requests that run nowhere any more.
    Blocked,
}

impl Kind {
    /// The kind as it stands in a path.
    pub fn path(self) -> String {
        match self {
            Kind::Table => "tables".to_owned(),
            Kind::Budgets => "budgets".to_owned(),
            Kind::RequestLog(shard) => format!("log-{shard:02}"),
            Kind::Epochs => "epochs".to_owned(),
            Kind::Blocked => "blocked".to_owned(),
        }
    }
}

/// Name of the segment of this number.
pub fn segment_name(number: u64) -> String {
    format!("{number:0width$}", width = SEGMENT_DIGITS)
}

/// A value and the version that it was read at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The version.
    pub version: Version,
    /// The value.
    pub value: T,
}

/// What became of a conditional update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and made this version.
    Written(Version),
    /// The object was at another version; nothing was written. The object as
    /// it is, where the platform tells.
    Conflict(Option<Versioned<serde_json::Value>>),
    /// It may have taken effect: read the object to find out.
    Ambiguous,
    /// The API could not be reached at all; nothing was written.
    NotSent,
}
