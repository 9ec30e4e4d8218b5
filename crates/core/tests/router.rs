//! Routing decisions: weights, drains, ejection, bounds, retries.

use std::collections::HashMap;

use bankcove_core::router::{
    Homes, LoadReport, NoServer, Router, RoutingRequest, StreamPace, UnreadReport, UnreadTokens,
};
use bankcove_core::table::Table;
use bankcove_core::{Incarnation, Name};
use serde_json::json;

fn table(servers: usize, weights: &[f64]) -> Table {
    let halls = weights.iter().enumerate();
    let halls: Vec<_> =
        halls.map(|(n, w)| json!({"name": format!("hall-{n}"), "weight": w})).collect();
    let server = |n: usize| {
        json!({
            "name": format!("s{n}"), "hall": format!("hall-{}", n % weights.len()),
            "address": format!("10.0.0.{n}:1"), "kind": "model", "models": ["m"],
        })
    };
    let servers: Vec<_> = (0..servers).map(server).collect();
    serde_json::from_value(json!({"halls": halls, "servers": servers})).expect("a table")
}

fn router(servers: usize, weights: &[f64]) -> Router {
    let mut router = Router::default();
    router.adopt(&table(servers, weights));
    router
}

fn request(prefix: u64, tried: &[Name]) -> RoutingRequest<'_> {
    let prefix = prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    RoutingRequest {
        pool: "m",
        prefix,
        prompt_tokens: 0,
        hour: 0,
        seed: prefix.rotate_left(17),
        tried,
        homes: Homes::default(),
    }
}

fn choose(router: &Router, now: u64, prefix: u64, tried: &[Name]) -> Option<Name> {
    router.choose(now, &request(prefix, tried)).ok().map(|choice| choice.server)
}

fn counts(router: &Router, now: u64) -> HashMap<String, u32> {
    let mut counts = HashMap::new();
    for prefix in 0..4_000 {
        if let Some(server) = choose(router, now, prefix, &[]) {
            *counts.entry(server.to_string()).or_default() += 1;
        }
    }
    counts
}

#[test]
fn equal_prefixes_go_to_the_same_server() {
    let router = router(12, &[1.0, 1.0]);
    for prefix in 0..100 {
        assert_eq!(choose(&router, 0, prefix, &[]), choose(&router, 0, prefix, &[]));
    }
}

#[test]
fn halls_share_work_by_their_weights() {
    let counts = counts(&router(2, &[3.0, 1.0]), 0);
    let share = f64::from(counts["s0"]) / f64::from(counts["s0"] + counts["s1"]);
    assert!((0.70..0.80).contains(&share), "{share}");
}

#[test]
fn a_hall_of_weight_zero_gets_nothing() {
    assert!(!counts(&router(4, &[1.0, 0.0]), 0).contains_key("s1"));
}

#[test]
fn a_server_that_leaves_gets_nothing_whoever_says_so() {
    let mut by_list = router(3, &[1.0]);
    by_list.set_listed_leaving(&[Name::from("s1")]);
    let mut by_word = router(3, &[1.0]);
    by_word.record_leaving_refusal(0, &Name::from("s1"), 0);
    let mut by_report = router(3, &[1.0]);
    let report = LoadReport { running: 0, waiting: 0, leaving: true, started_ms: 0 };
    by_report.record_load_report(0, &Name::from("s1"), report);
    let mut drained = table(3, &[1.0]);
    drained.servers[1].state = bankcove_core::table::ServerState::Draining;
    let mut by_row = router(3, &[1.0]);
    by_row.adopt(&drained);
    for router in [by_list, by_word, by_report, by_row] {
        let counts = counts(&router, 1);
        assert!(!counts.contains_key("s1") && counts.len() == 2, "{counts:?}");
    }
}

#[test]
fn failures_eject_a_server_and_it_returns_slowly() {
    let mut router = router(3, &[1.0]);
    let name = Name::from("s1");
    let before = counts(&router, 0)["s1"];
    for _ in 0..3 {
        router.record_sent(&name, 0, 0);
        router.record_ended(0, &name, 0, false);
    }
    assert!(!counts(&router, 500).contains_key("s1"));
    let returning = counts(&router, 2_000).get("s1").copied().unwrap_or(0);
    assert!(0 < returning && returning < before, "{returning} of {before}");
    assert_eq!(counts(&router, 60_000)["s1"], before);
}

