//! Tests the request log with several appenders on one store, lost replies and outages.

use std::collections::{BTreeMap, HashMap, HashSet};

use bankcove_core::bill::Bill;
use bankcove_core::request_log::{Command, Entry, Event, Outcome, RequestLog, Segment};
use bankcove_core::{AttemptId, Incarnation, Name, RequestHash};
use proptest::prelude::*;

const APPENDERS: usize = 3;
const INTERVAL_MS: u64 = 10;

fn attempt(appender: usize, sequence: u64) -> AttemptId {
    AttemptId { incarnation: Incarnation(appender as u64), sequence }
}

fn claim(request: u128, attempt: AttemptId) -> Entry {
    Entry::Claim { request: RequestHash(request), attempt }
}

fn bill(request: u128, attempt: AttemptId) -> Entry {
    let budget = Name::from("main");
    let request = RequestHash(request);
    Entry::Bill(Bill { request, attempt, budget, prompt_tokens: 1, output_tokens: 1 })
}

/// Appenders that share one store; each store call is one step.
struct World {
    now: u64,
    stored: BTreeMap<u64, Segment>,
    logs: Vec<RequestLog>,
    commands: Vec<Vec<Command>>,
    answers: HashMap<u64, Outcome>,
    next_ticket: u64,
    lose_reply: bool,
    is_unavailable: bool,
}

impl World {
    fn new() -> Self {
        World {
            now: 0,
            stored: BTreeMap::new(),
            logs: (0..APPENDERS).map(|_| RequestLog::new(INTERVAL_MS)).collect(),
            commands: vec![Vec::new(); APPENDERS],
            answers: HashMap::new(),
            next_ticket: 0,
            lose_reply: false,
            is_unavailable: false,
        }
    }

    fn submit(&mut self, appender: usize, entry: Entry) -> u64 {
        self.next_ticket += 1;
        self.event(appender, Event::Submitted(self.next_ticket, entry));
        self.next_ticket
    }

    /// Handles one event; records answers and queues the other commands.
    fn event(&mut self, appender: usize, event: Event) {
        for command in self.logs[appender].handle(self.now, event) {
            match command {
                Command::Answer(ticket, outcome) => {
                    assert!(self.answers.insert(ticket, outcome).is_none(), "answered twice");
                }
                other => self.commands[appender].push(other),
            }
        }
    }

    /// Executes one queued command of an appender.
    fn step(&mut self, appender: usize) {
        let Some(command) = self.commands[appender].pop() else { return };
        let event = match command {
            _ if self.is_unavailable && !matches!(command, Command::WakeAt(_)) => {
                Event::StoreUnavailable
            }
            Command::FindNewest => Event::NewestFound(self.stored.keys().last().copied()),
            Command::Read(number) => Event::SegmentRead(number, self.stored.get(&number).cloned()),
            Command::Append(number, segment) => self.append(number, segment),
            Command::WakeAt(at) => {
                self.now = self.now.max(at);
                Event::Tick
            }
            Command::Answer(..) => return,
        };
        self.event(appender, event);
    }

    fn append(&mut self, number: u64, segment: Segment) -> Event {
        if self.stored.contains_key(&number) {
            return Event::Conflict;
        }
        self.stored.insert(number, segment);
        if std::mem::take(&mut self.lose_reply) { Event::Ambiguous } else { Event::Appended }
    }

    fn run(&mut self) {
        for _ in 0..10_000 {
            let Some(appender) = self.commands.iter().position(|queue| !queue.is_empty()) else {
                return;
            };
            self.step(appender);
        }
        panic!("the appenders still have commands after 10,000 steps");
    }

    fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.stored.values().flat_map(|segment| &segment.entries)
    }
}

