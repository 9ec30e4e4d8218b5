//! Servers that are slower for good: a third of a pool is 2.4 times slower than the rest.

use bankcove_core::router::{Router, StreamPace};

use crate::fleet::{Fleet, Replay, SERVERS, name, quantile, router};
use crate::{REPLAY, choices, is_slow, record_paces, run, slow_ratio};

/// Returns the number of prefixes by server.
fn counts(choices: &[usize]) -> Vec<u32> {
    let mut counts = vec![0; SERVERS];
    choices.iter().for_each(|server| counts[*server] += 1);
    counts
}

/// Guards against a change for deployments whose servers differ by load alone.
#[test]
fn servers_within_the_usual_spread_are_chosen_as_if_no_pace_were_known() {
    let unknown = router();
    let mut within = router();
    record_paces(&mut within, |server| Some(20.0 * (0.96 + 0.002 * (server % 40) as f64)));
    assert_eq!(choices(&within), choices(&unknown));
}

/// Guards against equal shares of prefixes for servers of unequal speed.
#[test]
fn a_slower_server_is_preferred_for_fewer_prefixes_by_its_factor() {
    let mut router = router();
    record_paces(&mut router, |server| Some(if is_slow(server) { 48.0 } else { 20.0 }));
    let ratio = slow_ratio(&counts(&choices(&router)));
    assert!((0.36..0.48).contains(&ratio), "{ratio}, expected 1 / 2.4");
}

/// Guards against moving the prefixes of servers whose speed has not changed.
#[test]
fn prefixes_of_fast_servers_stay_when_others_are_found_to_be_slower() {
    let mut uneven = router();
    record_paces(&mut uneven, |server| Some(if is_slow(server) { 48.0 } else { 20.0 }));
    let pairs: Vec<_> = choices(&router()).into_iter().zip(choices(&uneven)).collect();
    let fast = pairs.iter().filter(|(before, _)| !is_slow(*before));
    let (stayed, all) = (fast.clone().filter(|(a, b)| a == b).count(), fast.count());
    assert_eq!(stayed, all);
}

/// Guards against a hall of slow servers that gets as many requests as the others.
#[test]
fn a_hall_of_slower_servers_gets_fewer_prefixes() {
    let mut router = router();
    let hall = |server: usize| server / 3 % 3;
    record_paces(&mut router, |server| Some(if hall(server) == 0 { 48.0 } else { 20.0 }));
    let by_server = counts(&choices(&router));
    let in_hall = |number: usize| -> f64 {
        let numbered = by_server.iter().enumerate().filter(|(n, _)| hall(*n) == number);
        numbered.map(|(_, count)| f64::from(*count)).sum()
    };
    let ratio = in_hall(0) * 2.0 / (in_hall(1) + in_hall(2));
    assert!((0.34..0.52).contains(&ratio), "{ratio}, expected 1 / 2.4");
}

/// Guards against new servers that get all requests or none because their pace is unknown.
#[test]
fn a_server_of_unknown_pace_counts_as_average() {
    let mut router = router();
    let is_new = |server: usize| server % 6 == 1;
    record_paces(&mut router, |server| {
        (!is_new(server)).then_some(if is_slow(server) { 48.0 } else { 20.0 })
    });
    let by_server = counts(&choices(&router));
    let mean = |counted: &dyn Fn(usize) -> bool| {
        let numbered = by_server.iter().enumerate().filter(|(n, _)| counted(*n));
        let (sum, count) = numbered.fold((0, 0), |(sum, count), (_, n)| (sum + n, count + 1));
        f64::from(sum) / f64::from(count)
    };
    let new = mean(&is_new);
    let (slow, fast) = (mean(&is_slow), mean(&|n| !is_slow(n) && !is_new(n)));
    assert!(slow < new && new < fast, "slow {slow}, new {new}, fast {fast}");
}

/// Guards against load bounds that treat a slow server's requests as those of a fast one.
#[test]
fn a_slower_server_reaches_its_load_bound_with_fewer_requests() {
    let mut router = router();
    record_paces(&mut router, |server| Some(if is_slow(server) { 48.0 } else { 20.0 }));
    let before = counts(&choices(&router));
    for _ in 0..8 {
        (0..SERVERS).for_each(|server| router.record_sent(&name(server), 0, 0));
    }
    // Each server has eight requests: within the bound of a fast server, not of a slow one.
    let after = counts(&choices(&router));
    assert!((0..SERVERS).filter(|n| is_slow(*n)).all(|n| before[n] > 0 && after[n] == 0));
    assert!((0..SERVERS).filter(|n| !is_slow(*n)).all(|n| after[n] >= before[n]));
}

/// Replays the load; guards against the queues that formed at slow servers with equal shares.
#[test]
fn in_the_replay_slow_servers_get_fewer_requests_and_no_queues() {
    let outcome = run(REPLAY);
    let ratio = slow_ratio(&outcome.by_server);
    assert!((0.3..0.65).contains(&ratio), "{ratio}, expected 1 / 2.4");
    // Without speeds the 90th percentiles were 945 and 1,340 ms.
    let (short, long) = (quantile(&outcome.short_ms, 0.9), quantile(&outcome.long_ms, 0.9));
    assert!(short < 350 && long < 600, "short {short} ms, long {long} ms");
    assert!(outcome.hit_fraction() > 0.7, "{}", outcome.hit_fraction());
}

/// Guards against paces that take too long to reach every host of a fleet of 70, each of which
/// alone sees few streams.
#[test]
fn heartbeats_spread_the_paces_of_a_pool_within_some_rounds() {
    let mut fleet = Fleet::new(Replay { hosts: 70, ..REPLAY });
    // Each host knows the servers whose streams it has served.
    for (host, router) in fleet.routers.iter_mut().enumerate() {
        for server in (0..SERVERS).filter(|server| server % 10 == host % 10) {
            let pace = StreamPace { event_ms: 20.0, longest_pause_ms: 60.0 };
            router.record_stream_pace(&name(server), 0, pace);
        }
    }
    let knows_all = |router: &Router| router.paces(SERVERS, 0).len() == SERVERS;
    let rounds = (1..).find(|_| {
        fleet.send_heartbeats();
        fleet.routers.iter().all(knows_all)
    });
    assert!(rounds.is_some_and(|rounds| rounds <= 30), "{rounds:?}");
}
