//! Daemons that write the shard of one budget by themselves, before a store in memory.

use bankcove_core::holder::{Draw, DrawTerms, Holder, Reservation};
use bankcove_core::owner::{Command, Event, Owner, Reply, Request};
use bankcove_core::shard::{Ledger, Shard};
use bankcove_core::{Incarnation, Millis, Tokens};

use super::budget;

/// Writes that are refused in a row before the store takes one.
const TRIES: u32 = 50;

/// What becomes of the next call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Done,
    DoneAndLost,
    LostAndNotDone,
    Away,
}

/// One daemon, and the requests that it has open.
pub struct Daemon {
    owner: Owner,
    pub holder: Holder,
    pub open: Vec<Reservation>,
    busy_until: Millis,
}

/// Daemons 0 to n-1, and the store.
pub struct World {
    pub now: Millis,
    pub daemons: Vec<Daemon>,
    /// Whether the time that a call takes passes for all, or calls run side by side.
    pub calls_take_time: bool,
    /// Terms of the budget's row.
    pub terms: DrawTerms,
    stored: (u64, Shard),
    starts: u64,
}

impl World {
    /// As many daemons as `terms` say, that hold nothing yet.
    pub fn new(terms: DrawTerms) -> Self {
        let (stored, daemons) = ((0, Shard::default()), Vec::new());
        let mut world = World { now: 0, daemons, calls_take_time: true, terms, stored, starts: 0 };
        for n in 0..terms.daemons as usize {
            let daemon = world.start(n);
            world.daemons.push(daemon);
        }
        world
    }

    /// The budget as the store has it.
    pub fn ledger(&self) -> &Ledger {
        &self.stored.1.budgets[&budget()]
    }

    /// Ends a daemon without notice and starts it anew; returns what it had open.
    pub fn restart(&mut self, n: usize) -> Vec<Reservation> {
        let next = self.start(n);
        std::mem::replace(&mut self.daemons[n], next).open
    }

    fn start(&mut self, n: usize) -> Daemon {
        self.starts += 1;
        let incarnation = Incarnation(self.starts);
        let owner = Owner::new(incarnation, &address(n), 100).without_collecting();
        Daemon { owner, holder: Holder::new(incarnation), open: Vec::new(), busy_until: 0 }
    }

    /// Asks daemon `n` as the owner; `fate` is that of the first write.
    pub fn ask(&mut self, n: usize, request: Request, fate: Fate) -> Reply {
        let mut at = self.now.max(self.daemons[n].busy_until);
        let mut commands = self.daemons[n].owner.handle(at, Event::Asked(1, request));
        let mut fate = Some(fate);
        for _ in 0..TRIES {
            let Some(command) = commands.pop() else { break };
            let event = match command {
                Command::Reply(_, reply) => {
                    self.daemons[n].busy_until = at;
                    self.now = if self.calls_take_time { at } else { self.now };
                    return reply;
                }
                Command::Load if fate == Some(Fate::Away) => Event::StoreAway,
                Command::Load => Event::Loaded(self.stored.0, self.stored.1.clone()),
                Command::Write(version, shard) => self.write(version, shard, fate.take()),
                Command::WakeAt(wake_at) => {
                    at = at.max(wake_at);
                    Event::Tick
                }
                other => panic!("not asked of a daemon that writes by itself: {other:?}"),
            };
            at += 5;
            commands.extend(self.daemons[n].owner.handle(at, event));
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

    /// Daemon `n` draws what lets it reserve `need` more.
    pub fn draw(&mut self, n: usize, need: Tokens, fate: Fate) {
        self.draw_by(n, n, need, fate);
    }

    /// Daemon `n` draws by way of daemon `owner`; returns the draw.
    pub fn draw_by(&mut self, n: usize, owner: usize, need: Tokens, fate: Fate) -> Draw {
        let holder = &mut self.daemons[n].holder;
        let draw = holder.draw(&budget(), need, self.terms, &address(n), self.now);
        let reply = self.ask(owner, Request::Draw(draw.clone()), fate);
        let holder = &mut self.daemons[n].holder;
        if let Reply::Granted { granted, opened, outlook, earlier_start, .. } = reply {
            outlook
                .into_iter()
                .for_each(|outlook| holder.set_outlook(&budget(), outlook, self.now));
            holder.set_earlier_start(&budget(), earlier_start);
            holder.record_granted(&budget(), granted);
            holder.record_opened(&budget(), opened);
        }
        draw
    }
}

fn address(n: usize) -> String {
    format!("127.0.0.1:{n}")
}
