//! Tells peers of crashes: what is new at once, and all of it to one that knows something
//! else, by the digests in heartbeats (a start, a return from a cut).

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::crashes::CrashFacts;

use crate::crashes::{Origin, take_news};
use crate::daemon::Daemon;
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

/// Peers are to be told this, with what else is new by then.
pub(super) fn tell(daemon: &Daemon, news: &CrashFacts) {
    daemon.crashes.news.lock().push((daemon.clock.now(), news.clone()));
    daemon.crashes.to_tell.notify_one();
}

/// Tells some peers what is new, until the daemon ends.
pub async fn tell_news(daemon: Arc<Daemon>) {
    loop {
        tokio::select! {
            () = daemon.crashes.to_tell.notified() => {}
            () = daemon.ended.cancelled() => return,
        }
        tokio::time::sleep(GATHER).await;
        let gathered = std::mem::take(&mut *daemon.crashes.news.lock());
        let now = daemon.clock.now();
        let mut news = CrashFacts::default();
        for (at, facts) in gathered {
            // A block that seems younger than it is would outlive the word that lifted it.
            news.add(&facts.aged(now.saturating_sub(at)));
        }
        tell_some(&daemon, &news);
    }
}

fn tell_some(daemon: &Arc<Daemon>, news: &CrashFacts) {
    let timeout = Duration::from_millis(daemon.cfg.limits.peer_timeout_ms);
    let peers = daemon.members.lock().some(TOLD_AT_ONCE, rand::random());
    for peer in peers {
        let (daemon, news) = (Arc::clone(daemon), news.clone());
        tokio::spawn(async move {
            let told =
                |client: PeerServiceClient, cx| async move { client.told_crashes(cx, news).await };
            if daemon.peers.call(&peer.address, timeout, told).await.is_none() {
                slog::debug!(daemon.log, "crashes not told"; "peer" => %peer.name);
            }
        });
    }
}

/// Takes in what a peer has told.
pub fn told(daemon: &Arc<Daemon>, facts: CrashFacts) {
    let now = daemon.clock.now();
    let news = daemon.crashes.change(now, |book| book.told(now, facts));
    take_news(daemon, &news, Origin::Told);
}

/// All that is known here, for a peer.
pub fn facts(daemon: &Daemon) -> CrashFacts {
    let now = daemon.clock.now();
    daemon.crashes.read(|book| book.facts(now)).unwrap_or_default()
}

/// Hash of all that is known here; 0 while nothing is.
pub fn digest(daemon: &Daemon) -> u64 {
    daemon.crashes.digest.load(Ordering::Relaxed)
}

/// Forgets what is too long ago.
pub fn forget_old(daemon: &Daemon) {
    let now = daemon.clock.now();
    if daemon.crashes.is_active.load(Ordering::Relaxed) {
        daemon.crashes.change(now, |book| book.forget_old(now));
    }
}

/// A peer's heartbeat had this digest: asks it for what it knows if that is something else.
pub fn heard_digest(daemon: &Arc<Daemon>, address: &str, told: u64) {
    if told == 0 || told == digest(daemon) {
        return;
    }
    let now = daemon.clock.now();
    let asked_at = daemon.crashes.asked_at.load(Ordering::Relaxed);
    if asked_at > 0 && now.saturating_sub(asked_at) < ASK_PAUSE_MS {
        return;
    }
    daemon.crashes.asked_at.store(now.max(1), Ordering::Relaxed);
    let (daemon, address) = (Arc::clone(daemon), address.to_owned());
    tokio::spawn(async move {
        let ask = |client: PeerServiceClient, cx| async move { client.crash_facts(cx).await };
        match daemon.peers.call(&address, FETCH_TIMEOUT, ask).await {
            Some(facts) => self::told(&daemon, facts),
            None => slog::debug!(daemon.log, "crashes not asked for"; "peer" => &address),
        }
    });
}
