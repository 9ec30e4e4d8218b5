//! Recent contact with peers and the store, and whether this daemon is isolated.
//!
//! An isolated daemon can't learn that a server is draining. It stops sending new work to servers
//! that check no orders; servers that check them refuse work by themselves.

use std::collections::VecDeque;

use bankcove_core::Millis;
use bankcove_core::freshness::{EventTime, Freshness};
use parking_lot::Mutex;

/// Number of heartbeats whose outcome is remembered.
const MAX_OUTCOMES: usize = 16;

/// Smallest number of heartbeats from which isolation is judged; with fewer this daemon counts as
/// isolated unless the store has answered.
const MIN_OUTCOMES: usize = 4;

/// Number of consecutive heartbeats without an answer after which this daemon itself seems to be
/// cut off.
const CUT_OFF_AFTER_FAILURES: usize = 4;

/// Time for which the store is not called after a single failed call, in milliseconds.
const STORE_FAILURE_PAUSE_MS: Millis = 500;

#[derive(Debug, Default)]
struct State {
    store_answered_at: Option<EventTime>,
    /// Time of the first answer of the store after a time without any in which entries may have
    /// lapsed.
    store_returned_at: Option<EventTime>,
    marked_unavailable: bool,
    store_paused_until: Millis,
    heartbeats: VecDeque<bool>,
    /// Time of the last heartbeat after which this daemon had all versions of the peer.
    peer_synced_at: Option<Millis>,
    view: Freshness,
}

impl State {
    /// Records that the store answered this daemon or a peer. Entries may lapse after `lapse_ms`
    /// without an answer, counted from the start of this daemon if it knows of none.
    fn record_store_answer(&mut self, at: EventTime, lapse_ms: Millis) {
        let last = self.store_answered_at.unwrap_or(EventTime::before(0, 0));
        if last.time_until(at) >= lapse_ms {
            self.store_returned_at = Some(at);
        }
        self.store_answered_at = self.store_answered_at.max(Some(at));
    }

    fn is_cut_off_from_peers(&self) -> bool {
        let last = self.heartbeats.iter().rev().take(CUT_OFF_AFTER_FAILURES);
        self.heartbeats.len() >= CUT_OFF_AFTER_FAILURES
            && last.into_iter().all(|answered| !answered)
    }
}

/// Record of recent contact with peers and the store.
#[derive(Debug, Default)]
pub struct Connectivity {
    state: Mutex<State>,
    /// Time without the store after which entries of live servers may have lapsed, in milliseconds.
    lapse_ms: Millis,
}

impl Connectivity {
    /// Creates a record without contact. `follows_halls` as in [`Freshness::new`]; `lapse_ms` is the
    /// time without the store after which entries of live servers may have lapsed.
    pub fn new(follows_halls: bool, lapse_ms: Millis) -> Self {
        let state = State { view: Freshness::new(follows_halls), ..State::default() };
        Connectivity { state: Mutex::new(state), lapse_ms }
    }

    /// Records that the store answered.
    pub fn record_store_answer(&self, now: Millis) {
        let mut state = self.state.lock();
        state.record_store_answer(EventTime::before(now, 0), self.lapse_ms);
        state.marked_unavailable = false;
        state.store_paused_until = 0;
    }

    /// Records that the table was read from the store.
    pub fn record_table_read(&self, now: Millis) {
        self.state.lock().view.record_table_read(now);
        self.record_store_answer(now);
    }

    /// Records that the server list was read from the store.
    pub fn record_servers_read(&self, now: Millis) {
        self.state.lock().view.record_servers_read(now);
        self.record_store_answer(now);
    }

    /// Records that the list of evacuated halls was read from the store.
    pub fn record_halls_read(&self, now: Millis) {
        self.state.lock().view.record_halls_read(now);
        self.record_store_answer(now);
    }

    /// Records that this daemon is in sync with a peer that, asked at `asked_at`, reported a view
    /// of this `age`.
    pub fn record_peer_sync(&self, asked_at: Millis, age: Millis) {
        let mut state = self.state.lock();
        state.peer_synced_at = state.peer_synced_at.max(Some(asked_at));
        state.view.record_peer_sync(asked_at, age);
    }

