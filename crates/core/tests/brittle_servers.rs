//! Brittle servers, which fall over when they reject too many requests in a second: replayed with
//! several hosts and a load that exceeds the servers.

use std::collections::VecDeque;

use bankcove_core::crashes::ServerInstance;
use bankcove_core::hints::{Hint, read_brittle};
use bankcove_core::limits::RequestRate;
use bankcove_core::rollout::Versions;
use bankcove_core::router::{Homes, ListedRow, Router, RoutingRequest};
use bankcove_core::server_list::ListedServer;
use bankcove_core::table::Table;
use bankcove_core::{Millis, Name};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

/// Rejections per second that a server bears.
const BORNE: usize = 5;

const SERVERS: usize = 4;
const SLOTS: usize = 6;
const WORK_MS: Millis = 60;

/// Requests that wait at a server before it becomes brittle, and from [`SHRINKS_AT`] on.
const QUEUE: usize = 24;
const SHORT_QUEUE: usize = 2;

/// When servers announce that they are brittle, and when fewer may wait.
const ANNOUNCED_AT: Millis = 2_000;
const SHRINKS_AT: Millis = 5_000;
const END: Millis = 25_000;

/// Requests per second that the servers can serve.
const CAPACITY_PER_S: f64 = (SERVERS * SLOTS) as f64 * 1_000.0 / WORK_MS as f64;

fn instance(server: usize) -> ServerInstance {
    ServerInstance { name: Name::from(format!("s{server}").as_str()), started_ms: 1 }
}

/// Servers, each with the ends of its running requests and the hosts of those that wait.
#[derive(Default)]
struct Server {
    /// Time at which each slot ends its request, and the request's host.
    running: Vec<(Millis, usize)>,
    waiting: VecDeque<usize>,
    rejections: Vec<Millis>,
}

struct Simulation {
    hosts: Vec<Router>,
    servers: Vec<Server>,
    served: usize,
    rng: StdRng,
}

impl Simulation {
    fn new(hosts: usize, seed: u64) -> Self {
        let row = |n: usize| ListedServer {
            name: instance(n).name,
            started_ms: 1,
            service: Name::from("plain"),
            version: None,
            address: format!("10.0.0.{n}:1"),
            hall: Name::from(format!("hall-{}", n % 2).as_str()),
            slots: SLOTS as u32,
            draining: false,
            cold_for_ms: 0,
        };
        let rows: Vec<ListedServer> = (0..SERVERS).map(row).collect();
        let listed = || rows.iter().map(|server| ListedRow { server, cold_until: 0 });
        let table = Table::default();
        let host = || {
            let mut router = Router::default();
            router.adopt_with_list(&table, &[], listed());
            router
        };
        Simulation {
            hosts: (0..hosts).map(|_| host()).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            served: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sends a request from a host, if it chooses a server.
    fn send(&mut self, now: Millis, host: usize) {
        let seed = self.rng.random();
        let request = RoutingRequest {
            pool: "plain",
            prefix: seed,
            prompt_tokens: 0,
            shared_tokens: 0,
            hour: 0,
            seed,
            tried: &[],
            homes: Homes::default(),
            versions: Versions::Any,
        };
        let router = &mut self.hosts[host];
        let Ok(choice) = router.choose(now, &request) else { return };
        let n = (0..SERVERS).find(|n| instance(*n).name == choice.server).expect("a server");
        router.record_sent(&choice.server, 1, 0);
        router.raise_window(now, &choice.server, 1, self.rng.random());
        let queue = if now < SHRINKS_AT { QUEUE } else { SHORT_QUEUE };
        let server = &mut self.servers[n];
        if server.running.len() < SLOTS {
            server.running.push((now + WORK_MS, host));
        } else if server.waiting.len() < queue {
            server.waiting.push_back(host);
        } else {
            server.rejections.push(now);
            self.record_response(now, host, n);
            let router = &mut self.hosts[host];
            router.record_rejection(now, &instance(n), self.rng.random());
            router.record_full(now, "plain", &instance(n));
            router.record_ended(now, &instance(n).name, 1, true);
        }
    }

    /// Records what a response of a server announces.
    fn record_response(&mut self, now: Millis, host: usize, server: usize) {
        let rate = RequestRate::new(BORNE as f64).filter(|_| now >= ANNOUNCED_AT);
        let daemons = self.hosts.len();
        let seed = self.rng.random();
        self.hosts[host].set_brittle(now, &instance(server), rate, daemons, seed);
    }

    /// Ends requests whose time is over, and begins those that wait.
    fn advance(&mut self, now: Millis) {
        for n in 0..SERVERS {
            let ended: Vec<usize> = {
                let server = &mut self.servers[n];
                let ended = server.running.iter().filter(|(end, _)| *end <= now);
                let hosts = ended.map(|(_, host)| *host).collect();
                server.running.retain(|(end, _)| *end > now);
                while server.running.len() < SLOTS
                    && let Some(host) = server.waiting.pop_front()
                {
                    server.running.push((now + WORK_MS, host));
                }
                hosts
            };
            for host in ended {
                self.served += 1;
                self.record_response(now, host, n);
                self.hosts[host].record_ended(now, &instance(n).name, 1, true);
            }
        }
    }

    /// Sends `per_s` requests per second, those of `dead` hosts to the others from the middle on.
    fn run(&mut self, per_s: f64, dead: usize) {
        for now in 0..END {
            self.advance(now);
            let alive = if now > END / 2 { self.hosts.len() - dead } else { self.hosts.len() };
            let mut arrivals = per_s / 1_000.0;
            while arrivals > 0.0 {
                if self.rng.random_bool(arrivals.min(1.0)) {
                    let host = self.rng.random_range(0..alive);
                    self.send(now, host);
                }
                arrivals -= 1.0;
            }
        }
    }

    /// Returns the most rejections of one server within a second, from when its queue is short.
    fn worst_second(&self) -> usize {
        let worst = |server: &Server| {
            let late: Vec<Millis> =
                server.rejections.iter().copied().filter(|at| *at >= SHRINKS_AT).collect();
            let within = |from: &Millis| {
                late.iter().filter(|at| (*from..from + 1_000).contains(*at)).count()
            };
            late.iter().map(within).max().unwrap_or(0)
        };
        self.servers.iter().map(worst).max().unwrap_or(0)
    }
}

/// Guards against hosts that together make a brittle server fall over, and against hosts that leave
/// it idle.
#[parameterized(
    few_hosts = { 3, 2.0, 0 },
    eight_hosts = { 8, 2.0, 0 },
    a_host_dies = { 8, 2.0, 1 },
    slight_overload = { 8, 1.1, 0 },
)]
fn hosts_together_reject_less_than_a_brittle_server_bears(hosts: usize, load: f64, dead: usize) {
    check(hosts, load, dead);
}

