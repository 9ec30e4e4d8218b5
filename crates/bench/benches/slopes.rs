//! Slopes for docs/CAPACITY.md: bytes, time and allocations per item that a role holds in memory,
//! sends or stores, from at least four sizes.
//!
//! `cargo bench -p bankcove-bench --bench slopes`

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::Instant;

use bankcove_bench::routing_simulation::table;
use bankcove_core::bill::Bill;
use bankcove_core::crashes::ServerInstance;
use bankcove_core::hints::{HintFact, LeavingServers};
use bankcove_core::holder::{Draw, DrawTerms, Holder, PrefetchScope};
use bankcove_core::limits::{
    ISSUERS_PER_SERVER, Issuer, IssuerPosition, LimitHeader, LimitTracker, PermitRequest,
    RequestRate,
};
use bankcove_core::members::{Heartbeat, Host, HostRole, HostState, Members};
use bankcove_core::owner::{Event as OwnerEvent, Owner, Request};
use bankcove_core::paths::PathReport;
use bankcove_core::request_log::{Entry, Event, RequestLog, Segment};
use bankcove_core::rollout::RolloutOrders;
use bankcove_core::router::Router;
use bankcove_core::shard::Shard;
use bankcove_core::table::Table;
use bankcove_core::witness::Witness;
use bankcove_core::{AttemptId, Incarnation, Name, RequestHash};
use bankcoved::peer::PermitAnswer;
use serde_json::json;

/// System allocator that counts the allocated bytes and the allocations.
struct CountingAllocator;

/// Bytes that are allocated and not yet freed.
static ALLOCATED_BYTES: AtomicI64 = AtomicI64::new(0);
/// Number of allocations.
static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

// SAFETY: every call is passed on unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size() as i64, Ordering::Relaxed);
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size() as i64, Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns the bytes that the value created by `make` has allocated.
fn allocated_bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let value = make();
    let after = ALLOCATED_BYTES.load(Ordering::Relaxed);
    drop(value);
    (after - before) as f64
}

/// Prints the values for these sizes, and their slope by least squares.
fn slope(label: &str, unit: &str, sizes: [usize; 4], value: impl Fn(usize) -> f64) {
    let points: Vec<(f64, f64)> = sizes.iter().map(|n| (*n as f64, value(*n))).collect();
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x) * (x - mean_x)).sum();
    let raw: Vec<String> = points.iter().map(|(x, y)| format!("{x}: {y:.0}")).collect();
    println!("{label:<44} {:>9.2} {unit:<16} {}", covariance / variance, raw.join(", "));
}

fn json_bytes(value: &impl serde::Serialize) -> f64 {
    serde_json::to_vec(value).map_or(0.0, |bytes| bytes.len() as f64)
}

fn wire_bytes(value: &impl serde::Serialize) -> f64 {
    bincode::serialized_size(value).map_or(0.0, |bytes| bytes as f64)
}

fn attempt(n: u64) -> AttemptId {
    AttemptId { incarnation: Incarnation(n * 7_919), sequence: n }
}

fn bill(n: usize) -> Bill {
    Bill {
        request: RequestHash((n as u128) << 64 | 0x9e37),
        attempt: attempt(n as u64),
        budget: Name::from(format!("budget-{n}")),
        prompt_tokens: 412,
        output_tokens: 244,
    }
}

fn segment(entries: usize) -> Segment {
    let entries = (0..entries).map(|n| Entry::Bill(bill(n))).collect();
    Segment { at: 1_796_213_870_000, window_start: 1_000, entries }
}

fn witness(n: u64) -> Witness {
    Witness { incarnation: Incarnation(n * 104_729), address: "10.12.34.57:8081".into() }
}

/// Returns a table with this many budgets, spread over 620 workspaces.
fn budget_table(budgets: usize) -> Table {
    let budget = |n: usize| {
        json!({
            "name": format!("budget-{n}"), "workspace": format!("workspace-{}", n % 620),
            "tokens": 1_000_000_000_u64,
        })
    };
    let value = json!({"budgets": (0..budgets).map(budget).collect::<Vec<_>>()});
    serde_json::from_value(value).expect("the value is a valid table")
}

