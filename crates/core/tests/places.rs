//! Queue for places at a full pool: replays of its load without a network, and single failures.

use std::collections::HashMap;

use bankcove_core::crashes::ServerInstance;
use bankcove_core::places::{FreedPlace, PlaceQueue, PlaceRank, PlaceRequest, PlaceState, Ticket};
use bankcove_core::router::PoolRoom;
use bankcove_core::{Millis, Name};
use proptest::prelude::*;

const GOAL_MS: Millis = 800;
const WORK_MS: Millis = 30;

fn server() -> ServerInstance {
    ServerInstance { name: Name::from("s-1"), started_ms: 1 }
}

fn place() -> FreedPlace {
    FreedPlace { server: server(), version: None }
}

/// Returns the room at a pool of one full server with this many open requests of this daemon.
fn full_room(in_flight: u32) -> PoolRoom {
    PoolRoom {
        usable: 0,
        full: 1,
        first_full_ms: WORK_MS,
        usable_slots: 0,
        in_flight,
        answer_ms: WORK_MS as f64,
        first_answer_ms: WORK_MS as f64,
        least_first_ms: WORK_MS as f64,
    }
}

fn request(now: Millis, rank: (u32, u32), workspace: &str) -> PlaceRequest {
    PlaceRequest {
        rank: PlaceRank { workspace: rank.0, route: rank.1 },
        workspace: Some(Name::from(workspace)),
        since: now,
        goal_ms: GOAL_MS,
        deadline: now + 3_000,
        version: None,
    }
}

fn queue(capacity: usize) -> PlaceQueue {
    PlaceQueue::new(0, Name::from("plain"), capacity)
}

/// Frees one place and returns the request that gets it.
fn serve_next(queue: &mut PlaceQueue, now: Millis) -> Option<Ticket> {
    queue.record_freed(now, place(), &full_room(6));
    let called = queue.tickets_to_wake().next()?;
    assert_eq!(queue.state(called), Some(PlaceState::Called(Some(server()))));
    queue.take(called);
    Some(called)
}

fn join(queue: &mut PlaceQueue, request: PlaceRequest) -> Ticket {
    queue.join(request.since, request, &full_room(6), 0).expect("a place is expected in time")
}

/// What became of the requests of one kind.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Counts {
    served: u32,
    refused: u32,
    longest_wait_ms: Millis,
}

/// Requests of one kind in a replay, one each `every_ms`.
struct Flow {
    rank: (u32, u32),
    workspace: &'static str,
    every_ms: Millis,
}

/// One server that rejects what exceeds its places, and one daemon with a queue.
struct Replay {
    queue: PlaceQueue,
    places: usize,
    /// Times at which the running requests end.
    running: Vec<Millis>,
    waiting: HashMap<Ticket, (usize, Millis)>,
    counts: Vec<Counts>,
    most_waiting: usize,
}

impl Replay {
    fn new(places: usize, capacity: usize, flows: usize) -> Self {
        Replay {
            queue: queue(capacity),
            places,
            running: Vec::new(),
            waiting: HashMap::new(),
            counts: vec![Counts::default(); flows],
            most_waiting: 0,
        }
    }

    fn room(&self) -> PoolRoom {
        full_room(self.running.len() as u32)
    }

    fn run(mut self, flows: &[Flow], until: Millis) -> Vec<Counts> {
        for now in 0..until {
            self.end_requests(now);
            for (index, flow) in flows.iter().enumerate() {
                if now % flow.every_ms == 0 {
                    self.arrive(now, index, flow);
                }
            }
            self.start_called(now);
            self.give_up(now);
            self.most_waiting = self.most_waiting.max(self.queue.len());
        }
        assert!(self.most_waiting <= 64);
        self.counts
    }

    fn end_requests(&mut self, now: Millis) {
        let ended = self.running.iter().filter(|end| **end <= now).count();
        self.running.retain(|end| *end > now);
        for _ in 0..ended {
            let room = self.room();
            self.queue.record_freed(now, place(), &room);
            self.start_called(now);
        }
    }

    fn arrive(&mut self, now: Millis, index: usize, flow: &Flow) {
        if self.queue.is_empty() && self.running.len() < self.places {
            self.queue.record_sent(&server());
            self.start(now, index, now);
            return;
        }
        let room = self.room();
        match self.queue.join(now, request(now, flow.rank, flow.workspace), &room, now) {
            Ok(ticket) => _ = self.waiting.insert(ticket, (index, now)),
            Err(no_place) => {
                assert!(no_place.retry_ms > 0, "a refused caller is told when to come back");
                self.counts[index].refused += 1;
            }
        }
    }

