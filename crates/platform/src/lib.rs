//! Client of the platform's object API and host list.
//!
//! An answer that was lost after the write took effect is a value of its own,
//! [`WriteOutcome::Ambiguous`]: the caller settles it by reading the object.

mod client;
mod error;
mod objects;

pub use client::{Client, ListPage};
pub use error::{Error, Result};
pub use objects::{Kind, Version, Versioned, WriteOutcome, segment_name};
