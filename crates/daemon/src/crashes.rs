//! Shell around what is known of requests that crash their servers (core `crashes`).
//!
//! `verify` finds out whether a server that broke off has crashed, `spread` tells peers, `keep`
//! writes blocks where the loss of all daemons does not reach, and `gate` is what a request
//! meets before each try. The sides for callers say how each try ended.

pub mod gate;
pub mod keep;
pub mod spread;
mod verify;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bankcove_core::crashes::{
    Block, CrashFacts, CrashStats, CrashTracker, DECISION_DELAY_MS, Placement, ServerStart, Verdict,
};
use bankcove_core::router::{Choice, Router};
use bankcove_core::{Fingerprint, Millis};
use bankcove_ports::Store;
use hyper::HeaderMap;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::crashes::gate::Apart;
use crate::fleet::Fleet;
use crate::fleet::ask_pause::AskPause;

/// Daemons that write a block which was told to them, and send a request that may run once
/// more.
const OWNERS: usize = 1;

/// What this daemon knows of crashes.
pub struct Crashes {
    fleet: Fleet,
    router: Arc<Mutex<Router>>,
    store: Store,
    book: Mutex<CrashTracker>,
    /// Whether anything is known: while nothing is, no request is hashed or looked up.
    is_active: AtomicBool,
    /// [`CrashTracker::digest`] after the last change: at most 0.6 ms to compute, and read by
    /// each of twelve heartbeats a second.
    digest: AtomicU64,
    /// News that peers are to be told next, and when each was taken in.
    news: Mutex<Vec<(Millis, CrashFacts)>>,
    /// Told when there are some.
    to_tell: Notify,
    /// Told when there are requests to decide on.
    to_decide: Notify,
    /// Requests that run apart.
    apart: Apart,
    /// Told when a block is to be kept in the store.
    to_keep: Notify,
    /// When the facts of a peer were last asked for.
    asked: AskPause,
}

impl Crashes {
    /// Nothing is known. Blocks are kept in `store`.
    pub fn new(fleet: Fleet, router: Arc<Mutex<Router>>, store: Store) -> Self {
        Crashes {
            fleet,
            router,
            store,
            book: Mutex::default(),
            is_active: AtomicBool::new(false),
            digest: AtomicU64::new(0),
            news: Mutex::default(),
            to_tell: Notify::new(),
            to_decide: Notify::new(),
            apart: Apart::default(),
            to_keep: Notify::new(),
            asked: AskPause::default(),
        }
    }

    /// Changes the book by `change`.
    fn change<T>(&self, now: Millis, change: impl FnOnce(&mut CrashTracker) -> T) -> T {
        let mut book = self.book.lock();
        let changed = change(&mut book);
        self.digest.store(book.digest(now), Ordering::Relaxed);
        self.is_active.store(!book.is_empty(), Ordering::Relaxed);
        if book.has_pending() {
            self.to_decide.notify_one();
        }
        changed
    }

    /// Reads the book by `read`; none while nothing is known.
    fn read<T>(&self, read: impl FnOnce(&CrashTracker) -> T) -> Option<T> {
        let is_active = self.is_active.load(Ordering::Relaxed);
        is_active.then(|| read(&self.book.lock()))
    }

    /// How much is remembered.
    pub fn gauge(&self) -> CrashStats {
        self.book.lock().stats()
    }

    /// What follows for a request that is to run now.
    pub fn verdict(&self, request: impl FnOnce() -> Fingerprint) -> Verdict {
        self.read(|book| book.verdict(request())).unwrap_or(Verdict::Allowed)
    }

    /// Where a suspect is to run; none for a request that may run anywhere.
    pub fn place(&self, request: impl FnOnce() -> Fingerprint) -> Option<Placement> {
        let place = self.read(|book| {
            let request = request();
            let is_placed = matches!(book.verdict(request), Verdict::Suspect | Verdict::Isolated);
            is_placed.then(|| book.placement(request))
        });
        place.flatten()
    }

    /// The connection over which a server was running this request broke.
    pub fn broke_off(self: &Arc<Self>, choice: &Choice, request: Fingerprint) {
        let now = self.fleet.base.clock.now();
        // One that leaves ends what it still runs: that is no crash.
        if !self.router.lock().is_current_and_staying(now, &choice.server, choice.started_ms) {
            return;
        }
        let server = ServerStart { name: choice.server.clone(), started_ms: choice.started_ms };
        let broke = self.change(now, |book| book.record_disconnect(now, &server, request));
        let (is_unsure, news) = broke;
        self.take_news(&news, Origin::Here);
        if is_unsure {
            tokio::spawn(verify::verify(Arc::clone(self), server, choice.address.clone()));
        }
    }

