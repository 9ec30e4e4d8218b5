//! Slots of brittle servers (core `slot_leases`): which servers are brittle, and the slots that
//! requests of this daemon hold there.
//!
//! `issuers` finds the issuer of a server and calls it, `issue` is the issuer's side, and `report`
//! releases and renews slots. Without a brittle server no message is sent.

mod issue;
pub mod issuers;
pub mod report;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bankcove_core::crashes::ServerInstance;
use bankcove_core::limits::{LimitChange, LimitFact, LimitHeader, LimitTracker, RequestRate};
use bankcove_core::router::{Choice, FullPool, Router};
use bankcove_core::slot_leases::{HeldSlots, SlotAnswer, SlotId, SlotIssuer, SlotRequest};
use bankcove_core::{Millis, Name};
use parking_lot::Mutex;
use serde_json::{Value, json};
use slog::Logger;
use tokio::sync::{Notify, mpsc};

use crate::fleet::Fleet;
use crate::hints::silent_issuers::SilentIssuers;
use crate::hints::slots::issue::WaitingRequests;
use crate::peer::ReleasedSlot;

/// Capacity of the queue of released slots. Leases of those that don't fit expire.
const RELEASE_QUEUE_CAPACITY: usize = 4_096;

/// Longest wait of a request for a slot of one server, in milliseconds. An issuer that does not answer is
/// skipped only after that.
const MAX_PATIENCE_MS: Millis = 1_000;

/// Slots of this daemon, and those that it issues.
#[derive(Debug)]
pub struct Slots {
    fleet: Fleet,
    router: Arc<Mutex<Router>>,
    /// Limits on rejections per second, by server.
    brittle: Mutex<LimitTracker>,
    /// Lowest of these limits in each pool. It applies to servers that have not answered yet.
    pools: Mutex<HashMap<Name, RequestRate>>,
    /// Servers that have answered without a limit while others had one.
    robust: Mutex<HashSet<ServerInstance>>,
    /// Whether any server is brittle; if not, requests skip the locks.
    has_brittle: AtomicBool,
    /// [`LimitTracker::digest`] after the last change.
    digest: AtomicU64,
    held: Mutex<HeldSlots>,
    issuer: Mutex<SlotIssuer>,
    /// Requests that wait for slots of this issuer.
    waiting: Mutex<WaitingRequests>,
    silent_issuers: SilentIssuers,
    /// Queue of released slots for [`report::spawn`].
    released: mpsc::Sender<ReleasedSlot>,
    release_receiver: Mutex<Option<mpsc::Receiver<ReleasedSlot>>>,
    /// Notified when a server has become brittle.
    became_brittle: Notify,
}

/// Slot that a request holds at a server; dropping it releases the slot.
#[derive(Debug)]
pub struct HeldSlot {
    slots: Arc<Slots>,
    server: ServerInstance,
    id: SlotId,
    is_rejected: bool,
}

impl HeldSlot {
    /// Records that the server has rejected the request because it is full.
    pub fn record_rejection(&mut self) {
        self.is_rejected = true;
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        self.slots.release(&self.server, self.id, self.is_rejected);
    }
}

impl Slots {
    /// Creates the state without brittle servers.
    pub fn new(fleet: Fleet, router: Arc<Mutex<Router>>) -> Self {
        let (released, release_receiver) = mpsc::channel(RELEASE_QUEUE_CAPACITY);
        Slots {
            fleet,
            router,
            brittle: Mutex::default(),
            pools: Mutex::default(),
            robust: Mutex::default(),
            has_brittle: AtomicBool::new(false),
            digest: AtomicU64::new(0),
            held: Mutex::default(),
            issuer: Mutex::default(),
            waiting: Mutex::default(),
            silent_issuers: SilentIssuers::default(),
            released,
            release_receiver: Mutex::new(Some(release_receiver)),
            became_brittle: Notify::new(),
        }
    }

