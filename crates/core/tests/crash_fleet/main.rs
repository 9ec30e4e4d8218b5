//! A fleet of daemons with the product's own book of crashes: cuts, frozen and restarted
//! daemons, any order of crashes. A request that crashes its servers stops at three wherever
//! it comes; a storm of crashes without such a request blocks hardly anybody.

mod world;

use bankcove_core::Fingerprint;
use proptest::prelude::*;
use rand::Rng;

use world::{BESIDE, FATAL, FUSE_MS, Kind, MOST_LATE_SENDS, TICK_MS, Trouble, World};

fn trouble(daemons: usize) -> impl Strategy<Value = Trouble> {
    let kinds = prop_oneof![Just(Kind::Cut), Just(Kind::Frozen), Just(Kind::Restart)];
    (0..daemons, 0..1_500_u64, 10..400_u64, kinds).prop_map(|(daemon, from, length, kind)| {
        let from = from * TICK_MS;
        Trouble { daemon, from, until: from + length * TICK_MS, kind }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn a_request_that_crashes_its_servers_stops_at_three(
        seed in any::<u64>(),
        daemons in 1..24_usize,
        servers in 4..16_usize,
        pause in 10..120_u64,
        troubles in prop::collection::vec(trouble(24), 0..8),
    ) {
        let here = troubles.into_iter().filter(|trouble| trouble.daemon < daemons).collect();
        let mut world = World::new(seed, daemons, servers, here);
        let mut honest = 1_000;
        while world.now < 20_000 {
            world.tick();
            let daemon = world.rng.random_range(0..daemons);
            if world.now % (pause * TICK_MS) == 0 {
                world.send(daemon, FATAL, FUSE_MS, 0);
            }
            if world.now % 50 == 0 {
                honest += 1;
                let run_ms = world.rng.random_range(50..1_500);
                world.send(daemon, Fingerprint(honest), run_ms, 2);
            }
        }
        prop_assert!(world.late_sends <= MOST_LATE_SENDS, "{} late sends", world.late_sends);
    }

    /// All daemons are lost at once, whatever was known then: what was blocked stays so.
    #[test]
    fn a_blocked_request_stays_so_through_the_loss_of_all_daemons(
        seed in any::<u64>(),
        daemons in 1..12_usize,
        lost_at in 400..1_200_u64,
    ) {
        let lost_at = lost_at * TICK_MS;
        let loss = |daemon| Trouble {
            daemon, from: lost_at, until: lost_at + 1_000, kind: Kind::Restart,
        };
        let mut world = World::new(seed, daemons, 8, (0..daemons).map(loss).collect());
        while world.now < 20_000 {
            world.tick();
            if world.now % 400 == 0 {
                let daemon = world.rng.random_range(0..daemons);
                world.send(daemon, FATAL, FUSE_MS, 0);
            }
        }
        prop_assert!(world.late_sends <= MOST_LATE_SENDS, "{} late sends", world.late_sends);
    }
}

/// Of the honest requests in a storm of crashes fewer than this part may be refused. A third
/// crash of one without a success in between takes two repeats that both meet a crash.
const MOST_REFUSED: f64 = 0.001;

/// Servers crash by themselves, one in so many milliseconds, for a minute; callers come up to
/// three times again. One request in ten is the same as others of its caller.
#[test]
fn a_storm_of_crashes_blocks_hardly_anybody() {
    let (mut sent, mut refused) = (0_usize, 0_usize);
    for seed in 0..20 {
        let mut world = World::new(seed, 8, 12, Vec::new());
        while world.now < 60_000 {
            world.tick();
            if world.now % 50 == 0 {
                sent += 1;
                let is_common = world.rng.random_range(0..10) == 0;
                let common = u128::from(world.rng.random_range(10..15_u32));
                let own = 10_000 + sent as u128;
                let request = Fingerprint(if is_common { common } else { own });
                let run_ms = world.rng.random_range(50..1_500);
                let daemon = world.rng.random_range(0..8);
                world.send(daemon, request, run_ms, 3);
            }
            if world.now % 700 == 0 {
                let number = world.rng.random_range(0..12);
                world.crash(number);
            }
        }
        refused += world.refused.len();
    }
    println!("{refused} of {sent} honest requests refused");
    let share = refused as f64 / sent as f64;
    assert!(share < MOST_REFUSED, "{refused} of {sent} refused");
}

/// Of the worlds in which an honest request runs beside the one that crashes its servers each
/// time, it may be blocked in fewer than this part: where four servers crashed under both.
const MOST_BLOCKED_BESIDE: f64 = 0.05;

/// Both requests come together, to the same host and at first to the same server, so that they
/// have the same crashes.
#[test]
fn a_request_that_always_runs_beside_one_that_crashes_its_servers_is_hardly_ever_blocked() {
    let (mut worlds, mut blocked, mut late_sends) = (0_usize, 0_usize, 0);
    for seed in 0..200 {
        let mut world = World::new(seed, 8, 12, Vec::new());
        while world.now < 20_000 {
            world.tick();
            if world.now % 300 == 0 {
                let daemon = world.rng.random_range(0..8);
                world.send(daemon, FATAL, FUSE_MS, 0);
                world.send_beside(daemon, BESIDE, 1_000);
            }
        }
        worlds += 1;
        blocked += usize::from(world.refused.contains(&BESIDE));
        late_sends = late_sends.max(world.late_sends);
        assert!(world.refused.contains(&FATAL), "seed {seed}: {} crashes", world.crashes);
    }
    println!("blocked in {blocked} of {worlds} worlds, {late_sends} late sends at most");
    assert!(late_sends <= MOST_LATE_SENDS, "{late_sends} late sends");
    assert!((blocked as f64) < MOST_BLOCKED_BESIDE * worlds as f64, "{blocked}");
}

/// All servers of a pool are lost at one moment, several times, with the same few requests
/// running on all of them: nothing was wrong with any.
#[test]
fn servers_that_are_lost_together_block_no_common_request() {
    for seed in 0..20 {
        let mut world = World::new(seed, 4, 8, Vec::new());
        while world.now < 30_000 {
            world.tick();
            let request = Fingerprint(10 + u128::from(world.rng.random_range(0..4_u32)));
            let daemon = world.rng.random_range(0..4);
            let run_ms = world.rng.random_range(20..200);
            world.send(daemon, request, run_ms, 0);
            if world.now % 6_000 == 0 {
                (0..8).for_each(|number| world.crash(number));
            }
        }
        assert!(world.refused.is_empty(), "{:?}", world.refused);
    }
}
