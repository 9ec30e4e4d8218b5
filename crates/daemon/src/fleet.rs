//! The other daemons: how many there are, where this one stands among them, and who asks the
//! store.
//!
//! Owns heartbeats (`membership`), whom this daemon has heard of late (`health`) and what peers
//! have under way (`unread_news`). May call `view`, `crashes` and peers; called by all that
//! follow the store, and by `peer`.

pub mod health;
pub mod membership;
pub mod unread_news;

use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::freshness::answer_time;
use bankcove_core::members::FleetSize;
use bankcove_core::standing::Standing;

use crate::daemon::Daemon;

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

/// When the answer that has just come to a watch was true at the latest.
pub fn watched_at(daemon: &Daemon, asked_at: Millis) -> Millis {
    answer_time(asked_at, daemon.clock.now(), WATCH_ANSWERED_MS)
}

/// How many daemons the fleet has, by the platform's list; none while the list that is
/// known may be that of a fleet which is still starting.
pub fn fleet_size(daemon: &Daemon) -> Option<usize> {
    match daemon.members.lock().fleet_size() {
        FleetSize::Listed(size) => Some(size),
        // Settings that name nobody else are those of no fleet that starts as a whole.
        FleetSize::AtLeast(size) => (!daemon.cfg.has_other_seeds()).then_some(size),
        FleetSize::Unknown => None,
    }
}

/// Whether each daemon writes by itself. Never by how many peers answer now: hundreds of
/// daemons that had all started anew took themselves for a small fleet, and fought over
/// four ledgers for 15 s.
pub fn is_small_fleet(daemon: &Daemon) -> bool {
    fleet_size(daemon).is_some_and(|size| size <= daemon.cfg.limits.direct_daemons)
}

/// Where this daemon stands among those that could read the store for its hall.
pub fn standing(daemon: &Daemon) -> Standing {
    let me = daemon.cfg.peer_address();
    let fleet = fleet_size(daemon);
    Standing {
        rank: daemon.members.lock().reader_rank(&daemon.cfg.hall),
        readers: daemon.cfg.limits.store_readers,
        fleet,
        small_fleet: daemon.cfg.limits.direct_daemons,
        has_seeds: daemon.cfg.has_other_seeds(),
        is_seed: daemon.cfg.seed_peers.iter().any(|seed| seed == me),
    }
}

/// Whether peers tell this daemon of changes in the store, so that it need not
/// ask itself: others of its hall do, and their word is recent.
pub fn is_told_by_peers(daemon: &Daemon) -> bool {
    told_for(daemon).is_some()
}

/// How much longer the word of peers is recent enough; none when this daemon asks the store
/// itself.
fn told_for(daemon: &Daemon) -> Option<Duration> {
    let view_age = daemon.contact.view_age(daemon.clock.now());
    standing(daemon).told_for(view_age).map(Duration::from_millis)
}

/// Pause before it looks again whether peers still tell this daemon of changes, and no longer
/// than their word is recent; none when it asks the store itself.
pub fn told_pause(daemon: &Daemon) -> Option<Duration> {
    told_for(daemon).map(|left| left.min(TOLD_POLL))
}

/// What a daemon that follows something in the store does next.
pub enum Turn {
    /// It asks the store.
    Ask,
    /// Peers tell it, or the store is away: it looks again.
    Wait,
    /// The daemon ends.
    End,
}

/// Waits for a moment when the store need not be asked: peers tell of it, will do so soon,
/// or it is away, which the watch of the servers finds out. `is_known` tells whether what
/// is followed was told once.
pub async fn next_turn(daemon: &Daemon, is_known: bool) -> Turn {
    let told_pause = told_pause(daemon).filter(|_| is_known);
    let pause = if let Some(pause) = told_pause {
        pause
    } else if awaits_peers(daemon) {
        START_POLL
    } else if daemon.contact.is_store_away(daemon.clock.now()) {
        AWAY_POLL
    } else {
        return Turn::Ask;
    };
    tokio::select! {
        () = tokio::time::sleep(pause) => Turn::Wait,
        () = daemon.ended.cancelled() => Turn::End,
    }
}

/// Whether this start still waits to be handed by peers what the store would tell.
pub fn awaits_peers(daemon: &Daemon) -> bool {
    daemon.clock.now() < standing(daemon).start_patience()
}
