//! Simulates a fleet of daemons with the production crash tracker: network partitions, suspended
//! and restarted daemons, and crashes in any order. A request that crashes its servers is blocked
//! after three crashes on any host; frequent crashes without such a request block almost no
//! request.

mod simulation;

use bankcove_core::Fingerprint;
use proptest::prelude::*;
use rand::Rng;

use simulation::{
    CONCURRENT, FATAL, Fault, FaultKind, MAX_LATE_SENDS, Simulation, TICK_MS, TIME_TO_CRASH_MS,
    fatal_part, part,
};
use yare::parameterized;

fn fault(daemons: usize) -> impl Strategy<Value = Fault> {
    let kinds = prop_oneof![
        Just(FaultKind::Partition),
        Just(FaultKind::Suspension),
        Just(FaultKind::Restart)
    ];
    (0..daemons, 0..1_500_u64, 10..400_u64, kinds).prop_map(|(daemon, from, length, kind)| {
        let from = from * TICK_MS;
        Fault { daemon, from, until: from + length * TICK_MS, kind }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn a_request_that_crashes_its_servers_is_blocked_after_three_crashes(
        seed in any::<u64>(),
        daemons in 1..24_usize,
        servers in 4..16_usize,
        pause in 10..120_u64,
        faults in prop::collection::vec(fault(24), 0..8),
    ) {
        let faults = faults.into_iter().filter(|fault| fault.daemon < daemons).collect();
        let mut sim = Simulation::new(seed, daemons, servers, faults);
        let mut harmless = 1_000;
        while sim.now < 20_000 {
            sim.tick();
            let daemon = sim.rng.random_range(0..daemons);
            if sim.now % (pause * TICK_MS) == 0 {
                sim.send(daemon, FATAL, TIME_TO_CRASH_MS, 0);
            }
            if sim.now % 50 == 0 {
                harmless += 1;
                let run_ms = sim.rng.random_range(50..1_500);
                sim.send(daemon, Fingerprint(harmless), run_ms, 2);
            }
        }
        prop_assert!(sim.late_sends <= MAX_LATE_SENDS, "{} late sends", sim.late_sends);
    }

    /// Requests with a part that crashes its servers, no two alike, beside sound ones.
    #[test]
    fn a_part_that_crashes_its_servers_is_blocked_after_five_crashes(
        seed in any::<u64>(),
        daemons in 1..24_usize,
        servers in 6..16_usize,
        pause in 10..120_u64,
        faults in prop::collection::vec(fault(24), 0..8),
    ) {
        let faults = faults.into_iter().filter(|fault| fault.daemon < daemons).collect();
        let mut sim = Simulation::new(seed, daemons, servers, faults);
        let mut prompts = Prompts::default();
        while sim.now < 20_000 {
            sim.tick();
            if sim.now % (pause * TICK_MS) == 0 {
                prompts.send_fatal(&mut sim);
            }
            if sim.now % 20 == 0 {
                prompts.send_sound(&mut sim);
            }
        }
        let late = sim.late_part_sends;
        prop_assert!(late <= MAX_LATE_SENDS, "{late} late sends, {} crashes", sim.part_crashes);
    }

    /// All daemons are lost at the same time, in any state: blocked requests stay blocked.
    #[test]
    fn a_blocked_request_stays_blocked_through_the_loss_of_all_daemons(
        seed in any::<u64>(),
        daemons in 1..12_usize,
        lost_at in 400..1_200_u64,
    ) {
        let lost_at = lost_at * TICK_MS;
        let loss = |daemon| Fault {
            daemon, from: lost_at, until: lost_at + 1_000, kind: FaultKind::Restart,
        };
        let mut sim = Simulation::new(seed, daemons, 8, (0..daemons).map(loss).collect());
        while sim.now < 20_000 {
            sim.tick();
            if sim.now % 400 == 0 {
                let daemon = sim.rng.random_range(0..daemons);
                sim.send(daemon, FATAL, TIME_TO_CRASH_MS, 0);
            }
        }
        prop_assert!(sim.late_sends <= MAX_LATE_SENDS, "{} late sends", sim.late_sends);
    }
}

/// Maximum fraction of harmless requests refused during frequent crashes. A request has three
/// crashes without a success in between only if two repeats both meet a crash.
const MAX_REFUSED_FRACTION: f64 = 0.001;

/// Servers crash on their own at a fixed interval for a minute, and callers retry up to three
/// times. One request in ten is identical to others of its caller.
#[test]
fn frequent_crashes_block_almost_no_harmless_request() {
    let (mut sent, mut refused) = (0_usize, 0_usize);
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 8, 12, Vec::new());
        while sim.now < 60_000 {
            sim.tick();
            if sim.now % 50 == 0 {
                sent += 1;
                let is_common = sim.rng.random_range(0..10) == 0;
                let common = u128::from(sim.rng.random_range(10..15_u32));
                let own = 10_000 + sent as u128;
                let request = Fingerprint(if is_common { common } else { own });
                let run_ms = sim.rng.random_range(50..1_500);
                let daemon = sim.rng.random_range(0..8);
                sim.send(daemon, request, run_ms, 3);
            }
            if sim.now % 700 == 0 {
                let number = sim.rng.random_range(0..12);
                sim.crash(number);
            }
        }
        refused += sim.refused.len();
    }
    println!("{refused} of {sent} harmless requests refused");
    let fraction = refused as f64 / sent as f64;
    assert!(fraction < MAX_REFUSED_FRACTION, "{refused} of {sent} refused");
}

