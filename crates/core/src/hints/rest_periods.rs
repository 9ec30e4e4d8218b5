//! Servers that have asked this daemon for rest.

use std::collections::HashMap;

use crate::Millis;
use crate::crashes::ServerStart;
use crate::hints::HOLD_MS;

#[derive(Debug, Clone, Copy, Default)]
struct Rest {
    asked_at: Millis,
    until: Millis,
}

/// Until when each server wants nothing, by this daemon's clock.
#[derive(Debug, Clone, Default)]
pub struct RestPeriods {
    known: HashMap<ServerStart, Rest>,
}

impl RestPeriods {
    /// A server asks now for a rest of `rest_ms`. Returns its end when that is later than what
    /// was known: a shorter rest does not end a longer one.
    pub fn observe(
        &mut self,
        now: Millis,
        server: &ServerStart,
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

    /// When the last rest of this start of a server ends, or has ended; 0 without one.
    pub fn end(&self, server: &ServerStart) -> Millis {
        self.known.get(server).map_or(0, |rest| rest.until)
    }

    /// Whether no server rests.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets rests that are over, and those of servers that nobody has listed for long.
    pub fn forget_old(&mut self, now: Millis, is_listed: impl Fn(&ServerStart) -> bool) {
        self.known.retain(|server, rest| {
            let is_recent = now.saturating_sub(rest.asked_at) < HOLD_MS;
            now < rest.until && (is_recent || is_listed(server))
        });
    }
}