    fn start(&mut self, now: Millis, index: usize, since: Millis) {
        assert!(self.running.len() < self.places, "a request was called without a place");
        self.running.push(now + WORK_MS);
        let counts = &mut self.counts[index];
        counts.served += 1;
        counts.longest_wait_ms = counts.longest_wait_ms.max(now - since);
    }

    fn start_called(&mut self, now: Millis) {
        let changed: Vec<Ticket> = self.queue.tickets_to_wake().collect();
        for ticket in changed {
            let (index, since) = self.waiting.remove(&ticket).expect("it waits");
            if let Some(PlaceState::Removed(_)) = self.queue.state(ticket) {
                self.queue.leave(ticket);
                self.counts[index].refused += 1;
            } else {
                self.queue.take(ticket);
                self.start(now, index, since);
            }
        }
    }

    fn give_up(&mut self, now: Millis) {
        let is_over = |ticket: &Ticket| matches!(self.queue.state(*ticket), Some(PlaceState::Waiting(until)) if now >= until);
        let over: Vec<Ticket> = self.waiting.keys().copied().filter(is_over).collect();
        for ticket in over {
            let (index, _) = self.waiting.remove(&ticket).expect("it waits");
            self.queue.leave(ticket);
            self.counts[index].refused += 1;
        }
    }
}

/// Guards against urgent requests that are refused while others get places: one server of 6 places
/// and 30 ms takes 200 requests a second, and three flows send 125 each.
#[test]
fn under_overload_the_most_urgent_are_served_and_none_starves() {
    let flow = |rank| Flow { rank, workspace: "w", every_ms: 8 };
    let flows = [flow((0, 2)), flow((0, 0)), flow((0, 1))];
    let counts = Replay::new(6, 64, 3).run(&flows, 10_000);
    let [least, most, middle] = counts[..] else { panic!("three flows") };
    assert!(most.served >= 1_200 && most.refused <= 50, "{counts:?}");
    assert!(middle.served > 2 * least.served, "{counts:?}");
    assert!(least.served >= 50, "the lowest rank starves: {counts:?}");
    let served: u32 = counts.iter().map(|counts| counts.served).sum();
    assert!(served >= 1_950, "places stay empty: {counts:?}");
}

/// Guards against a workspace that takes the places of others by sending ten times as much.
#[test]
fn a_workspace_that_sends_more_does_not_overtake_others() {
    let flows = [
        Flow { rank: (0, 0), workspace: "large", every_ms: 1 },
        Flow { rank: (0, 0), workspace: "small", every_ms: 20 },
        Flow { rank: (0, 0), workspace: "other", every_ms: 20 },
    ];
    let counts = Replay::new(6, 64, 3).run(&flows, 10_000);
    for small in &counts[1..] {
        assert!(small.refused <= 10, "{counts:?}");
        assert!(small.longest_wait_ms < 200, "{counts:?}");
    }
    assert!(counts[0].served >= 900, "{counts:?}");
}

/// Guards against waits beyond the goal of the route, and against queues above their bound.
#[test]
fn a_queue_is_bounded_and_nothing_waits_beyond_its_goal() {
    let flows = [Flow { rank: (0, 0), workspace: "w", every_ms: 1 }];
    let mut replay = Replay::new(6, 64, 1);
    for now in 0..3_000 {
        replay.end_requests(now);
        replay.arrive(now, 0, &flows[0]);
        replay.start_called(now);
        replay.give_up(now);
        assert!(replay.queue.len() <= 64);
    }
    assert!(replay.counts[0].longest_wait_ms <= GOAL_MS, "{:?}", replay.counts);
    assert!(replay.counts[0].refused > 2_000, "{:?}", replay.counts);
}

#[test]
fn the_workspaces_rank_comes_before_the_routes_and_the_deadline_last() {
    let mut queue = queue(64);
    let with_deadline = |deadline| PlaceRequest { deadline, ..request(0, (1, 0), "b") };
    let late = join(&mut queue, with_deadline(2_500));
    let early = join(&mut queue, with_deadline(2_000));
    let route = join(&mut queue, request(0, (0, 2), "a"));
    let first = join(&mut queue, request(0, (0, 1), "a"));
    let served: Vec<Ticket> = (0..4).filter_map(|_| serve_next(&mut queue, 10)).collect();
    assert_eq!(served, [first, route, early, late]);
}

#[test]
fn a_more_urgent_request_replaces_the_last_one_of_a_long_queue() {
    let mut queue = queue(3);
    let others: Vec<Ticket> = (0..3).map(|_| join(&mut queue, request(0, (0, 1), "w"))).collect();
    let same_rank = queue.join(0, request(0, (0, 1), "w"), &full_room(6), 0);
    assert!(same_rank.is_err());
    join(&mut queue, request(0, (0, 0), "w"));
    assert_eq!(queue.len(), 3);
    assert!(matches!(queue.state(others[2]), Some(PlaceState::Removed(_))));
    // Each rank keeps a part of the queue, without which the lowest one would starve.
    join(&mut queue, request(0, (0, 2), "w"));
    assert!(matches!(queue.state(others[1]), Some(PlaceState::Removed(_))));
    let more = queue.join(0, request(0, (0, 2), "w"), &full_room(6), 0);
    assert!(more.is_err(), "a less urgent rank gets no more than its part");
}

