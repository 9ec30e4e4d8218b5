//! Servers that are slower for a while: their oldest unanswered request is late.

use bankcove_core::Millis;
use bankcove_core::router::{Router, RoutingRequest};

use crate::fleet::{Outcome, Replay, SERVERS, name, router};
use crate::{REPLAY, choices, choose, is_slow, record_paces, request, run};

/// Length of the prompts of these tests.
const PROMPT: u64 = 1_000;
/// Time in which servers of these tests usually read such a prompt.
const USUAL_MS: Millis = 40;
/// Time at which a request that was sent at 10,000 ms is late.
const LATE_MS: Millis = 10_600;

/// Returns a router that knows the usual time to the first event.
fn router_with_usual_times() -> Router {
    let mut router = router();
    for round in 0..2 {
        for server in (0..SERVERS).map(name) {
            let sent_at = round * 100;
            router.record_sent(&server, 0, PROMPT);
            router.record_wait(sent_at, &server, 0, PROMPT);
            answer(&mut router, &server, sent_at, sent_at + USUAL_MS);
        }
    }
    router
}

fn answer(router: &mut Router, server: &bankcove_core::Name, sent_at: Millis, now: Millis) {
    router.record_prompt_read(server, 0, PROMPT);
    router.record_wait_ended(now, server, 0, sent_at, true);
    router.record_ended(now, server, 0, true);
}

fn send(router: &mut Router, server: usize, now: Millis) {
    router.record_sent(&name(server), 0, PROMPT);
    router.record_wait(now, &name(server), 0, PROMPT);
}

fn prompt(number: u64, shared_tokens: u64) -> RoutingRequest<'static> {
    RoutingRequest { prompt_tokens: PROMPT, shared_tokens, ..request(number) }
}

/// Returns the requests whose prefixes map to `server`.
fn requests_of(router: &Router, server: usize) -> Vec<u64> {
    (0..6_000).filter(|number| choose(router, 10_000, &prompt(*number, 0)) == server).collect()
}

/// Guards against requests that queue at a server that has become slow, and against leaving it
/// after it has answered.
#[test]
fn a_late_server_is_passed_over_until_it_answers() {
    let mut router = router_with_usual_times();
    let numbers = requests_of(&router, 7);
    send(&mut router, 7, 10_000);
    let there = |router: &Router, now| {
        numbers.iter().filter(|number| choose(router, now, &prompt(**number, 100)) == 7).count()
    };
    assert_eq!(there(&router, 10_000 + USUAL_MS), numbers.len(), "not late yet");
    assert_eq!(there(&router, LATE_MS), 0);
    let choice = router.choose(LATE_MS, &prompt(numbers[0], 100)).expect("a server is usable");
    let passed = choice.passed.expect("a server was passed over");
    assert_eq!((passed.server, passed.oldest_wait_ms), (name(7), 600));
    answer(&mut router, &name(7), 10_000, LATE_MS);
    assert_eq!(there(&router, LATE_MS), numbers.len());
}

/// Guards against a server that counts as late for good after its caller has left.
#[test]
fn an_abandoned_request_is_not_waited_for() {
    let mut router = router_with_usual_times();
    let numbers = requests_of(&router, 7);
    send(&mut router, 7, 10_000);
    router.record_prompt_read(&name(7), 0, PROMPT);
    router.record_wait_ended(LATE_MS, &name(7), 0, 10_000, false);
    assert_eq!(choose(&router, LATE_MS, &prompt(numbers[0], 100)), 7);
}

/// Guards against the loss of cached prefixes: reading a long shared part elsewhere takes longer
/// than the wait.
#[test]
fn a_slower_server_keeps_prompts_whose_reading_elsewhere_takes_longer_than_the_wait() {
    let mut router = router_with_usual_times();
    record_paces(&mut router, |server| Some(if is_slow(server) { 48.0 } else { 20.0 }));
    let slow = 6;
    let numbers = requests_of(&router, slow);
    // Unread tokens of a short prompt.
    router.record_sent(&name(slow), 0, PROMPT / 2);
    let there = |shared| {
        let count = numbers.iter().filter(|n| choose(&router, 0, &prompt(**n, shared)) == slow);
        count.count()
    };
    assert_eq!(there(PROMPT - 100), numbers.len());
    assert_eq!(there(100), 0);
}

