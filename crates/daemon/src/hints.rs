//! Hints of backend servers in their response headers (core `hints` and `limits`): that they are
//! leaving, that they ask for rest, their limits in requests per second, and that they are brittle.
//!
//! `permit` acquires the permit that each request to a server needs, `record` records response
//! headers and facts from peers, `issue` issues permits to peers, `slots` bounds the open requests
//! at brittle servers, and `gossip` exchanges facts with peers. This module may call peers and use the state of the fleet and of the servers. It is
//! called by `api`, `entry`, `membership` and `peer_server`.

pub mod gossip;
mod issue;
pub mod permit;
pub mod record;
mod silent_issuers;
pub mod slots;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bankcove_core::crashes::ServerInstance;
use bankcove_core::hints::HintFact;
use bankcove_core::limits::{Issuer, Leases, LimitFact, LimitTracker, RetrySchedule};
use bankcove_core::router::{AtLimit, NoServer, Resting, Router};
use bankcove_core::{Millis, Name};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::fleet::Fleet;
use crate::fleet::fetch_throttle::FetchThrottle;
use crate::hints::silent_issuers::SilentIssuers;
use crate::hints::slots::Slots;

/// Capacity of the queue of facts to send to peers. Facts that don't fit reach peers by heartbeats.
const FACT_QUEUE_CAPACITY: usize = 4_096;

/// Rate at which one daemon schedules retries for each resting server, in callers per second. A
/// rest concerns the requests of one daemon only, so the rates of several daemons don't add up.
const RETRIES_PER_RESTING_SERVER_S: f64 = 20.0;

/// Hints of servers as known to this daemon. Leaving and resting servers are recorded in the
/// router.
#[derive(Debug)]
pub struct Hints {
    fleet: Fleet,
    router: Arc<Mutex<Router>>,
    limits: Mutex<LimitTracker>,
    issuer: Mutex<Issuer>,
    leases: Mutex<Leases>,
    retry_schedule: Mutex<RetrySchedule>,
    /// Last [`bankcove_core::members::Members::digest`], and since when it is the current one.
    members_digest: Mutex<(u64, Millis)>,
    silent_issuers: SilentIssuers,
    /// Servers with a hint that could not be parsed, which is logged once for each server.
    unreadable: Mutex<HashMap<ServerInstance, String>>,
    /// Whether any limit is known; if not, requests skip the lock of `limits`.
    has_limits: AtomicBool,
    /// Whether any server is leaving or resting; if not, requests skip the lock of `router`.
    has_closed: AtomicBool,
    /// Brittle servers, and the slots that bound the requests there.
    pub slots: Arc<Slots>,
    /// [`LimitTracker::digest`] after the last change.
    limits_digest: AtomicU64,
    /// [`Router::leaving_digest`] after the last change.
    leaving_digest: AtomicU64,
    /// Limits how often facts are fetched from peers.
    fetch_throttle: FetchThrottle,
    /// Queue of facts to send to peers, with the time at which each was recorded.
    fact_queue: mpsc::Sender<(Millis, HintFact)>,
    /// Receiver of that queue, taken by [`gossip::spawn_sender`].
    fact_receiver: Mutex<Option<mpsc::Receiver<(Millis, HintFact)>>>,
}

impl Hints {
    /// Creates the state without any hints.
    pub fn new(fleet: Fleet, router: Arc<Mutex<Router>>) -> Self {
        let (fact_queue, fact_receiver) = mpsc::channel(FACT_QUEUE_CAPACITY);
        Hints {
            slots: Arc::new(Slots::new(fleet.clone(), Arc::clone(&router))),
            fleet,
            router,
            limits: Mutex::default(),
            issuer: Mutex::default(),
            leases: Mutex::default(),
            retry_schedule: Mutex::default(),
            members_digest: Mutex::default(),
            silent_issuers: SilentIssuers::default(),
            unreadable: Mutex::default(),
            has_limits: AtomicBool::new(false),
            has_closed: AtomicBool::new(false),
            limits_digest: AtomicU64::new(0),
            leaving_digest: AtomicU64::new(0),
            fetch_throttle: FetchThrottle::default(),
            fact_queue,
            fact_receiver: Mutex::new(Some(fact_receiver)),
        }
    }

