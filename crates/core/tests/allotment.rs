//! Allotment and loan of tokens between daemons: no token is counted twice when
//! messages are lost, repeated or late, and shares follow each daemon's spending.

mod common;

use bankcove_core::holder::{Allotted, DrawTerms, Holder, Outlook, Reservation, TokenRequest};
use bankcove_core::{Incarnation, Millis, Tokens};
use common::budget;
use proptest::prelude::*;

const TOTAL: Tokens = 10_000;
const HOLDERS: usize = 4;

/// Index of the daemon with the store's grant. The others request tokens from it and
/// borrow from each other.
const OWNER: usize = 0;

fn terms() -> DrawTerms {
    common::terms(TOTAL, HOLDERS as u64)
}

/// Returns the outlook of the owner while the whole budget is left.
fn full_outlook() -> Outlook {
    Outlook { share: TOTAL, left: TOTAL }
}

/// Which of the two messages of a call are delivered.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Both,
    AnswerLost,
    RequestLost,
}

#[derive(Debug, Clone)]
enum Step {
    Request { from: usize, need: Tokens, delivery: Delivery },
    Borrow { from: usize, lender: usize, want: Tokens, delivery: Delivery },
    GiveBack { from: usize, delivery: Delivery },
    Reserve { at: usize, tokens: Tokens },
    Settle { at: usize, used: Tokens },
    Repeat,
    Restart { at: usize },
}

struct World {
    now: Millis,
    last_incarnation: u64,
    holders: Vec<Holder>,
    open: Vec<Vec<Reservation>>,
    spent: Tokens,
    last_request: Option<TokenRequest>,
}

impl World {
    fn new() -> Self {
        let mut holders: Vec<Holder> =
            (0..HOLDERS).map(|n| Holder::new(Incarnation(n as u64 + 1))).collect();
        holders[OWNER].record_granted(&budget(), TOTAL);
        holders[OWNER].record_opened(&budget(), TOTAL);
        holders[OWNER].set_outlook(&budget(), full_outlook(), 0);
        let open = (0..HOLDERS).map(|_| Vec::new()).collect();
        World {
            now: 0,
            last_incarnation: HOLDERS as u64,
            holders,
            open,
            spent: 0,
            last_request: None,
        }
    }

    fn request_tokens(&mut self, from: usize, to: usize, need: Tokens, delivery: Delivery) {
        let peer = self.holders[to].incarnation();
        let request =
            self.holders[from].token_request(&budget(), Some(peer), need, &terms(), self.now);
        self.deliver(from, to, request, delivery);
    }

    fn deliver(&mut self, from: usize, to: usize, request: TokenRequest, delivery: Delivery) {
        if matches!(delivery, Delivery::RequestLost) {
            return;
        }
        self.last_request = Some(request.clone());
        self.holders[to].record_given_back(&request, self.now);
        let allotted = self.holders[to].allot(&request, self.now);
        if let (Ok(allotted), Delivery::Both) = (allotted, delivery) {
            self.holders[from].record_allotted(&budget(), allotted, self.now);
        }
    }

    fn borrow(&mut self, from: usize, lender: usize, want: Tokens, delivery: Delivery) {
        let peer = self.holders[lender].incarnation();
        let mut request =
            self.holders[from].token_request(&budget(), Some(peer), 0, &terms(), self.now);
        request.want = want;
        if matches!(delivery, Delivery::RequestLost) {
            return;
        }
        let lent = self.holders[lender].lend(&request);
        if matches!(delivery, Delivery::Both) {
            self.holders[from].record_loan(&budget(), lent);
        }
    }

