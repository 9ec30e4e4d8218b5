//! Shell around the limits that backend servers name (core `limits`).
//!
//! `permit` is the one gate on the way to a server, `issue` hands out permits to peers, and
//! `spread` tells them of limits. May call peers, and what is known of the fleet and the
//! servers; called by the sides for callers, by heartbeats and by `peer_server`.

mod issue;
pub mod permit;
pub mod spread;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bankcove_core::crashes::ServerStart;
use bankcove_core::limits::{Change, Issuer, Leases, LimitBook, LimitFact, LimitWord, Returns};
use bankcove_core::router::Router;
use bankcove_core::{Millis, Name};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::fleet::Fleet;
use crate::fleet::ask_pause::AskPause;

/// Changes that wait to be told to peers; what is left out is brought by heartbeats.
const MOST_NEWS: usize = 4_096;

/// The limits of servers, as this daemon knows and keeps them.
#[derive(Debug)]
pub struct Hints {
    fleet: Fleet,
    router: Arc<Mutex<Router>>,
    book: Mutex<LimitBook>,
    issuer: Mutex<Issuer>,
    leases: Mutex<Leases>,
    returns: Mutex<Returns>,
    /// Who is in the fleet, as [`bankcove_core::members::Members::digest`], and since when.
    known_as: Mutex<(u64, Millis)>,
    /// Issuers that did not answer are passed over until then.
    silent: Mutex<HashMap<Name, Millis>>,
    /// Servers whose word could not be read; each is logged once.
    unreadable: Mutex<HashMap<ServerStart, String>>,
    /// Whether any limit is known: while none is, a permit costs one look at this.
    is_active: AtomicBool,
    /// [`LimitBook::digest`] after the last change.
    digest: AtomicU64,
    /// When the facts of a peer were last asked for.
    asked: AskPause,
    news: mpsc::Sender<LimitFact>,
    to_tell: Mutex<Option<mpsc::Receiver<LimitFact>>>,
}

impl Hints {
    /// No limit is known.
    pub fn new(fleet: Fleet, router: Arc<Mutex<Router>>) -> Self {
        let (news, to_tell) = mpsc::channel(MOST_NEWS);
        Hints {
            fleet,
            router,
            book: Mutex::default(),
            issuer: Mutex::default(),
            leases: Mutex::default(),
            returns: Mutex::default(),
            known_as: Mutex::default(),
            silent: Mutex::default(),
            unreadable: Mutex::default(),
            is_active: AtomicBool::new(false),
            digest: AtomicU64::new(0),
            asked: AskPause::default(),
            news,
            to_tell: Mutex::new(Some(to_tell)),
        }
    }

    /// Takes in the head of an answer of this start of a server, to a request that was sent at
    /// `asked_at`.
    pub fn heard(&self, server: &ServerStart, asked_at: Millis, word: &LimitWord) {
        if let LimitWord::Unreadable(text) = word {
            self.tell_unreadable(server, text);
        }
        if *word == LimitWord::None && !self.is_active.load(Ordering::Relaxed) {
            return;
        }
        let now = self.fleet.base.clock.now();
        let change = self.change(|book| book.heard(now, server, asked_at, word));
        if let Some(change) = change {
            self.take_change(&change, &Source::Server);
        }
    }

    fn change<T>(&self, change: impl FnOnce(&mut LimitBook) -> T) -> T {
        let mut book = self.book.lock();
        let changed = change(&mut book);
        self.is_active.store(!book.is_empty(), Ordering::Relaxed);
        self.digest.store(book.digest(), Ordering::Relaxed);
        drop(book);
        changed
    }

