//! The membership view: heartbeat targets, owners, readers of the store.

use std::collections::HashSet;

use bankcove_core::members::{FleetSize, Heartbeat, Host, HostRole, HostState, Members};
use bankcove_core::paths::PathReport;
use bankcove_core::rollout::RolloutOrders;
use bankcove_core::{Incarnation, Name};
use yare::parameterized;

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

fn receive_heartbeat(members: &mut Members, n: usize, incarnation: u64) {
    let Host { name, hall, address, .. } = host(n);
    let heartbeat = Heartbeat {
        name,
        hall,
        incarnation: Incarnation(incarnation),
        address,
        revision: 1,
        servers_version: Default::default(),
        evacuated: Default::default(),
        rollouts: RolloutOrders::default(),
        stopping: false,
        store_heard_ms: None,
        view_age_ms: None,
        paces: Vec::new(),
        crashes_digest: 0,
        hints_digest: 0,
        paths: PathReport::default(),
    };
    members.record_heartbeat(0, &heartbeat);
}

fn usable(members: &Members) -> Vec<Name> {
    members.usable().map(|peer| peer.name.clone()).collect()
}

#[test]
fn a_lagging_list_does_not_remove_a_peer_that_sends_heartbeats() {
    let mut members = fleet(0, 1);
    receive_heartbeat(&mut members, 1, 1);
    members.apply_host_list(&[host(0)]);
    assert_eq!(usable(&members), [host(1).name]);
}

#[test]
fn a_lagging_list_does_not_remove_a_restarted_peer() {
    let mut members = fleet(0, 2);
    receive_heartbeat(&mut members, 1, 1);
    members.apply_host_list(&[host(0), host(1)]);
    receive_heartbeat(&mut members, 1, 2);
    members.apply_host_list(&[host(0)]);
    assert_eq!(usable(&members), [host(1).name]);
}

#[test]
fn a_peer_removed_from_the_list_is_not_usable() {
    let mut members = fleet(0, 2);
    receive_heartbeat(&mut members, 1, 1);
    members.apply_host_list(&[host(0), host(1)]);
    members.apply_host_list(&[host(0)]);
    assert_eq!(usable(&members), [] as [Name; 0]);
}

#[test]
fn in_a_small_fleet_every_peer_becomes_a_heartbeat_target() {
    let members = fleet(0, 8);
    let contacted: HashSet<Name> = (0..100).flat_map(|seed| targets(&members, seed)).collect();
    assert_eq!(contacted.len(), 7);
}

#[test]
fn in_a_large_fleet_the_heartbeat_targets_are_fixed() {
    let members = fleet(0, 87);
    let contacted: HashSet<Name> = (0..100).flat_map(|seed| targets(&members, seed)).collect();
    assert_eq!(contacted.len(), FANOUT);
}

#[test]
fn a_suspected_neighbour_is_replaced_and_still_probed() {
    let mut members = fleet(0, 87);
    let suspected = targets(&members, 0).into_iter().next().expect("there are neighbours");
    fail(&mut members, &suspected);
    let contacted = targets(&members, 1);
    assert_eq!(contacted.len(), FANOUT + 1);
    assert!(contacted.contains(&suspected));
}

#[test]
fn changes_reach_every_daemon_of_a_large_fleet_through_neighbours() {
    let fleets: Vec<Members> = (0..87).map(|me| fleet(me, 87)).collect();
    let mut informed = HashSet::from([host(0).name]);
    for round in 0..10 {
        for (n, members) in fleets.iter().enumerate() {
            let neighbours = targets(members, round);
            // A heartbeat exchanges state in both directions.
            if informed.contains(&host(n).name) {
                informed.extend(neighbours);
            } else if neighbours.iter().any(|name| informed.contains(name)) {
                informed.insert(host(n).name);
            }
        }
    }
    assert_eq!(informed.len(), 87);
}

#[test]
fn all_daemons_agree_on_an_owner_before_their_first_heartbeats() {
    let owner = |me| {
        let ranked = fleet(me, 30).owners(7, 1);
        ranked[0].as_ref().map_or(host(me).name, |peer| peer.name.clone())
    };
    let owners: HashSet<Name> = (0..30).map(owner).collect();
    assert_eq!(owners.len(), 1);
}

#[parameterized(
    tens = { 30, 700 },
    hundreds = { 100, 2_300 },
    a_thousand = { 300, 7_000 },
)]
fn each_budget_has_one_first_owner_and_a_daemon_few_budgets(daemons: usize, budgets: u64) {
    let keys: Vec<u64> = (0..budgets).map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).collect();
    let mut owned = vec![0; keys.len()];
    for me in 0..daemons {
        let members = fleet(me, daemons);
        let mine: Vec<usize> =
            (0..keys.len()).filter(|n| members.is_first_owner(keys[*n])).collect();
        assert!(mine.iter().all(|n| members.owners(keys[*n], 1)[0].is_none()));
        // A daemon checks these and those that its callers use, whatever the number of budgets.
        assert!(mine.len() < 70, "daemon {me} owns {}", mine.len());
        mine.iter().for_each(|n| owned[*n] += 1);
    }
    assert!(owned.iter().all(|owners| *owners == 1));
}

#[test]
fn the_fleet_size_follows_heartbeats_and_lists() {
    let mut members = fleet(0, 10);
    assert_eq!(members.fleet_size(), FleetSize::Listed(10));
    receive_heartbeat(&mut members, 17, 1);
    assert_eq!(members.fleet_size(), FleetSize::Listed(11), "a peer that the list lacks");
    receive_heartbeat(&mut members, 17, 1);
    assert_eq!(members.fleet_size(), FleetSize::Listed(11));
    fail(&mut members, &host(3).name);
    assert_eq!(members.fleet_size(), FleetSize::Listed(11), "a silent peer counts");
    let hosts: Vec<Host> = (0..5).map(host).collect();
    members.apply_host_list(&hosts);
    assert_eq!(members.fleet_size(), FleetSize::Listed(6), "and those that are gone don't");
}

#[test]
fn ranks_of_readers_differ_within_a_hall() {
    let rank = |me| fleet(me, 30).store_reader_rank(&host(me).hall);
    let ranks: HashSet<usize> = (0..30).step_by(3).map(rank).collect();
    assert_eq!(ranks, (0..10).collect());
}

#[test]
fn the_failures_of_all_peers_are_cleared_after_this_daemon_was_cut_off() {
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
        rollouts: RolloutOrders::default(),
        stopping: false,
        store_heard_ms: None,
        view_age_ms: None,
        paces: Vec::new(),
        crashes_digest: 0,
        hints_digest: 0,
        paths: PathReport::default(),
    };
    members.record_heartbeat(1, &heartbeat);
    members.clear_failures();
    assert_eq!(members.usable().count(), 19);
}