#[test]
fn the_first_claim_wins_for_all_appenders() {
    let mut world = World::new();
    let one = world.submit(0, claim(1, attempt(0, 1)));
    world.run();
    let two = world.submit(1, claim(1, attempt(1, 1)));
    world.run();
    assert_eq!(world.answers[&one], Outcome::ClaimWon);
    let lost = Outcome::ClaimLost { by: attempt(0, 1), billed: false };
    assert_eq!(world.answers[&two], lost);
}

#[test]
fn a_released_claim_can_be_won_again() {
    let mut world = World::new();
    world.submit(0, claim(1, attempt(0, 1)));
    world.run();
    world.submit(0, Entry::Release { request: RequestHash(1), attempt: attempt(0, 1) });
    world.run();
    let again = world.submit(1, claim(1, attempt(1, 1)));
    world.run();
    assert_eq!(world.answers[&again], Outcome::ClaimWon);
}

#[test]
fn two_bills_of_one_request_in_one_batch_count_once() {
    let mut world = World::new();
    let one = world.submit(0, bill(1, attempt(0, 1)));
    let two = world.submit(0, bill(1, attempt(1, 1)));
    world.run();
    assert_eq!(world.answers[&one], Outcome::Billed { first: true });
    assert_eq!(world.answers[&two], Outcome::Billed { first: false });
    assert_eq!(world.entries().count(), 1);
}

#[test]
fn an_outage_is_reported_and_the_entry_can_be_submitted_again() {
    let mut world = World::new();
    world.is_unavailable = true;
    let refused = world.submit(0, bill(1, attempt(0, 1)));
    world.run();
    assert_eq!(world.answers[&refused], Outcome::StoreAway);
    world.is_unavailable = false;
    world.now += 1_000;
    let again = world.submit(0, bill(1, attempt(0, 1)));
    world.run();
    assert_eq!(world.answers[&again], Outcome::Billed { first: true });
}

#[derive(Debug, Clone)]
enum Step {
    Claim { appender: usize, request: u128 },
    Bill { appender: usize, request: u128, attempt_of: usize },
    Progress(usize),
    LoseReply,
    Unavailable(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..APPENDERS, 0..4u128).prop_map(|(appender, request)| Step::Claim { appender, request }),
        3 => (0..APPENDERS, 0..4u128, 0..APPENDERS).prop_map(
            |(appender, request, attempt_of)| Step::Bill { appender, request, attempt_of }
        ),
        8 => (0..APPENDERS).prop_map(Step::Progress),
        1 => Just(Step::LoseReply),
        1 => any::<bool>().prop_map(Step::Unavailable),
    ]
}

proptest! {
    #[test]
    fn one_claim_wins_and_one_bill_counts(steps in proptest::collection::vec(step(), 1..120)) {
        let mut world = World::new();
        let mut claims: HashMap<u64, (u128, AttemptId)> = HashMap::new();
        let mut sequence = 0;
        for step in steps {
            match step {
                Step::Claim { appender, request } => {
                    sequence += 1;
                    let id = attempt(appender, sequence);
                    let ticket = world.submit(appender, claim(request, id));
                    claims.insert(ticket, (request, id));
                }
                Step::Bill { appender, request, attempt_of } => {
                    world.submit(appender, bill(request, attempt(attempt_of, 0)));
                }
                Step::Progress(appender) => world.step(appender),
                Step::LoseReply => world.lose_reply = true,
                Step::Unavailable(is_unavailable) => world.is_unavailable = is_unavailable,
            }
        }
        world.is_unavailable = false;
        world.now += 10_000;
        world.run();
        let mut winners = HashSet::new();
        for (ticket, (request, _)) in &claims {
            if world.answers.get(ticket) == Some(&Outcome::ClaimWon) {
                prop_assert!(winners.insert(*request), "two claims of {request} won");
            }
        }
        let mut billed = HashSet::new();
        for entry in world.entries() {
            if let Entry::Bill(bill) = entry {
                prop_assert!(billed.insert(bill.request), "two bills of {}", bill.request);
            }
        }
        prop_assert_eq!(world.answers.len() as u64, world.next_ticket, "each entry is answered");
    }
}