    /// Acquires a slot at the chosen server. Waits for at most `patience_ms`, and only if one is expected by
    /// then. A server without a slot counts as full for some time.
    ///
    /// # Errors
    /// [`FullPool`] when no slot is free.
    pub async fn acquire(
        self: &Arc<Self>,
        log: &Logger,
        choice: &Choice,
        urgency: u32,
        patience_ms: Millis,
    ) -> Result<HeldSlot, FullPool> {
        let server = choice.instance();
        let Some(borne) = self.borne(&server) else {
            let id = self.held.lock().next_id();
            return Ok(self.hold(server, id));
        };
        let id = self.held.lock().next_id();
        let slots = self.router.lock().listed_slots(&server);
        let from = self.fleet.base.incarnation;
        let request = SlotRequest { from, id, urgency, slots };
        let asked_at = self.now();
        let patience = Duration::from_millis(patience_ms.min(MAX_PATIENCE_MS));
        let (issuer, answer) = self.ask_issuers(&server, borne, request, patience).await;
        self.fleet.base.metrics.time("slot.ask_ms", self.now().saturating_sub(asked_at));
        let retry_ms = match answer {
            SlotAnswer::Granted => return Ok(self.hold(server, id)),
            SlotAnswer::Denied { retry_ms } => retry_ms,
        };
        self.router.lock().mark_full(&server, self.now() + retry_ms);
        self.fleet.base.metrics.count("slot.denied");
        slog::info!(log, "no slot at the server"; "server" => %server.name, "issuer" => issuer,
            "borne_per_s" => borne.per_second(), "retry_ms" => retry_ms);
        Err(FullPool { first_ms: retry_ms })
    }

    /// Returns whether the requests at this server need slots.
    pub fn is_brittle(&self, server: &ServerInstance) -> bool {
        self.borne(server).is_some()
    }

    /// Records the rejection limit in a response to a request sent at `sent_at`; returns the fact for
    /// peers if it has changed.
    pub(super) fn record_response(
        &self,
        server: &ServerInstance,
        sent_at: Millis,
        header: &LimitHeader,
    ) -> Option<LimitFact> {
        if *header == LimitHeader::Absent {
            if !self.has_brittle.load(Ordering::Relaxed) {
                return None;
            }
            self.robust.lock().insert(server.clone());
        }
        let now = self.now();
        let change = self.brittle.lock().record_response(now, server, sent_at, header)?;
        Some(self.apply_change(&change, "server"))
    }

    /// Merges rejection limits from a peer; returns those that are new.
    pub(super) fn merge(&self, facts: &[LimitFact]) -> Vec<LimitFact> {
        if facts.is_empty() {
            return Vec::new();
        }
        let changes = self.brittle.lock().merge(self.now(), facts);
        changes.iter().map(|change| self.apply_change(change, "peer")).collect()
    }

    /// Returns up to `max_count` known rejection limits, starting with the one at `offset`.
    pub(super) fn facts(&self, max_count: usize, offset: usize) -> Vec<LimitFact> {
        self.brittle.lock().facts(self.now(), max_count, offset)
    }

    /// Returns a hash of all rejection limits in force; 0 if there are none.
    pub(super) fn digest(&self) -> u64 {
        // The hash of a request limit of the same value differs.
        self.digest.load(Ordering::Relaxed).rotate_left(1)
    }

    /// Removes lifted limits, and what is known of servers that are no longer listed.
    pub(super) fn remove_expired(&self) {
        if !self.has_brittle.load(Ordering::Relaxed) {
            return;
        }
        let listed: HashSet<ServerInstance> = {
            let router = self.router.lock();
            router.servers().iter().map(|view| view.instance()).collect()
        };
        let now = self.now();
        self.brittle.lock().remove_expired(now, |server| listed.contains(server));
        self.robust.lock().retain(|server| listed.contains(server));
        self.issuer.lock().retain(|server| listed.contains(server));
        self.silent_issuers.remove_expired(now);
        self.refresh();
    }

