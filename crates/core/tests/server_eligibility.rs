//! Where requests may go: evacuated halls, cold servers, homes, servers that start again.

use bankcove_core::Name;
use bankcove_core::hall_list::{EvacuatedHalls, HallChanges, HallList};
use bankcove_core::router::{
    Homes, LoadReport, NoServer, Router, RoutingRequest, UnreadReport, UnreadTokens,
};
use bankcove_core::server_list::{
    Gone, ListVersion, ListedServer, ServerChanges, ServerList, SharedServer,
};
use bankcove_core::table::{ServerState, Table};
use bankcove_core::{Incarnation, Millis};
use proptest::prelude::*;
use serde_json::json;

const HALLS: [&str; 3] = ["hall-0", "hall-1", "hall-2"];

/// Twelve servers in three halls, each in a region of its own.
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
    RoutingRequest { pool: "m", prefix, prompt_tokens: 0, hour: 0, seed, tried, homes }
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
    /// Whatever is evacuated, cold, at home or tried already: nothing goes to a hall that
    /// takes no work, to a cold server, or out of its homes, and where a server is left it
    /// is found.
    #[test]
    fn a_choice_keeps_to_halls_homes_and_warm_servers(
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
        let regions = |of: &[usize]| -> Vec<Name> {
            of.iter().map(|n| Name::from(format!("region-{n}").as_str())).collect()
        };
        let (of_route, of_workspace) = (regions(&route), regions(&workspace));
        let homes = Homes { route: &of_route, workspace: &of_workspace };
        let may = |hall: usize| {
            let is_home = |of: &[usize]| of.is_empty() || of.contains(&hall);
            !evacuated[hall] && is_home(&route) && is_home(&workspace)
        };
        let fits = |n: usize| may(n % 3) && !cold[n];
        match router.choose(50, &request(prefix, homes, &[])) {
            Ok(choice) => {
                let number: usize = choice.server.as_str()[1..].parse().expect("a number");
                prop_assert!(fits(number), "{} was chosen", choice.server);
                prop_assert!(choice.copy_from.is_none() || (0..3).any(may));
            }
            Err(why) => {
                prop_assert!(!(0..12).any(fits));
                let any_hall = (0..3).any(may);
                let expected = if any_hall { NoServer::OnlyCold(50) } else { NoServer::NoHall };
                prop_assert_eq!(why, expected);
            }
        }
    }

    /// In whatever order peers tell of evacuations, all end with the newest list, and none
    /// goes back.
    #[test]
    fn evacuations_never_go_back(
        told in prop::collection::vec((1..20_u64, prop::collection::btree_set(0..3_usize, 0..3)), 1..20),
    ) {
        let mut list = HallList::default();
        let mut newest = 0;
        for (at, halls) in &told {
            let halls = halls.iter().map(|n| Name::from(HALLS[*n])).collect();
            list.adopt(*at, EvacuatedHalls { at: *at, halls });
            prop_assert!(list.told().at >= newest);
            newest = list.told().at;
        }
        prop_assert_eq!(newest, told.iter().map(|(at, _)| *at).max().unwrap_or_default());
    }
}

#[test]
fn a_hall_that_is_taken_back_is_known_with_its_time() {
    let mut list = HallList::default();
    let whole = |at, halls: &[&str]| HallChanges {
        at,
        whole: true,
        evacuated: names(halls),
        ..HallChanges::default()
    };
    assert!(!list.apply(0, whole(3, &[])));
    assert_eq!(list.told().at, 3, "an empty list is a list");
    let added = HallChanges { at: 5, evacuated: names(&["hall-1"]), ..HallChanges::default() };
    assert!(list.apply(10, added));
    assert!(!list.apply(11, HallChanges { at: 7, ..HallChanges::default() }));
    assert_eq!(list.told().at, 5);
    let back = HallChanges { at: 9, reopened: names(&["hall-1"]), ..HallChanges::default() };
    assert!(list.apply(20, back));
    assert_eq!(list.reopened_at(&Name::from("hall-1")), Some(20));
    assert_eq!(list.reopened_at(&Name::from("hall-2")), None);
}

