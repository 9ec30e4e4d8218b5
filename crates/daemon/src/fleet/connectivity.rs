//! Whom this daemon has heard of late, and what follows for backend servers
//! that would not refuse work by themselves.
//!
//! A daemon that hears from nobody can't know of a drain. It stops giving new
//! work to servers that check no orders; servers that do refuse by themselves.

use std::collections::VecDeque;

use bankcove_core::Millis;
use bankcove_core::freshness::Freshness;
use parking_lot::Mutex;

/// Heartbeats whose outcome is remembered.
const REMEMBERED: usize = 16;

/// Fewest heartbeats that say anything.
const ENOUGH: usize = 4;

/// Calls of peers without an answer, one after the other, after which this daemon
/// seems to be the one that is cut off.
const ALONE_AFTER: usize = 4;

/// How long the store is left alone after a single call failed, in milliseconds.
const STORE_PAUSE_MS: Millis = 500;

#[derive(Debug, Default)]
struct State {
    store_heard: Option<Millis>,
    store_lost: bool,
    store_silent_until: Millis,
    heartbeats: VecDeque<bool>,
    view: Freshness,
}

impl State {
    fn is_cut_off_from_peers(&self) -> bool {
        let last = self.heartbeats.iter().rev().take(ALONE_AFTER);
        self.heartbeats.len() >= ALONE_AFTER && last.into_iter().all(|answered| !answered)
    }
}

/// Contact with the store and with peers.
#[derive(Debug, Default)]
pub struct Connectivity {
    state: Mutex<State>,
}

impl Connectivity {
    /// Nobody was heard yet. `follows_halls` as in [`Freshness::new`].
    pub fn new(follows_halls: bool) -> Self {
        let state = State { view: Freshness::new(follows_halls), ..State::default() };
        Connectivity { state: Mutex::new(state) }
    }

    /// The store answered.
    pub fn record_store_answer(&self, now: Millis) {
        let mut state = self.state.lock();
        state.store_heard = Some(now);
        state.store_lost = false;
        state.store_silent_until = 0;
    }

    /// The store told the table in force.
    pub fn record_table_read(&self, now: Millis) {
        self.state.lock().view.record_table_read(now);
        self.record_store_answer(now);
    }

    /// The store told the list of servers.
    pub fn record_servers_read(&self, now: Millis) {
        self.state.lock().view.record_servers_read(now);
        self.record_store_answer(now);
    }

    /// The store told the halls that take no new work.
    pub fn record_halls_read(&self, now: Millis) {
        self.state.lock().view.record_halls_read(now);
        self.record_store_answer(now);
    }

    /// This daemon knows all that a peer knew when its view was this old.
    pub fn record_peer_sync(&self, now: Millis, age: Millis) {
        self.state.lock().view.record_peer_sync(now, age);
    }

    /// How old the table and the list of servers may be.
    pub fn view_age(&self, now: Millis) -> Option<Millis> {
        self.state.lock().view.age(now)
    }

    /// Whether the table or the list of servers may be older than `limit`.
    pub fn is_view_older_than(&self, limit: Millis, now: Millis) -> bool {
        self.state.lock().view.is_older_than(limit, now)
    }

    /// The watch of the store failed: until it answers again, only the watch
    /// asks it. Calls of a store that is away are paid for too.
    pub fn mark_store_unavailable(&self) {
        self.state.lock().store_lost = true;
    }

    /// This daemon learns of the store from peers now: whether the store is there
    /// shows when it is asked.
    pub fn clear_store_unavailable(&self) {
        self.state.lock().store_lost = false;
    }

    /// A single call failed: the store is left alone for a moment.
    pub fn record_store_failure(&self, now: Millis) {
        self.state.lock().store_silent_until = now + STORE_PAUSE_MS;
    }

    /// Whether the store is not worth asking now.
    pub fn is_store_away(&self, now: Millis) -> bool {
        let state = self.state.lock();
        state.store_lost || now < state.store_silent_until
    }

    /// A peer says that the store answered somebody this long ago.
    pub fn record_peer_store_age(&self, now: Millis, age: Option<Millis>) {
        let Some(heard) = age.map(|age| now.saturating_sub(age)) else { return };
        let mut state = self.state.lock();
        state.store_heard = state.store_heard.max(Some(heard));
    }

    /// How long ago the store answered this daemon or a peer in contact.
    pub fn store_age(&self, now: Millis) -> Option<Millis> {
        self.state.lock().store_heard.map(|at| now.saturating_sub(at))
    }

    /// A heartbeat was answered, or not. Returns whether this daemon seems to
    /// have been cut off from all peers until now.
    pub fn record_heartbeat_outcome(&self, answered: bool) -> bool {
        let mut state = self.state.lock();
        let was_alone = state.is_cut_off_from_peers();
        state.heartbeats.push_back(answered);
        if state.heartbeats.len() > REMEMBERED {
            state.heartbeats.pop_front();
        }
        was_alone && answered
    }

    /// Whether no peer has answered of late.
    pub fn is_cut_off_from_peers(&self) -> bool {
        self.state.lock().is_cut_off_from_peers()
    }

    /// Whether this daemon may be cut off from where drains are accepted: no
    /// word from the store for `limit` and most peers silent.
    pub fn is_isolated(&self, now: Millis, limit: Millis) -> bool {
        let state = self.state.lock();
        let store_is_near = state.store_heard.is_some_and(|at| now.saturating_sub(at) <= limit);
        if store_is_near {
            return false;
        }
        let answered = state.heartbeats.iter().filter(|answered| **answered).count();
        let known = state.heartbeats.len();
        known < ENOUGH || answered * 2 <= known
    }
}
