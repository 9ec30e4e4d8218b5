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
use xxhash_rust::xxh3::xxh3_64;

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
    pub fn verdict<'a>(&self, request: impl FnOnce() -> Identity<'a>) -> Verdict {
        let verdict = self.read(|tracker| {
            let Identity { request, parts } = request();
            let parts = parts.iter().map(|part| tracker.part_verdict(*part));
            parts.fold(tracker.verdict(request), strictest)
        });
        verdict.unwrap_or(Verdict::Allowed)
    }

    /// Returns the blocked one among the parts of a prompt.
    pub fn blocked_part(&self, parts: &[Fingerprint]) -> Option<Fingerprint> {
        let is_blocked = |tracker: &CrashTracker, part: Fingerprint| {
            tracker.part_verdict(part) == Verdict::Blocked
        };
        let find =
            |tracker: &CrashTracker| parts.iter().copied().find(|part| is_blocked(tracker, *part));
        self.read(find).flatten()
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
    pub fn record_disconnect(self: &Arc<Self>, choice: &Choice, request: Identity<'_>) {
        if let Some(part) = request.parts.first() {
            let now = self.fleet.base.clock.now();
            self.tracker.lock().record_outcome(now, *part, version_hash(choice), true);
        }
        self.record_end(choice, request, CrashTracker::record_disconnect);
    }

    /// Records by `record` that the connection to a server that was running a request has ended, and
    /// checks whether the server has crashed.
    fn record_end(
        self: &Arc<Self>,
        choice: &Choice,
        request: Identity<'_>,
        record: impl Fn(&mut CrashTracker, Millis, &ServerInstance, Fingerprint) -> (bool, CrashFacts),
    ) {
        let now = self.fleet.base.clock.now();
        // A server that is leaving ends its running requests: that is not a crash.
        if !self.router.lock().is_current_and_not_leaving(now, &choice.server, choice.started_ms) {
            return;
        }
        let server = ServerInstance { name: choice.server.clone(), started_ms: choice.started_ms };
        let (needs_check, updates) = self.change(now, |tracker| {
            let (mut needs_check, mut updates) = (false, CrashFacts::default());
            for one in request.all() {
                let (is_new, further) = record(tracker, now, &server, one);
                needs_check |= is_new;
                updates.merge(&further);
            }
            (needs_check, updates)
        });
        self.process_updates(&updates, Origin::Local);
        if needs_check {
            tokio::spawn(verify::verify(Arc::clone(self), server, choice.address.clone()));
        }
    }

    /// Records the end of a response. A response that is delimited only by the end of its
    /// connection looks complete also if its server crashed, so it is a success only if the server
    /// turns out to be still running.
    pub fn record_response_end<'a>(
        self: &Arc<Self>,
        choice: &Choice,
        is_framed: bool,
        request: impl FnOnce() -> Identity<'a>,
    ) {
        if is_framed {
            self.record_success(choice, request);
        } else {
            let version = version_hash(choice);
            self.record_end(choice, request(), |tracker, now, server, one| {
                tracker.record_unframed_end(now, server, one, version)
            });
        }
    }

    /// Records that a server has run a stream with these prompt parts for some time: a part that
    /// crashes servers does so when its answer begins.
    pub fn record_survived(self: &Arc<Self>, parts: &[Fingerprint]) {
        let now = self.fleet.base.clock.now();
        self.clear(now, parts);
    }

    /// Records that a request succeeded at a server.
    pub fn record_success<'a>(
        self: &Arc<Self>,
        choice: &Choice,
        request: impl FnOnce() -> Identity<'a>,
    ) {
        let now = self.fleet.base.clock.now();
        // Nearly all requests ran only on servers that have not crashed; they return here.
        let Some(request) = self.read(|_| request()) else { return };
        if let Some(part) = request.parts.first() {
            self.tracker.lock().record_outcome(now, *part, version_hash(choice), false);
        }
        self.clear(now, &request.all().collect::<Vec<Fingerprint>>());
    }

    /// Records that these have not crashed their server.
    fn clear(self: &Arc<Self>, now: Millis, all: &[Fingerprint]) {
        let tracked = |tracker: &CrashTracker| {
            all.iter().copied().filter(|one| tracker.tracks(*one)).collect()
        };
        let tracked: Vec<Fingerprint> = self.read(tracked).unwrap_or_default();
        if tracked.is_empty() {
            return;
        }
        let updates = self.change(now, |tracker| {
            let mut updates = CrashFacts::default();
            for one in tracked {
                updates.merge(&tracker.record_success(now, one));
            }
            updates
        });
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
        let is_blocked = |tracker: &CrashTracker| {
            tracker.blocks(self.fleet.base.clock.now()).iter().any(|block| block.request == request)
        };
        self.read(is_blocked).unwrap_or(false)
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
                "age_ms" => crash.age_ms,
                "aboard" => list(crash.running.iter().filter(|one| !one.is_part())),
                "parts" => list(crash.running.iter().filter(|one| one.is_part())),
                "found_here" => is_local);
        }
        for cleared in &updates.cleared {
            let message =
                if cleared.request.is_part() { "prompt part cleared" } else { "request cleared" };
            slog::info!(self.fleet.base.log, "{}", message;
                "fingerprint" => %cleared.request, "age_ms" => cleared.age_ms,
                "found_here" => is_local);
        }
        for block in &updates.blocks {
            let is_part = block.request.is_part();
            let (counter, message) = if is_part {
                ("prompt_part.blocked", "prompt part blocked")
            } else {
                ("request.blocked", "request blocked")
            };
            self.fleet.base.metrics.count(counter);
            slog::warn!(self.fleet.base.log, "{}", message;
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

/// A request as crashes are attributed: to itself, or to the parts of its prompt that other requests
/// may share.
#[derive(Debug, Clone, Copy)]
pub struct Identity<'a> {
    /// Its fingerprint.
    pub request: Fingerprint,
    /// Fingerprints of the shared parts.
    pub parts: &'a [Fingerprint],
}

impl From<Fingerprint> for Identity<'_> {
    fn from(request: Fingerprint) -> Self {
        Identity { request, parts: &[] }
    }
}

impl Identity<'_> {
    fn all(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }
}

/// Returns the stricter of two verdicts.
fn strictest(one: Verdict, other: Verdict) -> Verdict {
    let strictness = |verdict: &Verdict| match verdict {
        Verdict::Allowed => 0,
        Verdict::Suspect => 1,
        Verdict::Isolated => 2,
        Verdict::Undecided => 3,
        Verdict::Blocked => 4,
    };
    std::cmp::max_by_key(one, other, strictness)
}

/// Returns a hash of the version of the chosen server.
fn version_hash(choice: &Choice) -> u64 {
    xxh3_64(choice.version_text().unwrap_or_default().as_bytes())
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