/// Guards against hopeless waits: a request that can't have a place in time is refused at once, and
/// those refused are told to come back one after the other.
#[test]
fn hopeless_requests_are_refused_at_once_with_staggered_delays() {
    let mut queue = queue(1_000);
    let mut delays = Vec::new();
    for _ in 0..300 {
        match queue.join(0, request(0, (0, 0), "w"), &full_room(6), 0) {
            Ok(_) => assert!(delays.is_empty(), "an earlier one was refused"),
            Err(no_place) => {
                assert!(no_place.expected_ms + no_place.answer_ms > GOAL_MS);
                assert!(no_place.retry_ms >= no_place.expected_ms);
                delays.push(no_place.retry_ms);
            }
        }
    }
    // 6 requests of 30 ms end at 200 a second, and one probe each 30 ms adds 33.
    assert!((150..200).contains(&queue.len()), "{}", queue.len());
    assert!(delays.windows(2).all(|pair| pair[0] < pair[1]), "{delays:?}");
}

/// Guards against waits behind a server that never answers: its requests stay open, but none ends.
#[test]
fn requests_are_refused_at_once_when_no_place_comes_free() {
    let mut queue = queue(64);
    for now in 0..10 {
        queue.record_freed(now, place(), &full_room(6));
    }
    queue.record_rejected(10, &server());
    let room = PoolRoom { first_full_ms: 2_000, answer_ms: 2_000.0, ..full_room(6) };
    let refused = queue.join(10_000, request(10_000, (0, 0), "w"), &room, 0);
    assert!(refused.is_err());
}

/// Guards against places that are lost with a caller that leaves after it was called.
#[test]
fn the_call_of_a_caller_that_leaves_is_passed_on() {
    let mut queue = queue(64);
    let first = join(&mut queue, request(0, (0, 0), "w"));
    let second = join(&mut queue, request(0, (0, 0), "w"));
    queue.record_freed(5, place(), &full_room(5));
    assert!(matches!(queue.state(first), Some(PlaceState::Called(_))));
    queue.leave(first);
    assert_eq!((queue.state(first), queue.len()), (None, 1));
    assert!(matches!(queue.state(second), Some(PlaceState::Called(_))));
}

/// Guards against a request that blocks the queue because the free server may not serve it, e.g.
/// for its homes.
#[test]
fn a_call_that_a_request_can_not_use_is_passed_on_and_ends() {
    let mut queue = queue(64);
    let first = join(&mut queue, request(0, (0, 0), "w"));
    let second = join(&mut queue, request(0, (0, 0), "w"));
    queue.record_freed(5, place(), &full_room(5));
    queue.decline(first);
    assert!(matches!(queue.state(first), Some(PlaceState::Waiting(_))));
    assert!(matches!(queue.state(second), Some(PlaceState::Called(_))));
    queue.decline(second);
    assert_eq!(queue.tickets_to_wake().count(), 0);
    // Neither has lost its place in the order.
    assert_eq!(serve_next(&mut queue, 10), Some(first));
}

#[test]
fn a_request_waits_no_longer_than_to_its_deadline() {
    let mut queue = queue(64);
    let ticket = join(&mut queue, PlaceRequest { deadline: 100, ..request(0, (0, 0), "w") });
    assert_eq!(queue.state(ticket), Some(PlaceState::Waiting(100)));
}

#[test]
fn when_no_server_is_left_all_requests_are_called_at_once() {
    let mut queue = queue(64);
    let tickets: Vec<Ticket> = (0..20).map(|_| join(&mut queue, request(0, (0, 0), "w"))).collect();
    queue.probe(1, &PoolRoom { usable: 0, full: 0, ..full_room(0) });
    assert!(tickets.iter().all(|ticket| queue.state(*ticket) == Some(PlaceState::Called(None))));
}

/// Guards against a burst of sends to a server whose mark has ended: it may have one place.
#[test]
fn servers_that_no_longer_count_as_full_are_tried_at_the_pace_of_their_slots() {
    let mut queue = queue(64);
    (0..20).for_each(|_| _ = join(&mut queue, request(0, (0, 0), "w")));
    let (_, at) = queue.next_probe(0).expect("one request probes");
    assert_eq!(at, WORK_MS);
    let room = PoolRoom { usable: 1, full: 0, usable_slots: 6, ..full_room(0) };
    for now in 30..40 {
        queue.probe(now, &room);
    }
    // One at 30 ms and one at 35 ms: 6 slots of 30 ms finish a request each 5 ms.
    assert_eq!(queue.tickets_to_wake().count(), 2);
}

