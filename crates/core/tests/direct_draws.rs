//! Daemons that write a budget's shard by themselves: whatever becomes of writes
//! and of daemons, no more is handed out than the budget holds.

mod common;

use bankcove_core::Tokens;
use bankcove_core::holder::{LEFT_TO_HELD_RATIO, Reservation};
use bankcove_core::owner::Request;
use common::budget;
use common::direct::{Fate, World as Fleet};
use proptest::prelude::*;

const TOTAL: Tokens = 10_000;
const DAEMONS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Serve(usize, Tokens, Tokens, Fate),
    DrawAhead(usize, Fate),
    GiveBack(usize, Fate),
    Kill(usize),
    Retire(usize, Fate),
}

/// A fleet, and what its callers were handed.
struct World {
    fleet: Fleet,
    handed_out: Tokens,
}

impl World {
    fn new() -> Self {
        World { fleet: Fleet::new(common::terms(TOTAL, DAEMONS as u64)), handed_out: 0 }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Serve(n, tokens, used, fate) => {
                let now = self.fleet.now;
                let daemon = &mut self.fleet.daemons[n];
                if let Err(short) = daemon.holder.reserve(&budget(), tokens, now) {
                    self.fleet.draw(n, short.missing, fate);
                    let now = self.fleet.now;
                    let daemon = &mut self.fleet.daemons[n];
                    let again = daemon.holder.reserve(&budget(), tokens, now);
                    daemon.open.extend(again);
                    return;
                }
                // The last one stays open, and the one before it ends.
                if let Some(reservation) = daemon.open.pop() {
                    self.handed_out += used.min(reservation.tokens());
                    daemon.holder.settle(reservation, used);
                }
            }
            Step::DrawAhead(n, fate) => self.fleet.draw(n, 0, fate),
            Step::GiveBack(n, fate) => {
                self.fleet.now += 3_000;
                let (terms, now) = (self.fleet.terms, self.fleet.now);
                self.fleet.daemons[n].holder.return_surplus_to_store(&budget(), &terms, now);
                self.fleet.draw(n, 0, fate);
            }
            Step::Kill(n) => {
                // What was open may have been handed out as a whole.
                let open = self.fleet.restart(n);
                self.handed_out += open.iter().map(Reservation::tokens).sum::<Tokens>();
            }
            Step::Retire(n, fate) => {
                let daemon = &mut self.fleet.daemons[n];
                for reservation in std::mem::take(&mut daemon.open) {
                    let tokens = reservation.tokens();
                    self.handed_out += tokens;
                    daemon.holder.settle(reservation, tokens);
                }
                let holder = daemon.holder.incarnation();
                let kept = daemon.holder.retire(&budget());
                self.fleet.ask(n, Request::Retire { budget: budget(), holder, kept }, fate);
                self.fleet.restart(n);
            }
        }
    }

    fn promised(&self) -> Tokens {
        let open = self.fleet.daemons.iter().flat_map(|daemon| &daemon.open);
        self.handed_out + open.map(Reservation::tokens).sum::<Tokens>()
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Done),
        1 => Just(Fate::DoneAndLost),
        1 => Just(Fate::LostAndNotDone),
        1 => Just(Fate::Away),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let n = || 0..DAEMONS;
    prop_oneof![
        8 => (n(), 1..1_500_u64, 1..1_500_u64, fate())
            .prop_map(|(n, tokens, used, fate)| Step::Serve(n, tokens, used, fate)),
        2 => (n(), fate()).prop_map(|(n, fate)| Step::DrawAhead(n, fate)),
        2 => (n(), fate()).prop_map(|(n, fate)| Step::GiveBack(n, fate)),
        1 => n().prop_map(Step::Kill),
        1 => (n(), fate()).prop_map(|(n, fate)| Step::Retire(n, fate)),
    ]
}

proptest! {
    #[test]
    fn no_more_is_promised_than_the_budget_holds(
        steps in prop::collection::vec(step(), 1..120),
        kept_for_others in prop_oneof![Just(0.0), Just(0.2), Just(1.0)],
    ) {
        let mut world = World::new();
        world.fleet.terms.kept_for_others = kept_for_others;
        for step in steps {
            world.step(step);
            prop_assert!(world.promised() <= TOTAL, "{} of {TOTAL}", world.promised());
        }
    }
}

#[test]
fn what_is_held_too_much_goes_back_to_the_store() {
    let mut world = World::new();
    world.fleet.draw(0, 4_000, Fate::Done);
    let before = world.fleet.ledger().available();
    world.step(Step::GiveBack(0, Fate::Done));
    let ledger = world.fleet.ledger();
    assert!(ledger.available() > before, "{ledger:?}");
    assert_eq!(ledger.available() as i64 + ledger.committed(), TOTAL as i64);
}

#[test]
fn a_give_back_whose_answer_was_lost_counts_once() {
    let mut world = World::new();
    world.fleet.draw(0, 4_000, Fate::Done);
    world.step(Step::GiveBack(0, Fate::DoneAndLost));
    let after = world.fleet.ledger().available();
    world.fleet.draw(0, 0, Fate::Done);
    assert!(world.fleet.ledger().available() <= after);
    assert_eq!(world.fleet.ledger().committed() + after as i64, TOTAL as i64);
}

#[test]
fn holders_keep_a_part_of_what_is_left_in_the_store() {
    let mut world = World::new();
    for round in 0..200 {
        world.fleet.now += 100;
        world.step(Step::Serve(round % DAEMONS, 30, 30, Fate::Done));
        world.step(Step::DrawAhead(round % DAEMONS, Fate::Done));
        world.step(Step::GiveBack(round % DAEMONS, Fate::Done));
    }
    let free: Tokens = world.fleet.daemons.iter().map(|daemon| daemon.holder.free(&budget())).sum();
    let left = world.fleet.ledger().available();
    // A draw may have been made when more was left than is now.
    assert!(free <= left, "{free} held, {left} left, {LEFT_TO_HELD_RATIO} asked");
}

#[test]
fn a_later_start_ends_the_grants_of_earlier_ones_as_spent() {
    let mut world = World::new();
    world.fleet.draw(0, 1_000, Fate::Done);
    world.fleet.draw(1, 1_000, Fate::Done);
    let committed = world.fleet.ledger().committed();
    world.step(Step::Kill(0));
    world.fleet.draw(0, 100, Fate::Done);
    let ledger = world.fleet.ledger();
    assert_eq!(ledger.grants.len(), 2);
    assert!(ledger.committed() >= committed + 100, "{ledger:?}");
}