/// Maximum fraction of simulations in which a harmless request is blocked because it always runs
/// beside the one that crashes its servers: those in which four servers crashed under both.
const MAX_BLOCKED_FRACTION: f64 = 0.05;

/// Both requests are sent together, to the same host and at first to the same server, so that
/// they have the same crashes.
#[test]
fn a_harmless_request_beside_one_that_crashes_its_servers_is_rarely_blocked() {
    let (mut simulations, mut blocked, mut late_sends) = (0_usize, 0_usize, 0);
    for seed in 0..200 {
        let mut sim = Simulation::new(seed, 8, 12, Vec::new());
        while sim.now < 20_000 {
            sim.tick();
            if sim.now % 300 == 0 {
                let daemon = sim.rng.random_range(0..8);
                sim.send(daemon, FATAL, TIME_TO_CRASH_MS, 0);
                sim.send_concurrent(daemon, CONCURRENT, 1_000);
            }
        }
        simulations += 1;
        blocked += usize::from(sim.refused.contains(&CONCURRENT));
        late_sends = late_sends.max(sim.late_sends);
        assert!(sim.refused.contains(&FATAL), "seed {seed}: {} crashes", sim.crashes);
    }
    println!("blocked in {blocked} of {simulations} simulations, {late_sends} late sends at most");
    assert!(late_sends <= MAX_LATE_SENDS, "{late_sends} late sends");
    assert!((blocked as f64) < MAX_BLOCKED_FRACTION * simulations as f64, "{blocked}");
}

/// Guards against blocking requests that only ran on servers with a common fault. Load pattern: all
/// servers of a pool fail at the same time, several times, while the same few requests are
/// running on all of them: none of the requests is the cause.
#[test]
fn servers_that_fail_together_block_no_common_request() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, 4, 8, Vec::new());
        while sim.now < 30_000 {
            sim.tick();
            let request = Fingerprint(10 + u128::from(sim.rng.random_range(0..4_u32)));
            let daemon = sim.rng.random_range(0..4);
            let run_ms = sim.rng.random_range(20..200);
            sim.send(daemon, request, run_ms, 0);
            if sim.now % 6_000 == 0 {
                (0..8).for_each(|number| sim.crash(number));
            }
        }
        assert!(sim.refused.is_empty(), "{:?}", sim.refused);
    }
}

