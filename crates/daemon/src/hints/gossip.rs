//! Exchange of hints of servers with peers: new facts are sent at once, and all facts are fetched
//! from a peer whose heartbeat has a different digest, as after a start or a network partition.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::hints::HintFact;
use bankcove_core::limits::MAX_TRANSIT_MS;
use tokio::sync::mpsc;

use crate::fleet::Fleet;
use crate::hints::Hints;
use crate::peer::PeerServiceClient;

/// Number of peers to which new facts are sent. Each forwards those that are new to it. With fewer
/// peers some of 1,300 daemons are missed, and heartbeats take more than half a second to reach
/// those.
const FANOUT: usize = 10;

/// Time after a message for which facts are collected into the next one: many servers may send
/// hints at the same time.
const BATCH_WINDOW: Duration = Duration::from_millis(20);

/// Maximum number of facts in one message, of about 60 bytes each.
const MAX_BATCH_FACTS: usize = 64;

/// Maximum number of facts of each kind that one fetch returns. A daemon that starts during a
/// release still knows all of them within seconds.
const MAX_FETCHED_FACTS: usize = 512;

/// Minimum interval between two fetches, in milliseconds.
const MIN_FETCH_INTERVAL_MS: Millis = 1_000;

/// Timeout for calls: it limits the transit time, which ages in facts don't include, to
/// [`MAX_TRANSIT_MS`].
const CALL_TIMEOUT: Duration = Duration::from_millis(MAX_TRANSIT_MS);

/// Pause after a message for each fact in it. It limits what a daemon sends during a burst of
/// changes; peers fetch the remaining facts when heartbeats show a different digest.
const PAUSE_PER_FACT: Duration = Duration::from_millis(4);

/// Starts the task that sends new facts to some peers. A peer forwards only facts that are new to
/// it. Does nothing if it was called before.
pub fn spawn_sender(hints: &Hints) {
    if let Some(queue) = hints.fact_receiver.lock().take() {
        tokio::spawn(send_facts(hints.fleet.clone(), queue));
    }
}

/// Sends queued facts in batches until the queue is closed.
async fn send_facts(fleet: Fleet, mut queue: mpsc::Receiver<(Millis, HintFact)>) {
    let mut queued = Vec::new();
    while queue.recv_many(&mut queued, MAX_BATCH_FACTS).await > 0 {
        let now = fleet.base.clock.now();
        let aged = queued.drain(..).map(|(at, fact)| fact.aged(now.saturating_sub(at)));
        let facts: Vec<HintFact> = aged.collect();
        let pause = BATCH_WINDOW.max(PAUSE_PER_FACT * facts.len() as u32);
        send_batch(&fleet, &facts);
        tokio::time::sleep(pause).await;
    }
}

/// Sends facts to [`FANOUT`] random peers.
fn send_batch(fleet: &Fleet, facts: &[HintFact]) {
    for peer in fleet.members.lock().sample(FANOUT, rand::random()) {
        let (peers, log, facts) =
            (Arc::clone(&fleet.base.peers), fleet.base.log.clone(), facts.to_vec());
        tokio::spawn(async move {
            let call =
                |client: PeerServiceClient, cx| async move { client.told_hints(cx, facts).await };
            if peers.call(&peer.address, CALL_TIMEOUT, call).await.is_none() {
                slog::debug!(log, "failed to send server hints"; "peer" => %peer.name);
            }
        });
    }
}

impl Hints {
    /// Returns the known facts for a peer: at most `MAX_FETCHED_FACTS` of each kind, from a
    /// random offset on.
    pub fn facts(&self) -> Vec<HintFact> {
        let now = self.fleet.base.clock.now();
        let offset = rand::random_range(0..usize::MAX);
        let limits = self.limits.lock().facts(now, MAX_FETCHED_FACTS, offset);
        let leaving = self.router.lock().leaving_facts(now, MAX_FETCHED_FACTS, offset);
        let brittle = self.slots.facts(MAX_FETCHED_FACTS, offset);
        let limits = limits.into_iter().map(HintFact::Limit);
        let brittle = brittle.into_iter().map(HintFact::Brittle);
        limits.chain(leaving.into_iter().map(HintFact::Leaving)).chain(brittle).collect()
    }

    /// Returns a hash of all known facts; 0 if there are none.
    pub fn digest(&self) -> u64 {
        let limits = self.limits_digest.load(Ordering::Relaxed);
        limits ^ self.leaving_digest.load(Ordering::Relaxed) ^ self.slots.digest()
    }

    /// Fetches the facts of the peer at `address` and merges them, if the digest in its heartbeat
    /// differs from this daemon's; at most once in `MIN_FETCH_INTERVAL_MS`.
    pub fn fetch_if_digest_differs(self: &Arc<Self>, address: &str, peer_digest: u64) {
        if peer_digest == self.digest() {
            return;
        }
        if !self.fetch_throttle.try_acquire(self.fleet.base.clock.now(), MIN_FETCH_INTERVAL_MS) {
            return;
        }
        let (hints, address) = (Arc::clone(self), address.to_owned());
        tokio::spawn(async move {
            let call = |client: PeerServiceClient, cx| async move { client.hint_facts(cx).await };
            match hints.fleet.base.peers.call(&address, CALL_TIMEOUT, call).await {
                Some(facts) => hints.merge_facts(&facts),
                None => {
                    slog::debug!(hints.fleet.base.log, "failed to fetch server hints";
                        "peer" => &address)
                }
            }
        });
    }
}