/// Returns a shard with this many budgets and holders per budget.
fn shard(budgets: usize, holders: u64) -> Shard {
    let mut shard = Shard::default();
    for n in 0..budgets {
        let ledger = shard.ledger(&Name::from(format!("budget-{n}")));
        ledger.update_row(1_000_000_000, 1);
        for holder in 0..holders {
            let mut draw = draw(&Name::from(format!("budget-{n}")));
            draw.holder = Incarnation(holder * 7_919);
            draw.witnesses = vec![witness(1), witness(2)];
            ledger.grant(draw.holder, "10.12.34.56:8081", 100_000);
            ledger.open(draw.holder, 10_000);
            ledger.record_witnesses(&draw);
        }
    }
    shard
}

fn host(n: usize) -> Host {
    Host {
        name: Name::from(format!("entry-{n}")),
        hall: Name::from(format!("hall-{}", n % 10)),
        address: format!("10.1.{}.{}:8081", n / 256, n % 256),
        role: HostRole::Daemon,
        state: HostState::Live,
    }
}

fn members(count: usize) -> Members {
    let mut members = Members::new(Name::from("me"));
    members.apply_host_list(&(0..count).map(host).collect::<Vec<_>>());
    members
}

fn terms() -> DrawTerms {
    DrawTerms {
        tokens: 1_000_000,
        version: 1,
        horizon_s: 10.0,
        share_divisor: 4,
        held_ahead: 0.5,
        kept_for_others: 0.0,
        prefetch: PrefetchScope::ForItself,
        daemons: 1_300,
    }
}

fn holder(budgets: usize) -> Holder {
    let mut holder = Holder::new(Incarnation(1));
    for n in 0..budgets {
        let name = Name::from(format!("budget-{n}"));
        holder.record_granted(&name, 1_000);
        holder.set_recorded_witnesses(&name, &[witness(1), witness(2)]);
    }
    holder
}

/// Returns a tracker of this many servers with a limit.
fn limit_tracker(servers: usize) -> LimitTracker {
    let mut tracker = LimitTracker::default();
    let rate = RequestRate::new(1.2).expect("the rate is valid");
    for n in 0..servers {
        let server = ServerInstance { name: Name::from(format!("i-{n:010}")), started_ms: 1 };
        tracker.record_response(10, &server, 0, &LimitHeader::Limit(rate));
    }
    tracker
}

/// Returns this many leaving server instances.
fn leaving_servers(servers: usize) -> LeavingServers {
    let mut leaving_servers = LeavingServers::default();
    for n in 0..servers {
        let server = ServerInstance { name: Name::from(format!("i-{n:010}")), started_ms: 1 };
        leaving_servers.add(10, &server, 0);
    }
    leaving_servers
}

fn draw(budget: &Name) -> Draw {
    Holder::new(Incarnation(1)).draw(budget, 600, terms(), "10.12.34.56:8081", 0)
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        name: Name::from("entry-1234"),
        hall: Name::from("hall-10"),
        incarnation: Incarnation(7_919),
        address: "10.12.34.56:8081".to_owned(),
        servers_version: Default::default(),
        evacuated: Default::default(),
        revision: 1_000_000,
        rollouts: RolloutOrders::default(),
        stopping: false,
        store_heard_ms: Some(120),
        view_age_ms: Some(120),
        paces: Vec::new(),
        crashes_digest: 0,
        hints_digest: 0,
        paths: PathReport::default(),
    }
}

/// Returns a request log that has loaded this many requests.
fn request_log(requests: usize) -> RequestLog {
    let mut log = RequestLog::new(0);
    log.handle(0, Event::Submitted(1, Entry::Bill(bill(requests + 1))));
    log.handle(0, Event::NewestFound(None));
    log.handle(0, Event::SegmentRead(0, Some(segment(requests))));
    log
}

