//! Slots of brittle servers, leased to daemons.
//!
//! A brittle server falls over when it rejects more requests in a second than it bears. The number
//! of requests that all daemons have open there is therefore bounded in one place: each request
//! holds a slot, leased by the server's issuer, the first daemon by rendezvous hashing that answers.
//!
//! `issuer` leases the slots of a server and queues the requests that wait for one, `window` bounds
//! the number of leases by what the server rejects, and `held` are the slots of one daemon.

mod held;
mod issuer;
mod window;

pub use held::HeldSlots;
pub use issuer::{Grant, Requested, SlotAnswer, SlotIssuer, SlotRequest, SlotStats};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Number of daemons by rendezvous hashing that may issue the slots of one server.
pub const SLOT_ISSUERS: usize = 3;

/// Interval at which daemons renew their leases, in milliseconds.
pub const RENEW_INTERVAL_MS: Millis = 300;

/// Lifetime of a lease that is not renewed, in milliseconds: that of a host that has died, so two
/// renewals may be lost.
pub const LEASE_MS: Millis = 1_000;

/// Number of a slot, unique among those of one daemon incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SlotId(pub u64);
