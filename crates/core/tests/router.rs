//! Routing decisions: weights, leaving servers, ejection, load bounds, pauses, retries.

use std::collections::HashMap;

use bankcove_core::rollout::Versions;
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
        shared_tokens: 0,
        hour: 0,
        seed: prefix.rotate_left(17),
        tried,
        homes: Homes::default(),
        versions: Versions::Any,
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
fn halls_share_requests_by_weight() {
    let counts = counts(&router(2, &[3.0, 1.0]), 0);
    let share = f64::from(counts["s0"]) / f64::from(counts["s0"] + counts["s1"]);
    assert!((0.70..0.80).contains(&share), "{share}");
}

#[test]
fn a_hall_of_weight_zero_gets_no_requests() {
    assert!(!counts(&router(4, &[1.0, 0.0]), 0).contains_key("s1"));
}

#[test]
fn a_leaving_server_gets_no_requests_whatever_the_source() {
    let mut by_list = router(3, &[1.0]);
    by_list.set_listed_leaving(&[Name::from("s1")]);
    let mut by_refusal = router(3, &[1.0]);
    by_refusal.record_leaving_refusal(0, &Name::from("s1"), 0);
    let mut by_report = router(3, &[1.0]);
    let report = LoadReport { running: 0, waiting: 0, leaving: true, started_ms: 0 };
    by_report.record_load_report(0, &Name::from("s1"), report);
    let mut drained = table(3, &[1.0]);
    drained.servers[1].state = bankcove_core::table::ServerState::Draining;
    let mut by_row = router(3, &[1.0]);
    by_row.adopt(&drained);
    for router in [by_list, by_refusal, by_report, by_row] {
        let counts = counts(&router, 1);
        assert!(!counts.contains_key("s1") && counts.len() == 2, "{counts:?}");
    }
}

#[test]
fn failures_in_a_row_eject_a_server_and_slow_start_follows() {
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
fn a_server_above_its_load_bound_is_skipped() {
    let mut router = router(3, &[1.0]);
    let first = choose(&router, 0, 7, &[]).expect("a server is usable");
    for _ in 0..20 {
        router.record_sent(&first, 0, 0);
    }
    assert_ne!(choose(&router, 0, 7, &[]), Some(first));
}

#[test]
fn a_load_report_is_corrected_by_the_requests_since() {
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
        let first = choose(&router, 0, prefix, &[]).expect("a server is usable");
        let second = choose(&router, 0, prefix, std::slice::from_ref(&first)).expect("another");
        let hall = |name: &Name| name.as_str()[1..].parse::<u32>().expect("a number") % 2;
        assert_ne!(hall(&first), hall(&second));
    }
}