    /// Changes the known limits.
    fn change_limits<T>(&self, change: impl FnOnce(&mut LimitTracker) -> T) -> T {
        let mut limits = self.limits.lock();
        let changed = change(&mut limits);
        self.has_limits.store(!limits.is_empty(), Ordering::Relaxed);
        self.limits_digest.store(limits.digest(), Ordering::Relaxed);
        changed
    }

    /// Changes which servers are leaving or resting.
    fn change_closed<T>(&self, change: impl FnOnce(&mut Router) -> T) -> T {
        let mut router = self.router.lock();
        let changed = change(&mut router);
        self.has_closed.store(!router.all_open(), Ordering::Relaxed);
        self.leaving_digest.store(router.leaving_digest(), Ordering::Relaxed);
        drop(router);
        self.fleet.servers_changed.notify_waiters();
        changed
    }

    /// Queues a fact to be sent to peers; drops it when the queue is full.
    fn queue_fact(&self, fact: HintFact) {
        if self.fact_queue.try_send((self.fleet.base.clock.now(), fact)).is_err() {
            self.fleet.base.metrics.count("hint.not_told");
        }
    }

    /// Replaces the retry delay of a caller whose servers are all at their limits or resting by the
    /// next free one of the retry schedule, so that callers return one after the other.
    pub fn schedule_retry(&self, service: &Name, why: NoServer) -> NoServer {
        match why {
            NoServer::OnlyLimited(at_limit) => {
                let daemons = self.fleet.members.lock().usable().count() + 1;
                let per_second = at_limit.per_second / daemons as f64;
                let first_ms = self.next_retry_delay(service, at_limit.first_ms, per_second);
                NoServer::OnlyLimited(AtLimit { first_ms, ..at_limit })
            }
            NoServer::OnlyResting(resting) => {
                let per_second = RETRIES_PER_RESTING_SERVER_S * resting.servers as f64;
                let first_ms = self.next_retry_delay(service, resting.first_ms, per_second);
                NoServer::OnlyResting(Resting { first_ms, ..resting })
            }
            other => other,
        }
    }

    fn next_retry_delay(&self, service: &Name, first_ms: Millis, per_second: f64) -> Millis {
        let now = self.fleet.base.clock.now();
        self.retry_schedule.lock().next_delay(now, service, first_ms, per_second, rand::random())
    }

    /// Returns the time since which the membership of the fleet has not changed.
    fn membership_since(&self) -> Millis {
        let digest = self.fleet.members.lock().digest();
        let now = self.fleet.base.clock.now();
        let mut membership = self.members_digest.lock();
        if membership.0 != digest {
            *membership = (digest, now);
        }
        membership.1
    }

    /// Removes hints of servers that are no longer listed, lifted limits and rests that have ended.
    pub fn remove_expired(&self) {
        self.membership_since();
        self.slots.remove_expired();
        let now = self.fleet.base.clock.now();
        if self.has_closed.load(Ordering::Relaxed) {
            self.change_closed(|router| router.remove_expired_hints(now));
        }
        if !self.has_limits.load(Ordering::Relaxed) {
            return;
        }
        let listed: HashSet<ServerInstance> = {
            let router = self.router.lock();
            router.servers().iter().map(|view| view.instance()).collect()
        };
        self.change_limits(|limits| limits.remove_expired(now, |server| listed.contains(server)));
        let is_limited = |server: &ServerInstance| self.limits.lock().limit(server).is_some();
        self.issuer.lock().retain(is_limited);
        self.leases.lock().retain(is_limited);
        self.silent_issuers.remove_expired(now);
        self.unreadable.lock().retain(|server, _| listed.contains(server));
    }

    /// Returns the servers with a limit and their permits as JSON, for operators.
    pub fn dump(&self) -> Value {
        let now = self.fleet.base.clock.now();
        let facts = self.limits.lock().facts(now, usize::MAX, 0);
        let levels: HashMap<ServerInstance, (usize, f64)> = {
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
