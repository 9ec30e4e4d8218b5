//! Servers that have rejected a request as full: how long they count as such, and what that changes.

use bankcove_core::Name;
use bankcove_core::crashes::ServerInstance;
use bankcove_core::places::{FreedPlace, PlaceQueue, PlaceRank, PlaceRequest};
use bankcove_core::rollout::Versions;
use bankcove_core::router::{
    AnswerTimes, Availability, FullPool, Homes, NoServer, Router, RoutingRequest,
};
use bankcove_core::table::Table;
use serde_json::json;

fn router(servers: usize) -> Router {
    let row = |n: usize| {
        json!({"name": format!("s{n}"), "hall": "hall-1", "address": format!("10.0.0.{n}:1"),
               "kind": "model", "models": ["m"]})
    };
    let rows: Vec<_> = (0..servers).map(row).collect();
    let table: Table =
        serde_json::from_value(json!({"halls": [{"name": "hall-1"}], "servers": rows}))
            .expect("a table");
    let mut router = Router::default();
    router.adopt(&table);
    router
}

fn instance(n: usize) -> ServerInstance {
    ServerInstance { name: Name::from(format!("s{n}").as_str()), started_ms: 0 }
}

fn choose(router: &mut Router, now: u64, freed: Option<usize>) -> Result<String, NoServer> {
    let request = RoutingRequest {
        pool: "m",
        prefix: 7,
        prompt_tokens: 0,
        shared_tokens: 0,
        hour: 0,
        seed: 7,
        tried: &[],
        homes: Homes::default(),
        versions: Versions::Any,
    };
    let freed = freed.map(instance);
    let chosen = router.choose_with_freed(now, &request, 0, freed.as_ref());
    chosen.map(|choice| choice.server.to_string())
}

fn answer(router: &mut Router, n: usize, answer_ms: u64) {
    let times = AnswerTimes { first_ms: answer_ms / 2, answer_ms };
    router.record_answer_times(&instance(n).name, 0, times);
}

/// Guards against marks that outlast the time in which the server finishes a request.
#[test]
fn a_server_counts_as_full_for_the_mean_time_of_its_answers() {
    let mut router = router(1);
    answer(&mut router, 0, 40);
    assert_eq!(router.record_full(100, "m", &instance(0)), 40);
    let full = Err(NoServer::OnlyFull(FullPool { first_ms: 1 }));
    assert_eq!(choose(&mut router, 139, None), full);
    assert_eq!(choose(&mut router, 140, None), Ok("s0".to_owned()));
}

#[test]
fn a_server_without_answers_counts_as_full_for_the_mean_time_of_its_pool() {
    let mut router = router(3);
    answer(&mut router, 0, 20);
    answer(&mut router, 1, 40);
    assert_eq!(router.record_full(0, "m", &instance(2)), 30);
}

#[test]
fn other_servers_are_used_while_one_is_full() {
    let mut router = router(2);
    router.record_full(0, "m", &instance(0));
    assert_eq!(choose(&mut router, 1, None), Ok("s1".to_owned()));
    let statuses = router.statuses(1);
    assert_eq!((statuses[0].state, statuses[1].state), (Availability::Full, Availability::Ready));
}

/// Guards against a freed place that is open to requests that were not called for it.
#[test]
fn a_freed_server_is_usable_for_one_choice_alone() {
    let mut router = router(2);
    (0..2).for_each(|n| _ = router.record_full(0, "m", &instance(n)));
    assert_eq!(choose(&mut router, 1, Some(1)), Ok("s1".to_owned()));
    assert!(matches!(choose(&mut router, 1, None), Err(NoServer::OnlyFull(_))));
}

/// Guards against a new instance that is skipped because the one before it was full.
#[test]
fn a_rejection_by_another_instance_changes_nothing() {
    let mut router = router(1);
    let other = ServerInstance { started_ms: 5, ..instance(0) };
    assert_eq!(router.record_full(0, "m", &other), 0);
    assert_eq!(choose(&mut router, 1, None), Ok("s0".to_owned()));
}

/// Guards against requests that wait for a server that takes nothing more.
#[test]
fn a_full_server_that_leaves_is_not_waited_for() {
    let mut router = router(1);
    router.record_full(0, "m", &instance(0));
    router.record_leaving(1, &instance(0));
    assert_eq!(choose(&mut router, 2, None), Err(NoServer::NoneUsable));
    let room = router.room(2, "m");
    assert_eq!((room.usable, room.full), (0, 0));
}

/// Returns how many of 8 freed places are used after answers that began after these times.
fn places_used(first_ms: [u64; 2]) -> usize {
    let mut router = router(1);
    for first_ms in first_ms.iter().chain([first_ms[1]; 40].iter()) {
        let times = AnswerTimes { first_ms: *first_ms, answer_ms: first_ms * 10 };
        router.record_answer_times(&instance(0).name, 0, times);
    }
    router.record_full(0, "m", &instance(0));
    (0..8).for_each(|_| router.record_sent(&instance(0).name, 0, 0));
    let room = router.room(0, "m");
    let rank = PlaceRank { workspace: 0, route: 0 };
    let (goal_ms, deadline) = (60_000, 60_000);
    let request =
        PlaceRequest { rank, workspace: None, since: 0, goal_ms, deadline, version: None };
    let mut queue = PlaceQueue::new(0, Name::from("m"), 64);
    for _ in 0..8 {
        queue.join(0, request.clone(), &room, 0).expect("the goal is far");
    }
    let freed = FreedPlace { server: instance(0), version: None };
    (0..8).for_each(|_| queue.record_freed(1, freed.clone(), &room));
    queue.tickets_to_wake().count()
}

/// Guards against places that stay empty at servers without a queue of their own, whose requests
/// take long for another reason.
#[test]
fn places_are_left_empty_only_while_requests_wait_at_the_servers() {
    assert_eq!(places_used([50, 55]), 8);
    assert_eq!(places_used([50, 200]), 6);
}
