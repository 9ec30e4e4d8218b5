//! Immutable names of table rows with shared text: cheap to clone and to compare.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name in the table, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Name of a row in the table; clones share the text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Arc<str>);

impl Name {
    /// Returns the text of this name.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the text consists of 1 to 64 ASCII letters, digits, dots, dashes or
    /// underscores.
    pub fn is_well_formed(&self) -> bool {
        let text = self.as_str();
        let length_fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
        length_fits && text.chars().all(is_allowed)
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Name(Arc::from(text))
    }
}

impl From<String> for Name {
    fn from(text: String) -> Self {
        Name(Arc::from(text))
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}
