//! Limits that backend servers name: so many requests a second from all daemons together.
//!
//! `word` reads them, `book` knows those in force, `issuer` hands out permits for the whole
//! fleet, `leases` keeps what one daemon has of them, and `returns` tells callers when to come
//! back.

mod header;
mod issuer;
mod leases;
mod retry_schedule;
mod tracker;

pub use header::{LimitHeader, RequestRate};
pub use issuer::{ISSUERS_PER_SERVER, Issued, Issuer, IssuerRank, PermitRequest};
pub use leases::{Leases, PERMIT_LIFETIME_MS};
pub use retry_schedule::RetrySchedule;
pub use tracker::{LimitChange, LimitFact, LimitTracker, MAX_TRANSIT_MS};
