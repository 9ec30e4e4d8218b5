//! Contact of one attempt with its group of servers, and how it notices that the path is lost.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bankcove_core::Millis;
use bankcove_core::paths::{Evidence, ServerGroup};

use crate::paths::Paths;

/// Time without data from a group with open requests after which its servers are probed, in
/// milliseconds.
const SILENCE_MS: Millis = 400;

/// Data received directly from the servers of one group.
#[derive(Debug, Default)]
pub(super) struct GroupContact {
    /// Time of the latest data.
    heard_at: AtomicU64,
}

impl GroupContact {
    /// Returns the time since the latest data, in milliseconds.
    pub(super) fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.heard_at.load(Ordering::Relaxed))
    }

    /// Returns the time of the latest data.
    pub(super) fn heard_at(&self) -> Millis {
        self.heard_at.load(Ordering::Relaxed)
    }

    fn record(&self, now: Millis) {
        self.heard_at.fetch_max(now, Ordering::Relaxed);
    }
}

/// Contact of one attempt with its group over the direct path.
pub struct Contact {
    paths: Arc<Paths>,
    group: ServerGroup,
    of_group: Arc<GroupContact>,
    /// Time at which the attempt was sent, or of the latest data for it.
    heard_at: Millis,
}

impl Contact {
    /// Records data for this attempt.
    pub fn record_data(&mut self) {
        self.heard_at = self.paths.fleet.base.clock.now();
        self.of_group.record(self.heard_at);
    }

    /// Records that the attempt has failed in this way.
    pub fn record_failure(&self, evidence: Evidence) {
        self.paths.record_evidence(&self.group, evidence);
    }

    /// Waits for the time after which silence is suspicious, and has the group probed if no other
    /// request has received data from it either. Never returns.
    pub async fn watch_silence(&self) -> Infallible {
        let clock = &self.paths.fleet.base.clock;
        let mut quiet_since = self.heard_at;
        loop {
            clock.sleep_until(quiet_since + SILENCE_MS).await;
            quiet_since = clock.now();
            if self.of_group.age(quiet_since) >= SILENCE_MS {
                self.paths.record_evidence(&self.group, Evidence::Silent);
            }
        }
    }
}

impl Paths {
    /// Returns the contact of an attempt that is about to be sent directly.
    pub fn contact(self: &Arc<Self>, group: &ServerGroup) -> Contact {
        let heard_at = self.fleet.base.clock.now();
        let of_group = Arc::clone(self.contacts.lock().entry(group.clone()).or_default());
        Contact { paths: Arc::clone(self), group: group.clone(), of_group, heard_at }
    }
}
