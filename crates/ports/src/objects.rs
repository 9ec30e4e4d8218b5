//! Kinds, names and versions of stored objects.

/// Version of an object; 0 means that the object does not exist.
pub type Version = u64;

/// Number of digits in a segment's name: a fixed width makes names sort like the numbers.
const SEGMENT_DIGITS: usize = 12;

/// Kinds of objects that bankcove keeps in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The table edited by the operators.
    Table,
    /// Shards of budgets.
    Budgets,
    /// Segments of the request log shard with this number.
    RequestLog(u32),
    /// Epochs that fence orders to backend servers.
    Epochs,
    /// Blocked requests, which no server may run.
    Blocked,
    /// Leases of the daemons that decide on rollouts.
    RolloutLeases,
    /// Versions of servers at which streams may begin.
    StreamVersions,
}

impl Kind {
    /// Returns the path segment of the kind.
    pub fn path(self) -> String {
        match self {
            Kind::Table => "tables".to_owned(),
            Kind::Budgets => "budgets".to_owned(),
            Kind::RequestLog(shard) => format!("log-{shard:02}"),
            Kind::Epochs => "epochs".to_owned(),
            Kind::Blocked => "blocked".to_owned(),
            Kind::RolloutLeases => "rollout-leases".to_owned(),
            Kind::StreamVersions => "stream-versions".to_owned(),
        }
    }
}

/// Returns the object name of the request log segment with this number.
pub fn segment_name(number: u64) -> String {
    format!("{number:0width$}", width = SEGMENT_DIGITS)
}

/// A value with the version at which it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The version.
    pub version: Version,
    /// The value.
    pub value: T,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and created this version.
    Written(Version),
    /// The object was at another version, and nothing was written. Holds the current object if
    /// the platform returns it.
    Conflict(Option<Versioned<serde_json::Value>>),
    /// The write may have taken effect; reading the object shows whether it has.
    Ambiguous,
    /// The API could not be reached, and nothing was written.
    NotSent,
}
