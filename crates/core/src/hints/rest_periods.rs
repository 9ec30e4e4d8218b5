//! Rest periods: times for which a server has asked this daemon, by `Retry-After`, to send nothing.

use std::collections::HashMap;

use crate::Millis;
use crate::crashes::ServerInstance;
use crate::hints::UNLISTED_RETENTION_MS;

#[derive(Debug, Clone, Copy, Default)]
struct RestPeriod {
    asked_at: Millis,
    until: Millis,
}

/// The rest period of each server instance, by this daemon's clock.
#[derive(Debug, Clone, Default)]
pub struct RestPeriods {
    known: HashMap<ServerInstance, RestPeriod>,
}

impl RestPeriods {
    /// Records that a server instance requests a rest of `rest_ms` from now. Returns the new end if
    /// it is later than the known one: a shorter rest does not end a longer one.
    pub fn record(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        rest_ms: Millis,
    ) -> Option<Millis> {
        let until = now.saturating_add(rest_ms);
        let known = self.known.entry(server.clone()).or_default();
        known.asked_at = now;
        if until <= known.until {
            return None;
        }
        known.until = until;
        Some(until)
    }

    /// Returns the end of this instance's last rest period, which may be in the past; 0 if it has
    /// none.
    pub fn end(&self, server: &ServerInstance) -> Millis {
        self.known.get(server).map_or(0, |rest| rest.until)
    }

    /// Returns whether no rest period is stored.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Removes rest periods that have ended, and those of unlisted servers that were requested
    /// at least 600 s ago.
    pub fn remove_expired(&mut self, now: Millis, is_listed: impl Fn(&ServerInstance) -> bool) {
        self.known.retain(|server, rest| {
            let is_recent = now.saturating_sub(rest.asked_at) < UNLISTED_RETENTION_MS;
            now < rest.until && (is_recent || is_listed(server))
        });
    }
}
