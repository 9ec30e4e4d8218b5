//! Tells peers what this daemon has sent to servers that is still to be read there.
//!
//! A prompt is read in a quarter of a second and heartbeats come twice a second, so
//! this is told at once. In a large fleet each daemon sends a small part of what
//! there is, and to tell all of it would cost each host some hundred calls a second.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bankcove_core::Tokens;
use bankcove_core::router::UnreadReport;

use crate::membership::Membership;
use crate::peer::PeerServiceClient;

/// Shorter prompts are not told: they are read in some 30 to 60 ms, and by the time
/// that a peer knows of one it is half read.
pub const MIN_TOLD_TOKENS: Tokens = 2_000;

/// Pause between two rounds of news: what changes meanwhile is told by the next.
const PAUSE: Duration = Duration::from_millis(5);

/// Tells peers of each change, until the daemon ends.
pub async fn tell(membership: Arc<Membership>) {
    loop {
        tokio::select! {
            () = membership.unread_changed.notified() => {}
            () = membership.fleet.base.shutdown.cancelled() => return,
        }
        if membership.fleet.is_small() {
            tell_all(&membership);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn tell_all(membership: &Arc<Membership>) {
    let news = UnreadReport {
        from: membership.fleet.base.incarnation,
        number: membership.news_told.fetch_add(1, Ordering::Relaxed),
        unread: membership.view.router.lock().unread_by_server(),
    };
    let timeout = Duration::from_millis(membership.fleet.base.cfg.limits.gather_timeout_ms);
    let peers: Vec<String> =
        membership.fleet.members.lock().usable().map(|peer| peer.address.clone()).collect();
    for address in peers {
        let (membership, news) = (Arc::clone(membership), news.clone());
        tokio::spawn(async move {
            let told =
                |client: PeerServiceClient, cx| async move { client.told_unread(cx, news).await };
            // News that are lost are made good by the next ones.
            let _lost = membership.fleet.base.peers.call(&address, timeout, told).await;
        });
    }
}
