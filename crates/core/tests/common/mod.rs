//! A store, owners and holders in memory, driven one command at a time.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod direct;

use std::collections::VecDeque;

use bankcove_core::holder::{Draw, DrawTerms, Holder, PrefetchScope, Reservation};
use bankcove_core::owner::{Command, Event, HolderRef, Owner, Reply, Request, WRITE_INTERVAL_MS};
use bankcove_core::shard::Shard;
use bankcove_core::witness::{Marks, Witness};
use bankcove_core::{Incarnation, Millis, Name, Tokens};

pub const BUDGET: &str = "main";

/// Longest run of one question, in simulated milliseconds.
const PATIENCE_MS: Millis = 60_000;

pub fn budget() -> Name {
    Name::from(BUDGET)
}

/// Terms of a row of so many tokens, shared by so many daemons.
pub fn terms(tokens: Tokens, daemons: u64) -> DrawTerms {
    DrawTerms {
        tokens,
        version: 1,
        horizon_s: 10.0,
        share_divisor: 4,
        held_ahead: 0.1,
        kept_for_others: 0.0,
        prefetch: PrefetchScope::ForItself,
        daemons,
    }
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
    pub dead: Vec<bool>,
    owners: Vec<Owner>,
    holders: Vec<Holder>,
    marks: Vec<Marks>,
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
            dead: vec![false; daemons as usize],
            marks: vec![Marks::default(); daemons as usize],
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
        let terms = DrawTerms {
            tokens: self.tokens,
            version: 1,
            horizon_s: 10.0,
            share_divisor: 4,
            held_ahead: 0.25,
            kept_for_others: 0.0,
            prefetch: PrefetchScope::ForItself,
            daemons: self.holders.len() as u64,
        };
        let witnesses = self.witnesses(holder);
        self.holders[holder].propose_witnesses(&budget(), &witnesses);
        let draw = self.holders[holder].draw(&budget(), need, terms, "127.0.0.1:1", self.now);
        Draw { witnesses, ..draw }
    }

    /// The next two daemons that live.
    fn witnesses(&self, holder: usize) -> Vec<Witness> {
        let count = self.holders.len();
        let others = (1..count).map(|n| (holder + n) % count).filter(|n| !self.dead[*n]);
        let witness = |n: usize| Witness {
            incarnation: Incarnation(n as u64),
            address: "127.0.0.1:1".into(),
        };
        others.take(2).map(witness).collect()
    }

    /// Opens more of a grant by the witnesses' word.
    pub fn open(&mut self, holder: usize, tokens: Tokens) -> bool {
        let Some(opening) = self.holders[holder].next_opening(&budget(), tokens, self.now) else {
            return false;
        };
        let me = Incarnation(holder as u64);
        let agreed = opening.witnesses.iter().all(|witness| {
            let n = witness.incarnation.0 as usize;
            !self.dead[n] && self.marks[n].open(me, &budget(), opening.opened)
        });
        agreed && self.holders[holder].confirm_opening(&budget(), &opening)
    }

    /// What a holder may spend of its grant, by its own books.
    pub fn opened(&self, holder: usize) -> Tokens {
        self.holders[holder].accounts().get(&budget()).map_or(0, |account| account.opened)
    }

    /// Takes back what a holder never opened, by way of `owner`.
    pub fn reclaim(&mut self, owner: usize, holder: usize) {
        let gone = Incarnation(holder as u64);
        let shard = self.stored_shard();
        let grant = shard.budgets.get(&budget()).and_then(|ledger| ledger.grants.get(&gone));
        let witnesses = grant.map(|grant| grant.witnesses.clone()).unwrap_or_default();
        let live = witnesses.iter().map(|w| w.incarnation).find(|w| !self.dead[w.0 as usize]);
        let Some(witness) = live else { return };
        let opened = self.marks[witness.0 as usize].close(gone, &budget());
        self.run(owner, Request::Reclaim { budget: budget(), holder: gone, witness, opened });
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
                        Answer::Refused if self.store_away && self.open(holder, tokens) => {}
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

    /// Spent, reserved and free in all holders, and available in the store: all
    /// that is or may come into use. What is sealed may be taken back.
    pub fn usable(&self) -> Tokens {
        let accounts = self.holders.iter().filter_map(|h| h.accounts().get(&budget()));
        let held = accounts.map(|a| a.spent + a.reserved + a.free()).sum::<Tokens>();
        let available = self.stored.1.budgets.get(&budget()).map_or(0, |l| l.available());
        held + available
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
                    Command::Give { own, draw, most, reply, .. } => {
                        if let Some((granted, opened)) = own {
                            self.holders[owner].record_granted(&budget(), granted);
                            self.holders[owner].record_opened(&budget(), opened);
                        }
                        return self.give(owner, &draw, most, reply);
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

    fn gather(&mut self, owner: usize, budget: Name, holders: &[HolderRef]) -> Event {
        assert!(holders.iter().all(|holder| holder.incarnation.0 != owner as u64));
        let me = Incarnation(owner as u64);
        self.open(owner, Tokens::MAX);
        // Like the daemon, ask also those that hold tokens without a grant.
        for holder in (0..self.holders.len()).filter(|holder| *holder != owner) {
            if self.dead[holder] {
                continue;
            }
            self.open(holder, Tokens::MAX);
            let sender = Incarnation(holder as u64);
            let received = self.holders[owner].received_from(&budget, sender);
            let sent = self.holders[holder].transfer(&budget, me, received, Tokens::MAX);
            self.holders[owner].record_received(&budget, sender, sent);
        }
        let free = self.holders[owner].free(&budget);
        Event::Gathered { budget, free, more_may_come: false }
    }

    fn give(&mut self, owner: usize, draw: &Draw, most: Tokens, reply: Reply) -> Answer {
        let holder = draw.holder.0 as usize;
        if holder == owner && self.holders[owner].free(&draw.budget) < draw.need {
            return Answer::Refused;
        }
        if holder != owner {
            let from = &mut self.holders[owner];
            if !from.can_transfer(&draw.budget, draw.holder, draw.received, draw.need) {
                return Answer::Refused;
            }
            let sent = from.transfer(&draw.budget, draw.holder, draw.received, most);
            self.holders[holder].record_received(&draw.budget, Incarnation(owner as u64), sent);
        }
        self.take_reply(&Request::Draw(draw.clone()), reply)
    }

    fn take_reply(&mut self, request: &Request, reply: Reply) -> Answer {
        match (request, reply) {
            (Request::Draw(draw), Reply::Granted { granted, opened, recorded, .. }) => {
                let holder = &mut self.holders[draw.holder.0 as usize];
                holder.record_granted(&draw.budget, granted);
                holder.record_opened(&draw.budget, opened);
                if recorded {
                    holder.set_recorded_witnesses(&draw.budget, &draw.witnesses);
                }
                Answer::Granted
            }
            (_, Reply::Recorded) => Answer::Granted,
            _ => Answer::Refused,
        }
    }
}
