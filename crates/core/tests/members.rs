//! Who is asked: neighbours in a large fleet, owners, readers of the store.

use std::collections::HashSet;

use bankcove_core::members::{Heartbeat, Host, HostRole, HostState, Members};
use bankcove_core::{Incarnation, Name};

const FANOUT: usize = 3;

fn host(n: usize) -> Host {
    Host {
        name: Name::from(format!("entry-{n}").as_str()),
        hall: Name::from(format!("hall-{}", n % 3).as_str()),
        address: format!("10.0.0.{n}:8000"),
        role: HostRole::Daemon,
        state: HostState::Live,
    }
}

fn fleet(me: usize, daemons: usize) -> Members {
    let mut members = Members::new(host(me).name);
    let hosts: Vec<Host> = (0..daemons).map(host).collect();
    members.apply_host_list(&hosts);
    members
}

fn targets(members: &Members, seed: u64) -> HashSet<Name> {
    members.heartbeat_targets(FANOUT, seed).into_iter().map(|peer| peer.name).collect()
}

fn fail(members: &mut Members, name: &Name) {
    for _ in 0..2 {
        members.record_failure(name);
    }
}

fn speaks(members: &mut Members, n: usize, start: u64) {
    let Host { name, hall, address, .. } = host(n);
    let heartbeat = Heartbeat {
        name,
        hall,
        incarnation: Incarnation(start),
        address,
        revision: 1,
        servers_version: Default::default(),
        evacuated: Default::default(),
        stopping: false,
        store_heard_ms: None,
        view_age_ms: None,
        paces: Vec::new(),
        crashes_digest: 0,
        hints_digest: 0,
    };
    members.record_heartbeat(0, &heartbeat);
}

fn usable(members: &Members) -> Vec<Name> {
    members.usable().map(|peer| peer.name.clone()).collect()
}

#[test]
fn a_list_that_has_not_caught_up_hides_no_peer_that_speaks() {
    let mut members = fleet(0, 1);
    speaks(&mut members, 1, 1);
    members.apply_host_list(&[host(0)]);
    assert_eq!(usable(&members), [host(1).name]);
}

#[test]
fn a_list_that_has_not_caught_up_with_a_new_start_hides_it_neither() {
    let mut members = fleet(0, 2);
    speaks(&mut members, 1, 1);
    members.apply_host_list(&[host(0), host(1)]);
    speaks(&mut members, 1, 2);
    members.apply_host_list(&[host(0)]);
    assert_eq!(usable(&members), [host(1).name]);
}

#[test]
fn a_peer_that_the_list_no_longer_has_is_not_asked() {
    let mut members = fleet(0, 2);
    speaks(&mut members, 1, 1);
    members.apply_host_list(&[host(0), host(1)]);
    members.apply_host_list(&[host(0)]);
    assert_eq!(usable(&members), [] as [Name; 0]);
}

#[test]
fn a_small_fleet_asks_each_peer_in_turn() {
    let members = fleet(0, 8);
    let asked: HashSet<Name> = (0..100).flat_map(|seed| targets(&members, seed)).collect();
    assert_eq!(asked.len(), 7);
}

#[test]
fn a_large_fleet_keeps_to_its_neighbours() {
    let members = fleet(0, 87);
    let asked: HashSet<Name> = (0..100).flat_map(|seed| targets(&members, seed)).collect();
    assert_eq!(asked.len(), FANOUT);
}

#[test]
fn a_neighbour_that_is_gone_is_replaced_and_still_asked_now_and_then() {
    let mut members = fleet(0, 87);
    let gone = targets(&members, 0).into_iter().next().expect("there are neighbours");
    fail(&mut members, &gone);
    let asked = targets(&members, 1);
    assert_eq!(asked.len(), FANOUT + 1);
    assert!(asked.contains(&gone));
}

#[test]
fn news_reach_every_daemon_of_a_large_fleet_by_neighbours() {
    let fleets: Vec<Members> = (0..87).map(|me| fleet(me, 87)).collect();
    let mut knows = HashSet::from([host(0).name]);
    for round in 0..10 {
        for (n, members) in fleets.iter().enumerate() {
            let neighbours = targets(members, round);
            // A heartbeat tells in both directions.
            if knows.contains(&host(n).name) {
                knows.extend(neighbours);
            } else if neighbours.iter().any(|name| knows.contains(name)) {
                knows.insert(host(n).name);
            }
        }
    }
    assert_eq!(knows.len(), 87);
}

#[test]
fn all_daemons_agree_on_an_owner_before_they_have_heard_of_each_other() {
    let owner = |me| {
        let ranked = fleet(me, 30).owners(7, 1);
        ranked[0].as_ref().map_or(host(me).name, |peer| peer.name.clone())
    };
    let owners: HashSet<Name> = (0..30).map(owner).collect();
    assert_eq!(owners.len(), 1);
}

#[test]
fn ranks_of_readers_differ_within_a_hall() {
    let rank = |me| fleet(me, 30).store_reader_rank(&host(me).hall);
    let ranks: HashSet<usize> = (0..30).step_by(3).map(rank).collect();
    assert_eq!(ranks, (0..10).collect());
}

#[test]
fn suspicions_of_one_that_was_cut_off_are_forgiven() {
    let mut members = fleet(0, 20);
    for n in 1..20 {
        fail(&mut members, &host(n).name);
    }
    assert_eq!(members.usable().count(), 0);
    let heartbeat = Heartbeat {
        name: host(1).name,
        hall: host(1).hall,
        incarnation: Incarnation(1),
        address: host(1).address,
        revision: 0,
        servers_version: Default::default(),
        evacuated: Default::default(),
        stopping: false,
        store_heard_ms: None,
        view_age_ms: None,
        paces: Vec::new(),
        crashes_digest: 0,
        hints_digest: 0,
    };
    members.record_heartbeat(1, &heartbeat);
    members.clear_failures();
    assert_eq!(members.usable().count(), 19);
}
