//! Detection and blocking of requests that crash their servers: runs the crash tracker of core.
//!
//! `verify` checks whether a disconnected server has crashed, `gossip` exchanges crash facts with
//! peers, `persistence` stores blocks so that they survive the loss of all daemons, and `isolation`
//! decides before each attempt whether a request has to wait or may run only once more. The `api`
//! and `entry` layers report how each attempt ended.

pub mod gossip;
pub mod isolation;
pub mod persistence;
mod verify;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bankcove_core::crashes::{
    Block, CrashFacts, CrashStats, CrashTracker, DECISION_DELAY_MS, Placement, ServerInstance,
    Verdict,
};
use bankcove_core::router::{Choice, Router};
use bankcove_core::{Fingerprint, Millis};
use bankcove_ports::Store;
use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::crashes::isolation::IsolatedRuns;
use crate::fleet::Fleet;
use crate::fleet::fetch_throttle::FetchThrottle;
use crate::paths::Paths;

/// Number of daemons responsible for a request: they store a block of it that a peer reported, and
/// send it if it may run only once more.
const OWNERS: usize = 1;

/// Crash state of this daemon.
pub struct Crashes {
    fleet: Fleet,
    router: Arc<Mutex<Router>>,
    paths: Arc<Paths>,
    store: Store,
    tracker: Mutex<CrashTracker>,
    /// Whether the tracker has any state; without any, no request is hashed or looked up.
    is_active: AtomicBool,
    /// [`CrashTracker::digest`] after the last change. It takes up to 0.6 ms to compute and is read
    /// by each of twelve heartbeats a second.
    digest: AtomicU64,
    /// New facts to send to peers next, with the time at which each was recorded.
    unsent_facts: Mutex<Vec<(Millis, CrashFacts)>>,
    /// Notified when there are such facts.
    to_send: Notify,
    /// Notified when requests are waiting for a decision.
    to_decide: Notify,
    /// Isolated requests that this daemon is running.
    isolated_runs: IsolatedRuns,
    /// Notified when blocks have to be written to the store.
    to_persist: Notify,
    /// Limits how often facts are fetched from peers.
    fetch_throttle: FetchThrottle,
}

impl Crashes {
    /// Creates an empty crash state whose blocks are kept in `store`.
    pub fn new(fleet: Fleet, router: Arc<Mutex<Router>>, paths: Arc<Paths>, store: Store) -> Self {
        Crashes {
            fleet,
            router,
            paths,
            store,
            tracker: Mutex::default(),
            is_active: AtomicBool::new(false),
            digest: AtomicU64::new(0),
            unsent_facts: Mutex::default(),
            to_send: Notify::new(),
            to_decide: Notify::new(),
            isolated_runs: IsolatedRuns::default(),
            to_persist: Notify::new(),
            fetch_throttle: FetchThrottle::default(),
        }
    }

    /// Applies `change` to the tracker, then updates the values derived from it.
    fn change<T>(&self, now: Millis, change: impl FnOnce(&mut CrashTracker) -> T) -> T {
        let mut tracker = self.tracker.lock();
        let changed = change(&mut tracker);
        self.digest.store(tracker.digest(now), Ordering::Relaxed);
        self.is_active.store(!tracker.is_empty(), Ordering::Relaxed);
        if tracker.has_pending() {
            self.to_decide.notify_one();
        }
        changed
    }

    /// Returns the result of `read` on the tracker; `None` while the tracker is empty.
    fn read<T>(&self, read: impl FnOnce(&CrashTracker) -> T) -> Option<T> {
        let is_active = self.is_active.load(Ordering::Relaxed);
        is_active.then(|| read(&self.tracker.lock()))
    }

    /// Returns the sizes of the crash state.
    pub fn stats(&self) -> CrashStats {
        self.tracker.lock().stats()
    }

    /// Returns the verdict for a request that is about to run.
    pub fn verdict(&self, request: impl FnOnce() -> Fingerprint) -> Verdict {
        self.read(|tracker| tracker.verdict(request())).unwrap_or(Verdict::Allowed)
    }

    /// Returns where a suspect or isolated request has to run; `None` if it may run anywhere.
    pub fn placement(&self, request: impl FnOnce() -> Fingerprint) -> Option<Placement> {
        let placement = self.read(|tracker| {
            let request = request();
            let is_placed =
                matches!(tracker.verdict(request), Verdict::Suspect | Verdict::Isolated);
            is_placed.then(|| tracker.placement(request))
        });
        placement.flatten()
    }

    /// Records that the connection to a server that was running a request broke, and checks whether
    /// the server has crashed.
    pub fn record_disconnect(self: &Arc<Self>, choice: &Choice, request: Fingerprint) {
        let now = self.fleet.base.clock.now();
        // A server that is leaving ends its running requests: that is not a crash.
        if !self.router.lock().is_current_and_not_leaving(now, &choice.server, choice.started_ms) {
            return;
        }
        let server = ServerInstance { name: choice.server.clone(), started_ms: choice.started_ms };
        let outcome = self.change(now, |tracker| tracker.record_disconnect(now, &server, request));
        let (needs_check, updates) = outcome;
        self.process_updates(&updates, Origin::Local);
        if needs_check {
            tokio::spawn(verify::verify(Arc::clone(self), server, choice.address.clone()));
        }
    }

