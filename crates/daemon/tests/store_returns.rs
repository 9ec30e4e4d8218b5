//! After which times without the store entries of live servers may have lapsed.
//!
//! Guards against a removed server that is kept although only a connection failed, and against live
//! servers that get no work because their entries lapsed in an outage.

use bankcove_core::Millis;
use bankcoved::fleet::connectivity::Connectivity;
use yare::parameterized;

/// Time without the store after which entries may have lapsed, in milliseconds.
const LAPSE_MS: Millis = 2_400;

/// Time after the store's return in which they may be missing, in milliseconds.
const WITHIN_MS: Millis = 2_000;

/// Answer of the store, by the clock of this daemon, in milliseconds.
enum Heard {
    /// It answered this daemon.
    Here(Millis),
    /// A peer, asked at the first time, was answered this long before.
    ByPeer(Millis, Millis),
}

use Heard::{ByPeer, Here};

#[parameterized(
    calm = { &[Here(500), Here(2_000), Here(3_500)], 3_500, false },
    own_connection_failed = { &[Here(500), Here(2_000), Here(4_300)], 4_300, false },
    outage = { &[Here(500), Here(2_000), Here(4_400)], 4_400, true },
    some_time_after_an_outage = { &[Here(2_000), Here(9_000)], 11_000, true },
    long_after_an_outage = { &[Here(2_000), Here(9_000)], 11_001, false },
    cut_off_while_peers_are_answered = { &[Here(500), ByPeer(2_000, 300), ByPeer(4_000, 300), Here(6_000)], 6_000, false },
    cut_off_with_its_hall = { &[Here(500), ByPeer(2_000, 1_500), ByPeer(4_000, 3_500), Here(6_000)], 6_000, true },
    peers_hear_first_of_the_return = { &[Here(500), ByPeer(6_100, 100), Here(6_500)], 6_500, true },
    starts_in_calm = { &[Here(100)], 100, false },
    starts_in_an_outage = { &[Here(5_000)], 5_000, true },
    starts_late_in_an_outage = { &[ByPeer(50, 4_000), Here(400)], 400, true },
)]
fn entries_may_have_lapsed_only_in_an_outage(heard: &[Heard], now: Millis, expected: bool) {
    let connectivity = Connectivity::new(false, LAPSE_MS);
    for heard in heard {
        match *heard {
            Here(at) => connectivity.record_store_answer(at),
            ByPeer(asked_at, age) => connectivity.record_peer_store_age(asked_at, Some(age)),
        }
    }
    assert_eq!(connectivity.may_entries_have_lapsed(now, WITHIN_MS), expected);
}