    /// Returns the brittle servers and their slots as JSON, for operators.
    pub fn dump(&self) -> Value {
        let now = self.now();
        let facts = self.facts(usize::MAX, 0);
        let issuer = self.issuer.lock();
        let stats: HashMap<&ServerInstance, _> = issuer.stats(now).collect();
        let held = self.held.lock();
        let row = |fact: &LimitFact| {
            json!({
                "server": fact.server.name, "started_ms": fact.server.started_ms,
                "borne_per_s": fact.limit.map(|rate| rate.per_second()),
                "heard_ms_ago": fact.received_age_ms,
                "held_here": held.at(&fact.server).count(),
                "issued_here": stats.get(&fact.server),
            })
        };
        facts.iter().map(row).collect()
    }

    fn now(&self) -> Millis {
        self.fleet.base.clock.now()
    }

    fn hold(self: &Arc<Self>, server: ServerInstance, id: SlotId) -> HeldSlot {
        self.held.lock().add(&server, id);
        HeldSlot { slots: Arc::clone(self), server, id, is_rejected: false }
    }

    fn release(&self, server: &ServerInstance, id: SlotId, is_rejected: bool) {
        self.held.lock().remove(server, id);
        if self.is_brittle(server) {
            self.queue_release(server, id, is_rejected);
        }
    }

    fn queue_release(&self, server: &ServerInstance, id: SlotId, is_rejected: bool) {
        let released = ReleasedSlot { server: server.clone(), id, is_rejected };
        if self.released.try_send(released).is_err() {
            self.fleet.base.metrics.count("slot.not_released");
        }
    }

    /// Returns how many rejections a second a server bears; `None` if any number. A server that has
    /// not answered yet is presumed to be like the others of its pool.
    fn borne(&self, server: &ServerInstance) -> Option<RequestRate> {
        if !self.has_brittle.load(Ordering::Relaxed) {
            return None;
        }
        if let Some(borne) = self.brittle.lock().limit(server) {
            return Some(borne);
        }
        if self.robust.lock().contains(server) {
            return None;
        }
        let groups = self.router.lock().groups_of(&server.name);
        let pools = self.pools.lock();
        let of_pools = groups.iter().filter_map(|group| pools.get(&group.pool).copied());
        of_pools.min_by(|a, b| a.per_second().total_cmp(&b.per_second()))
    }

    /// Applies a changed rejection limit and logs it; returns the fact for peers.
    fn apply_change(&self, change: &LimitChange, origin: &'static str) -> LimitFact {
        let LimitChange { before, fact } = change;
        if fact.limit.is_some() {
            self.robust.lock().remove(&fact.server);
            self.became_brittle.notify_one();
        }
        self.refresh();
        self.fleet.base.metrics.count("server.brittle");
        slog::info!(self.fleet.base.log, "server is brittle";
            "server" => %fact.server.name, "started_ms" => fact.server.started_ms,
            "before_per_s" => before.map(RequestRate::per_second),
            "rejections_per_s" => fact.limit.map(RequestRate::per_second),
            "age_ms" => fact.received_age_ms, "from" => origin);
        fact.clone()
    }

    /// Updates what is derived from the rejection limits.
    fn refresh(&self) {
        let facts = self.facts(usize::MAX, 0);
        let mut pools: HashMap<Name, RequestRate> = HashMap::new();
        {
            let router = self.router.lock();
            for fact in &facts {
                let Some(borne) = fact.limit else { continue };
                for group in router.groups_of(&fact.server.name) {
                    let lowest = pools.entry(group.pool).or_insert(borne);
                    if borne < *lowest {
                        *lowest = borne;
                    }
                }
            }
        }
        let has_brittle = facts.iter().any(|fact| fact.limit.is_some());
        *self.pools.lock() = pools;
        self.digest.store(self.brittle.lock().digest(), Ordering::Relaxed);
        self.has_brittle.store(has_brittle, Ordering::Relaxed);
    }
}