/// Guards against a change for equal servers: without a late request all prefixes stay.
#[test]
fn equal_servers_without_late_requests_are_chosen_by_prefix_alone() {
    let mut router = router_with_usual_times();
    let before = choices(&router);
    for server in 0..SERVERS {
        send(&mut router, server, 10_000);
    }
    let numbered = before.iter().zip(0_u64..);
    let moved = numbered
        .filter(|(server, number)| {
            choose(&router, 10_000 + USUAL_MS, &prompt(*number, 0)) != **server
        })
        .count();
    assert_eq!(moved, 0);
}

/// Guards against oscillation: requests that leave a late server must not all go to the same one,
/// and requests of other servers stay.
#[test]
fn requests_of_a_late_server_spread_over_many_and_move_no_others() {
    let mut router = router_with_usual_times();
    let before = choices(&router);
    send(&mut router, 7, 10_000);
    let mut by_server = vec![0; SERVERS];
    for (server, number) in before.iter().zip(0_u64..) {
        let now_at = choose(&router, LATE_MS, &prompt(number, 100));
        if *server == 7 {
            by_server[now_at] += 1;
        } else {
            assert_eq!(now_at, *server);
        }
    }
    let (most, all) = (by_server.iter().max().copied().unwrap_or(0), by_server.iter().sum::<u32>());
    assert!(most * 3 <= all, "{most} of {all} at one server");
}

/// Guards against a queue in a hall whose servers are all late while another hall has room.
#[test]
fn a_hall_with_room_is_used_while_all_servers_of_a_hall_are_late() {
    let mut router = router_with_usual_times();
    let hall = |server: usize| server / 3 % 3;
    for server in (0..SERVERS).filter(|server| hall(*server) == 1) {
        send(&mut router, server, 10_000);
    }
    let all_left = (0..1_000).all(|n| hall(choose(&router, LATE_MS, &prompt(n, 100))) != 1);
    assert!(all_left);
}

/// Goals of short and long prompts for the time to the first event.
const GOALS_MS: (u64, u64) = (400, 600);

/// Returns the fractions of short and of long prompts that were late, and the fraction of requests
/// that found their prefix cached, over some seeds of a replay.
fn late_and_hits(replay: Replay) -> (f64, f64, f64) {
    let outcomes: Vec<Outcome> = (1..=12).map(|seed| run(Replay { seed, ..replay })).collect();
    let late = |goal_ms: u64, of: fn(&Outcome) -> &Vec<u64>| {
        let times: Vec<u64> = outcomes.iter().flat_map(of).copied().collect();
        times.iter().filter(|ms| **ms > goal_ms).count() as f64 / times.len() as f64
    };
    let short = late(GOALS_MS.0, |outcome| &outcome.short_ms);
    let long = late(GOALS_MS.1, |outcome| &outcome.long_ms);
    let hits = outcomes.iter().map(Outcome::hit_fraction).sum::<f64>() / outcomes.len() as f64;
    (short, long, hits)
}

/// Replays the load with passing slowness; guards against waiting where another server would
/// answer sooner. Without that comparison 3.9 and 4.7 % were late, instead of 3.1 and 4.3 %.
#[test]
fn in_the_replay_fewer_prompts_wait_at_slow_servers() {
    let replay = Replay { hosts: 70, passing_slowness: (2.5, 600), ..REPLAY };
    let (short, long, hits) = late_and_hits(replay);
    assert!(short < 0.036 && long < 0.048, "late: short {short}, long {long}");
    assert!(hits > 0.66, "{hits}");
}

/// Guards against queues that make requests leave their prefixes, so that more prompts have to be
/// read and the queues grow. Taking the least expected time always, the hits were 0.38.
#[test]
fn in_the_replay_of_an_overload_most_prefixes_stay() {
    let replay = Replay { hosts: 70, demand: 1.6, passing_slowness: (2.5, 600), ..REPLAY };
    let (short, long, hits) = late_and_hits(replay);
    assert!(short < 0.24 && long < 0.24, "late: short {short}, long {long}");
    assert!(hits > 0.54, "{hits}");
}

/// Guards against a loss of prefix affinity with equal servers, where a request is late only
/// because others are read before it.
#[test]
fn in_the_replay_equal_servers_keep_their_prefixes() {
    let replay = Replay { hosts: 70, slow_factor: 1.0, ..REPLAY };
    let (short, long, hits) = late_and_hits(replay);
    assert!(short < 0.01 && long < 0.01, "late: short {short}, long {long}");
    assert!(hits > 0.785, "{hits}");
}