#[test]
fn a_busy_server_passes_work_on() {
    let mut router = router(3, &[1.0]);
    let first = choose(&router, 0, 7, &[]).expect("a server");
    for _ in 0..20 {
        router.record_sent(&first, 0, 0);
    }
    assert_ne!(choose(&router, 0, 7, &[]), Some(first));
}

#[test]
fn a_late_report_is_corrected_by_what_was_sent_since() {
    let mut router = router(1, &[1.0]);
    let name = Name::from("s0");
    router.record_load_report(
        0,
        &name,
        LoadReport { running: 5, waiting: 1, leaving: false, started_ms: 0 },
    );
    router.record_sent(&name, 0, 0);
    router.record_sent(&name, 0, 0);
    assert!((router.servers()[0].load() - 8.0).abs() < 1e-9);
    router.record_ended(0, &name, 0, true);
    assert!((router.servers()[0].load() - 7.0).abs() < 1e-9);
}

#[test]
fn a_retry_goes_to_another_hall_first() {
    let router = router(8, &[1.0, 1.0]);
    for prefix in 0..50 {
        let first = choose(&router, 0, prefix, &[]).expect("a server");
        let second = choose(&router, 0, prefix, std::slice::from_ref(&first)).expect("another");
        let hall = |name: &Name| name.as_str()[1..].parse::<u32>().expect("a number") % 2;
        assert_ne!(hall(&first), hall(&second));
    }
}

#[test]
fn full_servers_and_unknown_models_are_told_apart() {
    let mut full = table(1, &[1.0]);
    full.servers[0].limit = 1;
    let mut router = Router::default();
    router.adopt(&full);
    router.record_sent(&Name::from("s0"), 0, 0);
    assert_eq!(router.choose(0, &request(1, &[])), Err(NoServer::NoneUsable));
    let unknown = RoutingRequest { pool: "other", ..request(1, &[]) };
    assert_eq!(router.choose(0, &unknown), Err(NoServer::NoneInTable));
}

#[test]
fn a_new_table_keeps_what_is_known_of_servers_that_stay() {
    let mut router = router(2, &[1.0]);
    router.record_sent(&Name::from("s0"), 0, 0);
    router.adopt(&table(3, &[1.0]));
    assert!((router.servers()[0].load() - 1.0).abs() < 1e-9);
    router.record_ended(0, &Name::from("s0"), 0, true);
    assert!(router.servers()[0].load().abs() < 1e-9);
}

/// Prompts of the tests that follow, in tokens: the mean lies between them.
const SHORT: u64 = 500;
const LONG: u64 = 9_000;

/// Tokens that no server's part comes to in these tests.
const MUCH: u64 = 100_000;

/// Longest pause that the callers of [`listed`] accept, in milliseconds.
const PAUSE_GOAL_MS: u64 = 300;

/// A router of one pool whose route names a goal for pauses.
fn listed(servers: usize) -> Router {
    let mut table = table(servers, &[1.0]);
    let route = json!({
        "name": "r", "to": "host", "host": "h", "path_prefix": "/", "streams": true,
        "split": [{"service": "m"}], "pause_goal_ms": PAUSE_GOAL_MS,
    });
    table.routes.push(serde_json::from_value(route).expect("a route"));
    let mut router = Router::default();
    router.adopt(&table);
    router
}

fn server(n: usize) -> Name {
    Name::from(format!("s{n}"))
}

/// Streams of every server, of which these are slower by 1.3; a prompt that is read
/// beside a stream makes it pause for 13 times between two events.
fn show_paces(router: &mut Router, servers: usize, slow: &[usize]) {
    for n in 0..servers {
        let event_ms = if slow.contains(&n) { 26.0 } else { 20.0 };
        let pace = StreamPace { event_ms, longest_pause_ms: event_ms * 13.0 };
        for _ in 0..40 {
            router.record_stream_pace(&server(n), 0, pace);
            for prompt in [SHORT, SHORT, LONG] {
                router.record_sent(&server(n), 0, prompt);
                router.record_prompt_read(&server(n), 0, prompt);
                router.record_ended(0, &server(n), 0, true);
            }
        }
    }
}

