//! Tests daemons that write a budget's shard themselves: reserved and spent tokens never
//! exceed the budget, whatever happens to writes and daemons.

mod common;

use bankcove_core::Tokens;
use bankcove_core::holder::{LEFT_TO_HELD_RATIO, Reservation};
use bankcove_core::owner::Request;
use common::budget;
use common::direct::{StoreFault, World as Fleet};
use proptest::prelude::*;

const TOTAL: Tokens = 10_000;
const DAEMONS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Serve(usize, Tokens, Tokens, StoreFault),
    Prefetch(usize, StoreFault),
    Return(usize, StoreFault),
    Kill(usize),
    Retire(usize, StoreFault),
}

/// A fleet, and the tokens spent by its callers.
struct World {
    fleet: Fleet,
    spent: Tokens,
}

impl World {
    fn new() -> Self {
        World { fleet: Fleet::new(common::terms(TOTAL, DAEMONS as u64)), spent: 0 }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Serve(n, tokens, used, fault) => {
                let now = self.fleet.now;
                let daemon = &mut self.fleet.daemons[n];
                if let Err(short) = daemon.holder.reserve(&budget(), tokens, now) {
                    self.fleet.draw(n, short.missing, fault);
                    let now = self.fleet.now;
                    let daemon = &mut self.fleet.daemons[n];
                    let reservation = daemon.holder.reserve(&budget(), tokens, now);
                    daemon.open.extend(reservation);
                    return;
                }
                // The new reservation is dropped unsettled, so the holder keeps its tokens reserved.
                // The newest one of those that had to draw is settled.
                if let Some(mut reservation) = daemon.open.pop() {
                    // Whether it gets the tokens or not.
                    daemon.holder.extend(&mut reservation, tokens);
                    self.spent += used.min(reservation.tokens());
                    daemon.holder.settle(reservation, used);
                }
            }
            Step::Prefetch(n, fault) => self.fleet.draw(n, 0, fault),
            Step::Return(n, fault) => {
                self.fleet.now += 3_000;
                let (terms, now) = (self.fleet.terms, self.fleet.now);
                self.fleet.daemons[n].holder.return_surplus_to_store(&budget(), &terms, now);
                self.fleet.draw(n, 0, fault);
            }
            Step::Kill(n) => {
                // Open reservations may have been spent completely.
                let open = self.fleet.restart(n);
                self.spent += open.iter().map(Reservation::tokens).sum::<Tokens>();
            }
            Step::Retire(n, fault) => {
                let daemon = &mut self.fleet.daemons[n];
                for reservation in std::mem::take(&mut daemon.open) {
                    let tokens = reservation.tokens();
                    self.spent += tokens;
                    daemon.holder.settle(reservation, tokens);
                }
                let holder = daemon.holder.incarnation();
                let kept = daemon.holder.retire(&budget());
                self.fleet.request(n, Request::Retire { budget: budget(), holder, kept }, fault);
                self.fleet.restart(n);
            }
        }
    }

    /// Returns the sum of the spent and reserved tokens.
    fn in_use(&self) -> Tokens {
        let open = self.fleet.daemons.iter().flat_map(|daemon| &daemon.open);
        self.spent + open.map(Reservation::tokens).sum::<Tokens>()
    }
}

fn fault() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        6 => Just(StoreFault::None),
        1 => Just(StoreFault::ReplyLost),
        1 => Just(StoreFault::RequestLost),
        1 => Just(StoreFault::Unavailable),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let n = || 0..DAEMONS;
    prop_oneof![
        8 => (n(), 1..1_500_u64, 1..1_500_u64, fault())
            .prop_map(|(n, tokens, used, fault)| Step::Serve(n, tokens, used, fault)),
        2 => (n(), fault()).prop_map(|(n, fault)| Step::Prefetch(n, fault)),
        2 => (n(), fault()).prop_map(|(n, fault)| Step::Return(n, fault)),
        1 => n().prop_map(Step::Kill),
        1 => (n(), fault()).prop_map(|(n, fault)| Step::Retire(n, fault)),
    ]
}

proptest! {
    #[test]
    fn tokens_in_use_never_exceed_the_budget(
        steps in prop::collection::vec(step(), 1..120),
        kept_for_others in prop_oneof![Just(0.0), Just(0.2), Just(1.0)],
    ) {
        let mut world = World::new();
        world.fleet.terms.kept_for_others = kept_for_others;
        for step in steps {
            world.step(step);
            prop_assert!(world.in_use() <= TOTAL, "{} of {TOTAL}", world.in_use());
        }
    }
}

#[test]
fn surplus_tokens_are_returned_to_the_store() {
    let mut world = World::new();
    world.fleet.draw(0, 4_000, StoreFault::None);
    let before = world.fleet.ledger().available();
    world.step(Step::Return(0, StoreFault::None));
    let ledger = world.fleet.ledger();
    assert!(ledger.available() > before, "{ledger:?}");
    assert_eq!(ledger.available() as i64 + ledger.committed(), TOTAL as i64);
}

#[test]
fn a_return_with_a_lost_reply_counts_once() {
    let mut world = World::new();
    world.fleet.draw(0, 4_000, StoreFault::None);
    world.step(Step::Return(0, StoreFault::ReplyLost));
    let after = world.fleet.ledger().available();
    world.fleet.draw(0, 0, StoreFault::None);
    assert!(world.fleet.ledger().available() <= after);
    assert_eq!(world.fleet.ledger().committed() + after as i64, TOTAL as i64);
}

#[test]
fn holders_keep_no_more_than_is_left_in_the_store() {
    let mut world = World::new();
    for round in 0..200 {
        world.fleet.now += 100;
        world.step(Step::Serve(round % DAEMONS, 30, 30, StoreFault::None));
        world.step(Step::Prefetch(round % DAEMONS, StoreFault::None));
        world.step(Step::Return(round % DAEMONS, StoreFault::None));
    }
    let free: Tokens = world.fleet.daemons.iter().map(|daemon| daemon.holder.free(&budget())).sum();
    let left = world.fleet.ledger().available();
    // The bound is weaker than the configured ratio, because some draws may have been made
    // when more tokens were left.
    assert!(free <= left, "{free} held, {left} left, expected ratio {LEFT_TO_HELD_RATIO}");
}

#[test]
fn a_restart_retires_the_earlier_incarnation_with_its_grant_as_spent() {
    let mut world = World::new();
    world.fleet.draw(0, 1_000, StoreFault::None);
    world.fleet.draw(1, 1_000, StoreFault::None);
    let committed = world.fleet.ledger().committed();
    world.step(Step::Kill(0));
    world.fleet.draw(0, 100, StoreFault::None);
    let ledger = world.fleet.ledger();
    assert_eq!(ledger.grants.len(), 2);
    assert!(ledger.committed() >= committed + 100, "{ledger:?}");
}