/// Prompts with a system part, one of some topics, and often a part of their session.
#[derive(Default)]
struct Prompts {
    sent: u128,
}

impl Prompts {
    fn next_request(&mut self) -> Fingerprint {
        self.sent += 1;
        Fingerprint(1 << 64 | self.sent)
    }

    /// Sends a sound request, which its caller repeats up to three times.
    fn send_sound(&mut self, sim: &mut Simulation) {
        let topic = part(10 + sim.rng.random_range(0..20_u64));
        let session = part(1_000 + sim.rng.random_range(0..300_u64));
        let run_ms = sim.rng.random_range(50..1_500);
        let daemon = sim.rng.random_range(0..sim.trackers.len());
        let request = self.next_request();
        sim.send_prompt(daemon, request, vec![part(1), topic, session], run_ms, 3);
    }

    /// Sends a request with the part that crashes its servers.
    fn send_fatal(&mut self, sim: &mut Simulation) {
        let daemon = sim.rng.random_range(0..sim.trackers.len());
        let request = self.next_request();
        sim.send_prompt(daemon, request, vec![part(1), fatal_part()], TIME_TO_CRASH_MS, 0);
    }
}

/// Guards against parts that are blocked although they crash no server: servers crash by themselves
/// at an interval, all at once, or under everything that they run.
#[parameterized(
    storm = { 700, 0, 0 },
    pool_lost_at_once = { 0, 6_000, 0 },
    release_that_crashes_under_everything = { 0, 0, 6 },
    whole_pool_crashes_under_everything = { 0, 0, 12 },
    storm_beside_a_bad_release = { 700, 0, 3 },
)]
fn crashes_of_servers_block_almost_no_prompt(storm_ms: u64, lost_ms: u64, broken: usize) {
    let (mut sent, mut refused) = (0, 0);
    for seed in 0..5 {
        let mut sim = Simulation::new(seed, 8, 12, Vec::new());
        sim.broken_servers = broken;
        let mut prompts = Prompts::default();
        while sim.now < 30_000 {
            sim.tick();
            if sim.now % 20 == 0 {
                prompts.send_sound(&mut sim);
            }
            if storm_ms > 0 && sim.now % storm_ms == 0 {
                let number = sim.rng.random_range(0..12);
                sim.crash(number);
            }
            if lost_ms > 0 && sim.now % lost_ms == 0 {
                (0..12).for_each(|number| sim.crash(number));
            }
        }
        sent += prompts.sent;
        refused += sim.refused.len();
    }
    println!("{refused} of {sent} prompts refused");
    let fraction = refused as f64 / sent as f64;
    assert!(fraction < MAX_REFUSED_FRACTION, "{refused} of {sent} refused");
}

/// Guards against innocent parts that are blocked beside one that crashes servers.
#[test]
fn prompts_beside_a_part_that_crashes_its_servers_are_not_refused() {
    let (mut sent, mut refused, mut unblocked) = (0, 0, 0);
    for seed in 0..30 {
        let mut sim = Simulation::new(seed, 8, 12, Vec::new());
        let mut prompts = Prompts::default();
        while sim.now < 15_000 {
            sim.tick();
            if sim.now % 20 == 0 {
                prompts.send_sound(&mut sim);
            }
            if sim.now > 3_000 && sim.now % 170 == 0 {
                prompts.send_fatal(&mut sim);
            }
        }
        sent += prompts.sent;
        let blocks = sim.trackers[0].blocks(sim.now);
        unblocked += usize::from(!blocks.iter().any(|block| block.request == fatal_part()));
        refused += usize::from(blocks.len() > 1);
        assert!(sim.late_part_sends <= MAX_LATE_SENDS, "seed {seed}: {}", sim.late_part_sends);
    }
    println!("{refused} of 30 fleets block more than the part, {unblocked} don't, {sent} sent");
    assert_eq!(unblocked, 0);
    assert!(refused <= 1, "{refused} fleets block others as well");
}