    fn step(&mut self, step: Step) {
        self.now += 200;
        match step {
            Step::Request { from, need, delivery } if from != OWNER => {
                self.request_tokens(from, OWNER, need, delivery)
            }
            Step::Request { .. } => {}
            Step::Borrow { from, lender, want, delivery } if from != lender => {
                self.borrow(from, lender, want, delivery);
            }
            Step::Borrow { .. } => {}
            Step::GiveBack { from, delivery } if from != OWNER => {
                let owner = self.holders[OWNER].incarnation();
                self.holders[from].return_surplus_to_owner(&budget(), owner, &terms(), self.now);
                self.request_tokens(from, OWNER, 0, delivery);
            }
            Step::GiveBack { .. } => {}
            Step::Reserve { at, tokens } => {
                let reserved = self.holders[at].reserve(&budget(), tokens, self.now);
                self.open[at].extend(reserved);
            }
            Step::Settle { at, used } => {
                if let Some(reservation) = self.open[at].pop() {
                    self.spent += used.min(reservation.tokens());
                    self.holders[at].settle(reservation, used);
                }
            }
            Step::Repeat => {
                // The owner receives the tokens given back by the last request a second time.
                if let Some(request) = self.last_request.clone() {
                    self.holders[OWNER].record_given_back(&request, self.now);
                }
            }
            Step::Restart { at } if at != OWNER => {
                self.spent += self.open[at].drain(..).map(|open| open.tokens()).sum::<Tokens>();
                self.last_incarnation += 1;
                self.holders[at] = Holder::new(Incarnation(self.last_incarnation));
            }
            Step::Restart { .. } => {}
        }
    }

    /// Returns the tokens that were spent, are reserved or are free, over all daemons.
    fn spent_or_held(&self) -> Tokens {
        let open = self.open.iter().flatten().map(Reservation::tokens).sum::<Tokens>();
        let free = self.holders.iter().map(|holder| holder.free(&budget())).sum::<Tokens>();
        self.spent + open + free
    }
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Both),
        1 => Just(Delivery::AnswerLost),
        1 => Just(Delivery::RequestLost),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let n = || 0..HOLDERS;
    prop_oneof![
        4 => (n(), 0..800_u64, delivery())
            .prop_map(|(from, need, delivery)| Step::Request { from, need, delivery }),
        3 => (n(), n(), 1..800_u64, delivery())
            .prop_map(|(from, lender, want, delivery)| {
                Step::Borrow { from, lender, want, delivery }
            }),
        2 => (n(), delivery()).prop_map(|(from, delivery)| Step::GiveBack { from, delivery }),
        6 => (n(), 1..500_u64).prop_map(|(at, tokens)| Step::Reserve { at, tokens }),
        4 => (n(), 0..500_u64).prop_map(|(at, used)| Step::Settle { at, used }),
        1 => Just(Step::Repeat),
        1 => n().prop_map(|at| Step::Restart { at }),
    ]
}

proptest! {
    #[test]
    fn no_token_is_counted_twice(steps in prop::collection::vec(step(), 1..150)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            prop_assert!(world.spent_or_held() <= TOTAL, "{} of {TOTAL}", world.spent_or_held());
        }
    }
}

#[test]
fn next_answer_recovers_a_lost_one() {
    let mut world = World::new();
    world.request_tokens(1, OWNER, 300, Delivery::AnswerLost);
    assert_eq!(world.holders[1].free(&budget()), 0);
    world.request_tokens(1, OWNER, 300, Delivery::Both);
    assert_eq!(world.holders[1].free(&budget()), 300);
    assert_eq!(world.holders[OWNER].free(&budget()), TOTAL - 300);
}

#[test]
fn returned_tokens_are_counted_once() {
    let mut world = World::new();
    world.request_tokens(1, OWNER, 5_000, Delivery::Both);
    world.now += 60_000;
    world.step(Step::GiveBack { from: 1, delivery: Delivery::RequestLost });
    let kept = world.holders[1].free(&budget());
    assert!(kept < 1_000, "{kept} tokens kept");
    for _ in 0..3 {
        world.request_tokens(1, OWNER, 0, Delivery::Both);
    }
    assert_eq!(world.spent_or_held(), TOTAL);
}