    /// What changed is put to the router, logged, and told to peers.
    fn take_change(&self, change: &Change, source: &Source) {
        let Change { before, fact } = change;
        let now = self.fleet.base.clock.now();
        let (before, after) =
            (before.map(|rate| rate.per_second()), fact.limit.map(|rate| rate.per_second()));
        self.router.lock().limited(now, &fact.server, after);
        let what = match (before, after) {
            (None, _) => "limit heard",
            (Some(_), Some(_)) => "limit changed",
            (Some(_), None) => "limit lifted",
        };
        self.fleet.base.metrics.count(if after.is_some() { "limit.named" } else { "limit.lifted" });
        slog::info!(self.fleet.base.log, "{}", what;
            "server" => %fact.server.name, "started_ms" => fact.server.started_ms,
            "before_per_s" => before, "per_s" => after, "age_ms" => fact.heard_age_ms,
            "from" => source.name());
        if self.news.try_send(fact.clone()).is_err() {
            self.fleet.base.metrics.count("limit.not_told");
        }
    }

    fn tell_unreadable(&self, server: &ServerStart, text: &str) {
        let before = self.unreadable.lock().insert(server.clone(), text.to_owned());
        if before.is_none() {
            self.fleet.base.metrics.count("limit.unreadable");
            slog::warn!(self.fleet.base.log, "limit passed over: it is no number from 0 on";
                "server" => %server.name, "started_ms" => server.started_ms, "said" => text);
        }
    }

    /// When a caller that no server has a permit for comes back, in milliseconds.
    pub fn next_return(&self, service: &Name, first_ms: Millis, per_second: f64) -> Millis {
        let daemons = self.fleet.members.lock().usable().count() + 1;
        let share = per_second / daemons as f64;
        let now = self.fleet.base.clock.now();
        self.returns.lock().next(now, service, first_ms, share, rand::random())
    }

    /// Since when the fleet is as it is.
    fn fleet_since(&self) -> Millis {
        let digest = self.fleet.members.lock().digest();
        let now = self.fleet.base.clock.now();
        let mut known_as = self.known_as.lock();
        if known_as.0 != digest {
            *known_as = (digest, now);
        }
        known_as.1
    }

    /// Forgets limits that were lifted, and those of servers that are gone.
    pub fn forget_old(&self) {
        self.fleet_since();
        if !self.is_active.load(Ordering::Relaxed) {
            return;
        }
        let now = self.fleet.base.clock.now();
        let listed: HashSet<ServerStart> = {
            let router = self.router.lock();
            router.servers().iter().map(|view| view.start()).collect()
        };
        self.change(|book| book.forget_old(now, |server| listed.contains(server)));
        let is_limited = |server: &ServerStart| self.book.lock().limit(server).is_some();
        self.issuer.lock().retain(is_limited);
        self.leases.lock().retain(is_limited);
        self.silent.lock().retain(|_, until| now < *until);
        self.unreadable.lock().retain(|server, _| listed.contains(server));
    }

    /// Each limited server, for people.
    pub fn dump(&self) -> Value {
        let now = self.fleet.base.clock.now();
        let facts = self.book.lock().facts(now, usize::MAX, 0);
        let levels: HashMap<ServerStart, (usize, f64)> = {
            let issuer = self.issuer.lock();
            issuer.levels().map(|(server, rank, left)| (server.clone(), (rank, left))).collect()
        };
        let row = |fact: &LimitFact| {
            let level = levels.get(&fact.server);
            json!({
                "server": fact.server.name, "started_ms": fact.server.started_ms,
                "per_s": fact.limit.map(|rate| rate.per_second()),
                "heard_ms_ago": fact.heard_age_ms,
                "permits_here": self.leases.lock().left(now, &fact.server),
                "issuer_rank": level.map(|(rank, _)| rank),
                "permits_to_issue": level.map(|(_, left)| left),
            })
        };
        facts.iter().map(row).collect()
    }
}

/// Who told of a limit.
enum Source {
    /// The server itself.
    Server,
    /// A peer.
    Peer,
}

impl Source {
    fn name(&self) -> &'static str {
        match self {
            Source::Server => "server",
            Source::Peer => "peer",
        }
    }
}
