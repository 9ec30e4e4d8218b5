//! Servers that may get a request: evacuated halls, cold servers, home regions and restarts.

use bankcove_core::Name;
use bankcove_core::hall_list::{EvacuatedHalls, HallChanges, HallList};
use bankcove_core::rollout::Versions;
use bankcove_core::router::{
    Homes, LoadReport, NoServer, Router, RoutingRequest, UnreadReport, UnreadTokens,
};
use bankcove_core::server_list::{
    ListVersion, ListedServer, RemovedServer, ServerChanges, ServerList, SharedServer,
};
use bankcove_core::table::{ServerState, Table};
use bankcove_core::{Incarnation, Millis};
use proptest::prelude::*;
use serde_json::json;

const HALLS: [&str; 3] = ["hall-0", "hall-1", "hall-2"];

/// Returns a table of twelve servers in three halls, each hall in its own region.
fn table() -> Table {
    let halls: Vec<_> =
        (0..3).map(|n| json!({"name": HALLS[n], "region": format!("region-{n}")})).collect();
    let server = |n: usize| {
        json!({
            "name": format!("s{n}"), "hall": HALLS[n % 3], "address": format!("10.0.0.{n}:1"),
            "kind": "model", "models": ["m"],
        })
    };
    let servers: Vec<_> = (0..12).map(server).collect();
    serde_json::from_value(json!({"halls": halls, "servers": servers})).expect("a table")
}

fn request<'a>(prefix: u64, homes: Homes<'a>, tried: &'a [Name]) -> RoutingRequest<'a> {
    let prefix = prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let seed = prefix.rotate_left(17);
    RoutingRequest {
        pool: "m",
        prefix,
        prompt_tokens: 0,
        shared_tokens: 0,
        hour: 0,
        seed,
        tried,
        homes,
        versions: Versions::Any,
    }
}

fn hall_of(server: &Name) -> usize {
    let number: usize = server.as_str()[1..].parse().expect("a server's number");
    number % 3
}