fn listed(started_ms: Millis) -> ListedServer {
    ListedServer {
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

fn starts(list: &ServerList) -> Vec<Millis> {
    list.servers().map(|server| server.started_ms).collect()
}

#[test]
fn an_earlier_start_that_is_told_late_replaces_and_removes_nothing() {
    let mut list = ServerList::default();
    assert!(list.apply(0, put(1, listed(2_000))));
    assert!(!list.apply(1, put(2, ListedServer { draining: true, ..listed(1_000) })));
    let gone = |started_ms| ServerChanges {
        at: 3,
        gone: vec![Gone { name: Name::from("s1"), started_ms }],
        ..ServerChanges::default()
    };
    assert!(!list.apply(2, gone(1_000)));
    assert_eq!(starts(&list), [2_000]);
    let by_peer = SharedServer { server: listed(1_000), dropped_in: None, cold_in: 0 };
    list.adopt(3, ListVersion { at: 9, drops: 0 }, vec![by_peer]);
    assert_eq!(starts(&list), [2_000]);
    assert!(list.apply(4, gone(2_000)));
    assert_eq!(starts(&list), [] as [Millis; 0]);
}

#[test]
fn how_long_a_server_is_cold_counts_from_when_it_said_so() {
    let mut list = ServerList::default();
    let cold = ListedServer { cold_for_ms: 3_000, ..listed(1) };
    let until = |list: &ServerList| list.servers_with_cold().map(|(_, until)| until).next();
    list.apply(100, put(1, cold.clone()));
    assert_eq!(until(&list), Some(3_100));
    // The same entry once more, as in a list that is read anew, says nothing new.
    list.apply(2_000, put(2, cold));
    assert_eq!(until(&list), Some(3_100));
    let mut told = ServerList::default();
    told.adopt(50, list.version(), list.shared(1_100));
    assert_eq!(until(&told), Some(2_050));
    list.apply(5_000, put(3, ListedServer { cold_for_ms: 0, ..listed(1) }));
    assert!(until(&list) <= Some(5_000), "it is warm");
}

/// Load pattern: thousands of servers start, and each entry counts down how long its server
/// is cold. Each version of the list goes whole to every daemon.
#[test]
fn a_cold_server_that_turns_warm_as_it_said_makes_no_version() {
    let mut list = ServerList::default();
    let cold = |cold_for_ms| ListedServer { cold_for_ms, ..listed(1) };
    assert!(list.apply(0, put(1, cold(3_000))));
    assert!(!list.apply(1_300, put(2, cold(1_800))), "it counts down");
    assert!(!list.apply(3_700, put(3, cold(0))), "it is warm, which was known");
    assert_eq!(list.version().at, 1);
    assert!(list.apply(9_000, put(4, cold(3_000))), "it has turned cold again");
    assert!(list.apply(9_500, put(5, cold(0))), "it is warm earlier than it said");
    assert_eq!(list.servers_with_cold().map(|(_, until)| until).next(), Some(9_500));
    assert!(list.apply(9_600, put(6, ListedServer { draining: true, ..cold(0) })));
}

fn with_start(started_ms: Millis) -> Table {
    let mut table = table();
    table.servers[0].listed.started_ms = started_ms;
    table
}

fn load_of_first(router: &Router) -> f64 {
    router.servers()[0].load()
}

#[test]
fn another_start_under_the_same_name_inherits_nothing() {
    let first = Name::from("s0");
    let mut router = Router::default();
    router.adopt(&with_start(1_000));
    router.record_sent(&first, 1_000, 5_000);
    router.record_sent(&first, 1_000, 5_000);
    router.record_leaving_refusal(0, &first, 1_000);
    router.record_load_report(
        0,
        &first,
        LoadReport { running: 7, waiting: 2, leaving: true, started_ms: 0 },
    );
    assert!(router.servers()[0].is_leaving(1));
    router.adopt(&with_start(2_000));
    // The answer to a request of before comes late.
    router.record_leaving_refusal(0, &first, 1_000);
    assert!(!router.servers()[0].is_leaving(1));
    assert_eq!(load_of_first(&router), 0.0);
    assert_eq!(router.unread_by_server(), []);
    // What was under way at the earlier start ends without a trace, and so do three
    // failures there, which would eject a server.
    router.record_sent(&first, 2_000, 0);
    for _ in 0..3 {
        router.record_ended(1, &first, 1_000, false);
    }
    router.record_prompt_read(&first, 1_000, 5_000);
    assert_eq!(load_of_first(&router), 1.0);
    let only: Vec<Name> = (1..12).map(|n| Name::from(format!("s{n}").as_str())).collect();
    let choice = router.choose(1, &request(1, Homes::default(), &only)).expect("it is usable");
    assert_eq!((choice.server, choice.started_ms), (first, 2_000));
}

#[test]
fn what_peers_tell_of_an_earlier_start_does_not_count() {
    let mut router = Router::default();
    router.adopt(&with_start(2_000));
    let news = |number, started_ms| UnreadReport {
        from: Incarnation(1),
        number,
        unread: vec![UnreadTokens { server: Name::from("s0"), started_ms, tokens: 90_000 }],
    };
    router.merge_unread_report(0, &news(1, 1_000));
    let all: Vec<Name> = (1..12).map(|n| Name::from(format!("s{n}").as_str())).collect();
    assert!(router.choose(0, &request(1, Homes::default(), &all)).is_ok());
    router.merge_unread_report(0, &news(2, 2_000));
    assert!(hall_of(&Name::from("s0")) == 0);
}
