//! Tokens that daemons hand on to each other: never in two places, whatever
//! becomes of the messages, and spread by what each one spends.

mod common;

use bankcove_core::holder::{Allotted, DrawTerms, Holder, Outlook, Reservation, TokenRequest};
use bankcove_core::{Incarnation, Millis, Tokens};
use common::budget;
use proptest::prelude::*;

const TOTAL: Tokens = 10_000;
const HOLDERS: usize = 4;

/// The one that has the grant of the store; others ask it and each other.
const OWNER: usize = 0;

fn terms() -> DrawTerms {
    common::terms(TOTAL, HOLDERS as u64)
}

/// The budget as its owner knows it that holds all of it.
fn whole_is_left() -> Outlook {
    Outlook { share: TOTAL, left: TOTAL }
}

/// Which of the two messages of a call get through.
#[derive(Debug, Clone, Copy)]
enum Way {
    Both,
    OnlyThere,
    Neither,
}

#[derive(Debug, Clone)]
enum Step {
    Ask { from: usize, need: Tokens, way: Way },
    Borrow { from: usize, lender: usize, want: Tokens, way: Way },
    GiveBack { from: usize, way: Way },
    Reserve { at: usize, tokens: Tokens },
    Settle { at: usize, used: Tokens },
    Repeat,
    Restart { at: usize },
}

struct World {
    now: Millis,
    starts: u64,
    holders: Vec<Holder>,
    open: Vec<Vec<Reservation>>,
    gone: Tokens,
    last: Option<TokenRequest>,
}

impl World {
    fn new() -> Self {
        let mut holders: Vec<Holder> =
            (0..HOLDERS).map(|n| Holder::new(Incarnation(n as u64 + 1))).collect();
        holders[OWNER].record_granted(&budget(), TOTAL);
        holders[OWNER].record_opened(&budget(), TOTAL);
        holders[OWNER].set_outlook(&budget(), whole_is_left(), 0);
        let open = (0..HOLDERS).map(|_| Vec::new()).collect();
        World { now: 0, starts: HOLDERS as u64, holders, open, gone: 0, last: None }
    }

    fn ask(&mut self, from: usize, to: usize, need: Tokens, way: Way) {
        let peer = self.holders[to].incarnation();
        let ask = self.holders[from].token_request(&budget(), Some(peer), need, &terms(), self.now);
        self.deliver(from, to, ask, way);
    }

    fn deliver(&mut self, from: usize, to: usize, ask: TokenRequest, way: Way) {
        if matches!(way, Way::Neither) {
            return;
        }
        self.last = Some(ask.clone());
        self.holders[to].record_given_back(&ask, self.now);
        let allotted = self.holders[to].allot(&ask, self.now);
        if let (Ok(allotted), Way::Both) = (allotted, way) {
            self.holders[from].record_allotted(&budget(), allotted, self.now);
        }
    }

    fn borrow(&mut self, from: usize, lender: usize, want: Tokens, way: Way) {
        let peer = self.holders[lender].incarnation();
        let mut ask =
            self.holders[from].token_request(&budget(), Some(peer), 0, &terms(), self.now);
        ask.want = want;
        if matches!(way, Way::Neither) {
            return;
        }
        let lent = self.holders[lender].lend(&ask);
        if matches!(way, Way::Both) {
            self.holders[from].record_loan(&budget(), lent);
        }
    }

    fn step(&mut self, step: Step) {
        self.now += 200;
        match step {
            Step::Ask { from, need, way } if from != OWNER => self.ask(from, OWNER, need, way),
            Step::Ask { .. } => {}
            Step::Borrow { from, lender, want, way } if from != lender => {
                self.borrow(from, lender, want, way);
            }
            Step::Borrow { .. } => {}
            Step::GiveBack { from, way } if from != OWNER => {
                let owner = self.holders[OWNER].incarnation();
                self.holders[from].return_surplus_to_owner(&budget(), owner, &terms(), self.now);
                self.ask(from, OWNER, 0, way);
            }
            Step::GiveBack { .. } => {}
            Step::Reserve { at, tokens } => {
                let reserved = self.holders[at].reserve(&budget(), tokens, self.now);
                self.open[at].extend(reserved);
            }
            Step::Settle { at, used } => {
                if let Some(reservation) = self.open[at].pop() {
                    self.gone += used.min(reservation.tokens());
                    self.holders[at].settle(reservation, used);
                }
            }
            Step::Repeat => {
                // An old message comes once more, to the owner of now.
                if let Some(ask) = self.last.clone() {
                    self.holders[OWNER].record_given_back(&ask, self.now);
                }
            }
            Step::Restart { at } if at != OWNER => {
                self.gone += self.open[at].drain(..).map(|open| open.tokens()).sum::<Tokens>();
                self.starts += 1;
                self.holders[at] = Holder::new(Incarnation(self.starts));
            }
            Step::Restart { .. } => {}
        }
    }

    /// Tokens that were spent, are promised, or may still be.
    fn in_all(&self) -> Tokens {
        let open = self.open.iter().flatten().map(Reservation::tokens).sum::<Tokens>();
        let free = self.holders.iter().map(|holder| holder.free(&budget())).sum::<Tokens>();
        self.gone + open + free
    }
}

fn way() -> impl Strategy<Value = Way> {
    prop_oneof![4 => Just(Way::Both), 1 => Just(Way::OnlyThere), 1 => Just(Way::Neither)]
}

