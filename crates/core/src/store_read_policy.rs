//! When a daemon asks the store itself, and when it leaves that to others.
//!
//! Load patterns: the store is away from hundreds of daemons, and each would probe it
//! five times a second; all daemons start within a second, and each would read the lists
//! that two of its hall could hand it. Calls of a store that is away are paid for too.
//!
//! A few daemons of each hall read for all of it. The others are told by heartbeats, and
//! ask the store when what they know is too old, so that nobody depends on peers that are
//! cut off from it.

use crate::Millis;

/// A daemon that learns of changes from peers asks the store itself once its view
/// is older than this, in milliseconds: readers hear of the store each 1.5 s at
/// least, heartbeats take another 0.5 to 1 s, and changes are to be in force
/// everywhere within 2 to 3 s.
pub const STALE_VIEW_MS: Millis = 2_500;

/// Each daemon that stands further back in the order of readers waits this much
/// longer, in milliseconds, so that a few step in for readers that are gone, not
/// all at once.
const STEP_MS: Millis = 25;

/// The most that all of those steps come to, in milliseconds: a change that comes right after
/// the last word of readers that are cut off is then read 2.75 s later, and in force in 3 s.
const STEPS_MS: Millis = 250;

/// The same for daemons that start, which would all read at once, and the most of that, in
/// milliseconds.
const START_STEP_MS: Millis = 50;
const START_STEPS_MS: Millis = 500;

/// Pause of a reader between two looks whether the store is back, in milliseconds: what a
/// server says of leaving is to be known within two seconds of the store's return.
const READER_PROBE_MS: Millis = 200;

/// Shortest and longest pause of the others, in milliseconds. Readers know of a return
/// within 0.2 s, and neighbours tell all of 300 daemons in some 0.1 s; who is told by
/// nobody has 3 s, the shortest time in which the users' hosts are to be in touch again.
const OTHERS_PROBE_MS: (Millis, Millis) = (500, 1_500);

/// After so many looks that failed one after the other the store is taken to be away. One
/// may fail though the store is there: a kept connection was closed at its other end.
const AWAY_AFTER: u32 = 2;

/// How long a start in a fleet that was there before waits for peers to hand it what the
/// store would tell, in milliseconds: a greeting and a fetch take some 50 ms.
const RESTART_PATIENCE_MS: Millis = 300;

/// The same in a fleet that starts as a whole, or while the store is away, in
/// milliseconds: 300 daemons had the table from each other after 0.8 s and the list of
/// servers after 1 s; the host list is read again 1.3 s after the start. Hosts are to be in
/// touch 3 s after theirs.
const FIRST_START_PATIENCE_MS: Millis = 1_800;

/// Where a daemon stands among those that could read the store for its hall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReadPolicy {
    /// Peers of the hall that come before it.
    pub rank: usize,
    /// How many of a hall read for all of it.
    pub readers: usize,
    /// Daemons of the fleet, by the platform's list; none while that may be incomplete.
    pub fleet: Option<usize>,
    /// Up to this many daemons each reads by itself when it starts.
    pub small_fleet: usize,
    /// Whether the settings name other daemons that may be asked.
    pub has_seeds: bool,
    /// Whether the settings of all daemons name this one.
    pub is_seed: bool,
}

impl StoreReadPolicy {
    /// Whether it reads the store for its hall.
    fn is_reader(&self) -> bool {
        let is_first = self.rank < self.readers;
        // Before the list is seen everybody seems to be the first.
        if self.fleet.is_none() && self.has_seeds { self.is_seed } else { is_first }
    }

    /// How many daemons of the hall come before it that are no readers, and itself.
    fn behind(&self) -> Millis {
        (self.rank + 1).saturating_sub(self.readers) as Millis
    }

    fn start_steps(&self) -> Millis {
        (self.behind() * START_STEP_MS).min(START_STEPS_MS)
    }

    /// The age of what it knows up to which it leaves the store to others, in
    /// milliseconds; none for a reader, which watches the store itself.
    pub fn stale_after(&self) -> Option<Millis> {
        let is_first = self.rank < self.readers;
        let steps = (self.behind() * STEP_MS).min(STEPS_MS);
        (!is_first).then_some(STALE_VIEW_MS + steps)
    }

    /// How much longer, in milliseconds, it leaves the store to others when what it knows is
    /// this old; none when it asks the store itself.
    pub fn time_until_stale(&self, view_age: Option<Millis>) -> Option<Millis> {
        let left = self.stale_after()?.checked_sub(view_age?)?;
        (left > 0).then_some(left)
    }

    /// How long after its start it waits to be handed what the store would tell, in
    /// milliseconds; 0 when it reads at once.
    pub fn startup_wait(&self) -> Millis {
        if !self.has_seeds || self.is_seed {
            return 0;
        }
        match self.fleet {
            None => FIRST_START_PATIENCE_MS + self.start_steps(),
            Some(daemons) if daemons <= self.small_fleet || self.is_reader() => 0,
            Some(_) => RESTART_PATIENCE_MS + self.start_steps(),
        }
    }

    /// Pause after so many `failures` in a row to look at the store, in milliseconds.
    /// `spread`, from 0 to 1, keeps those apart that lost it together.
    pub fn probe_interval(&self, failures: u32, spread: f64) -> Millis {
        if self.is_reader() || failures < AWAY_AFTER {
            return READER_PROBE_MS;
        }
        let (shortest, longest) = OTHERS_PROBE_MS;
        shortest + ((longest - shortest) as f64 * spread) as Millis
    }
}
