//! Servers that are full: they have rejected a request, or this daemon got no slot there.
//!
//! A server that has rejected a request is marked as full for the usual time of one of its requests:
//! by then it has finished one more. These marks are set only by daemons that queue requests for
//! places ([`crate::places`]). A brittle server is marked until a slot is expected
//! ([`crate::slot_leases`]). Without marks no choice of a server changes.

use serde::Serialize;

use crate::crashes::ServerInstance;
use crate::rollout::Versions;
use crate::router::prefill::moving_average;
use crate::router::view::ServerView;
use crate::router::{Choice, NoServer, Router, RoutingRequest};
use crate::{Millis, Name};

/// Assumed time of an answer while no server of a pool has answered, in milliseconds: about three
/// times the work of the deployed plain services, whose requests take 30 to 60 ms.
const UNKNOWN_ANSWER_MS: f64 = 100.0;

/// Weight of a sample that exceeds the shortest time until an answer began: a server that has become slower
/// for good is known as such after some hundred answers.
const LEAST_WEIGHT: f64 = 0.005;

/// Servers that are full.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FullPool {
    /// Milliseconds until a place is expected.
    pub first_ms: Millis,
}

/// Capacity of one server as seen by this daemon.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct ServerRoom {
    /// Number of requests that it runs at the same time; 0 if unknown.
    pub(super) slots: u32,
    /// Until when it counts as full.
    pub(super) full_until: Millis,
    /// Mean time of its answers, in milliseconds.
    answer_ms: Option<f64>,
    /// Mean time until its answers begin, in milliseconds.
    first_ms: Option<f64>,
    /// Shortest time until one of its answers began, in milliseconds; rises slowly.
    least_first_ms: Option<f64>,
}

impl ServerRoom {
    /// Returns whether the server counts as full.
    pub(super) fn is_full(&self, now: Millis) -> bool {
        now < self.full_until
    }
}

/// Times of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerTimes {
    /// Time from the send to the beginning of the answer, in milliseconds.
    pub first_ms: Millis,
    /// Time from the send to the end of the answer, in milliseconds.
    pub answer_ms: Millis,
}

/// Room at the servers of one pool as seen by this daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolRoom {
    /// Number of servers to which requests may be sent now.
    pub usable: usize,
    /// Number of servers that would be usable if they were not full.
    pub full: usize,
    /// Milliseconds until the first of these no longer counts as full.
    pub first_full_ms: Millis,
    /// Number of requests that the usable servers run at the same time beside those of this daemon;
    /// at least `usable`.
    pub usable_slots: u32,
    /// Number of this daemon's open requests at the pool.
    pub in_flight: u32,
    /// Mean time of an answer, in milliseconds.
    pub answer_ms: f64,
    /// Mean time until an answer begins, in milliseconds.
    pub first_answer_ms: f64,
    /// Mean of the servers' shortest times until an answer begins, in milliseconds.
    pub least_first_ms: f64,
}

impl Router {
    /// Records the times of a complete answer of this instance of a server.
    pub fn record_answer_times(&mut self, name: &Name, started_ms: Millis, times: AnswerTimes) {
        let Some(index) = self.index_of_instance(name, started_ms) else { return };
        let room = &mut self.servers[index].room;
        // An average of 0 would stand for no sample.
        let average = |before: Option<f64>, sample: Millis| {
            Some(moving_average(before.unwrap_or(0.0), sample.max(1) as f64))
        };
        room.answer_ms = average(room.answer_ms, times.answer_ms);
        room.first_ms = average(room.first_ms, times.first_ms);
        let sample = times.first_ms.max(1) as f64;
        let raised = |least: f64| least + (sample - least) * LEAST_WEIGHT;
        room.least_first_ms = Some(room.least_first_ms.map_or(sample, raised).min(sample));
    }

    /// Records that this instance of a server has rejected a request because it is full. Returns
    /// the time for which it counts as full, in milliseconds: the mean time of its answers, or of
    /// the pool's answers if it has given none.
    pub fn record_full(&mut self, now: Millis, pool: &str, server: &ServerInstance) -> Millis {
        let pool_ms = self.room(now, pool).answer_ms;
        let Some(index) = self.index_of_instance(&server.name, server.started_ms) else { return 0 };
        let room = &mut self.servers[index].room;
        let full_ms = room.answer_ms.unwrap_or(pool_ms).ceil() as Millis;
        room.full_until = now + full_ms;
        full_ms
    }

