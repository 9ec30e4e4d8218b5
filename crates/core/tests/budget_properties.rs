//! Properties of budgets under generated sequences of draws, spending, retirements,
//! outages and crashes.

mod common;

use bankcove_core::Incarnation;
use bankcove_core::holder::Reservation;
use common::{World, budget};
use proptest::prelude::*;

const DAEMONS: usize = 4;
const TOKENS: u64 = 1_000;

#[derive(Debug, Clone)]
enum Step {
    ReserveAndSettle { owner: usize, holder: usize, tokens: u64, used: u64 },
    Reserve { owner: usize, holder: usize, tokens: u64 },
    SettleOldest { used: u64 },
    StoreUnavailable(bool),
    LoseReply,
    TopUp { owner: usize, id: u8 },
    Wait(u64),
    Kill(usize),
    Reclaim { owner: usize, holder: usize },
    Open { holder: usize, tokens: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        6 => (daemon.clone(), daemon.clone(), 1..300u64, 0..300u64).prop_map(
            |(owner, holder, tokens, used)| Step::ReserveAndSettle { owner, holder, tokens, used }
        ),
        2 => (daemon.clone(), daemon.clone(), 1..300u64)
            .prop_map(|(owner, holder, tokens)| Step::Reserve { owner, holder, tokens }),
        2 => (0..300u64).prop_map(|used| Step::SettleOldest { used }),
        1 => any::<bool>().prop_map(Step::StoreUnavailable),
        1 => Just(Step::LoseReply),
        1 => (daemon, 0..3u8).prop_map(|(owner, id)| Step::TopUp { owner, id }),
        1 => (1..2_000u64).prop_map(Step::Wait),
        1 => (0..DAEMONS).prop_map(Step::Kill),
        1 => (0..DAEMONS, 0..DAEMONS).prop_map(|(owner, holder)| Step::Reclaim { owner, holder }),
        1 => (0..DAEMONS, 1..400u64).prop_map(|(holder, tokens)| Step::Open { holder, tokens }),
    ]
}

proptest! {
    #[test]
    fn holders_never_have_more_than_the_budget(steps in proptest::collection::vec(step(), 1..60)) {
        let mut world = World::new(DAEMONS as u64, TOKENS);
        let mut reserved: Vec<(usize, Reservation)> = Vec::new();
        for step in steps {
            match step {
                Step::ReserveAndSettle { owner, holder, tokens, used } => {
                    if let Some(reservation) = world.reserve(owner, holder, tokens) {
                        world.settle(holder, reservation, used);
                    }
                }
                Step::Reserve { owner, holder, tokens } => {
                    reserved.extend(world.reserve(owner, holder, tokens).map(|r| (holder, r)));
                }
                Step::SettleOldest { used } => {
                    if !reserved.is_empty() {
                        let (holder, reservation) = reserved.remove(0);
                        world.settle(holder, reservation, used);
                    }
                }
                Step::StoreUnavailable(is_unavailable) => world.store_unavailable = is_unavailable,
                Step::LoseReply => world.lose_next_reply = true,
                Step::TopUp { owner, id } => world.top_up(owner, &format!("t-{id}"), 100),
                Step::Wait(millis) => world.now += millis,
                Step::Kill(daemon) => world.dead[daemon] = true,
                // Also of a live holder, which may only appear to have crashed.
                Step::Reclaim { owner, holder } => world.reclaim(owner, holder),
                Step::Open { holder, tokens } => {
                    world.open(holder, tokens);
                }
            }
            let shard = world.stored_shard();
            let ledger = shard.budgets.get(&budget()).cloned().unwrap_or_default();
            let total = ledger.total().max(TOKENS);
            prop_assert!(world.usable() <= total, "{} in use of {total}", world.usable());
            prop_assert!(ledger.committed() <= ledger.total() as i64);
        }
    }

    #[test]
    fn no_request_is_refused_while_enough_tokens_are_free(
        requests in proptest::collection::vec((0..DAEMONS, 0..DAEMONS, 1..200u64, 0..200u64), 1..40),
    ) {
        let mut world = World::new(DAEMONS as u64, TOKENS);
        for (owner, holder, tokens, used) in requests {
            let left = TOKENS - world.spent();
            match world.reserve(owner, holder, tokens) {
                Some(reservation) => world.settle(holder, reservation, used),
                None => prop_assert!(left < tokens, "{left} left, {tokens} refused"),
            }
            world.now += 300;
        }
    }

    #[test]
    fn retired_fleet_keeps_exactly_the_spent_tokens(
        requests in proptest::collection::vec((0..DAEMONS, 0..DAEMONS, 1..200u64, 0..200u64), 1..40),
    ) {
        let mut world = World::new(DAEMONS as u64, TOKENS);
        for (owner, holder, tokens, used) in requests {
            if let Some(reservation) = world.reserve(owner, holder, tokens) {
                world.settle(holder, reservation, used);
            }
        }
        let spent = world.spent();
        for holder in 0..DAEMONS {
            world.retire(0, holder);
        }
        let shard = world.stored_shard();
        let ledger = shard.budgets.get(&budget()).cloned().unwrap_or_default();
        prop_assert_eq!(ledger.retired, spent as i64);
        prop_assert!(!ledger.grants.contains_key(&Incarnation(0)));
    }
}