/// Returns the time in nanoseconds that an owner takes for one draw, with this many budgets in its
/// shard and holders per budget.
fn owner_draw_ns(budgets: usize, holders: u64) -> f64 {
    const ROUNDS: u32 = 50;
    let shard = shard(budgets, holders);
    let name = Name::from("budget-0");
    let mut owner = Owner::new(Incarnation(1), "10.12.34.56:8081", 0);
    owner.handle(0, OwnerEvent::Requested(0, Request::Draw(draw(&name))));
    owner.handle(0, OwnerEvent::Loaded(1, shard));
    owner.handle(0, OwnerEvent::Written(2));
    let started = Instant::now();
    for round in 0..ROUNDS {
        let now = u64::from(round) + 1;
        let mut draw = draw(&name);
        // All granted tokens are opened and spent, so that each draw requires a write.
        draw.opened = 1 << 40;
        owner.handle(now, OwnerEvent::Requested(u64::from(round), Request::Draw(draw)));
        owner.handle(now, OwnerEvent::Written(now + 2));
    }
    started.elapsed().as_nanos() as f64 / f64::from(ROUNDS)
}

fn print_memory() {
    println!("\n# Memory, bytes held for each");
    slope("router: a backend server", "B", [16, 160, 1_600, 10_000], |n| {
        let table = table(n, 10);
        allocated_bytes(|| {
            let mut router = Router::default();
            router.adopt(&table);
            router
        })
    });
    slope("table: a server's row", "B", [16, 160, 1_600, 10_000], |n| {
        allocated_bytes(|| table(n, 10))
    });
    slope("table: a budget's row", "B", [100, 1_000, 10_000, 39_000], |n| {
        allocated_bytes(|| budget_table(n))
    });
    slope("membership: a peer", "B", [10, 100, 500, 1_300], |n| allocated_bytes(|| members(n)));
    slope("holder: a budget drawn on", "B", [100, 1_000, 10_000, 39_000], |n| {
        allocated_bytes(|| holder(n))
    });
    slope("owner: a grant in a shard", "B", [100, 500, 1_300, 5_000], |n| {
        allocated_bytes(|| shard(1, n as u64))
    });
    slope("limits: a server that names one", "B", [16, 160, 1_600, 10_000], |n| {
        allocated_bytes(|| limit_tracker(n))
    });
    slope("leaving: a start, by starts that leave", "B", [16, 160, 1_600, 10_000], |n| {
        allocated_bytes(|| leaving_servers(n))
    });
    slope("request log: a remembered request", "B", [1_000, 4_000, 16_000, 64_000], |n| {
        allocated_bytes(|| request_log(n))
    });
}

fn print_stored() {
    println!("\n# Stored, bytes of JSON for each");
    slope("table: a server's row", "B", [16, 160, 1_600, 10_000], |n| json_bytes(&table(n, 10)));
    slope("table: a budget's row", "B", [100, 1_000, 10_000, 39_000], |n| {
        json_bytes(&budget_table(n))
    });
    slope("budget shard: a budget without holders", "B", [10, 50, 150, 305], |n| {
        json_bytes(&shard(n, 0))
    });
    slope("budget shard: a grant", "B", [1, 2, 4, 8], |n| json_bytes(&shard(1, n as u64)));
    slope("log segment: a bill", "B", [10, 100, 500, 2_000], |n| json_bytes(&segment(n)));
}

