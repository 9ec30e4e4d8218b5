//! Replay of the load on plain services without a network: hosts with a router and a queue each,
//! and servers that run 6 requests of 30 ms, queue 24 and reject further ones.

use std::collections::{BTreeMap, VecDeque};

use bankcove_core::crashes::ServerInstance;
use bankcove_core::places::{FreedPlace, PlaceQueue, PlaceRank, PlaceRequest, PlaceState, Ticket};
use bankcove_core::rollout::Versions;
use bankcove_core::router::{AnswerTimes, Choice, Homes, NoServer, Router, RoutingRequest};
use bankcove_core::table::Table;
use bankcove_core::{Millis, Name};
use serde_json::json;

const POOL: &str = "m";
const SLOTS: usize = 6;
const SERVER_QUEUE: usize = 24;
const WORK_MS: Millis = 30;
const GOAL_MS: Millis = 150;
/// Time on the way from the caller and back, in milliseconds.
const ROUND_TRIP_MS: Millis = 2;
const DEADLINE_MS: Millis = 3_000;
const MAX_TRIES: u32 = 2;
const PLACE_QUEUE: usize = 64;

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
struct Flow {
    /// Host that gets them; `None` for all hosts in turn.
    host: Option<usize>,
    rank: u32,
    per_second: u64,
    from: Millis,
    until: Millis,
}

/// What became of the requests of one rank.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Counts {
    in_time: u32,
    late: u32,
    refused: u32,
}

struct Call {
    host: usize,
    rank: u32,
    arrived_at: Millis,
    tried: Vec<Name>,
    tries: u32,
}

#[derive(Default)]
struct Server {
    running: Vec<(Millis, usize)>,
    queued: VecDeque<(Millis, usize)>,
    sent_at: BTreeMap<usize, Millis>,
}

struct Host {
    router: Router,
    queue: Option<PlaceQueue>,
    waiting: BTreeMap<Ticket, usize>,
}

struct Fleet {
    now: Millis,
    has_queues: bool,
    servers: Vec<Server>,
    hosts: Vec<Host>,
    calls: Vec<Call>,
    counts: Vec<Counts>,
    rejected: u32,
    seed: u64,
}

fn index_of(server: &Name) -> usize {
    server.as_str()[1..].parse().expect("a number")
}

impl Fleet {
    fn new(hosts: usize, servers: usize, has_queues: bool) -> Self {
        let row = |n: usize| {
            json!({"name": format!("s{n}"), "hall": "hall-1", "address": format!("10.0.0.{n}:1"),
                   "kind": "model", "models": [POOL]})
        };
        let rows: Vec<_> = (0..servers).map(row).collect();
        let table: Table =
            serde_json::from_value(json!({"halls": [{"name": "hall-1"}], "servers": rows}))
                .expect("a table");
        let host = |_| {
            let mut router = Router::default();
            router.adopt(&table);
            Host { router, queue: None, waiting: BTreeMap::new() }
        };
        Fleet {
            now: 0,
            has_queues,
            servers: (0..servers).map(|_| Server::default()).collect(),
            hosts: (0..hosts).map(host).collect(),
            calls: Vec::new(),
            counts: vec![Counts::default(); 3],
            rejected: 0,
            seed: 1,
        }
    }

