//! Software versions of streams: a stream that was interrupted may go on only at servers of the
//! version that sent its first event.
//!
//! The daemon that carries a stream knows its version. Other daemons learn it from records
//! (`records`), or conclude it from the pool's servers: `history` shows whether all that were listed
//! for as long as a stream can last had one version. The store keeps the versions at which streams may
//! have begun (`admitted`). A version that is not known is never assumed.

mod admitted;
mod history;
mod records;

pub use admitted::{Admission, AdmittedVersions};
pub use history::{MAX_LIFE_MS, MAX_NEWS_AGE_MS, NEW_VERSION_DELAY_MS, VersionHistory};
pub use records::{Lookup, MAX_RECORDS, Source, StreamKey, StreamRecords};

use serde::{Deserialize, Serialize};

use crate::{Millis, Name};

/// Versions at which a stream may go on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Binding {
    /// The caller has no event yet: all versions.
    #[default]
    Unbound,
    /// This version alone.
    Bound(Name),
    /// None, as the version of the server that began it is unknown.
    Unknown,
}

impl Binding {
    /// Returns the binding of a stream that a server of this version has begun.
    pub fn to(version: Option<&Name>) -> Self {
        version.map_or(Binding::Unknown, |version| Binding::Bound(version.clone()))
    }

    /// Returns the only version at which the stream may go on, if it is bound to one.
    pub fn version(&self) -> Option<&Name> {
        if let Binding::Bound(version) = self { Some(version) } else { None }
    }
}

/// What a daemon knows of the version of a stream, as it tells a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamAnswer {
    /// It has a record of the stream.
    Recorded {
        /// The version.
        version: Name,
        /// Age of the record, in milliseconds.
        age_ms: Millis,
    },
    /// All servers of the pool have had this version for as long as a stream can last.
    OnlyVersion(Name),
    /// It has records of two versions.
    Contradictory,
    /// It knows nothing.
    Unknown,
}
