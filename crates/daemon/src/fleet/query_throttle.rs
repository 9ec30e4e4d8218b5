//! How often a daemon asks others for all that they know.

use std::sync::atomic::{AtomicU64, Ordering};

use bankcove_core::Millis;

/// Keeps questions apart whose answers may be long.
#[derive(Debug, Default)]
pub struct QueryThrottle {
    /// When the last one was asked; 0 before the first.
    asked_at: AtomicU64,
}

impl QueryThrottle {
    /// Whether a question may be asked now, at least `pause` milliseconds after the last one; it
    /// counts as asked then.
    pub fn try_acquire(&self, now: Millis, pause: Millis) -> bool {
        let asked_at = self.asked_at.load(Ordering::Relaxed);
        let may_ask = asked_at == 0 || now.saturating_sub(asked_at) >= pause;
        if may_ask {
            self.asked_at.store(now.max(1), Ordering::Relaxed);
        }
        may_ask
    }
}
