//! How old a view is that daemons tell each other of.
//!
//! Symptom: on a day of 87 hosts one that reached the store answered by a table that had
//! been replaced 4.6 s before. Sequence: the store was down for 5 s, then most hosts were cut
//! from it; from 5 to 10.8 s this one read neither the table nor the servers, since peers
//! told it that they were current, though nobody had read the store since 2.4 s. Cause: an
//! age was counted from when a heartbeat was taken in; the time that it was under way, some
//! 10 to 300 ms, was given to the view at each step, and the newest word won.

use bankcove_core::Millis;
use bankcove_core::freshness::Freshness;

const DAEMONS: usize = 40;
const BEAT_MS: Millis = 500;
const FANOUT: usize = 3;
const LIMIT_MS: Millis = 2_500;

/// How long a heartbeat is under way from `from` to `to`: some hosts are slow.
fn under_way(from: usize, to: usize, round: usize) -> Millis {
    10 + ((from * 7 + to * 13 + round * 29) % 30) as Millis * 8
}

/// All daemons read the store at 1 s and never again; `asked_first` tells whether an age is
/// counted from when the sender was asked for it. The youngest view at `until`, by its age.
fn youngest(asked_first: bool, until: Millis) -> Millis {
    let mut views = vec![Freshness::default(); DAEMONS];
    for view in &mut views {
        view.record_table_read(1_000);
        view.record_servers_read(1_000);
    }
    for round in 0..(until - 1_000) / BEAT_MS {
        let asked_at = 1_000 + round * BEAT_MS;
        for n in 0..DAEMONS {
            for step in 1..=FANOUT {
                let peer = (n + step * 11) % DAEMONS;
                let told_at = asked_at + under_way(n, peer, round as usize);
                let heard_at = told_at + under_way(peer, n, round as usize);
                let Some(age) = views[peer].age(told_at) else { continue };
                views[n].record_peer_sync(if asked_first { asked_at } else { heard_at }, age);
            }
        }
    }
    let ages = views.iter().filter_map(|view| view.age(until));
    ages.min().expect("all have read the store once")
}

#[test]
fn counted_from_when_they_were_asked_for_ages_never_lie() {
    for until in [2_000, 6_000, 11_000, 31_000] {
        assert!(youngest(true, until) >= until - 1_000, "at {until} ms");
    }
}

#[test]
fn counted_from_when_they_are_taken_in_nobody_ever_notices() {
    assert!(youngest(false, 31_000) < LIMIT_MS);
}