    /// Returns the greatest possible delay of news on its way to this daemon, in milliseconds;
    /// `None` before any was received. During an outage of the store a daemon in contact with peers
    /// has an old view, but none of the others knows more.
    pub fn news_age(&self, now: Millis) -> Option<Millis> {
        let state = self.state.lock();
        let synced_age = state.peer_synced_at.map(|at| now.saturating_sub(at));
        [state.view.age(now), synced_age].into_iter().flatten().min()
    }

    /// Returns the greatest possible age of the view, in milliseconds; `None` before all parts of
    /// it were received.
    pub fn view_age(&self, now: Millis) -> Option<Millis> {
        self.state.lock().view.age(now)
    }

    /// Returns whether the view may be older than `limit`; true before all parts of it were
    /// received.
    pub fn is_view_older_than(&self, limit: Millis, now: Millis) -> bool {
        self.state.lock().view.is_older_than(limit, now)
    }

    /// Records that the watch of the servers or a read of the host list failed. Until the store
    /// answers again, only that watch calls it: calls of an unavailable store are charged too.
    pub fn mark_store_unavailable(&self) {
        self.state.lock().marked_unavailable = true;
    }

    /// Records that this daemon now learns of changes from peers instead of watching the store.
    /// Other calls may then show whether the store is available.
    pub fn clear_store_unavailable(&self) {
        self.state.lock().marked_unavailable = false;
    }

    /// Records that a single call failed; the store is not called for a short time.
    pub fn record_store_failure(&self, now: Millis) {
        self.state.lock().store_paused_until = now + STORE_FAILURE_PAUSE_MS;
    }

    /// Returns whether the store counts as unavailable and should not be called now.
    pub fn is_store_unavailable(&self, now: Millis) -> bool {
        let state = self.state.lock();
        state.marked_unavailable || now < state.store_paused_until
    }

    /// Records that the store answered a peer, or a daemon that the peer is in contact with, this
    /// `age` before `now`.
    pub fn record_peer_store_age(&self, now: Millis, age: Option<Millis>) {
        let Some(answered_at) = age.map(|age| EventTime::before(now, age)) else { return };
        self.state.lock().record_store_answer(answered_at, self.lapse_ms);
    }

    /// Returns whether the store has come back within the last `within` milliseconds from a time in
    /// which entries may have lapsed, as far as this daemon knows: nobody that it is in contact with
    /// had an answer of the store for so long. A failed call or connection of its own is no such time.
    pub fn may_entries_have_lapsed(&self, now: Millis, within: Millis) -> bool {
        self.state.lock().store_returned_at.is_some_and(|at| at.age(now) <= within)
    }

    /// Returns the time since the store last answered this daemon or a peer that it is in contact
    /// with, in milliseconds.
    pub fn store_age(&self, now: Millis) -> Option<Millis> {
        self.state.lock().store_answered_at.map(|at| at.age(now))
    }

    /// Records whether a heartbeat was answered. Returns whether this is the first answer after
    /// this daemon seemed to be cut off from all peers.
    pub fn record_heartbeat_outcome(&self, answered: bool) -> bool {
        let mut state = self.state.lock();
        let was_cut_off = state.is_cut_off_from_peers();
        state.heartbeats.push_back(answered);
        if state.heartbeats.len() > MAX_OUTCOMES {
            state.heartbeats.pop_front();
        }
        was_cut_off && answered
    }

    /// Returns whether none of the last `CUT_OFF_AFTER_FAILURES` heartbeats was answered.
    pub fn is_cut_off_from_peers(&self) -> bool {
        self.state.lock().is_cut_off_from_peers()
    }

    /// Returns whether this daemon may be cut off from the part of the fleet that accepts drains:
    /// the store has not answered for more than `limit` milliseconds, and at least half of the last
    /// heartbeats were not answered, or too few were sent.
    pub fn is_isolated(&self, now: Millis, limit: Millis) -> bool {
        let state = self.state.lock();
        let is_store_recent = state.store_answered_at.is_some_and(|at| at.age(now) <= limit);
        if is_store_recent {
            return false;
        }
        let answered = state.heartbeats.iter().filter(|answered| **answered).count();
        let known = state.heartbeats.len();
        known < MIN_OUTCOMES || answered * 2 <= known
    }
}
