//! A simulation of a store, owners and holders in memory, executed one command at a time.
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub mod direct;

use std::collections::VecDeque;

use bankcove_core::holder::{Draw, DrawTerms, Holder, PrefetchScope, Reservation};
use bankcove_core::owner::{Command, Event, HolderRef, Owner, Reply, Request, WRITE_INTERVAL_MS};
use bankcove_core::shard::Shard;
use bankcove_core::witness::{Witness, WitnessRecords};
use bankcove_core::{Incarnation, Millis, Name, Tokens};

pub const BUDGET: &str = "main";

/// Time limit of one request, in simulated milliseconds.
const REQUEST_TIMEOUT_MS: Millis = 60_000;

pub fn budget() -> Name {
    Name::from(BUDGET)
}

/// Terms of a budget row with `tokens` tokens, shared by `daemons` daemons.
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

/// Result of one request.
enum Answer {
    Granted,
    Refused,
}

/// Daemons 0 to n-1, each of them a holder and an owner, and one shard in the store.
pub struct World {
    pub now: Millis,
    pub store_unavailable: bool,
    pub lose_next_reply: bool,
    pub tokens: Tokens,
    stored: (u64, Shard),
    pub dead: Vec<bool>,
    owners: Vec<Owner>,
    holders: Vec<Holder>,
    witness_records: Vec<WitnessRecords>,
}