    fn random(&mut self) -> u64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.seed ^ (self.seed >> 29)
    }

    fn run(mut self, flows: &[Flow], until: Millis) -> (Vec<Counts>, u32) {
        let mut due = vec![0; flows.len()];
        while self.now < until || !self.is_done() {
            (0..self.servers.len()).for_each(|server| self.end_requests(server));
            for (flow, due) in flows.iter().zip(&mut due) {
                if self.now < flow.from || self.now >= flow.until {
                    continue;
                }
                *due += flow.per_second;
                while *due >= 1_000 {
                    *due -= 1_000;
                    let any = self.random() as usize % self.hosts.len();
                    self.arrive(flow.host.unwrap_or(any), flow.rank);
                }
            }
            (0..self.hosts.len()).for_each(|host| self.check_queue(host));
            self.now += 1;
        }
        let counted: u32 = self.counts.iter().map(|c| c.in_time + c.late + c.refused).sum();
        assert_eq!(counted as usize, self.calls.len(), "each request ends once");
        (self.counts, self.rejected)
    }

    fn is_done(&self) -> bool {
        self.servers.iter().all(|server| server.running.is_empty())
            && self.hosts.iter().all(|host| host.waiting.is_empty())
    }

    fn arrive(&mut self, host: usize, rank: u32) {
        let arrived_at = self.now;
        self.calls.push(Call { host, rank, arrived_at, tried: Vec::new(), tries: 0 });
        self.acquire(self.calls.len() - 1);
    }

    fn refuse(&mut self, call: usize) {
        self.counts[self.calls[call].rank as usize].refused += 1;
    }

    fn choose(&mut self, call: usize, freed: Option<&ServerInstance>) -> Result<Choice, NoServer> {
        let seed = self.random();
        let Call { host, tried, .. } = &self.calls[call];
        let request = RoutingRequest {
            pool: POOL,
            prefix: seed,
            prompt_tokens: 0,
            shared_tokens: 0,
            hour: 0,
            seed,
            tried,
            homes: Homes::default(),
            versions: Versions::Any,
        };
        self.hosts[*host].router.choose_with_freed(self.now, &request, 0, freed)
    }

    /// Sends a request, or lets it wait.
    fn acquire(&mut self, call: usize) {
        let host = self.calls[call].host;
        let has_waiting = self.hosts[host].queue.as_ref().is_some_and(|queue| !queue.is_empty());
        if !has_waiting {
            match self.choose(call, None) {
                Ok(choice) => return self.send(call, &choice),
                Err(NoServer::OnlyFull(_)) => {}
                Err(_) => return self.refuse(call),
            }
        }
        let (now, seed) = (self.now, self.random());
        let request = PlaceRequest {
            rank: PlaceRank { workspace: 0, route: self.calls[call].rank },
            workspace: None,
            since: self.calls[call].arrived_at,
            goal_ms: GOAL_MS,
            deadline: self.calls[call].arrived_at + DEADLINE_MS,
            version: None,
        };
        let at = &mut self.hosts[host];
        let room = at.router.room(now, POOL);
        let queue = at.queue.as_mut().expect("a server has rejected a request");
        match queue.join(now, request, &room, seed) {
            Ok(ticket) => _ = at.waiting.insert(ticket, call),
            Err(no_place) => {
                assert!(no_place.retry_ms > 0);
                self.refuse(call);
            }
        }
        self.start_called(host);
    }

    fn send(&mut self, call: usize, choice: &Choice) {
        let (now, host) = (self.now, self.calls[call].host);
        let at = &mut self.hosts[host];
        at.router.record_sent(&choice.server, 0, 0);
        if let Some(queue) = &mut at.queue {
            queue.record_sent(&choice.instance());
        }
        let server = &mut self.servers[index_of(&choice.server)];
        if server.running.len() < SLOTS {
            server.running.push((now + WORK_MS, call));
            server.sent_at.insert(call, now);
            return;
        }
        if server.queued.len() < SERVER_QUEUE {
            server.queued.push_back((now, call));
            server.sent_at.insert(call, now);
            return;
        }
        self.rejected += 1;
        at.router.record_ended(now, &choice.server, 0, true);
        self.calls[call].tries += 1;
        if self.has_queues {
            at.router.record_full(now, POOL, &choice.instance());
            let new = || PlaceQueue::new(now, Name::from(POOL), PLACE_QUEUE);
            at.queue.get_or_insert_with(new).record_rejected(now, &choice.instance());
        } else {
            self.calls[call].tried.push(choice.server.clone());
        }
        if self.calls[call].tries >= MAX_TRIES { self.refuse(call) } else { self.acquire(call) }
    }

    fn end_requests(&mut self, index: usize) {
        let now = self.now;
        let ended: Vec<usize> = {
            let server = &mut self.servers[index];
            let is_over = |(end, _): &(Millis, usize)| *end <= now;
            let ended = server.running.iter().filter(|r| is_over(r)).map(|(_, call)| *call);
            let ended = ended.collect();
            server.running.retain(|running| !is_over(running));
            while server.running.len() < SLOTS {
                let Some((_, call)) = server.queued.pop_front() else { break };
                server.running.push((now + WORK_MS, call));
            }
            ended
        };
        let name = Name::from(format!("s{index}").as_str());
        for call in ended {
            let Call { host, rank, arrived_at, .. } = self.calls[call];
            let counts = &mut self.counts[rank as usize];
            let is_late = now - arrived_at + ROUND_TRIP_MS > GOAL_MS;
            if is_late {
                counts.late += 1
            } else {
                counts.in_time += 1
            }
            let sent_at = self.servers[index].sent_at.remove(&call).expect("it was sent");
            let answer_ms = now - sent_at;
            let at = &mut self.hosts[host];
            at.router.record_ended(now, &name, 0, true);
            at.router.record_answer_times(&name, 0, AnswerTimes { first_ms: answer_ms, answer_ms });
            let room = at.router.room(now, POOL);
            if let Some(queue) = &mut at.queue {
                let server = ServerInstance { name: name.clone(), started_ms: 0 };
                queue.record_freed(now, FreedPlace { server, version: None }, &room);
            }
            self.start_called(host);
        }
    }

    /// Lets the called requests ask for a server.
    fn start_called(&mut self, host: usize) {
        loop {
            let at = &mut self.hosts[host];
            let Some(queue) = &mut at.queue else { return };
            let Some(ticket) = queue.tickets_to_wake().next() else { return };
            let call = at.waiting[&ticket];
            match queue.state(ticket) {
                Some(PlaceState::Called(freed)) => match self.choose(call, freed.as_ref()) {
                    Ok(choice) => {
                        let at = &mut self.hosts[host];
                        at.waiting.remove(&ticket);
                        at.queue.as_mut().expect("it has a queue").take(ticket);
                        self.send(call, &choice);
                    }
                    Err(_) => {
                        let queue = self.hosts[host].queue.as_mut();
                        queue.expect("it has a queue").decline(ticket);
                    }
                },
                _ => self.leave(host, ticket),
            }
        }
    }

    fn leave(&mut self, host: usize, ticket: Ticket) {
        let at = &mut self.hosts[host];
        at.queue.as_mut().expect("it has a queue").leave(ticket);
        let call = at.waiting.remove(&ticket).expect("it waits");
        self.refuse(call);
    }

    /// Probes for usable servers and removes the requests that wait no longer.
    fn check_queue(&mut self, host: usize) {
        let now = self.now;
        let at = &mut self.hosts[host];
        let Some(queue) = &mut at.queue else { return };
        if queue.next_probe(now).is_some_and(|(_, at)| at <= now) {
            queue.probe(now, &at.router.room(now, POOL));
        }
        self.start_called(host);
        let at = &mut self.hosts[host];
        let Some(queue) = &at.queue else { return };
        let is_over = |ticket: &Ticket| matches!(queue.state(*ticket), Some(PlaceState::Waiting(until)) if now >= until);
        let over: Vec<Ticket> = at.waiting.keys().copied().filter(is_over).collect();
        over.into_iter().for_each(|ticket| self.leave(host, ticket));
    }
}

