//! Limits that backend servers name: so many requests a second from all daemons together.
//!
//! `word` reads them, `book` knows those in force, `issuer` hands out permits for the whole
//! fleet, `leases` keeps what one daemon has of them, and `returns` tells callers when to come
//! back.

mod book;
mod issuer;
mod leases;
mod returns;
mod word;

pub use book::{Change, LimitBook, LimitFact, UNDER_WAY_MS};
pub use issuer::{ISSUERS, Issued, Issuer, Place, Wish};
pub use leases::{Leases, PERMIT_MS};
pub use returns::Returns;
pub use word::{LimitWord, RequestRate};
