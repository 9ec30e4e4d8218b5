//! Tells peers of crashes: what is new at once, and all of it to one that knows something
//! else, by the digests in heartbeats (a start, a return from a cut).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::crashes::CrashFacts;

use crate::crashes::{Crashes, Origin};
use crate::peer::{FETCH_TIMEOUT, PeerServiceClient};

/// Peers that are told at once. Each passes on what is new to it, so that 300 daemons know of
/// a crash after some five rounds; heartbeats reach those that were left out.
const TOLD_AT_ONCE: usize = 6;

/// How long news are gathered: a crash shows at each of its connections, one after the other, at
/// many hosts. Told one by one, 20 requests aboard are 10,000 calls in a fleet of 87 (computed).
const GATHER: Duration = Duration::from_millis(50);

/// Shortest time between two questions for all that a peer knows, in milliseconds: up to some
/// 500 kB under a flood of such requests.
const ASK_PAUSE_MS: Millis = 1_000;

impl Crashes {
    /// Peers are to be told this, with what else is new by then.
    pub(super) fn tell(&self, news: &CrashFacts) {
        self.news.lock().push((self.fleet.base.clock.now(), news.clone()));
        self.to_tell.notify_one();
    }

    /// Tells some peers what is new, until the daemon ends.
    pub async fn tell_news(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = self.to_tell.notified() => {}
                () = self.fleet.base.shutdown.cancelled() => return,
            }
            tokio::time::sleep(GATHER).await;
            let gathered = std::mem::take(&mut *self.news.lock());
            let now = self.fleet.base.clock.now();
            let mut news = CrashFacts::default();
            for (at, facts) in gathered {
                // A block that seems younger than it is would outlive the word that lifted it.
                news.merge(&facts.aged(now.saturating_sub(at)));
            }
            self.tell_some(&news);
        }
    }

    fn tell_some(self: &Arc<Self>, news: &CrashFacts) {
        let timeout = Duration::from_millis(self.fleet.base.cfg.limits.peer_timeout_ms);
        let peers = self.fleet.members.lock().sample(TOLD_AT_ONCE, rand::random());
        for peer in peers {
            let (crashes, news) = (Arc::clone(self), news.clone());
            tokio::spawn(async move {
                let told = |client: PeerServiceClient, cx| async move {
                    client.told_crashes(cx, news).await
                };
                if crashes.fleet.base.peers.call(&peer.address, timeout, told).await.is_none() {
                    slog::debug!(crashes.fleet.base.log, "crashes not told"; "peer" => %peer.name);
                }
            });
        }
    }

    /// Takes in what a peer has told.
    pub fn told(self: &Arc<Self>, facts: CrashFacts) {
        let now = self.fleet.base.clock.now();
        let news = self.change(now, |book| book.merge(now, facts));
        self.take_news(&news, Origin::Told);
    }

    /// All that is known here, for a peer.
    pub fn facts(&self) -> CrashFacts {
        let now = self.fleet.base.clock.now();
        self.read(|book| book.facts(now)).unwrap_or_default()
    }

    /// Hash of all that is known here; 0 while nothing is.
    pub fn digest(&self) -> u64 {
        self.digest.load(Ordering::Relaxed)
    }

    /// Forgets what is too long ago.
    pub fn forget_old(&self) {
        let now = self.fleet.base.clock.now();
        if self.is_active.load(Ordering::Relaxed) {
            self.change(now, |book| book.forget_old(now));
        }
    }

    /// A peer's heartbeat had this digest: asks it for what it knows if that is something else.
    pub fn heard_digest(self: &Arc<Self>, address: &str, told: u64) {
        if told == 0 || told == self.digest() {
            return;
        }
        if !self.asked.may_ask(self.fleet.base.clock.now(), ASK_PAUSE_MS) {
            return;
        }
        let (crashes, address) = (Arc::clone(self), address.to_owned());
        tokio::spawn(async move {
            let ask = |client: PeerServiceClient, cx| async move { client.crash_facts(cx).await };
            match crashes.fleet.base.peers.call(&address, FETCH_TIMEOUT, ask).await {
                Some(facts) => crashes.told(facts),
                None => {
                    slog::debug!(crashes.fleet.base.log, "crashes not asked for"; "peer" => &address)
                }
            }
        });
    }
}
