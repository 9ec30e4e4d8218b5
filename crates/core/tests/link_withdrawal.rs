//! Withdrawal of a host from the load balancer while its link is overloaded, and admission by its
//! bodies, over a model of a hall: callers' connections lead to hosts by a hash, and one caller
//! sends more than the link of most hosts carries.

use bankcove_core::Millis;
use bankcove_core::link::{Link, Traffic};
use yare::parameterized;

/// Width of the links, in Mbit/s, and the bytes that they carry in a millisecond.
const MBPS: f64 = 10.0;
const BYTES_PER_MS: f64 = MBPS * 125.0;

/// Size of a request's body in the model, and of its head and packets.
const BODY: u64 = 9_000;

fn body(bytes: u64) -> Traffic {
    Traffic { body_bytes: bytes, bytes, chunks: 1 }
}

#[test]
fn bodies_that_wait_for_the_link_refuse_the_lowest_rank_first() {
    let mut link = Link::new(8.0);
    assert!(link.reserve(body(800 * 120), 2, 0));
    assert!(!link.reserve(body(1), 2, 0), "calls between daemons would wait for 120 ms");
    assert!(link.reserve(body(800 * 40), 1, 0));
    assert!(!link.reserve(body(1), 1, 0));
    assert!(link.reserve(body(1), 0, 0));
    assert!(link.reserve(body(1), 2, 100), "100 ms later 60 ms are left");
}

#[test]
fn an_idle_host_is_not_withdrawn() {
    let mut link = Link::new(MBPS);
    for now in 0..60_000_u64 {
        if now % 20 == 0 {
            assert_eq!(link.record_passed(body(BODY), now), None, "36 % of the link");
        }
        assert!(!link.is_withdrawn(now) && !link.is_saturated(now));
    }
}

/// Returns the times at which a host's link, loaded to this fraction for a minute while it is not
/// withdrawn, is withdrawn, each with the duration.
fn withdrawals(load: f64) -> Vec<(Millis, Millis)> {
    let mut link = Link::new(MBPS);
    let mut begun = Vec::new();
    let mut due = 0.0;
    for now in 0..60_000_u64 {
        // The load balancer asks once a second, and acts on the second negative answer.
        let sends = !link.is_withdrawn(now) || begun.last().is_some_and(|(at, _)| now < at + 2_000);
        due += if sends { BYTES_PER_MS * load } else { 0.0 };
        while due >= BODY as f64 {
            due -= BODY as f64;
            begun.extend(link.record_passed(body(BODY), now).map(|duration| (now, duration)));
        }
    }
    begun
}

#[parameterized(
    half = { 0.5, 0 },
    full = { 1.0, 4 },
    thrice = { 3.0, 4 },
)]
fn an_overloaded_host_is_withdrawn_again_and_again(load: f64, at_least: usize) {
    let begun = withdrawals(load);
    assert!(begun.len() >= at_least && (at_least > 0 || begun.is_empty()), "{begun:?}");
    for pair in begun.windows(2) {
        let ((first, duration), (second, _)) = (pair[0], pair[1]);
        assert!(second >= first + duration, "it is back in between: {begun:?}");
    }
    // When more than half of the hosts are withdrawn, the load balancer uses all of them.
    assert!(begun.iter().all(|(_, duration)| *duration <= 16_000), "{begun:?}");
}

#[test]
fn a_withdrawal_after_a_calm_time_is_short_again() {
    let mut link = Link::new(MBPS);
    let overload = Traffic { bytes: (BYTES_PER_MS * 500.0) as u64, ..Traffic::default() };
    assert_eq!(link.record_passed(overload, 1_000), Some(8_000));
    assert_eq!(link.record_passed(overload, 9_500), Some(16_000));
    assert_eq!(link.record_passed(overload, 90_000), Some(8_000));
}

/// A hall of hosts, each with a link, and callers whose connections lead to the first host in their
/// own order that the load balancer uses. Returns the fraction of the bytes that reach a host whose
/// queue is shorter than a second.
fn hall(withdraws: bool) -> f64 {
    const HOSTS: usize = 20;
    const CALLERS: usize = 100;
    let (mut links, mut queues) = (vec![Link::new(MBPS); HOSTS], [0.0_f64; HOSTS]);
    links[7] = Link::new(MBPS * 20.0);
    let width = |host: usize| if host == 7 { BYTES_PER_MS * 20.0 } else { BYTES_PER_MS };
    let order = |caller: usize, host: usize| {
        (caller as u64 * 31 + host as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40
    };
    let (mut sent, mut in_time) = (0.0, 0.0);
    let mut used = [true; HOSTS];
    let mut due = [0.0; CALLERS];
    for now in 0..60_000_u64 {
        if now % 1_000 == 0 {
            // Two negative answers take a host out, so its answer of a second ago counts.
            let asked = now.saturating_sub(1_000);
            for host in 0..HOSTS {
                used[host] = !withdraws || !links[host].is_withdrawn(asked);
            }
        }
        for (host, queue) in queues.iter_mut().enumerate() {
            *queue = (*queue - width(host)).max(0.0);
        }
        for (caller, due) in due.iter_mut().enumerate() {
            // One caller sends half as much again as a link carries, the others little.
            *due += if caller == 0 { BYTES_PER_MS * 1.5 } else { BYTES_PER_MS * 0.02 };
            while *due >= BODY as f64 {
                *due -= BODY as f64;
                let candidates = (0..HOSTS).filter(|host| used[*host]);
                let host = candidates.min_by_key(|host| order(caller, *host)).unwrap_or(0);
                queues[host] += BODY as f64;
                sent += BODY as f64;
                if queues[host] < width(host) * 1_000.0 {
                    in_time += BODY as f64;
                }
                links[host].record_passed(body(BODY), now);
            }
        }
    }
    in_time / sent
}

#[test]
fn a_large_caller_finds_a_host_that_can_carry_it() {
    let (before, after) = (hall(false), hall(true));
    // The large caller sends 0.43 of all; all of it arrives late where its connections stay.
    assert!(before < 0.6, "without withdrawals {before} arrive in time");
    assert!(after > 0.8, "{after} arrive in time, {before} without withdrawals");
}