#[test]
fn owner_draws_what_others_requested_ahead() {
    let mut world = World::new();
    let outlook = Some(Outlook { share: 5 * TOTAL, ..full_outlook() });
    let nothing = Allotted { owner: Incarnation(1), cumulative: 0, outlook, protection: None };
    let mut owner = Holder::new(Incarnation(1));
    owner.set_outlook(&budget(), full_outlook(), 0);
    world.holders[1].record_allotted(&budget(), nothing, 0);
    world.request_tokens(1, OWNER, 400, Delivery::Both);
    world.step(Step::Reserve { at: 1, tokens: 400 });
    let request =
        world.holders[1].token_request(&budget(), Some(Incarnation(1)), 0, &terms(), world.now);
    assert!(request.want > 0);
    owner.allot(&request, world.now).expect("the request needs nothing at once");
    assert!(owner.has_unmet(&budget()));
    let draw = owner.draw(&budget(), 0, terms(), "127.0.0.1:1", world.now);
    assert!(draw.want >= request.want / 2, "{} of {}", draw.want, request.want);
    assert!(!owner.has_unmet(&budget()));
}

#[test]
fn lender_keeps_half_for_its_own_callers() {
    let mut world = World::new();
    world.borrow(1, OWNER, TOTAL, Delivery::Both);
    assert_eq!(world.holders[1].free(&budget()), TOTAL / 2);
    assert_eq!(world.holders[OWNER].free(&budget()), TOTAL / 2);
}

#[test]
fn tokens_that_arrive_after_retirement_are_unusable() {
    let mut holder = Holder::new(Incarnation(1));
    holder.record_granted(&budget(), 500);
    holder.record_opened(&budget(), 500);
    assert_eq!(holder.retire(&budget()), 0);
    // A late answer to an earlier draw, whose tokens the store has taken back.
    holder.record_granted(&budget(), 900);
    holder.record_opened(&budget(), 900);
    assert!(holder.reserve(&budget(), 1, 0).is_err());
    let mut peer = Holder::new(Incarnation(2));
    let mut request = peer.token_request(&budget(), Some(Incarnation(1)), 0, &terms(), 0);
    request.want = 300;
    assert_eq!(holder.lend(&request).cumulative, 0);
    assert!(holder.allot(&TokenRequest { need: 100, ..request }, 0).is_err());
}

#[test]
fn repeated_reports_of_a_transfer_are_counted_once() {
    let mut world = World::new();
    world.request_tokens(1, OWNER, 400, Delivery::Both);
    let (from, to) = (world.holders[1].incarnation(), world.holders[2].incarnation());
    for _ in 0..3 {
        let sum = world.holders[1].transfer_all(&budget(), to);
        world.holders[2].record_received(&budget(), from, sum);
    }
    assert_eq!(world.holders[1].free(&budget()), 0);
    assert_eq!(world.holders[2].free(&budget()), 400);
    assert_eq!(world.spent_or_held(), TOTAL);
    assert_eq!(world.holders[1].retire(&budget()), 0);
}

/// Guards against an owner that reports "nothing left" before it knows the budget's state:
/// callers would be refused while the whole budget is left.
#[test]
fn owner_without_outlook_reports_none() {
    let (mut owner, mut requester) = (Holder::new(Incarnation(1)), Holder::new(Incarnation(2)));
    owner.record_granted(&budget(), 100);
    owner.record_opened(&budget(), 100);
    let request = requester.token_request(&budget(), Some(Incarnation(1)), 40, &terms(), 0);
    let allotted = owner.allot(&request, 0).expect("it holds enough");
    assert_eq!((allotted.cumulative, allotted.outlook), (40, None));
    owner.set_outlook(&budget(), full_outlook(), 0);
    let outlook = owner.allot(&request, 0).expect("it holds enough").outlook;
    assert_eq!(outlook.map(|outlook| outlook.left), Some(TOTAL + 60));
}