fn step() -> impl Strategy<Value = Step> {
    let n = || 0..HOLDERS;
    prop_oneof![
        4 => (n(), 0..800_u64, way()).prop_map(|(from, need, way)| Step::Ask { from, need, way }),
        3 => (n(), n(), 1..800_u64, way())
            .prop_map(|(from, lender, want, way)| Step::Borrow { from, lender, want, way }),
        2 => (n(), way()).prop_map(|(from, way)| Step::GiveBack { from, way }),
        6 => (n(), 1..500_u64).prop_map(|(at, tokens)| Step::Reserve { at, tokens }),
        4 => (n(), 0..500_u64).prop_map(|(at, used)| Step::Settle { at, used }),
        1 => Just(Step::Repeat),
        1 => n().prop_map(|at| Step::Restart { at }),
    ]
}

proptest! {
    #[test]
    fn no_token_is_in_two_places(steps in prop::collection::vec(step(), 1..150)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            prop_assert!(world.in_all() <= TOTAL, "{} of {TOTAL}", world.in_all());
        }
    }
}

#[test]
fn a_lost_answer_is_made_up_for_by_the_next() {
    let mut world = World::new();
    world.ask(1, OWNER, 300, Way::OnlyThere);
    assert_eq!(world.holders[1].free(&budget()), 0);
    world.ask(1, OWNER, 300, Way::Both);
    assert_eq!(world.holders[1].free(&budget()), 300);
    assert_eq!(world.holders[OWNER].free(&budget()), TOTAL - 300);
}

#[test]
fn what_is_given_back_counts_once() {
    let mut world = World::new();
    world.ask(1, OWNER, 5_000, Way::Both);
    world.now += 60_000;
    world.step(Step::GiveBack { from: 1, way: Way::Neither });
    let kept = world.holders[1].free(&budget());
    assert!(kept < 1_000, "{kept} kept");
    for _ in 0..3 {
        world.ask(1, OWNER, 0, Way::Both);
    }
    assert_eq!(world.in_all(), TOTAL);
}

#[test]
fn an_owner_remembers_what_others_wanted_ahead() {
    let mut world = World::new();
    let outlook = Some(Outlook { share: 5 * TOTAL, ..whole_is_left() });
    let nothing = Allotted { owner: Incarnation(1), cumulative: 0, outlook };
    let mut owner = Holder::new(Incarnation(1));
    owner.set_outlook(&budget(), whole_is_left(), 0);
    world.holders[1].record_allotted(&budget(), nothing, 0);
    world.ask(1, OWNER, 400, Way::Both);
    world.step(Step::Reserve { at: 1, tokens: 400 });
    let ask =
        world.holders[1].token_request(&budget(), Some(Incarnation(1)), 0, &terms(), world.now);
    assert!(ask.want > 0);
    owner.allot(&ask, world.now).expect("nothing was needed at once");
    assert!(owner.has_unmet(&budget()));
    let draw = owner.draw(&budget(), 0, terms(), "127.0.0.1:1", world.now);
    assert!(draw.want >= ask.want / 2, "{} of {}", draw.want, ask.want);
    assert!(!owner.has_unmet(&budget()));
}

#[test]
fn a_lender_keeps_a_part_for_its_own_callers() {
    let mut world = World::new();
    world.borrow(1, OWNER, TOTAL, Way::Both);
    assert_eq!(world.holders[1].free(&budget()), TOTAL / 2);
    assert_eq!(world.holders[OWNER].free(&budget()), TOTAL / 2);
}

#[test]
fn what_arrives_after_the_end_of_a_holder_is_nobodys() {
    let mut holder = Holder::new(Incarnation(1));
    holder.record_granted(&budget(), 500);
    holder.record_opened(&budget(), 500);
    assert_eq!(holder.retire(&budget()), 0);
    // The answer of a draw that was written before: the store has taken it back.
    holder.record_granted(&budget(), 900);
    holder.record_opened(&budget(), 900);
    assert!(holder.reserve(&budget(), 1, 0).is_err());
    let mut peer = Holder::new(Incarnation(2));
    let mut ask = peer.token_request(&budget(), Some(Incarnation(1)), 0, &terms(), 0);
    ask.want = 300;
    assert_eq!(holder.lend(&ask).cumulative, 0);
    assert!(holder.allot(&TokenRequest { need: 100, ..ask }, 0).is_err());
}

#[test]
fn what_is_handed_over_counts_once_however_often_it_is_told() {
    let mut world = World::new();
    world.ask(1, OWNER, 400, Way::Both);
    let (from, to) = (world.holders[1].incarnation(), world.holders[2].incarnation());
    for _ in 0..3 {
        let sum = world.holders[1].transfer_all(&budget(), to);
        world.holders[2].record_received(&budget(), from, sum);
    }
    assert_eq!(world.holders[1].free(&budget()), 0);
    assert_eq!(world.holders[2].free(&budget()), 400);
    assert_eq!(world.in_all(), TOTAL);
    assert_eq!(world.holders[1].retire(&budget()), 0);
}

/// Told as "nothing is left", it would have callers refused while all of it is left.
#[test]
fn an_owner_that_does_not_know_what_is_left_says_so() {
    let (mut owner, mut asker) = (Holder::new(Incarnation(1)), Holder::new(Incarnation(2)));
    owner.record_granted(&budget(), 100);
    owner.record_opened(&budget(), 100);
    let ask = asker.token_request(&budget(), Some(Incarnation(1)), 40, &terms(), 0);
    let allotted = owner.allot(&ask, 0).expect("it holds enough");
    assert_eq!((allotted.cumulative, allotted.outlook), (40, None));
    owner.set_outlook(&budget(), whole_is_left(), 0);
    let told = owner.allot(&ask, 0).expect("it holds enough").outlook;
    assert_eq!(told.map(|outlook| outlook.left), Some(TOTAL + 60));
}
