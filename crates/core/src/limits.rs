//! Request rate limits that backend servers announce, in requests per second from the whole
//! fleet of daemons.
//!
//! `header` parses them, `tracker` holds those in force, `issuer` issues permits for the whole
//! fleet, `leases` holds the permits of one daemon, and `retry_schedule` computes retry delays
//! for callers.

mod header;
mod issuer;
mod leases;
mod retry_schedule;
mod tracker;

pub use header::{LimitHeader, RequestRate};
pub use issuer::{ISSUERS_PER_SERVER, Issued, Issuer, IssuerPosition, PermitRequest};
pub use leases::{Leases, PERMIT_LIFETIME_MS};
pub use retry_schedule::RetrySchedule;
pub use tracker::{LimitChange, LimitFact, LimitTracker, MAX_TRANSIT_MS};
