//! Queue of the requests of one daemon for places at the servers of one pool.
//!
//! A request waits here when the servers of its pool have rejected requests as full
//! ([`crate::router::NoServer::OnlyFull`]). It is called when a request of this daemon ends at the
//! pool, or when a server no longer counts as full; then it asks the router for a server. A request
//! that can't expect a place in time is refused at once, with a retry delay.

mod order;
mod rate;
mod request;
mod spare;
mod waiter;

pub use request::{FreedPlace, NoPlace, PlaceRank, PlaceRequest, PlaceState, Ticket};

use crate::crashes::ServerInstance;
use crate::limits::RetrySchedule;
use crate::places::order::{OTHER_RANKS_EVERY, Turns};
use crate::places::rate::{FreedRate, expected_wait};
use crate::places::spare::SparePlaces;
use crate::places::waiter::{Call, Waiter};
use crate::router::PoolRoom;
use crate::{Millis, Name};

/// Ratio of the mean to the shortest time until an answer begins above which requests wait in queues
/// of the servers. These keep the servers busy, so that a place left empty costs no throughput. The
/// whole time of an answer would not do: streams differ in length.
const QUEUED_ANSWER_RATIO: f64 = 2.0;

/// One in this many places that come free is left empty while requests wait in queues of the
/// servers. It shortens these queues, and lets requests of other hosts in. In the replay of a burst
/// at one host, 1,108 of 1,520 requests were answered in time with it and 881 without
/// (`crates/core/tests/places_fleet.rs`).
const LEFT_EMPTY_EVERY: u64 = 4;

/// Interval at which a queue is checked for changes that are not announced, e.g. an ejection, in
/// milliseconds.
const RECHECK_MS: Millis = 50;

/// Time after the last rejection for which a pool's state is kept, in milliseconds.
const KEPT_MS: Millis = 10_000;

/// Fraction of the queue in which the requests of each rank are safe from more urgent ones.
const KEPT_FRACTION: usize = 10;

/// Longest expected wait, in milliseconds, when no place comes free at all.
const MAX_EXPECTED_MS: f64 = 60_000.0;

/// Lowest rate by which retry delays are spaced, in requests per millisecond.
const MIN_RETRY_RATE: f64 = 0.001;

/// Queue of one pool.
#[derive(Debug, Clone)]
pub struct PlaceQueue {
    pool: Name,
    capacity: usize,
    waiting: Vec<Waiter>,
    removed: Vec<(Ticket, NoPlace)>,
    spare: SparePlaces,
    turns: Turns,
    freed: FreedRate,
    /// Number of requests of this daemon that have ended at the pool.
    ends: u64,
    last_ticket: u64,
    last_call: u64,
    next_probe_at: Millis,
    rejected_at: Millis,
    retries: RetrySchedule,
}