fn print_messages() {
    println!("\n# Sent between daemons, bytes of each message's body");
    println!("{:<44} {:>9.2} B", "heartbeat, one way", wire_bytes(&heartbeat()));
    let budget = Name::from("budget-12345");
    println!("{:<44} {:>9.2} B", "draw", wire_bytes(&Request::Draw(draw(&budget))));
    println!("{:<44} {:>9.2} B", "bill submitted", wire_bytes(&Entry::Bill(bill(12_345))));
    let fact = limit_tracker(1).facts(0, 1, 0).remove(0);
    println!("{:<44} {:>9.2} B", "limit of a server, told", wire_bytes(&fact));
    let leaves = HintFact::Leaving(leaving_servers(1).facts(0, 1, 0).remove(0));
    println!("{:<44} {:>9.2} B", "server that leaves, told", wire_bytes(&leaves));
    let request = PermitRequest { from: Incarnation(7_919), permits: 1, urgency: 0 };
    let request_bytes = wire_bytes(&(fact, request));
    let answer = PermitAnswer::denied(278);
    println!(
        "{:<44} {:>9.2} B",
        "permit asked for and answered",
        request_bytes + wire_bytes(&answer)
    );
    let table: Table = table(10_000, 10);
    println!("{:<44} {:>9.0} B", "whole table of 10,000 servers", json_bytes(&table));
}

fn print_work() {
    println!("\n# Work, nanoseconds and allocations for each");
    slope("owner: a draw, by grants in its budget", "ns", [1, 2, 4, 8], |n| {
        owner_draw_ns(1, n as u64)
    });
    slope("owner: a draw, by budgets in its shard", "ns", [10, 50, 150, 305], |n| {
        owner_draw_ns(n, 3)
    });
    slope("membership: owners of a key, by peers", "ns", [10, 100, 500, 1_300], |n| {
        const ROUNDS: u64 = 200;
        let mut members = members(n);
        for peer in (0..n).map(host) {
            let mut heartbeat = heartbeat();
            heartbeat.name = peer.name;
            members.record_heartbeat(0, &heartbeat);
        }
        let started = Instant::now();
        for key in 0..ROUNDS {
            std::hint::black_box(members.owners(key, 2));
        }
        started.elapsed().as_nanos() as f64 / ROUNDS as f64
    });
    slope("limits: an answer's head, by servers limited", "ns", [16, 160, 1_600, 10_000], |n| {
        const ROUNDS: u64 = 10_000;
        let mut tracker = limit_tracker(n);
        let server = ServerInstance { name: Name::from(format!("i-{:010}", n / 2)), started_ms: 1 };
        let header = LimitHeader::Limit(RequestRate::new(1.2).expect("the rate is valid"));
        let started = Instant::now();
        for now in 0..ROUNDS {
            std::hint::black_box(tracker.record_response(100 + now, &server, 50 + now, &header));
        }
        started.elapsed().as_nanos() as f64 / ROUNDS as f64
    });
    slope("limits: a permit issued, by peers", "ns", [10, 100, 500, 1_300], |n| {
        const ROUNDS: u64 = 200;
        let members = members(n);
        let mut issuer = Issuer::default();
        let server = ServerInstance { name: Name::from("i-0000000001"), started_ms: 1 };
        let limit = RequestRate::new(1.2).expect("the rate is valid");
        let started = Instant::now();
        for now in 0..ROUNDS {
            std::hint::black_box(members.owners_including_silent(server.key(), ISSUERS_PER_SERVER));
            let request =
                PermitRequest { from: Incarnation(now % n as u64), permits: 1, urgency: 0 };
            let position = IssuerPosition { rank: 0, since: 0 };
            std::hint::black_box(issuer.issue(10_000 + now, &server, limit, position, request));
        }
        started.elapsed().as_nanos() as f64 / ROUNDS as f64
    });
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    let mut holder = holder(1);
    let budget = Name::from("budget-0");
    for now in 0..1_000 {
        if let Ok(reservation) = holder.reserve(&budget, 1, now) {
            holder.settle(reservation, 0);
        }
    }
    let allocations = ALLOCATIONS.load(Ordering::Relaxed) - before;
    println!(
        "{:<44} {:>9.2} allocations",
        "holder: reserve and settle",
        allocations as f64 / 1_000.0
    );
}

fn main() {
    print_memory();
    print_stored();
    print_messages();
    print_work();
}
