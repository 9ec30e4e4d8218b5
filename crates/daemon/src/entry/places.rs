//! Queues of requests for places at the servers of full pools (core `places`).
//!
//! Active with the setting `entry.place_queue`, and only for pools whose servers have rejected
//! requests as full. A waiting request is a future of its caller's connection: dropping it removes
//! the request from its queue.

use std::collections::HashMap;
use std::sync::Arc;

use bankcove_core::crashes::ServerInstance;
use bankcove_core::places::{FreedPlace, NoPlace, PlaceQueue, PlaceRequest, PlaceState, Ticket};
use bankcove_core::rollout::Versions;
use bankcove_core::router::{Choice, FullPool, NoServer, PoolRoom};
use bankcove_core::{Millis, Name};
use parking_lot::Mutex;
use serde_json::{Value, json};
use slog::Logger;
use tokio::sync::Notify;

use crate::requests::RequestContext;

/// Queues of all pools.
pub struct Places {
    requests: Arc<RequestContext>,
    capacity: usize,
    pools: Mutex<HashMap<Name, PoolState>>,
}

/// Queue of one pool, with the tasks of the waiting requests.
struct PoolState {
    queue: PlaceQueue,
    wakers: HashMap<Ticket, Arc<Notify>>,
    /// Request whose task probes for usable servers.
    prober: Option<Ticket>,
}

impl PoolState {
    /// Wakes the tasks for which something has changed.
    fn wake(&mut self, now: Millis) {
        let prober = self.queue.next_probe(now).map(|(ticket, _)| ticket);
        let new_prober = prober.filter(|prober| self.prober != Some(*prober));
        self.prober = prober;
        for ticket in self.queue.tickets_to_wake().chain(new_prober) {
            if let Some(waker) = self.wakers.get(&ticket) {
                waker.notify_one();
            }
        }
    }
}

/// A request that may wait for a place.
pub struct Applicant<'a> {
    /// Logger that adds the request's id.
    pub log: &'a Logger,
    /// Pool.
    pub service: &'a Name,
    /// The request as the queue orders it.
    pub request: PlaceRequest,
}

/// Membership of a request in a queue; dropping it removes the request.
struct Waiting<'a> {
    places: &'a Places,
    applicant: &'a Applicant<'a>,
    ticket: Ticket,
    waker: Arc<Notify>,
    joined_at: Millis,
}

/// What ended a wait.
enum WaitEnd {
    /// The request may ask for a server.
    Called(Option<ServerInstance>),
    /// The servers have changed, and the request may have none left.
    ServersChanged,
    /// It gets no place in time.
    Refused(NoPlace),
}

/// A request's place at a server; when it is dropped, the next request is called.
pub struct PlaceHold {
    places: Arc<Places>,
    service: Name,
    place: FreedPlace,
    /// Whether it is not to be recorded as freed.
    is_free: bool,
}

impl PlaceHold {
    /// Ends the hold of a request that did not occupy a place.
    pub fn cancel(mut self) {
        self.is_free = true;
    }
}

impl Drop for PlaceHold {
    fn drop(&mut self) {
        if !self.is_free {
            self.places.record_freed(&self.service, &self.place);
        }
    }
}

impl Places {
    /// Creates empty queues for at most `capacity` requests for each pool; 0 disables them.
    pub fn new(requests: Arc<RequestContext>, capacity: usize) -> Arc<Self> {
        Arc::new(Places { requests, capacity, pools: Mutex::default() })
    }

    /// Records that a server has rejected a request because it is full. Returns whether the pool
    /// has a queue.
    pub fn record_full(&self, log: &Logger, service: &Name, choice: &Choice) -> bool {
        if self.capacity == 0 {
            return false;
        }
        let now = self.now();
        let server = choice.instance();
        let full_ms = self.requests.router.lock().record_full(now, service.as_str(), &server);
        self.requests.base.metrics.count("places.full_servers");
        slog::info!(log, "server is full"; "server" => %server.name, "for_ms" => full_ms);
        let mut pools = self.pools.lock();
        pools.retain(|_, pool| !pool.queue.is_idle(now));
        let pool = self.pool(&mut pools, now, service);
        pool.queue.record_rejected(now, &server);
        true
    }

    /// Records that a request is sent to a server. Returns its place there.
    pub fn hold(self: &Arc<Self>, service: &Name, choice: &Choice) -> PlaceHold {
        let server = choice.instance();
        if let Some(pool) = self.pools.lock().get_mut(service) {
            pool.queue.record_sent(&server);
        }
        let (places, service) = (Arc::clone(self), service.clone());
        // The issuer of a brittle server decides which daemon gets the place next.
        let is_free = self.capacity == 0 || self.requests.hints.slots.is_brittle(&server);
        let place = FreedPlace { server, version: choice.version.clone() };
        PlaceHold { places, service, place, is_free }
    }

