//! Age of a view that daemons only receive from each other.
//!
//! Guards against views that seem current although no daemon reads the store. One of 87 hosts,
//! which could reach the store, answered a request from a table that had been replaced 4.6 s before. The
//! store was down for 5 s, then most hosts were cut off from it; from 5 to 10.8 s this host read
//! neither the table nor the servers, since peers reported current views, though no daemon had
//! read the store since 2.4 s. Ages were counted from the receipt of a heartbeat, so each hop
//! reduced the age by the transit time of some 10 to 300 ms, and the smallest age was used.

use bankcove_core::Millis;
use bankcove_core::freshness::Freshness;

const DAEMONS: usize = 40;
const HEARTBEAT_MS: Millis = 500;
const FANOUT: usize = 3;
const STALE_VIEW_MS: Millis = 2_500;

/// Returns the transit time of a heartbeat from `from` to `to`, in milliseconds: some hosts are
/// slow.
fn transit_ms(from: usize, to: usize, round: usize) -> Millis {
    10 + ((from * 7 + to * 13 + round * 29) % 30) as Millis * 8
}

/// Returns the smallest age of a view at `until`, if all daemons read the store at 1 s and never
/// again. Ages are counted from the request for them if `from_request`, else from their receipt.
fn smallest_age(from_request: bool, until: Millis) -> Millis {
    let mut views = vec![Freshness::default(); DAEMONS];
    for view in &mut views {
        view.record_table_read(1_000);
        view.record_servers_read(1_000);
    }
    for round in 0..(until - 1_000) / HEARTBEAT_MS {
        let asked_at = 1_000 + round * HEARTBEAT_MS;
        for n in 0..DAEMONS {
            for step in 1..=FANOUT {
                let peer = (n + step * 11) % DAEMONS;
                let sent_at = asked_at + transit_ms(n, peer, round as usize);
                let received_at = sent_at + transit_ms(peer, n, round as usize);
                let Some(age) = views[peer].age(sent_at) else { continue };
                views[n].record_peer_sync(if from_request { asked_at } else { received_at }, age);
            }
        }
    }
    let ages = views.iter().filter_map(|view| view.age(until));
    ages.min().expect("all daemons have read the store once")
}

#[test]
fn ages_counted_from_the_request_are_never_too_small() {
    for until in [2_000, 6_000, 11_000, 31_000] {
        assert!(smallest_age(true, until) >= until - 1_000, "at {until} ms");
    }
}

#[test]
fn ages_counted_from_the_receipt_hide_a_stale_view() {
    assert!(smallest_age(false, 31_000) < STALE_VIEW_MS);
}