fn counts_of(router: &Router, prompt_tokens: u64) -> HashMap<String, u32> {
    let mut counts = HashMap::new();
    for prefix in 0..4_000 {
        let request = RoutingRequest { prompt_tokens, ..request(prefix, &[]) };
        let choice = router.choose(0, &request).expect("a server");
        *counts.entry(choice.server.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn long_prompts_pass_by_the_servers_whose_streams_would_pause_too_long() {
    let mut router = listed(4);
    show_paces(&mut router, 4, &[1]);
    assert!(!counts_of(&router, LONG).contains_key("s1"));
    assert!(counts_of(&router, SHORT).contains_key("s1"));
}

#[test]
fn long_prompts_go_anywhere_when_all_servers_are_alike_or_pauses_are_short() {
    let mut alike = listed(4);
    show_paces(&mut alike, 4, &[0, 1, 2, 3]);
    assert_eq!(counts_of(&alike, LONG).len(), 4);
    let mut without_goal = router(4, &[1.0]);
    show_paces(&mut without_goal, 4, &[1]);
    assert_eq!(counts_of(&without_goal, LONG).len(), 4);
}

#[test]
fn long_prompts_go_to_a_slower_server_when_the_others_have_much_to_read() {
    let mut router = listed(4);
    show_paces(&mut router, 4, &[1, 2]);
    assert!(!counts_of(&router, LONG).contains_key("s1"));
    for n in [0, 3] {
        for _ in 0..20 {
            router.record_sent(&server(n), 0, LONG);
        }
    }
    assert!(counts_of(&router, LONG).contains_key("s1"));
}

#[test]
fn a_slower_server_takes_long_prompts_when_the_others_are_gone() {
    let mut router = listed(4);
    show_paces(&mut router, 4, &[1]);
    for n in [0, 2, 3] {
        router.record_leaving_refusal(0, &server(n), 0);
    }
    assert_eq!(counts_of(&router, LONG)["s1"], 4_000);
}

#[test]
fn a_server_with_much_to_read_passes_prompts_on_until_it_has_read() {
    let mut router = listed(3);
    show_paces(&mut router, 3, &[]);
    let first = choose(&router, 0, 7, &[]).expect("a server");
    // One request only: its prompt alone is more than the server's part.
    router.record_sent(&first, 0, MUCH);
    assert_ne!(choose(&router, 0, 7, &[]), Some(first.clone()));
    router.record_prompt_read(&first, 0, MUCH);
    assert_eq!(choose(&router, 0, 7, &[]), Some(first));
}

#[test]
fn a_daemon_that_has_just_started_learns_the_servers_paces_from_peers() {
    let mut old = listed(4);
    show_paces(&mut old, 4, &[1]);
    let mut young = listed(4);
    young.merge_paces(&old.paces(16, 3));
    // It has seen one stream of its own, and a few prompts.
    young.record_stream_pace(&server(0), 0, StreamPace { event_ms: 20.0, longest_pause_ms: 800.0 });
    young.record_sent(&server(0), 0, SHORT);
    young.record_ended(0, &server(0), 0, true);
    assert!(!counts_of(&young, LONG).contains_key("s1"));
}

#[test]
fn no_more_paces_are_told_at_once_than_asked_for_and_all_in_turn() {
    let mut router = listed(5);
    assert!(router.paces(2, 0).is_empty());
    show_paces(&mut router, 5, &[]);
    let told: std::collections::HashSet<String> =
        (0..5).flat_map(|turn| router.paces(2, turn)).map(|pace| pace.server.to_string()).collect();
    assert_eq!((router.paces(2, 1).len(), told.len()), (2, 5));
}

fn news(from: u64, number: u64, server: &Name, tokens: u64) -> UnreadReport {
    let unread = vec![UnreadTokens { server: server.clone(), started_ms: 0, tokens }];
    UnreadReport { from: Incarnation(from), number, unread }
}

#[test]
fn what_peers_have_sent_to_a_server_passes_prompts_on() {
    let mut router = listed(3);
    show_paces(&mut router, 3, &[]);
    let first = choose(&router, 0, 7, &[]).expect("a server");
    router.merge_unread_report(0, &news(1, 1, &first, MUCH));
    assert_ne!(choose(&router, 0, 7, &[]), Some(first.clone()));
    // It has been read: the peer's next news name the server no more.
    router.merge_unread_report(10, &UnreadReport { unread: Vec::new(), ..news(1, 2, &first, 0) });
    assert_eq!(choose(&router, 10, 7, &[]), Some(first));
}

#[test]
fn news_that_come_late_are_passed_over_and_old_ones_forgotten() {
    let mut router = listed(3);
    show_paces(&mut router, 3, &[]);
    let first = choose(&router, 0, 7, &[]).expect("a server");
    router.merge_unread_report(0, &UnreadReport { unread: Vec::new(), ..news(1, 2, &first, 0) });
    router.merge_unread_report(1, &news(1, 1, &first, MUCH));
    assert_eq!(choose(&router, 1, 7, &[]), Some(first.clone()));
    // Its sender has been killed and tells nothing more.
    router.merge_unread_report(2, &news(9, 1, &first, MUCH));
    assert_ne!(choose(&router, 2, 7, &[]), Some(first.clone()));
    router.expire_unread_reports(5_000);
    assert_eq!(choose(&router, 5_000, 7, &[]), Some(first));
}

#[test]
fn news_of_several_peers_add_up_and_hold_through_a_new_table() {
    let mut router = listed(3);
    show_paces(&mut router, 3, &[]);
    let first = choose(&router, 0, 7, &[]).expect("a server");
    for peer in 0..10 {
        router.merge_unread_report(0, &news(peer, 1, &first, MUCH / 10));
    }
    router.adopt(&table(3, &[1.0]));
    assert_ne!(choose(&router, 0, 7, &[]), Some(first.clone()));
    for peer in 0..10 {
        router.merge_unread_report(
            1,
            &UnreadReport { unread: Vec::new(), ..news(peer, 2, &first, 0) },
        );
    }
    assert_eq!(choose(&router, 1, 7, &[]), Some(first));
}

#[test]
fn a_prompt_that_is_passed_on_names_the_server_that_has_read_its_prefix() {
    let mut router = listed(3);
    show_paces(&mut router, 3, &[]);
    let first = router.choose(0, &request(7, &[])).expect("a server");
    assert_eq!(first.copy_from, None);
    router.merge_unread_report(0, &news(1, 1, &first.server, MUCH));
    let other = router.choose(0, &request(7, &[])).expect("a server");
    assert_eq!(other.copy_from, Some(first.address));
    // Who leaves may be gone before its memory is copied.
    router.record_leaving_refusal(0, &first.server, 0);
    let other = router.choose(0, &request(7, &[])).expect("a server");
    assert_eq!(other.copy_from, None);
}

/// Load pattern: the link of this host is full, so that calls of every server fail, one
/// server after the other.
#[test]
fn a_host_in_trouble_of_its_own_keeps_servers_to_call() {
    let mut router = router(4, &[1.0, 1.0]);
    for n in 0..4 {
        let name = Name::from(format!("s{n}").as_str());
        for _ in 0..30 {
            router.record_sent(&name, 0, 0);
            router.record_ended(0, &name, 0, false);
        }
    }
    let left = counts(&router, 1);
    assert!(left.len() >= 2, "half of the servers stay: {left:?}");
}

#[test]
fn the_only_server_is_never_ejected() {
    let mut router = router(1, &[1.0]);
    let name = Name::from("s0");
    for _ in 0..10 {
        router.record_sent(&name, 0, 0);
        router.record_ended(0, &name, 0, false);
    }
    assert!(choose(&router, 1, 7, &[]).is_some());
}

#[test]
fn requests_of_different_ranks_go_to_different_servers_the_same_from_everywhere() {
    let (here, there) = (router(12, &[1.0, 1.0]), router(12, &[1.0, 1.0]));
    for prefix in 0..50 {
        let chosen: Vec<Name> = (0..8)
            .map(|rank| here.choose_ranked(0, &request(prefix, &[]), rank).expect("one is usable"))
            .map(|choice| choice.server)
            .collect();
        let distinct: std::collections::HashSet<&Name> = chosen.iter().collect();
        assert_eq!(distinct.len(), chosen.len(), "{chosen:?}");
        for (rank, server) in chosen.iter().enumerate() {
            let choice = there.choose_ranked(0, &request(prefix, &[]), rank);
            assert_eq!(choice.map(|choice| choice.server).as_ref(), Ok(server));
        }
    }
    // Where there are fewer servers than ranks, any of them.
    assert!(router(2, &[1.0]).choose_ranked(0, &request(1, &[]), 7).is_ok());
}