    /// Records the end of a response. A response that is delimited only by the end of its
    /// connection looks complete also if its server crashed, so it is no evidence of a success.
    pub fn record_response_end(
        self: &Arc<Self>,
        choice: &Choice,
        is_framed: bool,
        request: impl FnOnce() -> Fingerprint,
    ) {
        if is_framed {
            self.record_success(request);
        } else {
            self.record_disconnect(choice, request());
        }
    }

    /// Records that a request succeeded.
    pub fn record_success(self: &Arc<Self>, request: impl FnOnce() -> Fingerprint) {
        // Nearly all requests ran only on servers that have not crashed; they return here.
        let tracked = self.read(|tracker| {
            let request = request();
            tracker.tracks(request).then_some(request)
        });
        let Some(request) = tracked.flatten() else { return };
        let now = self.fleet.base.clock.now();
        let updates = self.change(now, |tracker| tracker.record_success(now, request));
        self.process_updates(&updates, Origin::Local);
    }

    /// Decides on requests after peers had time to report the other requests of a crash, until the
    /// daemon ends.
    pub async fn decide(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = self.to_decide.notified() => {}
                () = self.fleet.base.shutdown.cancelled() => return,
            }
            tokio::time::sleep(Duration::from_millis(DECISION_DELAY_MS)).await;
            let now = self.fleet.base.clock.now();
            let updates = self.change(now, |tracker| tracker.decide(now));
            self.process_updates(&updates, Origin::Local);
        }
    }

    /// Returns the blocks in force.
    pub fn blocks(&self) -> Vec<Block> {
        let now = self.fleet.base.clock.now();
        self.read(|tracker| tracker.blocks(now)).unwrap_or_default()
    }

    /// Returns whether the request is blocked.
    pub fn is_blocked(&self, request: Fingerprint) -> bool {
        self.verdict(|| request) == Verdict::Blocked
    }

    /// Lifts the block of a request on this daemon and all peers.
    pub fn lift(self: &Arc<Self>, request: Fingerprint) {
        let now = self.fleet.base.clock.now();
        let updates = self.change(now, |tracker| tracker.lift(now, request));
        slog::info!(self.fleet.base.log, "block lifted"; "fingerprint" => %request);
        self.to_persist.notify_one();
        self.process_updates(&updates, Origin::Local);
    }

    /// Logs new facts, queues them for peers, and triggers the writing of blocks.
    fn process_updates(self: &Arc<Self>, updates: &CrashFacts, origin: Origin) {
        if updates.is_empty() {
            return;
        }
        let is_local = origin == Origin::Local;
        self.log_updates(updates, is_local);
        if !updates.blocks.is_empty() && (is_local || self.is_responsible_for_any(updates)) {
            self.to_persist.notify_one();
        }
        self.queue_facts(updates);
    }

    /// Logs and counts new facts.
    fn log_updates(&self, updates: &CrashFacts, is_local: bool) {
        for crash in &updates.crashes {
            self.fleet.base.metrics.count("server.crashed");
            slog::info!(self.fleet.base.log, "server crashed";
                "server" => %crash.server.name, "started_ms" => crash.server.started_ms,
                "age_ms" => crash.age_ms, "aboard" => list(&crash.running),
                "found_here" => is_local);
        }
        for cleared in &updates.cleared {
            slog::info!(self.fleet.base.log, "request cleared";
                "fingerprint" => %cleared.request, "age_ms" => cleared.age_ms,
                "found_here" => is_local);
        }
        for block in &updates.blocks {
            self.fleet.base.metrics.count("request.blocked");
            slog::warn!(self.fleet.base.log, "request blocked";
                "fingerprint" => %block.request, "servers" => list(&block.servers),
                "age_ms" => block.age_ms, "found_here" => is_local);
        }
    }

    /// Returns whether this daemon stores any of these blocks although a peer decided on them: that
    /// peer may be lost or cut off from the store before it writes them.
    fn is_responsible_for_any(&self, updates: &CrashFacts) -> bool {
        updates.blocks.iter().any(|block| self.owns(block.request))
    }

    /// Returns whether this daemon is the owner of the request among the daemons that it knows.
    fn owns(&self, request: Fingerprint) -> bool {
        let owners = self.fleet.members.lock().owners(request.key(), OWNERS);
        owners.iter().any(Option::is_none)
    }
}

/// Returns whether a response with these headers is delimited by a length or by chunks, rather than
/// by the end of its connection.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Origin of new facts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// This daemon.
    Local,
    /// A peer or the store.
    Peer,
}

/// Returns the items as a comma-separated list.
fn list<T: std::fmt::Display>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    items.join(", ")
}