#[test]
fn full_servers_and_unknown_models_give_different_errors() {
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
fn a_new_table_keeps_the_state_of_servers_in_both_tables() {
    let mut router = router(2, &[1.0]);
    router.record_sent(&Name::from("s0"), 0, 0);
    router.adopt(&table(3, &[1.0]));
    assert!((router.servers()[0].load() - 1.0).abs() < 1e-9);
    router.record_ended(0, &Name::from("s0"), 0, true);
    assert!(router.servers()[0].load().abs() < 1e-9);
}

/// Prompt lengths in tokens; the mean prompt length of the tests below is between them.
const SHORT_PROMPT: u64 = 500;
const LONG_PROMPT: u64 = 9_000;

/// Unread tokens above the load bound of every server in these tests.
const MANY_TOKENS: u64 = 100_000;

/// Pause goal of the route in [`router_with_pause_goal`].
const PAUSE_GOAL_MS: u64 = 300;

/// Returns a router of one pool whose route has a pause goal.
fn router_with_pause_goal(servers: usize) -> Router {
    let mut table = table(servers, &[1.0]);
    let route = json!({
        "name": "r", "to": "host", "host": "h", "path_prefix": "/", "streams": true,
        "split": [{"service": "m"}], "pause_goal_ms": PAUSE_GOAL_MS,
    });
    table.routes.push(serde_json::from_value(route).expect("a route"));
    for server in &mut table.servers {
        server.listed.version = Some(Name::from("v1"));
    }
    let mut router = Router::default();
    router.adopt(&table);
    router
}

fn server(n: usize) -> Name {
    Name::from(format!("s{n}"))
}

/// Records streams and prompts of every server. The `slow` servers are slower by a factor of
/// 1.3, and a prompt read during a stream pauses it for 13 event intervals.
fn record_paces(router: &mut Router, servers: usize, slow: &[usize]) {
    for n in 0..servers {
        let event_ms = if slow.contains(&n) { 26.0 } else { 20.0 };
        let pace = StreamPace { event_ms, longest_pause_ms: event_ms * 13.0 };
        for _ in 0..40 {
            router.record_stream_pace(&server(n), 0, pace);
            for prompt in [SHORT_PROMPT, SHORT_PROMPT, LONG_PROMPT] {
                router.record_sent(&server(n), 0, prompt);
                router.record_prompt_read(&server(n), 0, prompt);
                router.record_ended(0, &server(n), 0, true);
            }
        }
    }
}

fn counts_by_prompt(router: &Router, prompt_tokens: u64) -> HashMap<String, u32> {
    let mut counts = HashMap::new();
    for prefix in 0..4_000 {
        let request = RoutingRequest { prompt_tokens, ..request(prefix, &[]) };
        let choice = router.choose(0, &request).expect("a server is usable");
        *counts.entry(choice.server.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn long_prompts_skip_servers_whose_streams_would_pause_too_long() {
    let mut router = router_with_pause_goal(4);
    record_paces(&mut router, 4, &[1]);
    assert!(!counts_by_prompt(&router, LONG_PROMPT).contains_key("s1"));
    assert!(counts_by_prompt(&router, SHORT_PROMPT).contains_key("s1"));
}

#[test]
fn long_prompts_go_to_all_servers_of_equal_speed_or_without_a_pause_goal() {
    let mut equal_speed = router_with_pause_goal(4);
    record_paces(&mut equal_speed, 4, &[0, 1, 2, 3]);
    assert_eq!(counts_by_prompt(&equal_speed, LONG_PROMPT).len(), 4);
    let mut without_goal = router(4, &[1.0]);
    record_paces(&mut without_goal, 4, &[1]);
    assert_eq!(counts_by_prompt(&without_goal, LONG_PROMPT).len(), 4);
}

#[test]
fn long_prompts_go_to_a_slower_server_when_the_others_have_many_unread_tokens() {
    let mut router = router_with_pause_goal(4);
    record_paces(&mut router, 4, &[1, 2]);
    assert!(!counts_by_prompt(&router, LONG_PROMPT).contains_key("s1"));
    for n in [0, 3] {
        for _ in 0..20 {
            router.record_sent(&server(n), 0, LONG_PROMPT);
        }
    }
    assert!(counts_by_prompt(&router, LONG_PROMPT).contains_key("s1"));
}

#[test]
fn a_slower_server_gets_long_prompts_when_the_others_are_leaving() {
    let mut router = router_with_pause_goal(4);
    record_paces(&mut router, 4, &[1]);
    for n in [0, 2, 3] {
        router.record_leaving_refusal(0, &server(n), 0);
    }
    assert_eq!(counts_by_prompt(&router, LONG_PROMPT)["s1"], 4_000);
}

#[test]
fn a_server_with_many_unread_tokens_is_skipped_until_it_has_read_them() {
    let mut router = router_with_pause_goal(3);
    record_paces(&mut router, 3, &[]);
    let first = choose(&router, 0, 7, &[]).expect("a server is usable");
    // A single request, whose prompt alone exceeds the server's load bound.
    router.record_sent(&first, 0, MANY_TOKENS);
    assert_ne!(choose(&router, 0, 7, &[]), Some(first.clone()));
    router.record_prompt_read(&first, 0, MANY_TOKENS);
    assert_eq!(choose(&router, 0, 7, &[]), Some(first));
}

#[test]
fn a_new_daemon_gets_server_paces_from_peers() {
    let mut peer = router_with_pause_goal(4);
    record_paces(&mut peer, 4, &[1]);
    let mut new_daemon = router_with_pause_goal(4);
    new_daemon.merge_paces(&peer.paces(16, 3));
    // The new daemon has recorded only one stream and few prompts of its own.
    new_daemon.record_stream_pace(
        &server(0),
        0,
        StreamPace { event_ms: 20.0, longest_pause_ms: 800.0 },
    );
    new_daemon.record_sent(&server(0), 0, SHORT_PROMPT);
    new_daemon.record_ended(0, &server(0), 0, true);
    assert!(!counts_by_prompt(&new_daemon, LONG_PROMPT).contains_key("s1"));
}

#[test]
fn paces_are_limited_in_number_and_cover_all_servers_in_turn() {
    let mut router = router_with_pause_goal(5);
    assert!(router.paces(2, 0).is_empty());
    record_paces(&mut router, 5, &[]);
    let covered: std::collections::HashSet<String> = (0..5)
        .flat_map(|offset| router.paces(2, offset))
        .map(|pace| pace.server.to_string())
        .collect();
    assert_eq!((router.paces(2, 1).len(), covered.len()), (2, 5));
}

fn unread_report(from: u64, number: u64, server: &Name, tokens: u64) -> UnreadReport {
    let unread = vec![UnreadTokens { server: server.clone(), started_ms: 0, tokens }];
    UnreadReport { from: Incarnation(from), number, unread }
}

#[test]
fn unread_tokens_reported_by_peers_count_as_load() {
    let mut router = router_with_pause_goal(3);
    record_paces(&mut router, 3, &[]);
    let first = choose(&router, 0, 7, &[]).expect("a server is usable");
    router.merge_unread_report(0, &unread_report(1, 1, &first, MANY_TOKENS));
    assert_ne!(choose(&router, 0, 7, &[]), Some(first.clone()));
    // The server has read them: the peer's next report has no entry for it.
    router.merge_unread_report(
        10,
        &UnreadReport { unread: Vec::new(), ..unread_report(1, 2, &first, 0) },
    );
    assert_eq!(choose(&router, 10, 7, &[]), Some(first));
}

#[test]
fn late_unread_reports_are_ignored_and_old_ones_expire() {
    let mut router = router_with_pause_goal(3);
    record_paces(&mut router, 3, &[]);
    let first = choose(&router, 0, 7, &[]).expect("a server is usable");
    router.merge_unread_report(
        0,
        &UnreadReport { unread: Vec::new(), ..unread_report(1, 2, &first, 0) },
    );
    router.merge_unread_report(1, &unread_report(1, 1, &first, MANY_TOKENS));
    assert_eq!(choose(&router, 1, 7, &[]), Some(first.clone()));
    // The reporting daemon has been killed and sends no further report.
    router.merge_unread_report(2, &unread_report(9, 1, &first, MANY_TOKENS));
    assert_ne!(choose(&router, 2, 7, &[]), Some(first.clone()));
    router.remove_expired_unread_reports(5_000);
    assert_eq!(choose(&router, 5_000, 7, &[]), Some(first));
}

#[test]
fn unread_reports_of_several_peers_add_up_and_survive_a_new_table() {
    let mut router = router_with_pause_goal(3);
    record_paces(&mut router, 3, &[]);
    let first = choose(&router, 0, 7, &[]).expect("a server is usable");
    for peer in 0..10 {
        router.merge_unread_report(0, &unread_report(peer, 1, &first, MANY_TOKENS / 10));
    }
    router.adopt(&table(3, &[1.0]));
    assert_ne!(choose(&router, 0, 7, &[]), Some(first.clone()));
    for peer in 0..10 {
        router.merge_unread_report(
            1,
            &UnreadReport { unread: Vec::new(), ..unread_report(peer, 2, &first, 0) },
        );
    }
    assert_eq!(choose(&router, 1, 7, &[]), Some(first));
}

#[test]
fn a_choice_other_than_the_first_names_the_server_that_has_read_the_prefix() {
    let mut router = router_with_pause_goal(3);
    record_paces(&mut router, 3, &[]);
    let first = router.choose(0, &request(7, &[])).expect("a server is usable");
    assert_eq!(first.copy_from, None);
    router.merge_unread_report(0, &unread_report(1, 1, &first.server, MANY_TOKENS));
    let other = router.choose(0, &request(7, &[])).expect("a server is usable");
    assert_eq!(other.copy_from, Some(first.address));
    // A leaving server may stop before its cache is copied.
    router.record_leaving_refusal(0, &first.server, 0);
    let other = router.choose(0, &request(7, &[])).expect("a server is usable");
    assert_eq!(other.copy_from, None);
}

/// Guards against ejecting all servers of a pool. Load pattern: the link of this host is full,
/// so calls to every server fail, one server after the other.
#[test]
fn failures_of_all_servers_eject_at_most_half_of_the_pool() {
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
fn requests_of_different_ranks_go_to_different_servers_the_same_on_every_daemon() {
    let (here, there) = (router(12, &[1.0, 1.0]), router(12, &[1.0, 1.0]));
    for prefix in 0..50 {
        let chosen: Vec<Name> = (0..8)
            .map(|rank| {
                here.choose_ranked(0, &request(prefix, &[]), rank).expect("a server is usable")
            })
            .map(|choice| choice.server)
            .collect();
        let distinct: std::collections::HashSet<&Name> = chosen.iter().collect();
        assert_eq!(distinct.len(), chosen.len(), "{chosen:?}");
        for (rank, server) in chosen.iter().enumerate() {
            let choice = there.choose_ranked(0, &request(prefix, &[]), rank);
            assert_eq!(choice.map(|choice| choice.server).as_ref(), Ok(server));
        }
    }
    // With fewer servers than ranks, any server may be chosen.
    assert!(router(2, &[1.0]).choose_ranked(0, &request(1, &[]), 7).is_ok());
}
