//! Tests draws through another daemon, the owner of the shard: spent and held tokens never
//! exceed the budget, and incarnations that no longer run are removed from the ledger.

mod common;

use bankcove_core::Tokens;
use bankcove_core::holder::{Draw, DrawTerms, PrefetchScope, Reservation};
use bankcove_core::owner::Request;
use common::budget;
use common::direct::{StoreFault, World as Fleet};
use proptest::prelude::*;

const TOTAL: Tokens = 10_000;
const DAEMONS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Draw { n: usize, owner: usize, need: Tokens, fault: StoreFault },
    Reserve { n: usize, tokens: Tokens },
    Settle { n: usize, used: Tokens },
    Return { n: usize, owner: usize },
    Kill { n: usize },
    RepeatOldDraw { which: usize, owner: usize },
}

struct World {
    fleet: Fleet,
    spent: Tokens,
    draws: Vec<Draw>,
}

impl World {
    fn new() -> Self {
        let terms =
            DrawTerms { prefetch: PrefetchScope::ForFleet, ..common::terms(TOTAL, DAEMONS as u64) };
        World { fleet: Fleet::new(terms), spent: 0, draws: Vec::new() }
    }

    fn draw(&mut self, n: usize, owner: usize, need: Tokens, fault: StoreFault) {
        let draw = self.fleet.draw_through(n, owner, need, fault);
        self.draws.push(draw);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Draw { n, owner, need, fault } => self.draw(n, owner, need, fault),
            Step::Reserve { n, tokens } => {
                let now = self.fleet.now;
                let daemon = &mut self.fleet.daemons[n];
                let reserved = daemon.holder.reserve(&budget(), tokens, now);
                daemon.open.extend(reserved);
            }
            Step::Settle { n, used } => {
                let daemon = &mut self.fleet.daemons[n];
                if let Some(reservation) = daemon.open.pop() {
                    self.spent += used.min(reservation.tokens());
                    daemon.holder.settle(reservation, used);
                }
            }
            Step::Return { n, owner } => {
                self.fleet.now += 3_000;
                let (terms, now) = (self.fleet.terms, self.fleet.now);
                self.fleet.daemons[n].holder.return_surplus_to_store(&budget(), &terms, now);
                self.draw(n, owner, 0, StoreFault::None);
            }
            Step::Kill { n } => {
                let open = self.fleet.restart(n);
                self.spent += open.iter().map(Reservation::tokens).sum::<Tokens>();
            }
            Step::RepeatOldDraw { which, owner } => {
                // A delayed draw, possibly of an earlier incarnation; the reply is ignored.
                if let Some(draw) = self.draws.get(which % self.draws.len().max(1)).cloned() {
                    let _ignored = self.fleet.request(owner, Request::Draw(draw), StoreFault::None);
                }
            }
        }
    }

    /// Returns the sum of the spent, reserved and free tokens.
    fn spent_or_held(&self) -> Tokens {
        let open = self.fleet.daemons.iter().flat_map(|daemon| &daemon.open);
        let free = self.fleet.daemons.iter().map(|daemon| daemon.holder.free(&budget()));
        self.spent + open.map(Reservation::tokens).sum::<Tokens>() + free.sum::<Tokens>()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let n = || 0..DAEMONS;
    let fault = prop_oneof![
        4 => Just(StoreFault::None),
        1 => Just(StoreFault::ReplyLost),
        1 => Just(StoreFault::RequestLost),
        1 => Just(StoreFault::Unavailable),
    ];
    prop_oneof![
        6 => (n(), n(), 0..2_000_u64, fault)
            .prop_map(|(n, owner, need, fault)| Step::Draw { n, owner, need, fault }),
        6 => (n(), 1..900_u64).prop_map(|(n, tokens)| Step::Reserve { n, tokens }),
        4 => (n(), 0..900_u64).prop_map(|(n, used)| Step::Settle { n, used }),
        2 => (n(), n()).prop_map(|(n, owner)| Step::Return { n, owner }),
        2 => n().prop_map(|n| Step::Kill { n }),
        2 => (0..50_usize, n()).prop_map(|(which, owner)| Step::RepeatOldDraw { which, owner }),
    ]
}

proptest! {
    #[test]
    fn spent_and_held_tokens_never_exceed_the_budget(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            prop_assert!(world.spent_or_held() <= TOTAL, "{} of {TOTAL}", world.spent_or_held());
        }
    }
}

/// Guards against a ledger that grows by one grant with each restart of a daemon.
#[test]
fn an_earlier_incarnation_leaves_the_ledger_after_a_draw_of_its_successor() {
    let mut world = World::new();
    for _ in 0..5 {
        world.draw(1, 0, 100, StoreFault::None);
        world.draw(1, 0, 100, StoreFault::None);
        world.fleet.restart(1);
    }
    world.draw(1, 0, 100, StoreFault::None);
    world.draw(1, 0, 100, StoreFault::None);
    assert_eq!(world.fleet.ledger().grants.len(), 1);
}

#[test]
fn a_delayed_draw_of_an_earlier_incarnation_does_not_retire_a_later_one() {
    let mut world = World::new();
    world.draw(1, 0, 100, StoreFault::None);
    world.fleet.restart(1);
    world.draw(1, 0, 100, StoreFault::None);
    world.draw(1, 0, 100, StoreFault::None);
    let current = world.fleet.daemons[1].holder.incarnation();
    world.step(Step::RepeatOldDraw { which: 0, owner: 0 });
    assert!(world.fleet.ledger().grants.contains_key(&current));
}

#[test]
fn a_holder_that_prefetches_for_the_fleet_has_the_share_of_all_holders() {
    let mut world = World::new();
    for n in 0..DAEMONS {
        world.draw(n, 0, 10, StoreFault::None);
    }
    let ledger = world.fleet.ledger();
    let me = world.fleet.daemons[0].holder.incarnation();
    let for_itself = DrawTerms { prefetch: PrefetchScope::ForItself, ..world.fleet.terms };
    assert!(ledger.share(me, &world.fleet.terms) >= 2 * ledger.share(me, &for_itself));
}