#[test]
fn a_place_that_came_free_while_nothing_waited_is_used_once() {
    let mut queue = queue(64);
    queue.record_freed(0, place(), &full_room(5));
    let first = join(&mut queue, request(1, (0, 0), "w"));
    let second = join(&mut queue, request(1, (0, 0), "w"));
    assert!(matches!(queue.state(first), Some(PlaceState::Called(Some(_)))));
    assert!(matches!(queue.state(second), Some(PlaceState::Waiting(_))));
}

/// Returns a request for servers of this version alone.
fn bound(now: Millis, version: &str) -> PlaceRequest {
    PlaceRequest { version: Some(Name::from(version)), ..request(now, (0, 0), "w") }
}

fn freed_at(version: &str) -> FreedPlace {
    FreedPlace { version: Some(Name::from(version)), ..place() }
}

/// Guards against a place that is lost on a stream which may not go on there.
#[test]
fn a_place_at_another_version_is_kept_for_a_request_that_may_use_it() {
    let mut queue = queue(8);
    let stream = join(&mut queue, bound(0, "v1"));
    queue.record_freed(1, freed_at("v2"), &full_room(6));
    assert!(matches!(queue.state(stream), Some(PlaceState::Waiting(_))));
    let other = join(&mut queue, request(2, (1, 0), "w"));
    assert!(matches!(queue.state(other), Some(PlaceState::Called(_))));
    queue.record_freed(3, freed_at("v1"), &full_room(6));
    assert!(matches!(queue.state(stream), Some(PlaceState::Called(_))));
}

/// Guards against streams that hold up requests which have room at other servers.
#[test]
fn a_stream_that_waits_for_its_version_is_before_nobody_at_another() {
    let mut queue = queue(8);
    join(&mut queue, bound(0, "v1"));
    assert!(queue.has_waiting_for(Some(&Name::from("v1"))));
    assert!(!queue.has_waiting_for(Some(&Name::from("v2"))));
    assert!(!queue.has_waiting_for(None));
    join(&mut queue, request(0, (0, 0), "w"));
    assert!(queue.has_waiting_for(Some(&Name::from("v2"))));
}

/// Guards against a stream that waits to its deadline because other versions have places.
#[test]
fn a_stream_is_refused_at_once_if_its_version_frees_no_place_in_time() {
    let joined = |freed: &str| {
        let mut queue = queue(8);
        (0..GOAL_MS).step_by(10).for_each(|at| {
            queue.record_freed(at, freed_at(freed), &full_room(6));
            queue.record_rejected(at, &server());
        });
        let room = PoolRoom { answer_ms: GOAL_MS as f64 / 3.0, ..full_room(1) };
        let mut join = |_: &_| queue.join(GOAL_MS, bound(GOAL_MS, "v1"), &room, 0).is_ok();
        (0..8).filter(|n| join(n)).count()
    };
    assert_eq!(joined("v1"), 8);
    assert!(joined("v2") < 4, "places come free at the other version alone");
}

proptest! {
    /// Whatever happens, the queue keeps its bound, and no call is lost or doubled: each freed
    /// place is called for at most once at a time.
    #[test]
    fn calls_never_exceed_freed_places(steps in prop::collection::vec((0_u8..5, 0_u32..3), 1..300)) {
        let mut queue = queue(8);
        let mut tickets: Vec<Ticket> = Vec::new();
        let (mut freed, mut taken) = (0, 0);
        for (now, (step, pick)) in steps.into_iter().enumerate() {
            let now = now as Millis;
            let ticket = tickets.get(pick as usize).copied();
            match (step, ticket) {
                (0 | 1, _) => {
                    let name = ["a", "b", "c"][pick as usize];
                    tickets.extend(queue.join(now, request(now, (0, pick), name), &full_room(6), 0));
                }
                (2, _) => {
                    queue.record_freed(now, place(), &full_room(6));
                    freed += 1;
                }
                (3, Some(ticket)) => {
                    queue.leave(ticket);
                    tickets.retain(|known| *known != ticket);
                }
                (_, Some(ticket)) => {
                    if matches!(queue.state(ticket), Some(PlaceState::Called(_))) {
                        queue.take(ticket);
                        taken += 1;
                        tickets.retain(|known| *known != ticket);
                    }
                }
                _ => {}
            }
            let is_called = |ticket: &Ticket| matches!(queue.state(*ticket), Some(PlaceState::Called(_)));
            let called = queue.tickets_to_wake().filter(is_called).count();
            prop_assert!(queue.len() <= 8);
            prop_assert!(called + taken <= freed, "{called} called, {taken} taken, {freed} freed");
        }
    }
}