fn evacuate(table: &mut Table, hall: usize) {
    table.halls[hall].state = ServerState::Draining;
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

proptest! {
    /// For any combination of evacuated halls, cold servers and home regions: no request goes to
    /// an evacuated hall, to a cold server or outside its home regions, and an eligible server is
    /// found if there is one.
    #[test]
    fn a_choice_is_warm_at_home_and_not_evacuated(
        evacuated in prop::collection::vec(any::<bool>(), 3),
        cold in prop::collection::vec(any::<bool>(), 12),
        route in prop::collection::vec(0..3_usize, 0..3),
        workspace in prop::collection::vec(0..3_usize, 0..3),
        prefix in any::<u64>(),
    ) {
        let mut table = table();
        for hall in (0..3).filter(|hall| evacuated[*hall]) {
            evacuate(&mut table, hall);
        }
        for (row, cold) in table.servers.iter_mut().zip(&cold) {
            row.listed.cold_until = if *cold { 100 } else { 0 };
        }
        let mut router = Router::default();
        router.adopt(&table);
        let regions = |halls: &[usize]| -> Vec<Name> {
            halls.iter().map(|n| Name::from(format!("region-{n}").as_str())).collect()
        };
        let (route_regions, workspace_regions) = (regions(&route), regions(&workspace));
        let homes = Homes { route: &route_regions, workspace: &workspace_regions };
        let may_serve = |hall: usize| {
            let is_home = |halls: &[usize]| halls.is_empty() || halls.contains(&hall);
            !evacuated[hall] && is_home(&route) && is_home(&workspace)
        };
        let is_eligible = |n: usize| may_serve(n % 3) && !cold[n];
        match router.choose(50, &request(prefix, homes, &[])) {
            Ok(choice) => {
                let number: usize = choice.server.as_str()[1..].parse().expect("a number");
                prop_assert!(is_eligible(number), "{} was chosen", choice.server);
                prop_assert!(choice.copy_from.is_none() || (0..3).any(may_serve));
            }
            Err(why) => {
                prop_assert!(!(0..12).any(is_eligible));
                let any_hall = (0..3).any(may_serve);
                let expected = if any_hall { NoServer::OnlyCold(50) } else { NoServer::NoHall };
                prop_assert_eq!(why, expected);
            }
        }
    }

    /// In whatever order lists of evacuated halls are received from peers, the result is the
    /// newest list, and no older list replaces a newer one.
    #[test]
    fn an_older_evacuation_list_never_replaces_a_newer_one(
        received in prop::collection::vec(
            (1..20_u64, prop::collection::btree_set(0..3_usize, 0..3)), 1..20,
        ),
    ) {
        let mut list = HallList::default();
        let mut newest = 0;
        for (at, halls) in &received {
            let halls = halls.iter().map(|n| Name::from(HALLS[*n])).collect();
            list.adopt(*at, EvacuatedHalls { at: *at, halls });
            prop_assert!(list.evacuated().at >= newest);
            newest = list.evacuated().at;
        }
        prop_assert_eq!(newest, received.iter().map(|(at, _)| *at).max().unwrap_or_default());
    }
}

#[test]
fn a_reopened_hall_is_kept_with_its_time() {
    let mut list = HallList::default();
    let full_list = |at, halls: &[&str]| HallChanges {
        at,
        whole: true,
        evacuated: names(halls),
        ..HallChanges::default()
    };
    assert!(!list.apply(0, full_list(3, &[])));
    assert_eq!(list.evacuated().at, 3, "an empty list counts as a list");
    let evacuated = HallChanges { at: 5, evacuated: names(&["hall-1"]), ..HallChanges::default() };
    assert!(list.apply(10, evacuated));
    assert!(!list.apply(11, HallChanges { at: 7, ..HallChanges::default() }));
    assert_eq!(list.evacuated().at, 5);
    let reopened = HallChanges { at: 9, reopened: names(&["hall-1"]), ..HallChanges::default() };
    assert!(list.apply(20, reopened));
    assert_eq!(list.reopened_at(&Name::from("hall-1")), Some(20));
    assert_eq!(list.reopened_at(&Name::from("hall-2")), None);
}

fn listed(started_ms: Millis) -> ListedServer {
    ListedServer {
        version: None,
        name: Name::from("s1"),
        started_ms,
        service: Name::from("m"),
        address: "10.0.0.1:1".to_owned(),
        hall: Name::from("hall-1"),
        slots: 8,
        draining: false,
        cold_for_ms: 0,
    }
}

fn put(at: u64, server: ListedServer) -> ServerChanges {
    ServerChanges { at, put: vec![server], ..ServerChanges::default() }
}

fn start_times(list: &ServerList) -> Vec<Millis> {
    list.servers().map(|server| server.started_ms).collect()
}

#[test]
fn a_late_entry_of_an_earlier_instance_replaces_and_removes_nothing() {
    let mut list = ServerList::default();
    assert!(list.apply(0, put(1, listed(2_000))));
    assert!(!list.apply(1, put(2, ListedServer { draining: true, ..listed(1_000) })));
    let gone = |started_ms| ServerChanges {
        at: 3,
        gone: vec![RemovedServer { name: Name::from("s1"), started_ms }],
        ..ServerChanges::default()
    };
    assert!(!list.apply(2, gone(1_000)));
    assert_eq!(start_times(&list), [2_000]);
    let from_peer = SharedServer { server: listed(1_000), dropped_in: None, cold_in: 0 };
    list.adopt(3, ListVersion { at: 9, drops: 0 }, vec![from_peer]);
    assert_eq!(start_times(&list), [2_000]);
    assert!(list.apply(4, gone(2_000)));
    assert_eq!(start_times(&list), [] as [Millis; 0]);
}

#[test]
fn the_cold_period_counts_from_the_first_entry_that_announced_it() {
    let mut list = ServerList::default();
    let cold = ListedServer { cold_for_ms: 3_000, ..listed(1) };
    let until = |list: &ServerList| list.servers_with_cold_until().map(|(_, until)| until).next();
    list.apply(100, put(1, cold.clone()));
    assert_eq!(until(&list), Some(3_100));
    // The same entry again, as when the list is read again, does not extend the period.
    list.apply(2_000, put(2, cold));
    assert_eq!(until(&list), Some(3_100));
    let mut peer = ServerList::default();
    peer.adopt(50, list.version(), list.shared(1_100));
    assert_eq!(until(&peer), Some(2_050));
    list.apply(5_000, put(3, ListedServer { cold_for_ms: 0, ..listed(1) }));
    assert!(until(&list) <= Some(5_000), "the server is warm");
}

/// Guards against a new list version for every step of a countdown. Load pattern: thousands of
/// servers start, and each entry counts down the remaining cold time of its server. Each version
/// of the list is sent as a whole to every daemon.
#[test]
fn a_server_that_turns_warm_as_announced_creates_no_list_version() {
    let mut list = ServerList::default();
    let cold = |cold_for_ms| ListedServer { cold_for_ms, ..listed(1) };
    assert!(list.apply(0, put(1, cold(3_000))));
    assert!(!list.apply(1_300, put(2, cold(1_800))), "the remaining time decreases");
    assert!(!list.apply(3_700, put(3, cold(0))), "warm at the announced time");
    assert_eq!(list.version().at, 1);
    assert!(list.apply(9_000, put(4, cold(3_000))), "cold again");
    assert!(list.apply(9_500, put(5, cold(0))), "warm before the announced time");
    assert_eq!(list.servers_with_cold_until().map(|(_, until)| until).next(), Some(9_500));
    assert!(list.apply(9_600, put(6, ListedServer { draining: true, ..cold(0) })));
}

fn table_with_start_time(started_ms: Millis) -> Table {
    let mut table = table();
    table.servers[0].listed.started_ms = started_ms;
    table
}

fn load_of_first(router: &Router) -> f64 {
    router.servers()[0].load()
}

#[test]
fn another_instance_of_the_same_name_inherits_no_state() {
    let first = Name::from("s0");
    let mut router = Router::default();
    router.adopt(&table_with_start_time(1_000));
    router.record_sent(&first, 1_000, 5_000);
    router.record_sent(&first, 1_000, 5_000);
    router.record_leaving_refusal(0, &first, 1_000);
    router.record_load_report(
        0,
        &first,
        LoadReport { running: 7, waiting: 2, leaving: true, started_ms: 0 },
    );
    assert!(router.servers()[0].is_leaving(1));
    router.adopt(&table_with_start_time(2_000));
    // A late answer to a request to the earlier instance.
    router.record_leaving_refusal(0, &first, 1_000);
    assert!(!router.servers()[0].is_leaving(1));
    assert_eq!(load_of_first(&router), 0.0);
    assert_eq!(router.unread_by_server(), []);
    // Requests to the earlier instance that end now have no effect, not even three failures,
    // which would eject a server.
    router.record_sent(&first, 2_000, 0);
    for _ in 0..3 {
        router.record_ended(1, &first, 1_000, false);
    }
    router.record_prompt_read(&first, 1_000, 5_000);
    assert_eq!(load_of_first(&router), 1.0);
    let others: Vec<Name> = (1..12).map(|n| Name::from(format!("s{n}").as_str())).collect();
    let choice = router.choose(1, &request(1, Homes::default(), &others)).expect("it is usable");
    assert_eq!((choice.server, choice.started_ms), (first, 2_000));
}

#[test]
fn reports_from_peers_about_an_earlier_instance_do_not_count() {
    let mut router = Router::default();
    router.adopt(&table_with_start_time(2_000));
    let report = |number, started_ms| UnreadReport {
        from: Incarnation(1),
        number,
        unread: vec![UnreadTokens { server: Name::from("s0"), started_ms, tokens: 90_000 }],
    };
    router.merge_unread_report(0, &report(1, 1_000));
    let others: Vec<Name> = (1..12).map(|n| Name::from(format!("s{n}").as_str())).collect();
    assert!(router.choose(0, &request(1, Homes::default(), &others)).is_ok());
    router.merge_unread_report(0, &report(2, 2_000));
    assert!(hall_of(&Name::from("s0")) == 0);
}
