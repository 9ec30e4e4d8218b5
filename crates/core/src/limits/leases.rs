//! Permits that one daemon holds and has not used yet.

use std::collections::HashMap;

use crate::Millis;
use crate::crashes::ServerStart;
use crate::limits::issuer::MAX_PERMITS_PER_REQUEST;

/// How long a permit may be used after it was asked for, in milliseconds: a daemon that was
/// suspended must not use it when it wakes, and what is left over counts as used.
pub const PERMIT_LIFETIME_MS: Millis = 250;

/// How long permits count as scarce after none was to be had, in milliseconds.
const SCARCE_MS: Millis = 10_000;

#[derive(Debug, Clone, Copy, Default)]
struct Lease {
    permits: u32,
    until: Millis,
    /// Permits used since `counted_from`.
    used: u32,
    counted_from: Millis,
    /// When none was to be had.
    denied_at: Option<Millis>,
}

/// The permits of one daemon, by server.
#[derive(Debug, Clone, Default)]
pub struct Leases {
    leases: HashMap<ServerStart, Lease>,
}

impl Leases {
    /// Takes a permit for this server, when one is left; returns until when it may be used.
    pub fn take(&mut self, now: Millis, server: &ServerStart) -> Option<Millis> {
        let lease = self.leases.get_mut(server)?;
        if lease.permits == 0 || now >= lease.until {
            return None;
        }
        lease.permits -= 1;
        lease.used += 1;
        Some(lease.until)
    }

    /// Takes in permits that were asked for at `asked_at`.
    pub fn add(&mut self, asked_at: Millis, server: &ServerStart, permits: u32) {
        let lease = self.leases.entry(server.clone()).or_default();
        if asked_at >= lease.until {
            lease.permits = 0;
        }
        // The shortest of their times holds for all.
        let until = asked_at + PERMIT_LIFETIME_MS;
        lease.until = if lease.permits == 0 { until } else { lease.until.min(until) };
        lease.permits += permits;
    }

    /// Takes back a permit that was not used, while it may still be.
    pub fn give_back(&mut self, now: Millis, server: &ServerStart, until: Millis) {
        if now >= until {
            return;
        }
        if let Some(lease) = self.leases.get_mut(server).filter(|lease| lease.until == until) {
            lease.permits += 1;
            lease.used = lease.used.saturating_sub(1);
        }
    }

    /// Takes in that none was to be had.
    pub fn record_denial(&mut self, now: Millis, server: &ServerStart) {
        self.leases.entry(server.clone()).or_default().denied_at = Some(now);
    }

    /// Whether none was to be had of late. One request at a time asks then: each ask in vain
    /// makes others wait longer.
    pub fn is_scarce(&self, now: Millis, server: &ServerStart) -> bool {
        let denied_at = self.leases.get(server).and_then(|lease| lease.denied_at);
        denied_at.is_some_and(|at| now < at + SCARCE_MS)
    }

    /// How many permits are worth asking for: one, and as many as were used of late.
    pub fn permits_to_request(&mut self, now: Millis, server: &ServerStart) -> u32 {
        let lease = self.leases.entry(server.clone()).or_default();
        if now >= lease.counted_from + PERMIT_LIFETIME_MS {
            lease.used =
                if now < lease.counted_from + 2 * PERMIT_LIFETIME_MS { lease.used / 2 } else { 0 };
            lease.counted_from = now;
        }
        (1 + lease.used).min(MAX_PERMITS_PER_REQUEST)
    }

    /// Permits left for this server.
    pub fn left(&self, now: Millis, server: &ServerStart) -> u32 {
        let lease = self.leases.get(server).filter(|lease| now < lease.until);
        lease.map_or(0, |lease| lease.permits)
    }

    /// Forgets servers without a limit.
    pub fn retain(&mut self, is_limited: impl Fn(&ServerStart) -> bool) {
        self.leases.retain(|server, _| is_limited(server));
    }
}
