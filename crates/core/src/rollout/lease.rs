//! Lease by which one daemon at a time decides on a rollout. It is kept in the store.
//!
//! A holder counts its lease from before the write that renewed it. Another daemon takes it over
//! only after it has seen the same record for the whole duration by its own clock, so clocks need
//! not agree.

use serde::{Deserialize, Serialize};

use crate::rollout::RolloutKey;
use crate::{Incarnation, Millis};

/// Duration of a lease, in milliseconds.
pub const LEASE_MS: Millis = 2_000;

/// Part of a lease that its holder does not use, in milliseconds: a write that is decided in it
/// still arrives before another daemon decides.
const RESERVE_MS: Millis = 700;

/// Remaining time of a lease at which its holder renews it, in milliseconds.
const RENEW_MS: Millis = 1_300;

/// Record of a lease in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The rollout.
    pub rollout: RolloutKey,
    /// Number of the lease; each takeover raises it.
    pub epoch: u64,
    /// The holder.
    pub holder: Incarnation,
    /// Time since the order, in milliseconds, at the last renewal.
    pub elapsed_ms: Millis,
}

/// One daemon's view of a lease.
#[derive(Debug, Clone, Default)]
pub struct Lease {
    /// Version of the record that this daemon has written, and the end of its lease.
    held: Option<(u64, Millis)>,
    /// Version of another daemon's record, and when it was first seen.
    seen: Option<(u64, Millis)>,
    epoch: u64,
}

impl Lease {
    /// Returns whether this daemon may decide now.
    pub fn is_held(&self, now: Millis) -> bool {
        self.held.is_some_and(|(_, until)| now + RESERVE_MS < until)
    }

    /// Returns whether this daemon holds the lease and should renew it.
    pub fn is_renewal_due(&self, now: Millis) -> bool {
        self.held.is_some_and(|(_, until)| now + RENEW_MS >= until)
    }

    /// Returns the number of the lease.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records what the store holds: the version and epoch of the record, `None` without one.
    pub fn record_read(&mut self, now: Millis, read: Option<(u64, u64)>) {
        let Some((version, epoch)) = read else {
            self.seen = None;
            return;
        };
        self.epoch = self.epoch.max(epoch);
        if self.seen.is_none_or(|(seen, _)| seen != version) {
            self.seen = Some((version, now));
        }
    }

    /// Returns the version of the record that a claim replaces, 0 if there is none; `None` while
    /// another daemon may hold the lease. For its holder, that is the record to renew.
    pub fn claimable(&self, now: Millis) -> Option<u64> {
        if let Some((version, until)) = self.held
            && now < until
        {
            return Some(version);
        }
        match self.seen {
            None => Some(0),
            Some((version, since)) => (now >= since + LEASE_MS).then_some(version),
        }
    }

    /// Records that this daemon has written the record, by a write that began at `asked_at`.
    pub fn record_written(&mut self, asked_at: Millis, version: u64, epoch: u64) {
        self.held = Some((version, asked_at + LEASE_MS));
        self.seen = Some((version, asked_at));
        self.epoch = epoch;
    }

    /// Records that a write failed or has an unknown outcome: the lease ends.
    pub fn record_lost(&mut self) {
        self.held = None;
    }
}