impl PlaceQueue {
    /// Creates the queue of a pool for at most `capacity` requests.
    pub fn new(now: Millis, pool: Name, capacity: usize) -> Self {
        PlaceQueue {
            pool,
            capacity,
            waiting: Vec::new(),
            removed: Vec::new(),
            spare: SparePlaces::default(),
            turns: Turns::default(),
            freed: FreedRate::new(now),
            ends: 0,
            last_ticket: 0,
            last_call: 0,
            next_probe_at: now,
            rejected_at: now,
            retries: RetrySchedule::default(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether the queue is no longer needed: nothing waits, and no server has rejected a
    /// request as full for some time.
    pub fn is_idle(&self, now: Millis) -> bool {
        self.waiting.is_empty() && self.removed.is_empty() && now >= self.rejected_at + KEPT_MS
    }

    /// Records that a server of the pool has rejected a request as full. Places there that seemed
    /// to be free are taken.
    pub fn record_rejected(&mut self, now: Millis, server: &ServerInstance) {
        self.rejected_at = now;
        self.spare.remove_all(server);
    }

    /// Records that a request is sent to this server. It uses a place there that seemed to be free.
    pub fn record_sent(&mut self, server: &ServerInstance) {
        self.spare.remove_one(server);
    }

    /// Adds a request. Returns its ticket; it may be called already, or removed in favor of a more
    /// urgent one. `seed` is random.
    ///
    /// # Errors
    /// [`NoPlace`] when no place is expected in time, or the queue is full of requests that come
    /// before this one.
    pub fn join(
        &mut self,
        now: Millis,
        request: PlaceRequest,
        room: &PoolRoom,
        seed: u64,
    ) -> Result<Ticket, NoPlace> {
        self.spare.remove_expired(now);
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        if self.waiting.is_empty() {
            self.next_probe_at = now + if room.usable > 0 { 0 } else { room.first_full_ms };
        }
        let goal = request.since.saturating_add(request.goal_ms);
        let start_by = goal.saturating_sub(room.first_answer_ms as Millis);
        let until = start_by.min(request.deadline);
        self.waiting.push(Waiter { ticket, request, until, call: None, declined: 0 });
        let index = self.waiting.len() - 1;
        let has_spare = self.rivals(index) < self.spare.count_for(&self.waiting[index].request);
        let mut no_place = self.no_place(now, index, room);
        if has_spare {
            no_place.expected_ms = 0;
        }
        if now + no_place.expected_ms > until || now >= until {
            self.remove(index);
            return Err(self.scheduled(now, no_place, seed));
        }
        if self.waiting.len() > self.capacity {
            let evicted = self.index_to_evict();
            let no_place = self.no_place(now, evicted, room);
            let no_place = self.scheduled(now, no_place, seed);
            let evicted_ticket = self.waiting[evicted].ticket;
            self.remove(evicted);
            if evicted_ticket == ticket {
                return Err(no_place);
            }
            self.removed.push((evicted_ticket, no_place));
        }
        let joined = self.index_of(ticket).map(|index| &self.waiting[index].request);
        if let Some(freed) = joined.and_then(|request| self.spare.take(request)) {
            self.call_next(Some(freed));
        }
        Ok(ticket)
    }

    /// Returns the state of a request that has joined; `None` after it has left.
    pub fn state(&self, ticket: Ticket) -> Option<PlaceState> {
        if let Some((_, no_place)) = self.removed.iter().find(|(removed, _)| *removed == ticket) {
            return Some(PlaceState::Removed(*no_place));
        }
        let waiter = self.waiting.iter().find(|waiter| waiter.ticket == ticket)?;
        Some(match &waiter.call {
            Some(call) => PlaceState::Called(call.freed.as_ref().map(|freed| freed.server.clone())),
            None => PlaceState::Waiting(waiter.until),
        })
    }

    /// Returns the requests that are called or have been removed and whose tasks have to be woken.
    pub fn tickets_to_wake(&self) -> impl Iterator<Item = Ticket> {
        let called = self.waiting.iter().filter(|waiter| waiter.call.is_some());
        called.map(|waiter| waiter.ticket).chain(self.removed.iter().map(|(ticket, _)| *ticket))
    }

    /// Returns the request whose task calls [`PlaceQueue::probe`], and the time to do so.
    pub fn next_probe(&self, now: Millis) -> Option<(Ticket, Millis)> {
        let waiter = self.waiting.iter().find(|waiter| waiter.call.is_none())?;
        Some((waiter.ticket, self.next_probe_at.clamp(now, now + RECHECK_MS)))
    }

    /// Calls the next request if a server is usable, at most one for each time in which the usable
    /// servers finish a request. When no server is left, all requests are called, and find that
    /// out.
    pub fn probe(&mut self, now: Millis, room: &PoolRoom) {
        if room.usable == 0 && room.full == 0 {
            while self.call_next(None) {}
        } else if room.usable == 0 {
            self.next_probe_at = now + room.first_full_ms;
        } else if now >= self.next_probe_at {
            let pace_ms = room.answer_ms / f64::from(room.usable_slots.max(1));
            self.next_probe_at = now + (pace_ms as Millis).max(1);
            self.call_next(None);
        } else {
            // A server has become usable before its mark ends, e.g. one that is newly listed.
            let pace_ms = (room.answer_ms / f64::from(room.usable_slots.max(1))) as Millis;
            self.next_probe_at = self.next_probe_at.min(now + pace_ms.max(1));
        }
    }

    /// Records that the list of servers has changed: the next probe is due at once.
    pub fn record_servers_changed(&mut self, now: Millis) {
        self.next_probe_at = self.next_probe_at.min(now);
    }

    /// Records that a request of this daemon has ended at a server of the pool, and calls the next
    /// one. While nothing waits, the place is kept for the time of an answer. Some places are left
    /// empty while the servers have queues of their own.
    pub fn record_freed(&mut self, now: Millis, place: FreedPlace, room: &PoolRoom) {
        self.ends += 1;
        let has_queued = room.first_answer_ms > room.least_first_ms * QUEUED_ANSWER_RATIO;
        if has_queued && self.ends % LEFT_EMPTY_EVERY == 0 {
            return;
        }
        if self.record_granted(now, place.clone()) {
            return;
        }
        let until = now + room.answer_ms.ceil() as Millis;
        self.spare.add(now, place, until, self.capacity);
    }

    /// Records that this daemon has got a place at a server of the pool, and calls the next request;
    /// returns whether there was one.
    pub fn record_granted(&mut self, now: Millis, place: FreedPlace) -> bool {
        self.freed.record(now, place.version());
        self.call_next(Some(place))
    }

    /// Removes a called request that has got a place.
    pub fn take(&mut self, ticket: Ticket) {
        let Some(index) = self.index_of(ticket) else { return };
        let request = &self.waiting[index].request;
        self.turns.record_taken(request.rank, request.workspace.as_ref());
        self.remove(index);
    }

    /// Passes the call of a request on to the next one, because it has found no server.
    pub fn decline(&mut self, ticket: Ticket) {
        let Some(index) = self.index_of(ticket) else { return };
        let Some(call) = self.waiting[index].call.take() else { return };
        self.waiting[index].declined = call.number;
        self.pass(call);
    }

    /// Removes a request that no longer waits. A call for it is passed on.
    pub fn leave(&mut self, ticket: Ticket) {
        self.removed.retain(|(removed, _)| *removed != ticket);
        let Some(index) = self.index_of(ticket) else { return };
        let call = self.waiting[index].call.take();
        self.remove(index);
        if let Some(call) = call {
            self.pass(call);
        }
    }

    /// Returns the refusal of a request that has not joined, or whose time to wait is over.
    pub fn refuse(
        &mut self,
        now: Millis,
        request: &PlaceRequest,
        room: &PoolRoom,
        seed: u64,
    ) -> NoPlace {
        self.last_ticket += 1;
        let (ticket, request) = (Ticket(self.last_ticket), request.clone());
        self.waiting.push(Waiter { ticket, request, until: now, call: None, declined: 0 });
        let index = self.waiting.len() - 1;
        let no_place = self.no_place(now, index, room);
        self.remove(index);
        self.scheduled(now, no_place, seed)
    }

    fn index_of(&self, ticket: Ticket) -> Option<usize> {
        self.waiting.iter().position(|waiter| waiter.ticket == ticket)
    }

    fn remove(&mut self, index: usize) {
        self.waiting.remove(index);
        if self.waiting.is_empty() {
            self.turns.clear();
        }
    }

    /// Returns the indexes of the waiting requests in their order.
    fn order(&self) -> Vec<usize> {
        let waiting: Vec<_> = self.waiting.iter().map(|w| (w.ticket, &w.request)).collect();
        self.turns.order(&waiting)
    }

    /// Calls the next request; returns whether there was one.
    fn call_next(&mut self, freed: Option<FreedPlace>) -> bool {
        let call = Call { number: self.last_call + 1, freed };
        let is_called = self.pass(call);
        self.last_call += u64::from(is_called);
        is_called
    }

    /// Gives a call to the first request that has not declined it; returns whether there was one.
    fn pass(&mut self, call: Call) -> bool {
        let is_candidate = |index: &usize| {
            let waiter = &self.waiting[*index];
            let may_use = |place: &FreedPlace| waiter.request.may_use(place.version());
            let has_declined = waiter.declined >= call.number;
            waiter.call.is_none() && !has_declined && call.freed.as_ref().is_none_or(may_use)
        };
        let order: Vec<usize> = self.order().into_iter().filter(is_candidate).collect();
        let Some(first) = order.first().copied() else { return false };
        let rank_of = |index: usize| self.waiting[index].request.rank;
        let mut next = first;
        if call.number % OTHER_RANKS_EVERY == 0 {
            let others = order.iter().map(|index| rank_of(*index));
            let others = others.filter(|rank| *rank != rank_of(first));
            if let Some(rank) = self.turns.least_recently_called(others) {
                next = order.into_iter().find(|index| rank_of(*index) == rank).unwrap_or(first);
            }
        }
        self.turns.record_call(rank_of(next), call.number);
        self.waiting[next].call = Some(call);
        true
    }

    /// Returns whether a request waits that may use a server of this version.
    pub fn has_waiting_for(&self, version: Option<&Name>) -> bool {
        self.waiting.iter().any(|waiter| waiter.request.may_use(version))
    }

    /// Returns the number of other requests that may use the same servers as the one at `index`.
    fn rivals(&self, index: usize) -> usize {
        let request = &self.waiting[index].request;
        let rivals = self.waiting.iter().filter(|other| other.request.is_rival_of(request));
        rivals.count() - 1
    }

    /// Returns the number of requests that get places before the one at `index`. A rank that is not
    /// the first one gets its part of the places that are kept for the other ranks.
    fn expected_position(&self, index: usize) -> usize {
        let request = &self.waiting[index].request;
        let is_rival = |other: &usize| self.waiting[*other].request.is_rival_of(request);
        let order: Vec<usize> = self.order().into_iter().filter(is_rival).collect();
        let rank_of = |index: &usize| self.waiting[*index].request.rank;
        let rank = rank_of(&index);
        let strict = order.iter().position(|at| *at == index).unwrap_or(order.len());
        let mut ranks: Vec<PlaceRank> = order.iter().map(rank_of).collect();
        let within = ranks.iter().take(strict).filter(|other| **other == rank).count();
        ranks.dedup();
        if ranks.first() == Some(&rank) {
            return strict;
        }
        let every = OTHER_RANKS_EVERY as usize * (ranks.len() - 1);
        strict.min((within + 1) * every - 1)
    }

    /// Returns the request to remove from a queue that is too long: the last one whose rank exceeds
    /// the fraction of the queue that is kept for it.
    fn index_to_evict(&self) -> usize {
        let kept = (self.capacity / KEPT_FRACTION).max(1);
        let order = self.order();
        let rank_of = |index: usize| self.waiting[index].request.rank;
        let has_excess = |index: &usize| {
            let rank = rank_of(*index);
            order.iter().filter(|other| rank_of(**other) == rank).count() > kept
        };
        let uncalled = |index: &usize| self.waiting[*index].call.is_none();
        let mut from_last = order.iter().copied().rev().filter(uncalled);
        let last = from_last.clone().next().unwrap_or(self.waiting.len() - 1);
        from_last.find(has_excess).unwrap_or(last)
    }

    /// Returns the inputs of the decision on the request at `index`.
    fn no_place(&self, now: Millis, index: usize, room: &PoolRoom) -> NoPlace {
        let position = self.expected_position(index);
        let request = &self.waiting[index].request;
        let rates = self.freed.rates(now, room, request.version.as_ref());
        NoPlace {
            position,
            per_second: rates.total() * 1_000.0,
            age_ms: now.saturating_sub(request.since),
            heard_ms_ago: now.saturating_sub(self.rejected_at.max(self.freed.counted_at())),
            answer_ms: room.first_answer_ms as Millis,
            expected_ms: expected_wait(position, rates, room).min(MAX_EXPECTED_MS) as Millis,
            retry_ms: 0,
        }
    }

    /// Sets the retry delay, so that refused callers come back one after the other.
    fn scheduled(&mut self, now: Millis, no_place: NoPlace, seed: u64) -> NoPlace {
        let per_second = no_place.per_second.max(MIN_RETRY_RATE * 1_000.0);
        let first_ms = no_place.expected_ms.max(1);
        let retry_ms = self.retries.next_delay(now, &self.pool, first_ms, per_second, seed);
        NoPlace { retry_ms, ..no_place }
    }
}
