//! Daemons that write a budget's shard by themselves: whatever becomes of writes
//! and of daemons, no more is handed out than the budget holds.

mod common;

use bankcove_core::holder::{Holder, LEFT_PER_HELD, Reservation, Terms};
use bankcove_core::owner::{Command, Event, Owner, Reply, Request};
use bankcove_core::shard::Shard;
use bankcove_core::{Incarnation, Millis, Tokens};
use common::budget;
use proptest::prelude::*;

const TOTAL: Tokens = 10_000;
const DAEMONS: usize = 3;

/// Writes that are refused in a row before the store takes one.
const TRIES: u32 = 50;

fn terms() -> Terms {
    common::terms(TOTAL, DAEMONS as u64)
}

/// What becomes of the next call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Done,
    DoneAndLost,
    LostAndNotDone,
    Away,
}

#[derive(Debug, Clone)]
enum Step {
    Serve(usize, Tokens, Tokens, Fate),
    DrawAhead(usize, Fate),
    GiveBack(usize, Fate),
    Kill(usize),
    Retire(usize, Fate),
}

struct Daemon {
    owner: Owner,
    holder: Holder,
    open: Vec<Reservation>,
}

struct World {
    now: Millis,
    stored: (u64, Shard),
    daemons: Vec<Daemon>,
    handed_out: Tokens,
    starts: u64,
}

impl World {
    fn new() -> Self {
        let mut world = World {
            now: 0,
            stored: (0, Shard::default()),
            daemons: Vec::new(),
            handed_out: 0,
            starts: 0,
        };
        for n in 0..DAEMONS {
            let daemon = world.start(n);
            world.daemons.push(daemon);
        }
        world
    }

    fn start(&mut self, n: usize) -> Daemon {
        self.starts += 1;
        let incarnation = Incarnation(self.starts);
        let owner = Owner::new(incarnation, &address(n), 100).without_collecting();
        Daemon { owner, holder: Holder::new(incarnation), open: Vec::new() }
    }

    fn ask(&mut self, n: usize, request: Request, fate: Fate) -> Reply {
        let mut commands = self.daemons[n].owner.handle(self.now, Event::Asked(1, request));
        let mut fate = Some(fate);
        for _ in 0..TRIES {
            let Some(command) = commands.pop() else { break };
            let event = match command {
                Command::Reply(_, reply) => return reply,
                Command::Load if fate == Some(Fate::Away) => Event::StoreAway,
                Command::Load => Event::Loaded(self.stored.0, self.stored.1.clone()),
                Command::Write(version, shard) => self.write(version, shard, fate.take()),
                Command::WakeAt(at) => {
                    self.now = self.now.max(at);
                    Event::Tick
                }
                other => panic!("not asked of a daemon that writes by itself: {other:?}"),
            };
            self.now += 5;
            commands.extend(self.daemons[n].owner.handle(self.now, event));
        }
        panic!("no answer");
    }

    fn write(&mut self, version: u64, shard: Shard, fate: Option<Fate>) -> Event {
        match fate.unwrap_or(Fate::Done) {
            Fate::Away => return Event::StoreAway,
            Fate::LostAndNotDone => return Event::Ambiguous,
            Fate::Done | Fate::DoneAndLost => {}
        }
        if version != self.stored.0 {
            return Event::Superseded(self.stored.0, self.stored.1.clone());
        }
        self.stored = (version + 1, shard);
        if fate == Some(Fate::DoneAndLost) { Event::Ambiguous } else { Event::Written(version + 1) }
    }

