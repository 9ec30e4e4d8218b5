//! A store, owners and holders in memory, driven one command at a time.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::VecDeque;

use bankcove_core::holder::{Draw, Holder, Reservation, Terms};
use bankcove_core::owner::{Command, Event, Owner, Reply, Request, WRITE_INTERVAL_MS};
use bankcove_core::shard::Shard;
use bankcove_core::{Incarnation, Millis, Name, Tokens};

pub const BUDGET: &str = "main";

/// Longest run of one question, in simulated milliseconds.
const PATIENCE_MS: Millis = 60_000;

pub fn budget() -> Name {
    Name::from(BUDGET)
}

/// What became of one question.
enum Answer {
    Granted,
    Refused,
}

/// Daemons 0 to n-1, each a holder and an owner; one shard in the store.
pub struct World {
    pub now: Millis,
    pub store_away: bool,
    pub lose_next_answer: bool,
    pub tokens: Tokens,
    stored: (u64, Shard),
    owners: Vec<Owner>,
    holders: Vec<Holder>,
}

impl World {
    pub fn new(daemons: u64, tokens: Tokens) -> Self {
        let owner = |n| Owner::new(Incarnation(n), "127.0.0.1:1", WRITE_INTERVAL_MS);
        World {
            now: 0,
            store_away: false,
            lose_next_answer: false,
            tokens,
            stored: (0, Shard::default()),
            owners: (0..daemons).map(owner).collect(),
            holders: (0..daemons).map(|n| Holder::new(Incarnation(n))).collect(),
        }
    }

    pub fn owner(&mut self, n: usize) -> &mut Owner {
        &mut self.owners[n]
    }

    pub fn stored_shard(&self) -> Shard {
        self.stored.1.clone()
    }

    pub fn draw(&mut self, holder: usize, need: Tokens) -> Draw {
        let terms = Terms {
            tokens: self.tokens,
            version: 1,
            horizon_s: 10.0,
            share_divisor: 4,
            held_ahead: 0.25,
            daemons: self.holders.len() as u64,
        };
        self.holders[holder].draw(&budget(), need, terms, "127.0.0.1:1", self.now)
    }

    /// Reserves at `holder`, drawing by way of `owner` when it is short.
    pub fn ask(&mut self, owner: usize, holder: usize, tokens: Tokens) -> Option<Reservation> {
        for _ in 0..100 {
            match self.holders[holder].reserve(&budget(), tokens, self.now) {
                Ok(reservation) => return Some(reservation),
                Err(short) => {
                    let mut draw = self.draw(holder, short.missing);
                    let from = Incarnation(owner as u64);
                    draw.received = self.holders[holder].received_from(&budget(), from);
                    match self.run(owner, Request::Draw(draw)) {
                        Answer::Granted => {}
                        Answer::Refused => return None,
                    }
                }
            }
        }
        panic!("draws go on for ever");
    }

    pub fn settle(&mut self, holder: usize, reservation: Reservation, used: Tokens) {
        self.holders[holder].settle(reservation, used);
    }

    pub fn top_up(&mut self, owner: usize, id: &str, tokens: Tokens) {
        let request = Request::TopUp { budget: budget(), id: id.to_owned(), tokens };
        self.run(owner, request);
    }

    pub fn retire(&mut self, owner: usize, holder: usize) {
        let kept = self.holders[holder].retire(&budget());
        let holder = Incarnation(holder as u64);
        self.run(owner, Request::Retire { budget: budget(), holder, kept });
    }

    pub fn spent(&self) -> Tokens {
        self.holders.iter().map(|h| h.accounts().get(&budget()).map_or(0, |a| a.spent)).sum()
    }

    /// Spent, reserved and free in all holders.
    pub fn held(&self) -> Tokens {
        let accounts = self.holders.iter().filter_map(|h| h.accounts().get(&budget()));
        accounts.map(|a| a.spent + a.reserved + a.free()).sum()
    }

    fn run(&mut self, owner: usize, request: Request) -> Answer {
        let mut events = VecDeque::from([Event::Asked(1, request.clone())]);
        let deadline = self.now + PATIENCE_MS;
        while let Some(event) = events.pop_front() {
            assert!(self.now < deadline, "no answer in a minute");
            let commands = self.owners[owner].handle(self.now, event);
            for command in commands {
                match command {
                    Command::Load => events.push_back(self.load()),
                    Command::Write(version, shard) => events.push_back(self.write(version, shard)),
                    Command::Gather(budget, holders) => {
                        events.push_back(self.gather(owner, budget, &holders));
                    }
                    Command::Reply(_, reply) => return self.take_reply(&request, reply),
                    Command::Give { own_granted, draw, most, granted, .. } => {
                        if let Some(own) = own_granted {
                            self.holders[owner].granted(&budget(), own);
                        }
                        return self.give(owner, &draw, most, granted);
                    }
                    Command::WakeAt(at) => {
                        self.now = self.now.max(at);
                        events.push_back(Event::Tick);
                    }
                }
            }
        }
        panic!("a question was never answered");
    }

    fn load(&self) -> Event {
        if self.store_away {
            return Event::StoreAway;
        }
        Event::Loaded(self.stored.0, self.stored.1.clone())
    }

    fn write(&mut self, version: u64, shard: Shard) -> Event {
        if self.store_away {
            return Event::StoreAway;
        }
        if version != self.stored.0 {
            return Event::Conflict;
        }
        self.stored = (version + 1, shard);
        if std::mem::take(&mut self.lose_next_answer) {
            return Event::Ambiguous;
        }
        Event::Written(version + 1)
    }

    fn gather(&mut self, owner: usize, budget: Name, holders: &[(Incarnation, String)]) -> Event {
        assert!(holders.iter().all(|(holder, _)| holder.0 != owner as u64));
        let me = Incarnation(owner as u64);
        // Like the daemon, ask also those that hold tokens without a grant.
        for holder in (0..self.holders.len()).filter(|holder| *holder != owner) {
            let sender = Incarnation(holder as u64);
            let received = self.holders[owner].received_from(&budget, sender);
            let sent = self.holders[holder].give(&budget, me, received, Tokens::MAX);
            self.holders[owner].received(&budget, sender, sent);
        }
        let free = self.holders[owner].free(&budget);
        Event::Gathered { budget, free, more_may_come: false }
    }

    fn give(&mut self, owner: usize, draw: &Draw, most: Tokens, granted: Tokens) -> Answer {
        let holder = draw.holder.0 as usize;
        if holder != owner {
            let from = &mut self.holders[owner];
            if !from.can_give(&draw.budget, draw.holder, draw.received, draw.need) {
                return Answer::Refused;
            }
            let sent = from.give(&draw.budget, draw.holder, draw.received, most);
            self.holders[holder].received(&draw.budget, Incarnation(owner as u64), sent);
        }
        self.holders[holder].granted(&draw.budget, granted);
        Answer::Granted
    }

    fn take_reply(&mut self, request: &Request, reply: Reply) -> Answer {
        match (request, reply) {
            (Request::Draw(draw), Reply::Granted { granted }) => {
                self.holders[draw.holder.0 as usize].granted(&draw.budget, granted);
                Answer::Granted
            }
            (_, Reply::Recorded) => Answer::Granted,
            _ => Answer::Refused,
        }
    }
}
