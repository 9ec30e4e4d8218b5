//! Limits how often a daemon fetches all facts of a kind from peers.

use std::sync::atomic::{AtomicU64, Ordering};

use bankcove_core::Millis;

/// Enforces a minimum interval between fetches whose responses may be large.
#[derive(Debug, Default)]
pub struct FetchThrottle {
    /// Time of the last fetch; 0 before the first.
    last_fetch_at: AtomicU64,
}

impl FetchThrottle {
    /// Returns whether a fetch may begin now, at least `min_interval` milliseconds after the last
    /// one; if so, records that it has begun.
    pub fn try_acquire(&self, now: Millis, min_interval: Millis) -> bool {
        let last_fetch_at = self.last_fetch_at.load(Ordering::Relaxed);
        let is_allowed = last_fetch_at == 0 || now.saturating_sub(last_fetch_at) >= min_interval;
        if is_allowed {
            self.last_fetch_at.store(now.max(1), Ordering::Relaxed);
        }
        is_allowed
    }
}