    /// An answer has ended. One that nothing but the end of its connection ends looks whole
    /// as well when its server has crashed, so that it proves no success.
    pub fn ended(
        self: &Arc<Self>,
        choice: &Choice,
        is_framed: bool,
        request: impl FnOnce() -> Fingerprint,
    ) {
        if is_framed {
            self.succeeded(request);
        } else {
            self.broke_off(choice, request());
        }
    }

    /// A request has ended well.
    pub fn succeeded(self: &Arc<Self>, request: impl FnOnce() -> Fingerprint) {
        // Nearly all requests are aboard of no crash, and end here.
        let concerned = self.read(|book| {
            let request = request();
            book.tracks(request).then_some(request)
        });
        let Some(request) = concerned.flatten() else { return };
        let now = self.fleet.base.clock.now();
        let news = self.change(now, |book| book.record_success(now, request));
        self.take_news(&news, Origin::Here);
    }

    /// Decides on requests when peers have told who else was aboard, until the daemon ends.
    pub async fn decide(self: Arc<Self>) {
        loop {
            tokio::select! {
                () = self.to_decide.notified() => {}
                () = self.fleet.base.shutdown.cancelled() => return,
            }
            tokio::time::sleep(Duration::from_millis(DECISION_DELAY_MS)).await;
            let now = self.fleet.base.clock.now();
            let news = self.change(now, |book| book.decide(now));
            self.take_news(&news, Origin::Here);
        }
    }

    /// Requests that run nowhere any more.
    pub fn blocks(&self) -> Vec<Block> {
        let now = self.fleet.base.clock.now();
        self.read(|book| book.blocks(now)).unwrap_or_default()
    }

    /// Whether the request runs nowhere any more.
    pub fn is_blocked(&self, request: Fingerprint) -> bool {
        self.verdict(|| request) == Verdict::Blocked
    }

    /// Lets a blocked request run again, here and at all peers.
    pub fn lift(self: &Arc<Self>, request: Fingerprint) {
        let now = self.fleet.base.clock.now();
        let news = self.change(now, |book| book.lift(now, request));
        slog::info!(self.fleet.base.log, "block lifted"; "fingerprint" => %request);
        self.to_keep.notify_one();
        self.take_news(&news, Origin::Here);
    }

    /// Logs what is new, tells peers, and has blocks kept.
    fn take_news(self: &Arc<Self>, news: &CrashFacts, origin: Origin) {
        if news.is_empty() {
            return;
        }
        let is_own = origin == Origin::Here;
        self.log_news(news, is_own);
        if !news.blocks.is_empty() && (is_own || self.is_keeper(news)) {
            self.to_keep.notify_one();
        }
        self.tell(news);
    }

    fn log_news(&self, news: &CrashFacts, is_own: bool) {
        for crash in &news.crashes {
            self.fleet.base.metrics.count("server.crashed");
            slog::info!(self.fleet.base.log, "server crashed";
                "server" => %crash.server.name, "started_ms" => crash.server.started_ms,
                "age_ms" => crash.age_ms, "aboard" => list(&crash.running), "found_here" => is_own);
        }
        for cleared in &news.cleared {
            slog::info!(self.fleet.base.log, "request cleared";
                "fingerprint" => %cleared.request, "age_ms" => cleared.age_ms, "found_here" => is_own);
        }
        for block in &news.blocks {
            self.fleet.base.metrics.count("request.blocked");
            slog::warn!(self.fleet.base.log, "request blocked";
                "fingerprint" => %block.request, "servers" => list(&block.servers),
                "age_ms" => block.age_ms, "found_here" => is_own);
        }
    }

    /// Whether this daemon writes these blocks although another one found them: the finder may
    /// be lost, or cut off from the store, before it has.
    fn is_keeper(&self, news: &CrashFacts) -> bool {
        news.blocks.iter().any(|block| self.owns(block.request))
    }

    /// Whether this daemon is the request's owner among those that it knows.
    fn owns(&self, request: Fingerprint) -> bool {
        let owners = self.fleet.members.lock().owners(request.key(), OWNERS);
        owners.iter().any(Option::is_none)
    }
}

/// Whether an answer with these headers tells its own end.
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Who found out what is new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    /// This daemon.
    Here,
    /// A peer, or the store.
    Told,
}

fn list<T: std::fmt::Display>(items: impl IntoIterator<Item = T>) -> String {
    let items: Vec<String> = items.into_iter().map(|item| item.to_string()).collect();
    items.join(", ")
}