    /// Chooses a server with `choose`; while the pool is full, waits in its queue first. `choose`
    /// is given the server at which a request of this daemon has just ended.
    ///
    /// # Errors
    /// [`NoServer`] when no server is available in time.
    pub async fn choose_in_turn(
        &self,
        applicant: &Applicant<'_>,
        choose: impl Fn(Option<&ServerInstance>) -> Result<Choice, NoServer>,
    ) -> Result<Choice, NoServer> {
        match choose(None) {
            Ok(choice) if !self.has_waiting(applicant.service, &choice) => return Ok(choice),
            Ok(_) | Err(NoServer::OnlyFull(_)) => {}
            Err(why) => return Err(why),
        }
        let mut waiting = self.join(applicant)?;
        loop {
            match waiting.wait().await {
                WaitEnd::Called(freed) => match choose(freed.as_ref()) {
                    Ok(choice) => {
                        waiting.take();
                        return Ok(choice);
                    }
                    Err(NoServer::OnlyFull(_)) => waiting.decline(),
                    Err(why) => return Err(why),
                },
                WaitEnd::ServersChanged => match choose(None) {
                    Ok(_) | Err(NoServer::OnlyFull(_)) => {}
                    Err(why) => return Err(why),
                },
                WaitEnd::Refused(no_place) => return Err(self.refused(applicant, no_place)),
            }
        }
    }

    /// Returns the reason for a request that was rejected as full and may not be sent again.
    pub fn refuse(&self, applicant: &Applicant<'_>) -> NoServer {
        let now = self.now();
        let room = self.room(now, applicant);
        let seed = rand::random();
        let mut pools = self.pools.lock();
        let pool = self.pool(&mut pools, now, applicant.service);
        let no_place = pool.queue.refuse(now, &applicant.request, &room, seed);
        drop(pools);
        self.refused(applicant, no_place)
    }

    /// Returns the waiting requests of each pool as JSON, for operators.
    pub fn dump(&self) -> Value {
        let now = self.now();
        let pools: Vec<(Name, usize)> = {
            let pools = self.pools.lock();
            pools.iter().map(|(name, pool)| (name.clone(), pool.queue.len())).collect()
        };
        let router = self.requests.router.lock();
        let row = |(name, waiting): (Name, usize)| {
            let room = router.room(now, name.as_str());
            json!({
                "pool": name, "waiting": waiting, "usable": room.usable, "full": room.full,
                "first_full_ms": room.first_full_ms, "in_flight": room.in_flight,
                "answer_ms": room.answer_ms, "first_answer_ms": room.first_answer_ms,
            })
        };
        pools.into_iter().map(row).collect()
    }

    fn now(&self) -> Millis {
        self.requests.base.clock.now()
    }

    /// Returns the state of a pool; creates it if there is none.
    fn pool<'a>(
        &self,
        pools: &'a mut HashMap<Name, PoolState>,
        now: Millis,
        service: &Name,
    ) -> &'a mut PoolState {
        pools.entry(service.clone()).or_insert_with(|| PoolState {
            queue: PlaceQueue::new(now, service.clone(), self.capacity),
            wakers: HashMap::new(),
            prober: None,
        })
    }

    /// Returns the room at the servers that a request may use.
    fn room(&self, now: Millis, applicant: &Applicant<'_>) -> PoolRoom {
        let version = applicant.request.version.as_ref();
        let versions = version.map_or(Versions::Any, Versions::OfStream);
        self.requests.router.lock().room_of(now, applicant.service.as_str(), versions)
    }

    /// Returns whether a request waits that may use the chosen server.
    fn has_waiting(&self, service: &Name, choice: &Choice) -> bool {
        let version = choice.version.as_ref();
        let is_waiting = |pool: &PoolState| pool.queue.has_waiting_for(version);
        self.capacity > 0 && self.pools.lock().get(service).is_some_and(is_waiting)
    }

    /// Adds a request to the queue of its pool.
    fn join<'a>(&'a self, applicant: &'a Applicant<'a>) -> Result<Waiting<'a>, NoServer> {
        let now = self.now();
        let room = self.room(now, applicant);
        let request = applicant.request.clone();
        let waker = Arc::<Notify>::default();
        let mut pools = self.pools.lock();
        let pool = self.pool(&mut pools, now, applicant.service);
        let joined = pool.queue.join(now, request, &room, rand::random());
        if let Ok(ticket) = joined {
            pool.wakers.insert(ticket, Arc::clone(&waker));
            pool.wake(now);
        }
        drop(pools);
        self.report_waiting();
        let ticket = joined.map_err(|no_place| self.refused(applicant, no_place))?;
        Ok(Waiting { places: self, applicant, ticket, waker, joined_at: now })
    }

    /// Changes the queue of a pool, if it has one, and wakes the tasks concerned.
    fn change<T>(
        &self,
        service: &Name,
        change: impl FnOnce(Millis, &mut PlaceQueue) -> T,
    ) -> Option<T> {
        let now = self.now();
        let mut pools = self.pools.lock();
        let pool = pools.get_mut(service)?;
        let changed = change(now, &mut pool.queue);
        pool.wake(now);
        Some(changed)
    }

    /// Calls the next request after one has ended at this server.
    fn record_freed(&self, service: &Name, place: &FreedPlace) {
        if !self.pools.lock().contains_key(service) {
            return;
        }
        let room = self.requests.router.lock().room(self.now(), service.as_str());
        self.change(service, |now, queue| queue.record_freed(now, place.clone(), &room));
    }

    /// Logs and counts a refusal.
    fn refused(&self, applicant: &Applicant<'_>, no_place: NoPlace) -> NoServer {
        self.requests.base.metrics.count("places.refused");
        self.requests.base.metrics.time("places.refused_age_ms", no_place.age_ms);
        slog::info!(applicant.log, "no place in the pool";
            "service" => %applicant.service, "position" => no_place.position,
            "per_s" => no_place.per_second, "age_ms" => no_place.age_ms,
            "answer_ms" => no_place.answer_ms, "goal_ms" => applicant.request.goal_ms,
            "heard_ms_ago" => no_place.heard_ms_ago, "expected_ms" => no_place.expected_ms, "retry_ms" => no_place.retry_ms);
        NoServer::OnlyFull(FullPool { first_ms: no_place.retry_ms })
    }

    fn report_waiting(&self) {
        let waiting: usize = self.pools.lock().values().map(|pool| pool.queue.len()).sum();
        self.requests.base.metrics.set("places.waiting", waiting as u64);
    }
}

