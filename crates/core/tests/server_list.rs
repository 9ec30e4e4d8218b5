//! The replica of the platform's server list: updates, grace periods, lists of peers.

use bankcove_core::Name;
use bankcove_core::server_list::{
    GRACE_PERIOD_MS, ListVersion, ListedServer, RemovedServer, ServerChanges, ServerList,
    SharedServer, Unreadable,
};

fn server(name: &str, draining: bool) -> ListedServer {
    ListedServer {
        version: None,
        name: Name::from(name),
        service: Name::from("engines"),
        address: "10.0.0.7:8000".to_owned(),
        hall: Name::from("hall-1"),
        slots: 8,
        draining,
        started_ms: 0,
        cold_for_ms: 0,
    }
}

fn version(at: u64, drops: u32) -> ListVersion {
    ListVersion { at, drops }
}

fn shared(name: &str, draining: bool, dropped_in: Option<u64>) -> SharedServer {
    SharedServer { server: server(name, draining), dropped_in, cold_in: 0 }
}

fn full_list(at: u64, names: &[&str]) -> ServerChanges {
    let put = names.iter().map(|name| server(name, false)).collect();
    ServerChanges { at, whole: true, put, ..ServerChanges::default() }
}

fn removal(at: u64, name: &str) -> ServerChanges {
    ServerChanges {
        at,
        gone: vec![RemovedServer { name: Name::from(name), started_ms: 0 }],
        ..ServerChanges::default()
    }
}

fn names(list: &ServerList) -> Vec<&str> {
    list.servers().map(|server| server.name.as_str()).collect()
}

#[test]
fn a_full_list_removes_missing_entries() {
    let mut list = ServerList::default();
    assert!(list.apply(0, full_list(5, &["a", "b"])));
    assert!(list.apply(1, full_list(6, &["b"])));
    assert_eq!(names(&list), ["b"]);
}

#[test]
fn an_identical_entry_is_no_change() {
    let mut list = ServerList::default();
    list.apply(0, full_list(5, &["a"]));
    assert!(!list.apply(1, full_list(9, &["a"])));
    assert_eq!(list.version(), version(5, 0));
}

#[test]
fn an_entry_missing_after_an_outage_is_kept_for_the_grace_period() {
    let mut list = ServerList::default();
    list.apply(0, full_list(5, &["a", "b"]));
    list.start_grace_period(10_000);
    list.apply(10_000, full_list(9, &["b"]));
    assert_eq!(names(&list), ["a", "b"]);
    assert!(!list.drop_expired(10_000 + GRACE_PERIOD_MS - 1));
    assert!(list.drop_expired(10_000 + GRACE_PERIOD_MS));
    assert_eq!(names(&list), ["b"]);
}

#[test]
fn a_drop_after_the_grace_period_raises_the_version() {
    let mut list = ServerList::default();
    list.apply(0, full_list(5, &["a", "b"]));
    list.start_grace_period(10_000);
    list.apply(10_000, full_list(9, &["b"]));
    assert_eq!(list.version(), version(5, 0));
    assert_eq!(list.next_drop(10_500), Some(GRACE_PERIOD_MS - 500));
    list.drop_expired(10_000 + GRACE_PERIOD_MS);
    assert!(list.version() > version(5, 0));
}

#[test]
fn an_entry_registered_again_within_the_grace_period_is_kept() {
    let mut list = ServerList::default();
    list.apply(0, full_list(5, &["a"]));
    list.start_grace_period(10_000);
    list.apply(10_000, removal(9, "a"));
    list.apply(10_500, ServerChanges { at: 10, put: vec![server("a", false)], ..removal(10, "x") });
    assert!(!list.drop_expired(10_000 + GRACE_PERIOD_MS));
    assert_eq!(names(&list), ["a"]);
}

#[test]
fn an_unreadable_entry_removes_its_server_only() {
    let mut list = ServerList::default();
    list.apply(0, full_list(5, &["a", "b"]));
    let broken = Unreadable { name: Some(Name::from("a")), problem: "no address".to_owned() };
    list.apply(1, ServerChanges { unreadable: vec![broken], ..full_list(6, &["b"]) });
    assert_eq!(names(&list), ["b"]);
    // No grace period applies: the platform has the entry, but it describes no usable server.
    list.start_grace_period(1);
    let broken = Unreadable { name: Some(Name::from("b")), problem: "no address".to_owned() };
    assert!(list.apply(2, ServerChanges { unreadable: vec![broken], at: 7, ..Default::default() }));
    assert!(names(&list).is_empty());
}

#[test]
fn without_an_outage_a_removal_takes_effect_at_once() {
    let mut list = ServerList::default();
    list.apply(0, full_list(5, &["a"]));
    assert!(list.apply(1, removal(6, "a")));
    assert!(names(&list).is_empty());
}

#[test]
fn a_peers_list_is_adopted_only_if_it_is_newer() {
    let mut list = ServerList::default();
    list.apply(0, full_list(5, &["a"]));
    assert!(!list.adopt(1, version(5, 0), vec![shared("b", false, None)]));
    assert!(list.adopt(1, version(6, 0), vec![shared("a", true, None)]));
    assert!(list.servers().all(|server| server.draining));
}

#[test]
fn a_removed_entry_is_not_restored_by_a_peer_that_keeps_it_for_its_grace_period() {
    let mut list = ServerList::default();
    list.apply(0, full_list(5, &["a", "b"]));
    list.apply(1, removal(6, "a"));
    // The peer was cut off from the platform and still has the entry in its grace period.
    let of_peer = vec![shared("a", false, Some(1_500)), shared("b", false, None)];
    assert!(list.adopt(2, version(7, 0), of_peer));
    assert_eq!(names(&list), ["b"]);
}

#[test]
fn the_grace_period_of_an_adopted_entry_is_adopted_too() {
    let mut list = ServerList::default();
    list.apply(0, full_list(5, &["a", "b"]));
    let of_peer = vec![shared("a", false, Some(1_500)), shared("b", false, None)];
    assert!(list.adopt(100, version(7, 0), of_peer));
    assert_eq!(names(&list), ["a", "b"]);
    assert!(list.drop_expired(1_600));
    assert_eq!(names(&list), ["b"]);
}

#[test]
fn a_drop_reaches_peers_at_the_same_version_of_the_platform() {
    let mut list = ServerList::default();
    list.apply(0, full_list(5, &["a", "b"]));
    list.start_grace_period(10_000);
    list.apply(10_000, ServerChanges { put: vec![server("c", false)], ..removal(9, "a") });
    let mut peer = ServerList::default();
    peer.apply(0, full_list(5, &["a", "b"]));
    assert!(peer.adopt(10_100, list.version(), list.shared(10_100)));
    assert!(list.drop_expired(10_000 + GRACE_PERIOD_MS));
    assert!(list.version() > peer.version());
    assert!(peer.adopt(13_000, list.version(), list.shared(13_000)));
    assert_eq!(names(&peer), ["b", "c"]);
}
