//! Contact of one attempt with its group of servers, and how it notices that the path is lost.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bankcove_core::paths::{Evidence, ServerGroup};
use bankcove_core::{Millis, Name};

use crate::paths::Paths;

/// Time without data from a group with open requests after which its servers are probed, in
/// milliseconds.
const SILENCE_MS: Millis = 400;

/// Time without data after which an attempt on a lost path is given up, in milliseconds.
const GIVE_UP_MS: Millis = 1_000;

/// Data received directly from the servers of one group.
#[derive(Debug, Default)]
pub(super) struct GroupContact {
    /// Time of the latest data.
    heard_at: AtomicU64,
    /// Number of times that the path was lost.
    losses: AtomicU64,
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

    /// Records that the path was lost.
    pub(super) fn record_loss(&self) {
        self.losses.fetch_add(1, Ordering::Relaxed);
    }

    fn record(&self, now: Millis) {
        self.heard_at.fetch_max(now, Ordering::Relaxed);
    }
}

/// Contact of one attempt with its server.
pub enum Contact {
    /// Over this host's own path.
    Direct(DirectContact),
    /// Through this peer.
    ThroughPeer(Name),
}

/// Contact of one attempt with its group over the direct path.
pub struct DirectContact {
    paths: Arc<Paths>,
    group: ServerGroup,
    of_group: Arc<GroupContact>,
    /// Time at which the attempt was sent, or of the latest data for it.
    heard_at: Millis,
}

impl Contact {
    /// Records data for this attempt.
    pub fn record_data(&mut self) {
        if let Contact::Direct(contact) = self {
            contact.heard_at = contact.paths.fleet.base.clock.now();
            contact.of_group.record(contact.heard_at);
        }
    }

    /// Records that the attempt has failed in this way.
    pub fn record_failure(&self, evidence: Evidence) {
        if let Contact::Direct(contact) = self {
            contact.paths.record_evidence(&contact.group, evidence);
        }
    }

    /// Returns how many times the direct path to the group was lost: connections from before the
    /// last loss may be dead.
    pub fn losses(&self) -> u64 {
        match self {
            Contact::Direct(contact) => contact.of_group.losses.load(Ordering::Relaxed),
            Contact::ThroughPeer(_) => 0,
        }
    }

    /// Waits until the direct path is lost and nothing has been received for some time, neither for
    /// this attempt nor from its group. Has the group probed when it is silent.
    pub async fn lost(&self) {
        match self {
            Contact::Direct(contact) => contact.lost().await,
            Contact::ThroughPeer(_) => std::future::pending().await,
        }
    }
}

impl DirectContact {
    async fn lost(&self) {
        let clock = &self.paths.fleet.base.clock;
        clock.sleep_until(self.heard_at + SILENCE_MS).await;
        loop {
            let changed = self.paths.changed.notified();
            let now = clock.now();
            let silent_ms = now.saturating_sub(self.heard_at).min(self.of_group.age(now));
            if self.paths.is_lost(&self.group) && silent_ms >= GIVE_UP_MS {
                return;
            }
            if silent_ms >= SILENCE_MS {
                self.paths.record_evidence(&self.group, Evidence::Silent);
            }
            tokio::select! {
                () = changed => {}
                () = clock.sleep_until(now + SILENCE_MS) => {}
            }
        }
    }
}

impl Paths {
    /// Returns the contact of an attempt that is about to be sent directly.
    pub(super) fn direct_contact(self: &Arc<Self>, group: &ServerGroup) -> Contact {
        let heard_at = self.fleet.base.clock.now();
        let of_group = Arc::clone(self.contacts.lock().entry(group.clone()).or_default());
        let paths = Arc::clone(self);
        Contact::Direct(DirectContact { paths, group: group.clone(), of_group, heard_at })
    }
}
