//! Issuers of permits or slots that did not answer, which are skipped for some time.

use std::collections::HashMap;

use bankcove_core::members::Peer;
use bankcove_core::{Millis, Name};
use parking_lot::Mutex;

/// Time for which an issuer that did not answer is skipped, in milliseconds.
const SKIPPED_MS: Millis = 1_000;

/// Issuers that did not answer, and the times until which they are skipped.
#[derive(Debug, Default)]
pub(super) struct SilentIssuers {
    until: Mutex<HashMap<Name, Millis>>,
}

impl SilentIssuers {
    /// Records that an issuer did not answer.
    pub(super) fn add(&self, now: Millis, peer: &Peer) {
        self.until.lock().insert(peer.name.clone(), now + SKIPPED_MS);
    }

    /// Records that an issuer has answered after all.
    pub(super) fn remove(&self, peer: &Peer) {
        self.until.lock().remove(&peer.name);
    }

    /// Returns whether an issuer is to be skipped.
    pub(super) fn contains(&self, now: Millis, peer: &Peer) -> bool {
        self.until.lock().get(&peer.name).is_some_and(|until| now < *until)
    }

    /// Forgets issuers that are no longer skipped.
    pub(super) fn remove_expired(&self, now: Millis) {
        self.until.lock().retain(|_, until| now < *until);
    }
}
