//! Reports to peers the prompt tokens that this daemon has sent to servers and that are not read
//! there yet.
//!
//! A prompt is read in a quarter of a second and heartbeats are sent twice a second, so changes
//! are reported at once. In a large fleet no reports are sent: each daemon sends a small part of
//! all prompts, and the reports would cost each host some hundred calls a second.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bankcove_core::Tokens;
use bankcove_core::router::UnreadReport;

use crate::membership::Membership;
use crate::peer::PeerServiceClient;

/// Length of the shortest reported prompt, in tokens. Shorter ones are read in some 30 to 60 ms;
/// by the time that a peer receives the report, half of the prompt is read.
pub const MIN_REPORTED_TOKENS: Tokens = 2_000;

/// Pause between two reports; the next one covers all changes meanwhile.
const REPORT_PAUSE: Duration = Duration::from_millis(5);

/// Sends a report to all peers after each change, in a small fleet, until the daemon ends.
pub async fn send_on_change(membership: Arc<Membership>) {
    loop {
        tokio::select! {
            () = membership.unread_changed.notified() => {}
            () = membership.fleet.base.shutdown.cancelled() => return,
        }
        if membership.fleet.is_small() {
            send_to_all(&membership);
        }
        tokio::time::sleep(REPORT_PAUSE).await;
    }
}

/// Sends a report to all usable peers, without waiting for their responses.
fn send_to_all(membership: &Arc<Membership>) {
    let report = UnreadReport {
        from: membership.fleet.base.incarnation,
        number: membership.unread_reports_sent.fetch_add(1, Ordering::Relaxed),
        unread: membership.view.router.lock().unread_by_server(),
    };
    let timeout = Duration::from_millis(membership.fleet.base.cfg.limits.gather_timeout_ms);
    let peers: Vec<String> =
        membership.fleet.members.lock().usable().map(|peer| peer.address.clone()).collect();
    for address in peers {
        let (membership, report) = (Arc::clone(membership), report.clone());
        tokio::spawn(async move {
            let request =
                |client: PeerServiceClient, cx| async move { client.told_unread(cx, report).await };
            // A lost report is replaced by the next one.
            let _lost = membership.fleet.base.peers.call(&address, timeout, request).await;
        });
    }
}