/// Guards against the same where the first request of each host is already too many.
#[test]
fn more_hosts_than_slots_reject_less_than_a_brittle_server_bears() {
    check(40, 2.0, 0);
}

fn check(hosts: usize, load: f64, dead: usize) {
    for seed in 0..5 {
        let mut simulation = Simulation::new(hosts, seed);
        simulation.run(CAPACITY_PER_S * load, dead);
        let worst = simulation.worst_second();
        assert!(worst <= BORNE, "seed {seed}: {worst} rejections in a second");
        let possible = CAPACITY_PER_S * END as f64 / 1_000.0;
        let used = simulation.served as f64 / possible;
        assert!(used > 0.8, "seed {seed}: {used:.2} of the capacity used");
    }
}

#[parameterized(
    whole = { &["5"], Hint::Given(5.0) },
    fraction = { &["0.5"], Hint::Given(0.5) },
    none_borne = { &["0"], Hint::Given(0.0) },
    lowest_of_two = { &["7", "3"], Hint::Given(3.0) },
    huge = { &["1e300"], Hint::Given(1e300) },
    negative = { &["-1"], Hint::Unreadable("-1".to_owned()) },
    text = { &["yes"], Hint::Unreadable("yes".to_owned()) },
    empty = { &[""], Hint::Unreadable(String::new()) },
    absent = { &[], Hint::Absent },
)]
fn the_announcement_is_parsed(values: &[&str], expected: Hint<f64>) {
    let read = match read_brittle(values.iter().copied()) {
        Hint::Given(rate) => Hint::Given(rate.per_second()),
        Hint::Unreadable(text) => Hint::Unreadable(text),
        Hint::Absent => Hint::Absent,
    };
    assert_eq!(read, expected);
}

/// Guards against a bound that outlives the announcement or the server's start.
#[test]
fn the_bound_ends_with_the_announcement() {
    let mut simulation = Simulation::new(1, 0);
    let router = &mut simulation.hosts[0];
    let rate = RequestRate::new(5.0);
    assert!(router.set_brittle(0, &instance(0), rate, 8, 0));
    assert!(router.has_brittle());
    assert!(!router.set_brittle(1, &instance(0), rate, 8, 0), "it is known");
    let later = ServerInstance { started_ms: 2, ..instance(0) };
    assert!(!router.set_brittle(2, &later, rate, 8, 0), "another start is not listed");
    assert!(router.set_brittle(3, &instance(0), None, 8, 0));
    assert!(!router.has_brittle());
}
