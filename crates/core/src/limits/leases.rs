//! Permits that one daemon holds and has not used yet.

use std::collections::HashMap;

use crate::Millis;
use crate::crashes::ServerInstance;
use crate::limits::issuer::MAX_PERMITS_PER_REQUEST;

/// Lifetime of a permit from the time it was requested, in milliseconds. It keeps a daemon that
/// was suspended from using old permits on resume; unused permits count as used.
pub const PERMIT_LIFETIME_MS: Millis = 250;

/// Time for which permits are considered scarce after a denial, in milliseconds.
const SCARCE_MS: Millis = 10_000;

/// Permits for one server instance, with a common expiry time.
#[derive(Debug, Clone, Copy, Default)]
struct Lease {
    permits: u32,
    until: Millis,
    /// Permits used since `window_start`.
    used: u32,
    window_start: Millis,
    /// Time of the last denial.
    denied_at: Option<Millis>,
}

/// Permits of one daemon, by server instance.
#[derive(Debug, Clone, Default)]
pub struct Leases {
    leases: HashMap<ServerInstance, Lease>,
}

impl Leases {
    /// Takes a permit for this server if one is available; returns its expiry time.
    pub fn take(&mut self, now: Millis, server: &ServerInstance) -> Option<Millis> {
        let lease = self.leases.get_mut(server)?;
        if lease.permits == 0 || now >= lease.until {
            return None;
        }
        lease.permits -= 1;
        lease.used += 1;
        Some(lease.until)
    }

    /// Adds permits that were requested at `requested_at`.
    pub fn add(&mut self, requested_at: Millis, server: &ServerInstance, permits: u32) {
        let lease = self.leases.entry(server.clone()).or_default();
        if requested_at >= lease.until {
            lease.permits = 0;
        }
        // All permits of the lease share the earliest expiry time.
        let until = requested_at + PERMIT_LIFETIME_MS;
        lease.until = if lease.permits == 0 { until } else { lease.until.min(until) };
        lease.permits += permits;
    }

    /// Returns an unused permit to the lease, unless it has expired.
    pub fn give_back(&mut self, now: Millis, server: &ServerInstance, until: Millis) {
        if now >= until {
            return;
        }
        if let Some(lease) = self.leases.get_mut(server).filter(|lease| lease.until == until) {
            lease.permits += 1;
            lease.used = lease.used.saturating_sub(1);
        }
    }

    /// Records that no permit could be obtained.
    pub fn record_denial(&mut self, now: Millis, server: &ServerInstance) {
        self.leases.entry(server.clone()).or_default().denied_at = Some(now);
    }

    /// Returns whether permits were denied recently. Callers should then ask for one request at a
    /// time, because each denied request makes the others wait longer.
    pub fn is_scarce(&self, now: Millis, server: &ServerInstance) -> bool {
        let denied_at = self.leases.get(server).and_then(|lease| lease.denied_at);
        denied_at.is_some_and(|at| now < at + SCARCE_MS)
    }

    /// Returns the number of permits to request: one, plus the number used recently.
    pub fn permits_to_request(&mut self, now: Millis, server: &ServerInstance) -> u32 {
        let lease = self.leases.entry(server.clone()).or_default();
        if now >= lease.window_start + PERMIT_LIFETIME_MS {
            lease.used =
                if now < lease.window_start + 2 * PERMIT_LIFETIME_MS { lease.used / 2 } else { 0 };
            lease.window_start = now;
        }
        (1 + lease.used).min(MAX_PERMITS_PER_REQUEST)
    }

    /// Returns the number of valid permits held for this server.
    pub fn available(&self, now: Millis, server: &ServerInstance) -> u32 {
        let lease = self.leases.get(server).filter(|lease| now < lease.until);
        lease.map_or(0, |lease| lease.permits)
    }

    /// Removes the leases of servers for which `is_limited` is false.
    pub fn retain(&mut self, is_limited: impl Fn(&ServerInstance) -> bool) {
        self.leases.retain(|server, _| is_limited(server));
    }
}
