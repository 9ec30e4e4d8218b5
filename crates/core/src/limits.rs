//! Limits that backend servers name: so many requests a second from all daemons together.

mod word;

pub use word::{LimitWord, RequestRate};