impl Waiting<'_> {
    /// Waits until the request is called or refused, or the servers change.
    async fn wait(&self) -> WaitEnd {
        let requests = &self.places.requests;
        let clock = &requests.base.clock;
        loop {
            // Created before the state is read, so that no change in between is missed.
            let servers_changed = requests.fleet.servers_changed.notified();
            let now = clock.now();
            let service = self.applicant.service;
            let read = |_, queue: &mut PlaceQueue| {
                let probe = queue.next_probe(now).filter(|(ticket, _)| *ticket == self.ticket);
                (queue.state(self.ticket), probe.map(|(_, at)| at))
            };
            let (state, probe_at) = self.places.change(service, read).unwrap_or((None, None));
            let until = match state {
                Some(PlaceState::Called(freed)) => return WaitEnd::Called(freed),
                Some(PlaceState::Removed(no_place)) => return WaitEnd::Refused(no_place),
                Some(PlaceState::Waiting(until)) if now < until => until,
                Some(PlaceState::Waiting(_)) | None => return WaitEnd::Refused(self.give_up()),
            };
            tokio::select! {
                () = self.waker.notified() => {}
                () = requests.stopping.cancelled() => return WaitEnd::Refused(self.give_up()),
                () = servers_changed => {
                    let change = |now, queue: &mut PlaceQueue| queue.record_servers_changed(now);
                    self.places.change(service, change);
                    return WaitEnd::ServersChanged;
                }
                () = clock.sleep_until(probe_at.map_or(until, |at| at.min(until))) => {
                    if probe_at.is_some_and(|at| clock.now() >= at) {
                        self.probe();
                    }
                }
            }
        }
    }

    /// Calls requests if servers are usable.
    fn probe(&self) {
        let places = self.places;
        let service = self.applicant.service;
        let room = places.requests.router.lock().room(places.now(), service.as_str());
        places.change(service, |now, queue| queue.probe(now, &room));
    }

    /// Returns the refusal of a request that waits no longer.
    fn give_up(&self) -> NoPlace {
        let places = self.places;
        let service = self.applicant.service;
        let room = places.room(places.now(), self.applicant);
        let refuse = |now, queue: &mut PlaceQueue| {
            queue.leave(self.ticket);
            queue.refuse(now, &self.applicant.request, &room, rand::random())
        };
        places.change(service, refuse).unwrap_or_default()
    }

    /// Passes the call on, because no server was found.
    fn decline(&mut self) {
        self.places.change(self.applicant.service, |_, queue| queue.decline(self.ticket));
    }

    /// Leaves the queue with a place.
    fn take(&mut self) {
        self.places.change(self.applicant.service, |_, queue| queue.take(self.ticket));
        let waited = self.places.now().saturating_sub(self.joined_at);
        self.places.requests.base.metrics.time("places.wait_ms", waited);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let now = self.places.now();
        if let Some(pool) = self.places.pools.lock().get_mut(self.applicant.service) {
            pool.queue.leave(self.ticket);
            pool.wakers.remove(&self.ticket);
            pool.wake(now);
        }
        self.places.report_waiting();
    }
}
