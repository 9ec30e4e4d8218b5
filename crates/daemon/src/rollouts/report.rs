//! Reports outcomes to the decider of each rollout; its answers set this daemon's share.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::members::Peer;
use bankcove_core::rollout::{RolloutKey, RolloutOrder};
use xxhash_rust::xxh3::xxh3_64;

use crate::peer::{PeerServiceClient, RolloutReport};
use crate::rollouts::{Part, Rollouts};

/// Number of daemons that may decide on a rollout, in the order of their rank.
const CANDIDATES: usize = 3;

/// Shortest and longest interval between two reports, in milliseconds, and the part of it for each
/// daemon, so that a decider gets some 500 reports a second at most in a fleet of up to 500.
const INTERVAL_RANGE_MS: (Millis, Millis) = (200, 1_000);
const INTERVAL_PER_DAEMON_MS: Millis = 2;

/// Time after which the next candidate takes over from one that does not answer, in milliseconds.
const TAKEOVER_MS: Millis = 800;

/// Reports to the deciders of all running rollouts until the daemon ends.
pub async fn report(rollouts: Arc<Rollouts>) {
    let mut last_answer_at = rollouts.fleet.base.clock.now();
    loop {
        let daemons = rollouts.fleet.size().unwrap_or(1) as Millis;
        let (shortest, longest) = INTERVAL_RANGE_MS;
        let interval = (daemons * INTERVAL_PER_DAEMON_MS).clamp(shortest, longest);
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(interval)) => {}
            () = rollouts.fleet.base.shutdown.cancelled() => return,
        }
        let running: Vec<RolloutOrder> = rollouts.list.lock().running().cloned().collect();
        if running.is_empty() {
            last_answer_at = rollouts.fleet.base.clock.now();
        }
        for order in running {
            if report_one(&rollouts, &order, last_answer_at).await {
                last_answer_at = rollouts.fleet.base.clock.now();
            }
        }
    }
}

/// Reports on one rollout to its decider; returns whether one has answered.
async fn report_one(
    rollouts: &Arc<Rollouts>,
    order: &RolloutOrder,
    last_answer_at: Millis,
) -> bool {
    let key = order.key();
    let now = rollouts.fleet.base.clock.now();
    let outcomes = {
        let mut parts = rollouts.parts.lock();
        parts.entry(key.clone()).or_insert_with(|| Part::new(now)).outcomes.clone()
    };
    let report =
        RolloutReport { rollout: key.clone(), from: rollouts.fleet.base.incarnation, outcomes };
    for (rank, candidate) in candidates(rollouts, &key).into_iter().enumerate() {
        let asked_at = rollouts.fleet.base.clock.now();
        let fraction = match candidate {
            Some(peer) => ask(rollouts, &peer, report.clone()).await,
            None => {
                let silent_for = asked_at.saturating_sub(last_answer_at);
                let may_claim = silent_for >= TAKEOVER_MS * rank as Millis;
                rollouts.tend(order, may_claim).await;
                rollouts.record_report(report.clone()).fraction
            }
        };
        if let Some(fraction) = fraction {
            if let Some(part) = rollouts.parts.lock().get_mut(&key) {
                part.exposure.set_fraction(asked_at, fraction);
            }
            return true;
        }
    }
    false
}

/// Returns the daemons that may decide, the first before the others; `None` stands for this one.
fn candidates(rollouts: &Rollouts, key: &RolloutKey) -> Vec<Option<Peer>> {
    let hash = xxh3_64(key.service.as_str().as_bytes());
    rollouts.fleet.members.lock().owners(hash, CANDIDATES)
}

/// Reports to a peer; returns the fraction if it is the decider.
async fn ask(rollouts: &Rollouts, peer: &Peer, report: RolloutReport) -> Option<f64> {
    let timeout = Duration::from_millis(rollouts.fleet.base.cfg.limits.peer_timeout_ms);
    let call =
        |client: PeerServiceClient, cx| async move { client.rollout_report(cx, report).await };
    let answer = rollouts.fleet.base.peers.call(&peer.address, timeout, call).await;
    answer.and_then(|answer| answer.fraction)
}