/// Returns the outcomes by rank and the number of rejected sends of the same load without and with
/// queues.
fn replay(servers: usize, flows: &[Flow]) -> [(Vec<Counts>, u32); 2] {
    [false, true].map(|has_queues| Fleet::new(61, servers, has_queues).run(flows, 4_000))
}

/// Requests of all hosts, by rank and rate per second.
fn everywhere(rates: [u64; 3]) -> Vec<Flow> {
    let flow = |(rank, per_second)| Flow { host: None, rank, per_second, from: 0, until: 4_000 };
    (0..).zip(rates).map(flow).collect()
}

fn at_one_host(rank: u32, per_second: u64, from: Millis, until: Millis) -> Flow {
    Flow { host: Some(0), rank, per_second, from, until }
}

fn served(counts: &[Counts]) -> u32 {
    counts.iter().map(|counts| counts.in_time + counts.late).sum()
}

fn in_time(counts: &[Counts]) -> u32 {
    counts.iter().map(|counts| counts.in_time).sum()
}

/// Guards against a pool whose servers' queues stay full during a burst at one host, so that even
/// the urgent requests that get a place are late.
#[test]
fn in_a_burst_at_one_host_more_requests_are_in_time_and_urgent_ones_most() {
    let mut flows = everywhere([30, 80, 70]);
    flows.extend([at_one_host(0, 200, 1_000, 2_000), at_one_host(2, 600, 1_000, 2_000)]);
    let [(without, rejected_without), (with, rejected)] = replay(3, &flows);
    let summary = format!("{without:?} {rejected_without}, with queues {with:?} {rejected}");
    assert!(with[0].in_time * 2 >= without[0].in_time * 3, "{summary}");
    assert!(with[0].refused <= 5 && with[1].refused <= 5, "{summary}");
    assert!(with.iter().zip(&without).all(|(with, without)| with.in_time >= without.in_time));
    assert!(served(&with) * 100 >= served(&without) * 98, "{summary}");
    assert!(rejected * 10 <= rejected_without, "{summary}");
}

/// Guards against sends that are rejected in vain when one server is left for twice its load, and
/// against a host that keeps others from the server.
#[test]
fn with_one_server_left_less_is_rejected_and_no_rank_starves() {
    let mut flows = everywhere([30, 80, 70]);
    flows.extend([at_one_host(0, 60, 1_000, 3_000), at_one_host(2, 190, 1_000, 3_000)]);
    let [(without, rejected_without), (with, rejected)] = replay(1, &flows);
    let summary = format!("{without:?} {rejected_without}, with queues {with:?} {rejected}");
    assert!(served(&with) * 100 >= served(&without) * 98, "{summary}");
    assert!(in_time(&with) >= in_time(&without), "{summary}");
    assert!(with[0].refused <= without[0].refused, "{summary}");
    assert!(with[1].refused < without[1].refused, "{summary}");
    assert!(with[2].in_time > 200, "{summary}");
    assert!(rejected * 2 <= rejected_without, "{summary}");
}

/// Guards against queues that make all requests late when all hosts send too much: the answers of a
/// full server take the whole goal.
#[test]
fn under_overload_from_all_hosts_more_requests_are_in_time() {
    let [(without, rejected_without), (with, rejected)] = replay(3, &everywhere([200, 300, 400]));
    let summary = format!("{without:?} {rejected_without}, with queues {with:?} {rejected}");
    assert!(served(&with) * 100 >= served(&without) * 98, "{summary}");
    assert!(in_time(&with) * 10 >= in_time(&without) * 11, "{summary}");
    assert!(rejected < rejected_without, "{summary}");
}

/// Guards against effects on pools that are not full.
#[test]
fn without_a_full_server_nothing_changes() {
    let [without, with] = replay(3, &everywhere([30, 80, 70]));
    assert_eq!(with, without);
    assert_eq!(with.0.iter().map(|counts| counts.refused).sum::<u32>(), 0);
}