    /// Marks this instance of a server as full until `until`, because it has no slot for this daemon.
    pub fn mark_full(&mut self, server: &ServerInstance, until: Millis) {
        if let Some(index) = self.index_of_instance(&server.name, server.started_ms) {
            self.servers[index].room.full_until = until;
        }
    }

    /// Removes the mark of this instance of a server, which has a slot for this daemon.
    pub fn clear_full(&mut self, server: &ServerInstance) {
        self.mark_full(server, 0);
    }

    /// Returns the version of this instance of a server; `None` when unknown.
    pub fn version_of(&self, server: &ServerInstance) -> Option<Name> {
        let index = self.index_of_instance(&server.name, server.started_ms)?;
        self.servers[index].version.clone()
    }

    /// Returns the number of requests that the server runs at the same time by its listing; 0 if
    /// unknown.
    pub fn listed_slots(&self, server: &ServerInstance) -> u32 {
        let index = self.index_of_instance(&server.name, server.started_ms);
        index.map_or(0, |index| self.servers[index].room.slots)
    }

    /// Chooses a server as [`Router::choose_ranked`] does, as if `freed` were not marked as full:
    /// a request of this daemon has just ended there.
    ///
    /// # Errors
    /// As [`Router::choose`].
    pub fn choose_with_freed(
        &mut self,
        now: Millis,
        request: &RoutingRequest,
        rank: usize,
        freed: Option<&ServerInstance>,
    ) -> Result<Choice, NoServer> {
        let freed = freed.and_then(|freed| self.index_of_instance(&freed.name, freed.started_ms));
        let marked =
            freed.map(|index| (index, std::mem::take(&mut self.servers[index].room.full_until)));
        let chosen = self.choose_ranked(now, request, rank);
        if let Some((index, full_until)) = marked {
            self.servers[index].room.full_until = full_until;
        }
        chosen
    }

    /// Returns the room at the servers of a pool.
    pub fn room(&self, now: Millis, pool: &str) -> PoolRoom {
        self.room_of(now, pool, Versions::Any)
    }

    /// Returns the room at the servers of a pool that have one of these versions.
    pub fn room_of(&self, now: Millis, pool: &str, versions: Versions) -> PoolRoom {
        let halls = self.pool(pool).map(|pool| &pool.halls);
        let open = halls.into_iter().flatten().filter(|hall| hall.is_open);
        let members = open.flat_map(|hall| &hall.members);
        let views = members.map(|index| &self.servers[*index as usize]);
        let mut room = PoolRoom {
            usable: 0,
            full: 0,
            first_full_ms: 0,
            usable_slots: 0,
            in_flight: 0,
            answer_ms: UNKNOWN_ANSWER_MS,
            first_answer_ms: UNKNOWN_ANSWER_MS,
            least_first_ms: UNKNOWN_ANSWER_MS,
        };
        let mut first_full_until = Millis::MAX;
        let (mut answered, mut answer_ms, mut first_answer_ms) = (0.0, 0.0, 0.0);
        let mut least_first_ms = 0.0;
        for view in views.filter(|view| versions.allow(view.version.as_ref())) {
            room.in_flight += view.in_flight;
            if let (Some(whole), Some(first)) = (view.room.answer_ms, view.room.first_ms) {
                answered += 1.0;
                answer_ms += whole;
                first_answer_ms += first;
                least_first_ms += view.room.least_first_ms.unwrap_or(first);
            }
            if view.is_usable(now) {
                room.usable += 1;
                // The ends of this daemon's requests are known.
                room.usable_slots += view.room.slots.saturating_sub(view.in_flight).max(1);
            } else if let Some(full_until) = view.full_until(now).filter(|_| view.is_only_full(now))
            {
                room.full += 1;
                first_full_until = first_full_until.min(full_until);
            }
        }
        if answered > 0.0 {
            room.answer_ms = answer_ms / answered;
            room.first_answer_ms = first_answer_ms / answered;
            room.least_first_ms = least_first_ms / answered;
        }
        if room.full > 0 {
            room.first_full_ms = first_full_until - now;
        }
        room
    }
}

impl ServerView {
    /// Returns whether the server would be usable if it were not full.
    pub(super) fn is_only_full(&self, now: Millis) -> bool {
        let is_held_back = self.is_cold(now) || self.is_at_limit(now) || self.is_resting(now);
        self.is_eligible(now) && !is_held_back && self.full_until(now).is_some()
    }

    /// Returns the time until which the server counts as full; `None` if it has room.
    pub(super) fn full_until(&self, now: Millis) -> Option<Millis> {
        self.room.is_full(now).then_some(self.room.full_until)
    }
}
