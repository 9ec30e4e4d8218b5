//! Draws that go by way of another daemon, the owner of the shard: no more is handed out
//! than the budget holds, and starts that are gone leave the ledger.

mod common;

use bankcove_core::Tokens;
use bankcove_core::holder::{Draw, DrawTerms, PrefetchScope, Reservation};
use bankcove_core::owner::Request;
use common::budget;
use common::direct::{Fate, World as Fleet};
use proptest::prelude::*;

const TOTAL: Tokens = 10_000;
const DAEMONS: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Draw { n: usize, owner: usize, need: Tokens, fate: Fate },
    Reserve { n: usize, tokens: Tokens },
    Settle { n: usize, used: Tokens },
    GiveBack { n: usize, owner: usize },
    Kill { n: usize },
    RepeatOldDraw { which: usize, owner: usize },
}

struct World {
    fleet: Fleet,
    gone: Tokens,
    draws: Vec<Draw>,
}

impl World {
    fn new() -> Self {
        let terms =
            DrawTerms { prefetch: PrefetchScope::ForFleet, ..common::terms(TOTAL, DAEMONS as u64) };
        World { fleet: Fleet::new(terms), gone: 0, draws: Vec::new() }
    }

    fn draw(&mut self, n: usize, owner: usize, need: Tokens, fate: Fate) {
        let draw = self.fleet.draw_by(n, owner, need, fate);
        self.draws.push(draw);
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Draw { n, owner, need, fate } => self.draw(n, owner, need, fate),
            Step::Reserve { n, tokens } => {
                let now = self.fleet.now;
                let daemon = &mut self.fleet.daemons[n];
                let reserved = daemon.holder.reserve(&budget(), tokens, now);
                daemon.open.extend(reserved);
            }
            Step::Settle { n, used } => {
                let daemon = &mut self.fleet.daemons[n];
                if let Some(reservation) = daemon.open.pop() {
                    self.gone += used.min(reservation.tokens());
                    daemon.holder.settle(reservation, used);
                }
            }
            Step::GiveBack { n, owner } => {
                self.fleet.now += 3_000;
                let (terms, now) = (self.fleet.terms, self.fleet.now);
                self.fleet.daemons[n].holder.return_surplus_to_store(&budget(), &terms, now);
                self.draw(n, owner, 0, Fate::Done);
            }
            Step::Kill { n } => {
                let open = self.fleet.restart(n);
                self.gone += open.iter().map(Reservation::tokens).sum::<Tokens>();
            }
            Step::RepeatOldDraw { which, owner } => {
                // It comes late, perhaps of a start that is gone; nobody hears the answer.
                if let Some(draw) = self.draws.get(which % self.draws.len().max(1)).cloned() {
                    let _unheard = self.fleet.ask(owner, Request::Draw(draw), Fate::Done);
                }
            }
        }
    }

    /// Tokens that were spent, are promised, or may still be.
    fn in_all(&self) -> Tokens {
        let open = self.fleet.daemons.iter().flat_map(|daemon| &daemon.open);
        let free = self.fleet.daemons.iter().map(|daemon| daemon.holder.free(&budget()));
        self.gone + open.map(Reservation::tokens).sum::<Tokens>() + free.sum::<Tokens>()
    }
}

fn step() -> impl Strategy<Value = Step> {
    let n = || 0..DAEMONS;
    let fate = prop_oneof![
        4 => Just(Fate::Done),
        1 => Just(Fate::DoneAndLost),
        1 => Just(Fate::LostAndNotDone),
        1 => Just(Fate::Away),
    ];
    prop_oneof![
        6 => (n(), n(), 0..2_000_u64, fate)
            .prop_map(|(n, owner, need, fate)| Step::Draw { n, owner, need, fate }),
        6 => (n(), 1..900_u64).prop_map(|(n, tokens)| Step::Reserve { n, tokens }),
        4 => (n(), 0..900_u64).prop_map(|(n, used)| Step::Settle { n, used }),
        2 => (n(), n()).prop_map(|(n, owner)| Step::GiveBack { n, owner }),
        2 => n().prop_map(|n| Step::Kill { n }),
        2 => (0..50_usize, n()).prop_map(|(which, owner)| Step::RepeatOldDraw { which, owner }),
    ]
}

proptest! {
    #[test]
    fn no_more_is_handed_out_than_there_is(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            prop_assert!(world.in_all() <= TOTAL, "{} of {TOTAL}", world.in_all());
        }
    }
}

/// Otherwise the ledger of each budget would grow by a grant with each start of its owner.
#[test]
fn a_start_that_is_gone_leaves_the_ledger_by_the_word_of_the_next() {
    let mut world = World::new();
    for _ in 0..5 {
        world.draw(1, 0, 100, Fate::Done);
        world.draw(1, 0, 100, Fate::Done);
        world.fleet.restart(1);
    }
    world.draw(1, 0, 100, Fate::Done);
    world.draw(1, 0, 100, Fate::Done);
    assert_eq!(world.fleet.ledger().grants.len(), 1);
}

#[test]
fn a_late_draw_of_an_earlier_start_ends_no_later_one() {
    let mut world = World::new();
    world.draw(1, 0, 100, Fate::Done);
    world.fleet.restart(1);
    world.draw(1, 0, 100, Fate::Done);
    world.draw(1, 0, 100, Fate::Done);
    let now = world.fleet.daemons[1].holder.incarnation();
    world.step(Step::RepeatOldDraw { which: 0, owner: 0 });
    assert!(world.fleet.ledger().grants.contains_key(&now));
}

#[test]
fn who_keeps_for_the_fleet_may_keep_what_all_may() {
    let mut world = World::new();
    for n in 0..DAEMONS {
        world.draw(n, 0, 10, Fate::Done);
    }
    let ledger = world.fleet.ledger();
    let me = world.fleet.daemons[0].holder.incarnation();
    let itself = DrawTerms { prefetch: PrefetchScope::ForItself, ..world.fleet.terms };
    assert!(ledger.share(me, &world.fleet.terms) >= 2 * ledger.share(me, &itself));
}
