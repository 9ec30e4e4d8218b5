//! How large the fleet is, and where this daemon stands in it.

use bankcove_core::members::FleetSize;
use bankcove_core::standing::Standing;

use crate::daemon::Daemon;

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
    let stale_after = standing(daemon).stale_after();
    let now = daemon.clock.now();
    stale_after.is_some_and(|limit| !daemon.contact.is_view_older_than(limit, now))
}

/// Whether this start still waits to be handed by peers what the store would tell.
pub fn awaits_peers(daemon: &Daemon) -> bool {
    daemon.clock.now() < standing(daemon).start_patience()
}