    fn draw(&mut self, n: usize, need: Tokens, fate: Fate) {
        let holder = &mut self.daemons[n].holder;
        let draw = holder.draw(&budget(), need, terms(), &address(n), self.now);
        let reply = self.ask(n, Request::Draw(draw), fate);
        let holder = &mut self.daemons[n].holder;
        if let Reply::Granted { granted, opened, share, .. } = reply {
            holder.known_share(&budget(), share);
            holder.granted(&budget(), granted);
            holder.opened(&budget(), opened);
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Serve(n, tokens, used, fate) => {
                if let Err(short) = self.daemons[n].holder.reserve(&budget(), tokens, self.now) {
                    self.draw(n, short.missing, fate);
                    let again = self.daemons[n].holder.reserve(&budget(), tokens, self.now);
                    self.daemons[n].open.extend(again);
                    return;
                }
                // The last one stays open, and the one before it ends.
                if let Some(reservation) = self.daemons[n].open.pop() {
                    self.handed_out += used.min(reservation.tokens());
                    self.daemons[n].holder.settle(reservation, used);
                }
            }
            Step::DrawAhead(n, fate) => self.draw(n, 0, fate),
            Step::GiveBack(n, fate) => {
                self.now += 3_000;
                self.daemons[n].holder.return_surplus(&budget(), &terms(), self.now);
                self.draw(n, 0, fate);
            }
            Step::Kill(n) => {
                // What was open may have been handed out as a whole.
                self.handed_out +=
                    self.daemons[n].open.iter().map(Reservation::tokens).sum::<Tokens>();
                self.daemons[n] = self.start(n);
            }
            Step::Retire(n, fate) => {
                for reservation in std::mem::take(&mut self.daemons[n].open) {
                    self.handed_out += reservation.tokens();
                    let tokens = reservation.tokens();
                    self.daemons[n].holder.settle(reservation, tokens);
                }
                let holder = self.daemons[n].holder.incarnation();
                let kept = self.daemons[n].holder.retire(&budget());
                self.ask(n, Request::Retire { budget: budget(), holder, kept }, fate);
                self.daemons[n] = self.start(n);
            }
        }
    }

    fn promised(&self) -> Tokens {
        let open = self.daemons.iter().flat_map(|daemon| &daemon.open);
        self.handed_out + open.map(Reservation::tokens).sum::<Tokens>()
    }
}

fn address(n: usize) -> String {
    format!("127.0.0.1:{n}")
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
    fn no_more_is_promised_than_the_budget_holds(steps in prop::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            prop_assert!(world.promised() <= TOTAL, "{} of {TOTAL}", world.promised());
        }
    }
}

#[test]
fn what_is_held_too_much_goes_back_to_the_store() {
    let mut world = World::new();
    world.draw(0, 4_000, Fate::Done);
    let before = world.stored.1.budgets[&budget()].available();
    world.step(Step::GiveBack(0, Fate::Done));
    let ledger = &world.stored.1.budgets[&budget()];
    assert!(ledger.available() > before, "{ledger:?}");
    assert_eq!(ledger.available() as i64 + ledger.committed(), TOTAL as i64);
}

#[test]
fn a_give_back_whose_answer_was_lost_counts_once() {
    let mut world = World::new();
    world.draw(0, 4_000, Fate::Done);
    world.step(Step::GiveBack(0, Fate::DoneAndLost));
    let after = world.stored.1.budgets[&budget()].available();
    world.draw(0, 0, Fate::Done);
    assert!(world.stored.1.budgets[&budget()].available() <= after);
    assert_eq!(world.stored.1.budgets[&budget()].committed() + after as i64, TOTAL as i64);
}

#[test]
fn holders_keep_a_part_of_what_is_left_in_the_store() {
    let mut world = World::new();
    for round in 0..200 {
        world.now += 100;
        world.step(Step::Serve(round % DAEMONS, 30, 30, Fate::Done));
        world.step(Step::DrawAhead(round % DAEMONS, Fate::Done));
        world.step(Step::GiveBack(round % DAEMONS, Fate::Done));
    }
    let free: Tokens = world.daemons.iter().map(|daemon| daemon.holder.free(&budget())).sum();
    let left = world.stored.1.budgets[&budget()].available();
    // A draw may have been made when more was left than is now.
    assert!(free <= left, "{free} held, {left} left, {LEFT_PER_HELD} asked");
}

#[test]
fn a_later_start_ends_the_grants_of_earlier_ones_as_spent() {
    let mut world = World::new();
    world.draw(0, 1_000, Fate::Done);
    world.draw(1, 1_000, Fate::Done);
    let committed = world.stored.1.budgets[&budget()].committed();
    world.step(Step::Kill(0));
    world.draw(0, 100, Fate::Done);
    let ledger = &world.stored.1.budgets[&budget()];
    assert_eq!(ledger.grants.len(), 2);
    assert!(ledger.committed() >= committed + 100, "{ledger:?}");
}
