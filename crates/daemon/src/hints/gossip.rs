//! Tells peers what servers have said: what is new at once, and all of it to one that knows something
//! else, by the digests in heartbeats (a start, a return from a cut).

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

/// Peers that are told at once. Each passes on what is new to it; with fewer some of 1,300
/// daemons are left out, and heartbeats take longer than half a second to reach those.
const TOLD_AT_ONCE: usize = 10;

/// How long news are gathered: of many servers that say something together.
const GATHER: Duration = Duration::from_millis(20);

/// Most facts of one message; some 60 bytes each.
const MOST_FACTS: usize = 64;

/// Most facts of one kind in the answer to a peer that knows something else: a start in the
/// midst of a release knows all within seconds.
const MOST_PULLED: usize = 512;

/// Shortest time between two questions for what a peer knows, in milliseconds.
const ASK_PAUSE_MS: Millis = 1_000;

/// Longest call: ages in it grow no older than [`MAX_TRANSIT_MS`] by it.
const CALL_TIMEOUT: Duration = Duration::from_millis(MAX_TRANSIT_MS);

/// Pause after a message for each fact in it: under a flood of changes a daemon sends so
/// much, and heartbeats bring the rest.
const PAUSE_PER_FACT: Duration = Duration::from_millis(4);

/// Tells some peers what is new, until nobody finds anything new any more.
pub fn spawn_gossip(hints: &Hints) {
    if let Some(news) = hints.to_tell.lock().take() {
        tokio::spawn(tell(hints.fleet.clone(), news));
    }
}

async fn tell(fleet: Fleet, mut news: mpsc::Receiver<HintFact>) {
    while let Some(first) = news.recv().await {
        let at = fleet.base.clock.now();
        tokio::time::sleep(GATHER).await;
        let mut facts = vec![first];
        while facts.len() < MOST_FACTS
            && let Ok(fact) = news.try_recv()
        {
            facts.push(fact);
        }
        let waited = fleet.base.clock.now().saturating_sub(at);
        let facts: Vec<HintFact> = facts.into_iter().map(|fact| fact.aged(waited)).collect();
        let pause = PAUSE_PER_FACT * facts.len() as u32;
        tell_some(&fleet, &facts);
        tokio::time::sleep(pause).await;
    }
}

fn tell_some(fleet: &Fleet, facts: &[HintFact]) {
    for peer in fleet.members.lock().sample(TOLD_AT_ONCE, rand::random()) {
        let (peers, log, facts) =
            (Arc::clone(&fleet.base.peers), fleet.base.log.clone(), facts.to_vec());
        tokio::spawn(async move {
            let told =
                |client: PeerServiceClient, cx| async move { client.told_hints(cx, facts).await };
            if peers.call(&peer.address, CALL_TIMEOUT, told).await.is_none() {
                slog::debug!(log, "hints not told"; "peer" => %peer.name);
            }
        });
    }
}

impl Hints {
    /// What is known here, for a peer: some of it, when it is much.
    pub fn facts(&self) -> Vec<HintFact> {
        let now = self.fleet.base.clock.now();
        let turn = rand::random_range(0..usize::MAX);
        let limits = self.book.lock().facts(now, MOST_PULLED, turn);
        let leaving = self.router.lock().leaving_facts(now, MOST_PULLED, turn);
        let limits = limits.into_iter().map(HintFact::Limit);
        limits.chain(leaving.into_iter().map(HintFact::Leaving)).collect()
    }

    /// Hash of all that is known here; 0 while nothing is.
    pub fn digest(&self) -> u64 {
        self.limits_digest.load(Ordering::Relaxed) ^ self.leaving_digest.load(Ordering::Relaxed)
    }

    /// A peer's heartbeat had this digest: asks it for what it knows if that is something
    /// else.
    pub fn pull_if_digest_differs(self: &Arc<Self>, address: &str, told: u64) {
        if told == self.digest() {
            return;
        }
        if !self.asked.may_ask(self.fleet.base.clock.now(), ASK_PAUSE_MS) {
            return;
        }
        let (hints, address) = (Arc::clone(self), address.to_owned());
        tokio::spawn(async move {
            let ask = |client: PeerServiceClient, cx| async move { client.hint_facts(cx).await };
            match hints.fleet.base.peers.call(&address, CALL_TIMEOUT, ask).await {
                Some(facts) => hints.merge_facts(&facts),
                None => {
                    slog::debug!(hints.fleet.base.log, "hints not asked for"; "peer" => &address)
                }
            }
        });
    }
}
