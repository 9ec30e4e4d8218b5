//! Exchange of crash facts with peers: new facts are sent at once, and all facts are fetched from a
//! peer whose heartbeat has a different digest, as after a start or a network cut.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::crashes::CrashFacts;

use crate::crashes::{Crashes, Origin};
use crate::peer::{FETCH_TIMEOUT, PeerServiceClient};

/// Number of peers to which new facts are sent at once. Each forwards what is new to it, so that
/// 300 daemons know of a crash after some five rounds; heartbeats reach those that were missed.
const FANOUT: usize = 6;

/// Time for which updates are collected into one message: hosts detect a crash on each of its
/// connections, one after the other. Sent one by one, the updates of a crash with 20 running
/// requests take 10,000 calls in a fleet of 87.
const BATCH_WINDOW: Duration = Duration::from_millis(50);

/// Minimum interval between two fetches, in milliseconds. An answer has up to some 500 kB when many
/// requests crash servers.
const MIN_FETCH_INTERVAL_MS: Millis = 1_000;

impl Crashes {
    /// Queues updates that are sent to peers with the next batch.
    pub(super) fn queue_facts(&self, updates: &CrashFacts) {
        self.unsent_facts.lock().push((self.fleet.base.clock.now(), updates.clone()));
        self.to_send.notify_one();
    }

    /// Sends batches of updates to a sample of the peers, until the daemon ends.
    pub async fn send_facts(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = self.to_send.notified() => {}
                () = self.fleet.base.shutdown.cancelled() => return,
            }
            tokio::time::sleep(BATCH_WINDOW).await;
            let unsent = std::mem::take(&mut *self.unsent_facts.lock());
            let now = self.fleet.base.clock.now();
            let mut updates = CrashFacts::default();
            for (at, facts) in unsent {
                // With too low an age, a block would outlive the clearance that lifted it.
                updates.merge(&facts.aged(now.saturating_sub(at)));
            }
            self.send_batch(&updates);
        }
    }

    /// Sends updates to a random sample of the peers.
    fn send_batch(self: &Arc<Self>, updates: &CrashFacts) {
        let timeout = Duration::from_millis(self.fleet.base.cfg.limits.peer_timeout_ms);
        let peers = self.fleet.members.lock().sample(FANOUT, rand::random());
        for peer in peers {
            let (crashes, updates) = (Arc::clone(self), updates.clone());
            tokio::spawn(async move {
                let send = |client: PeerServiceClient, cx| async move {
                    client.told_crashes(cx, updates).await
                };
                if crashes.fleet.base.peers.call(&peer.address, timeout, send).await.is_none() {
                    slog::debug!(crashes.fleet.base.log, "failed to send crash facts"; "peer" => %peer.name);
                }
            });
        }
    }

    /// Merges facts from a peer or from the store.
    pub fn merge_facts(self: &Arc<Self>, facts: CrashFacts) {
        let now = self.fleet.base.clock.now();
        let updates = self.change(now, |tracker| tracker.merge(now, facts));
        self.process_updates(&updates, Origin::Peer);
    }

    /// Returns all facts of this daemon, for a peer.
    pub fn facts(&self) -> CrashFacts {
        let now = self.fleet.base.clock.now();
        self.read(|tracker| tracker.facts(now)).unwrap_or_default()
    }

    /// Returns the hash of all facts of this daemon; 0 while there are none.
    pub fn digest(&self) -> u64 {
        self.digest.load(Ordering::Relaxed)
    }

    /// Removes expired crashes, blocks and clearances.
    pub fn remove_expired(&self) {
        let now = self.fleet.base.clock.now();
        if self.is_active.load(Ordering::Relaxed) {
            self.change(now, |tracker| tracker.remove_expired(now));
        }
    }

    /// Fetches the facts of the peer at `address` and merges them, if the digest in its heartbeat
    /// differs from this daemon's; at most once in `MIN_FETCH_INTERVAL_MS`.
    pub fn fetch_if_digest_differs(self: &Arc<Self>, address: &str, peer_digest: u64) {
        if peer_digest == 0 || peer_digest == self.digest() {
            return;
        }
        if !self.fetch_throttle.try_acquire(self.fleet.base.clock.now(), MIN_FETCH_INTERVAL_MS) {
            return;
        }
        let (crashes, address) = (Arc::clone(self), address.to_owned());
        tokio::spawn(async move {
            let call = |client: PeerServiceClient, cx| async move { client.crash_facts(cx).await };
            match crashes.fleet.base.peers.call(&address, FETCH_TIMEOUT, call).await {
                Some(facts) => crashes.merge_facts(facts),
                None => {
                    slog::debug!(crashes.fleet.base.log, "failed to fetch crash facts"; "peer" => &address)
                }
            }
        });
    }
}
