//! The other daemons: how many there are, where this one stands among them, and who asks the
//! store.
//!
//! Owns who is known, and whom this daemon has heard of late (`health`). Stands on `base` alone; all
//! layers above are built on it. Heartbeats, which tell of all of them, are `membership`.

pub mod ask_pause;
pub mod health;
pub mod suspension;

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::freshness::answer_time;
use bankcove_core::members::{FleetSize, Members};
use bankcove_core::store_read_policy::{STALE_VIEW_MS, StoreReadPolicy};

use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::base::Base;
use crate::fleet::health::Contact;

/// Pause between two looks whether peers still tell of changes.
const TOLD_POLL: Duration = Duration::from_millis(200);

/// Pause between two looks while a start waits to be handed by peers what they know.
pub const START_POLL: Duration = Duration::from_millis(20);

/// Longest watch of anything in the store. A cut path shows only when an answer does not
/// come, so this is also how long a cut may go unnoticed.
pub const WATCH: Duration = Duration::from_millis(1_500);

/// Longest time from asking for a watch to its answer, in milliseconds: what the adapter
/// waits beyond it is 0.7 s, and 0.3 s more for a connection.
const WATCH_ANSWERED_MS: Millis = WATCH.as_millis() as Millis + 1_000;

/// Pause of a watch after the store did not answer it.
pub const STORE_PAUSE: Duration = Duration::from_millis(300);

/// Pause between two looks whether the store is back.
const AWAY_POLL: Duration = Duration::from_millis(100);

/// What a daemon that follows something in the store does next.
pub enum Turn {
    /// It asks the store.
    Ask,
    /// Peers tell it, or the store is away: it looks again.
    Wait,
    /// The daemon ends.
    End,
}

/// Who the other daemons are, as this one knows it; copies share it.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// What it stands on.
    pub base: Base,
    /// The other daemons.
    pub members: Arc<Mutex<Members>>,
    /// Whom this daemon has heard of late.
    pub contact: Arc<Contact>,
    /// Told when peers are to hear at once of what this daemon knows.
    pub to_tell: Arc<Notify>,
}

impl Fleet {
    /// A fleet of which nobody is known yet.
    pub fn new(base: Base) -> Self {
        let members = Arc::new(Mutex::new(Members::new(base.cfg.name.clone())));
        let contact = Arc::new(Contact::new(base.cfg.follows_evacuations()));
        Fleet { base, members, contact, to_tell: Arc::default() }
    }

    /// When the answer that has just come to a watch was true at the latest.
    pub fn watched_at(&self, asked_at: Millis) -> Millis {
        answer_time(asked_at, self.base.clock.now(), WATCH_ANSWERED_MS)
    }

    /// How many daemons the fleet has, by the platform's list; none while the list that is
    /// known may be that of a fleet which is still starting.
    pub fn size(&self) -> Option<usize> {
        match self.members.lock().fleet_size() {
            FleetSize::Listed(size) => Some(size),
            // Settings that name nobody else are those of no fleet that starts as a whole.
            FleetSize::AtLeast(size) => (!self.base.cfg.has_other_seeds()).then_some(size),
            FleetSize::Unknown => None,
        }
    }

    /// Whether each daemon writes by itself. Never by how many peers answer now: hundreds of
    /// daemons that had all started anew took themselves for a small fleet, and fought over
    /// four ledgers for 15 s.
    pub fn is_small(&self) -> bool {
        self.size().is_some_and(|size| size <= self.base.cfg.limits.direct_daemons)
    }

    /// Where this daemon stands among those that could read the store for its hall.
    pub fn store_read_policy(&self) -> StoreReadPolicy {
        let me = self.base.cfg.peer_address();
        let fleet = self.size();
        StoreReadPolicy {
            rank: self.members.lock().store_reader_rank(&self.base.cfg.hall),
            readers: self.base.cfg.limits.store_readers,
            fleet,
            small_fleet: self.base.cfg.limits.direct_daemons,
            has_seeds: self.base.cfg.has_other_seeds(),
            is_seed: self.base.cfg.seed_peers.iter().any(|seed| seed == me),
        }
    }

    /// Whether peers tell this daemon of changes in the store, so that it need not
    /// ask itself: others of its hall do, and their word is recent.
    pub fn is_told_by_peers(&self) -> bool {
        self.time_until_stale().is_some()
    }

    /// How much longer the word of peers is recent enough; none when this daemon asks the store
    /// itself.
    fn time_until_stale(&self) -> Option<Duration> {
        let view_age = self.contact.view_age(self.base.clock.now());
        self.store_read_policy().time_until_stale(view_age).map(Duration::from_millis)
    }

    /// Pause before it looks again whether peers still tell this daemon of changes, and no longer
    /// than their word is recent; none when it asks the store itself.
    pub fn told_pause(&self) -> Option<Duration> {
        self.time_until_stale().map(|left| left.min(TOLD_POLL))
    }

    /// Waits for a moment when the store need not be asked: peers tell of it, will do so soon,
    /// or it is away, which the watch of the servers finds out. `is_known` tells whether what
    /// is followed was told once.
    pub async fn next_turn(&self, is_known: bool) -> Turn {
        let told_pause = self.told_pause().filter(|_| is_known);
        let pause = if let Some(pause) = told_pause {
            pause
        } else if self.awaits_peers() {
            START_POLL
        } else if self.contact.is_store_away(self.base.clock.now()) {
            AWAY_POLL
        } else {
            return Turn::Ask;
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => Turn::Wait,
            () = self.base.shutdown.cancelled() => Turn::End,
        }
    }

    /// Whether this start still waits to be handed by peers what the store would tell.
    pub fn awaits_peers(&self) -> bool {
        self.base.clock.now() < self.store_read_policy().startup_wait()
    }

    /// Whether what this daemon knows of the table and the servers is recent enough for those
    /// that it is told by peers.
    pub fn is_current(&self) -> bool {
        !self.contact.is_view_older_than(STALE_VIEW_MS, self.base.clock.now())
    }

    /// Tells neighbours at once when this daemon has become current again: after an outage the
    /// word of one reader is with 300 daemons in some 50 ms, in place of 1.5 s by heartbeats,
    /// before most of them have asked the store themselves.
    pub fn pass_on_return(&self, was_current: bool) {
        if !was_current && self.is_current() {
            self.to_tell.notify_one();
        }
    }

    /// Waits, after so many `failures` in a row, until it is time to look whether the store is
    /// back, or peers tell of it.
    pub async fn pause_without_store(&self, failures: u32) {
        let pause = self.store_read_policy().probe_interval(failures, rand::random());
        let until = self.base.clock.now() + pause;
        loop {
            let left = self.base.clock.time_until(until);
            tokio::select! {
                () = tokio::time::sleep(left.min(TOLD_POLL)) => {}
                () = self.base.shutdown.cancelled() => return,
            }
            if self.base.clock.now() >= until || self.is_told_by_peers() {
                return;
            }
        }
    }
}
