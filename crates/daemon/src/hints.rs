//! Shell around what backend servers say of themselves (core `hints` and `limits`): that they
//! leave, that they want rest, and how many requests a second they take.
//!
//! `permit` is the one gate on the way to a server, `observe` takes in the heads of answers,
//! `issue` hands out permits to peers, and `gossip` tells them what is new. May call peers, and
//! what is known of the fleet and the servers; called by the sides for callers, by heartbeats
//! and by `peer_server`.

pub mod gossip;
mod issue;
pub mod observe;
pub mod permit;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bankcove_core::crashes::ServerStart;
use bankcove_core::hints::HintFact;
use bankcove_core::limits::{Issuer, Leases, LimitFact, LimitTracker, RetrySchedule};
use bankcove_core::router::{AtLimit, NoServer, Resting, Router};
use bankcove_core::{Millis, Name};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::fleet::Fleet;
use crate::fleet::ask_pause::AskPause;

/// Changes that wait to be told to peers; what is left out is brought by heartbeats.
const MOST_NEWS: usize = 4_096;

/// Callers a second that one daemon tells to come back for each server that rests: each rest
/// concerns one daemon's requests alone, so that others don't add to them.
const RETURNS_PER_S: f64 = 20.0;

/// What servers have said, as this daemon knows and keeps it. Who leaves or rests is kept by the
/// router.
#[derive(Debug)]
pub struct Hints {
    fleet: Fleet,
    router: Arc<Mutex<Router>>,
    book: Mutex<LimitTracker>,
    issuer: Mutex<Issuer>,
    leases: Mutex<Leases>,
    returns: Mutex<RetrySchedule>,
    /// Who is in the fleet, as [`bankcove_core::members::Members::digest`], and since when.
    known_as: Mutex<(u64, Millis)>,
    /// Issuers that did not answer are passed over until then.
    silent: Mutex<HashMap<Name, Millis>>,
    /// Servers of which a hint could not be read; each is logged once.
    unreadable: Mutex<HashMap<ServerStart, String>>,
    /// Set once a limit is known, so that the common path skips the lock.
    has_limits: AtomicBool,
    /// Set once a server leaves or rests, so that the common path skips the lock.
    has_closed: AtomicBool,
    /// [`LimitTracker::digest`] after the last change.
    limits_digest: AtomicU64,
    /// [`Router::leaving_digest`] after the last change.
    leaving_digest: AtomicU64,
    /// When the facts of a peer were last asked for.
    asked: AskPause,
    news: mpsc::Sender<HintFact>,
    to_tell: Mutex<Option<mpsc::Receiver<HintFact>>>,
}

impl Hints {
    /// Nothing is known.
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
            has_limits: AtomicBool::new(false),
            has_closed: AtomicBool::new(false),
            limits_digest: AtomicU64::new(0),
            leaving_digest: AtomicU64::new(0),
            asked: AskPause::default(),
            news,
            to_tell: Mutex::new(Some(to_tell)),
        }
    }

    fn change_limits<T>(&self, change: impl FnOnce(&mut LimitTracker) -> T) -> T {
        let mut book = self.book.lock();
        let changed = change(&mut book);
        self.has_limits.store(!book.is_empty(), Ordering::Relaxed);
        self.limits_digest.store(book.digest(), Ordering::Relaxed);
        changed
    }

    /// Changes who leaves or rests.
    fn change_closed<T>(&self, change: impl FnOnce(&mut Router) -> T) -> T {
        let mut router = self.router.lock();
        let changed = change(&mut router);
        self.has_closed.store(!router.all_open(), Ordering::Relaxed);
        self.leaving_digest.store(router.leaving_digest(), Ordering::Relaxed);
        changed
    }

    /// Peers are to be told this.
    fn tell(&self, fact: HintFact) {
        if self.news.try_send(fact).is_err() {
            self.fleet.base.metrics.count("hint.not_told");
        }
    }

    /// The same answer to a caller whose servers are all at their limits or rest, with its own
    /// turn to come back: callers come one after the other.
    pub fn schedule_retry(&self, service: &Name, why: NoServer) -> NoServer {
        match why {
            NoServer::OnlyLimited(at_limit) => {
                let daemons = self.fleet.members.lock().usable().count() + 1;
                let per_second = at_limit.per_second / daemons as f64;
                let first_ms = self.next_return(service, at_limit.first_ms, per_second);
                NoServer::OnlyLimited(AtLimit { first_ms, ..at_limit })
            }
            NoServer::OnlyResting(resting) => {
                let per_second = RETURNS_PER_S * resting.servers as f64;
                let first_ms = self.next_return(service, resting.first_ms, per_second);
                NoServer::OnlyResting(Resting { first_ms, ..resting })
            }
            other => other,
        }
    }

    fn next_return(&self, service: &Name, first_ms: Millis, per_second: f64) -> Millis {
        let now = self.fleet.base.clock.now();
        self.returns.lock().next_delay(now, service, first_ms, per_second, rand::random())
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

    /// Forgets what servers have said that are gone, limits that were lifted and rests that are
    /// over.
    pub fn forget_old(&self) {
        self.fleet_since();
        let now = self.fleet.base.clock.now();
        if self.has_closed.load(Ordering::Relaxed) {
            self.change_closed(|router| router.expire_closed(now));
        }
        if !self.has_limits.load(Ordering::Relaxed) {
            return;
        }
        let listed: HashSet<ServerStart> = {
            let router = self.router.lock();
            router.servers().iter().map(|view| view.start()).collect()
        };
        self.change_limits(|book| book.forget_old(now, |server| listed.contains(server)));
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
                "heard_ms_ago": fact.received_age_ms,
                "permits_here": self.leases.lock().available(now, &fact.server),
                "issuer_rank": level.map(|(rank, _)| rank),
                "permits_to_issue": level.map(|(_, left)| left),
            })
        };
        facts.iter().map(row).collect()
    }
}