impl World {
    pub fn new(daemons: u64, tokens: Tokens) -> Self {
        let owner = |n| Owner::new(Incarnation(n), "127.0.0.1:1", WRITE_INTERVAL_MS);
        World {
            now: 0,
            store_unavailable: false,
            lose_next_reply: false,
            tokens,
            stored: (0, Shard::default()),
            dead: vec![false; daemons as usize],
            witness_records: vec![WitnessRecords::default(); daemons as usize],
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

    /// Returns the next two live daemons after `holder`.
    fn witnesses(&self, holder: usize) -> Vec<Witness> {
        let count = self.holders.len();
        let others = (1..count).map(|n| (holder + n) % count).filter(|n| !self.dead[*n]);
        let witness = |n: usize| Witness {
            incarnation: Incarnation(n as u64),
            address: "127.0.0.1:1".into(),
        };
        others.take(2).map(witness).collect()
    }

    /// Opens `tokens` more of a grant with the approval of all its witnesses. Returns
    /// whether the tokens were opened.
    pub fn open(&mut self, holder: usize, tokens: Tokens) -> bool {
        let Some(opening) = self.holders[holder].next_opening(&budget(), tokens, self.now) else {
            return false;
        };
        let me = Incarnation(holder as u64);
        let is_approved = opening.witnesses.iter().all(|witness| {
            let n = witness.incarnation.0 as usize;
            !self.dead[n] && self.witness_records[n].open(me, &budget(), opening.opened)
        });
        is_approved && self.holders[holder].confirm_opening(&budget(), &opening)
    }

    /// Returns the cumulative tokens that a holder may spend according to its own account.
    pub fn opened(&self, holder: usize) -> Tokens {
        self.holders[holder].accounts().get(&budget()).map_or(0, |account| account.opened)
    }

    /// Takes back the tokens that a holder never opened, through `owner`.
    pub fn reclaim(&mut self, owner: usize, holder: usize) {
        let reclaimed = Incarnation(holder as u64);
        let shard = self.stored_shard();
        let grant = shard.budgets.get(&budget()).and_then(|ledger| ledger.grants.get(&reclaimed));
        let witnesses = grant.map(|grant| grant.witnesses.clone()).unwrap_or_default();
        let live = witnesses.iter().map(|w| w.incarnation).find(|w| !self.dead[w.0 as usize]);
        let Some(witness) = live else { return };
        let opened = self.witness_records[witness.0 as usize].close(reclaimed, &budget());
        self.run(owner, Request::Reclaim { budget: budget(), holder: reclaimed, witness, opened });
    }

    /// Reserves tokens at `holder`, which draws through `owner` if it holds too few.
    /// Returns `None` if the draw is refused.
    pub fn reserve(&mut self, owner: usize, holder: usize, tokens: Tokens) -> Option<Reservation> {
        for _ in 0..100 {
            match self.holders[holder].reserve(&budget(), tokens, self.now) {
                Ok(reservation) => return Some(reservation),
                Err(short) => {
                    let mut draw = self.draw(holder, short.missing);
                    let from = Incarnation(owner as u64);
                    draw.received = self.holders[holder].received_from(&budget(), from);
                    match self.run(owner, Request::Draw(draw)) {
                        Answer::Granted => {}
                        Answer::Refused if self.store_unavailable && self.open(holder, tokens) => {}
                        Answer::Refused => return None,
                    }
                }
            }
        }
        panic!("100 draws did not yield a reservation");
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

    /// Returns the sum of the spent, reserved and free tokens of all holders and the
    /// available tokens in the store. Sealed tokens are excluded, since they may be
    /// reclaimed.
    pub fn usable(&self) -> Tokens {
        let accounts = self.holders.iter().filter_map(|h| h.accounts().get(&budget()));
        let held = accounts.map(|a| a.spent + a.reserved + a.free()).sum::<Tokens>();
        let available = self.stored.1.budgets.get(&budget()).map_or(0, |l| l.available());
        held + available
    }

    fn run(&mut self, owner: usize, request: Request) -> Answer {
        let mut events = VecDeque::from([Event::Requested(1, request.clone())]);
        let deadline = self.now + REQUEST_TIMEOUT_MS;
        while let Some(event) = events.pop_front() {
            assert!(self.now < deadline, "no reply within 60 s");
            let commands = self.owners[owner].handle(self.now, event);
            for command in commands {
                match command {
                    Command::Load => events.push_back(self.load()),
                    Command::Write(version, shard) => events.push_back(self.write(version, shard)),
                    Command::Collect(budget, holders) => {
                        events.push_back(self.collect(owner, budget, &holders));
                    }
                    Command::Reply(_, reply) => return self.apply_reply(&request, reply),
                    Command::Transfer { own_grant, draw, max, reply, .. } => {
                        if let Some((granted, opened)) = own_grant {
                            self.holders[owner].record_granted(&budget(), granted);
                            self.holders[owner].record_opened(&budget(), opened);
                        }
                        return self.execute_transfer(owner, &draw, max, reply);
                    }
                    Command::WakeAt(at) => {
                        self.now = self.now.max(at);
                        events.push_back(Event::Tick);
                    }
                }
            }
        }
        panic!("the request was never answered");
    }

    fn load(&self) -> Event {
        if self.store_unavailable {
            return Event::StoreUnavailable;
        }
        Event::Loaded(self.stored.0, self.stored.1.clone())
    }

    fn write(&mut self, version: u64, shard: Shard) -> Event {
        if self.store_unavailable {
            return Event::StoreUnavailable;
        }
        if version != self.stored.0 {
            return Event::Conflict;
        }
        self.stored = (version + 1, shard);
        if std::mem::take(&mut self.lose_next_reply) {
            return Event::Ambiguous;
        }
        Event::Written(version + 1)
    }

    fn collect(&mut self, owner: usize, budget: Name, holders: &[HolderRef]) -> Event {
        assert!(holders.iter().all(|holder| holder.incarnation.0 != owner as u64));
        let me = Incarnation(owner as u64);
        self.open(owner, Tokens::MAX);
        // As in the daemon, includes holders that have tokens but no grant.
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
        Event::Collected { budget, free, more_expected: false }
    }

    fn execute_transfer(&mut self, owner: usize, draw: &Draw, max: Tokens, reply: Reply) -> Answer {
        let holder = draw.holder.0 as usize;
        if holder == owner && self.holders[owner].free(&draw.budget) < draw.need {
            return Answer::Refused;
        }
        if holder != owner {
            let from = &mut self.holders[owner];
            if !from.can_transfer(&draw.budget, draw.holder, draw.received, draw.need) {
                return Answer::Refused;
            }
            let sent = from.transfer(&draw.budget, draw.holder, draw.received, max);
            self.holders[holder].record_received(&draw.budget, Incarnation(owner as u64), sent);
        }
        self.apply_reply(&Request::Draw(draw.clone()), reply)
    }

    fn apply_reply(&mut self, request: &Request, reply: Reply) -> Answer {
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
