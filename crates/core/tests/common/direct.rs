//! A simulation of daemons that write the shard of one budget themselves, with an
//! in-memory store.

use bankcove_core::holder::{Draw, DrawTerms, Holder, Reservation};
use bankcove_core::owner::{Command, Event, Owner, Reply, Request};
use bankcove_core::shard::{Ledger, Shard};
use bankcove_core::{Incarnation, Millis, Tokens};

use super::budget;

/// Maximum number of commands executed for one request.
const MAX_COMMANDS: u32 = 50;

/// A fault injected into the next store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFault {
    /// The call succeeds.
    None,
    /// The write takes effect, but the caller gets an ambiguous result.
    ReplyLost,
    /// The write does not take effect, and the caller gets an ambiguous result.
    RequestLost,
    /// The store is unavailable.
    Unavailable,
}

/// One daemon, and the reservations of its running requests.
pub struct Daemon {
    owner: Owner,
    pub holder: Holder,
    pub open: Vec<Reservation>,
    busy_until: Millis,
}

/// Daemons 0 to n-1 and the store.
pub struct World {
    pub now: Millis,
    pub daemons: Vec<Daemon>,
    /// Whether the duration of a call advances the shared clock; otherwise calls run
    /// concurrently.
    pub calls_advance_clock: bool,
    /// Terms of the budget's row.
    pub terms: DrawTerms,
    stored: (u64, Shard),
    last_incarnation: u64,
}

impl World {
    /// Creates as many daemons as `terms` specify; they hold no tokens yet.
    pub fn new(terms: DrawTerms) -> Self {
        let (stored, daemons) = ((0, Shard::default()), Vec::new());
        let mut world = World {
            now: 0,
            daemons,
            calls_advance_clock: true,
            terms,
            stored,
            last_incarnation: 0,
        };
        for n in 0..terms.daemons as usize {
            let daemon = world.start_daemon(n);
            world.daemons.push(daemon);
        }
        world
    }

    /// Returns the budget's ledger in the store.
    pub fn ledger(&self) -> &Ledger {
        &self.stored.1.budgets[&budget()]
    }

    /// Kills a daemon and starts it again. Returns its open reservations.
    pub fn restart(&mut self, n: usize) -> Vec<Reservation> {
        let next = self.start_daemon(n);
        std::mem::replace(&mut self.daemons[n], next).open
    }

    fn start_daemon(&mut self, n: usize) -> Daemon {
        self.last_incarnation += 1;
        let incarnation = Incarnation(self.last_incarnation);
        let owner = Owner::new(incarnation, &address(n), 100).without_collecting();
        Daemon { owner, holder: Holder::new(incarnation), open: Vec::new(), busy_until: 0 }
    }

    /// Sends a request to daemon `n` as the owner and returns its reply. `fault` applies
    /// to the first write; [`StoreFault::Unavailable`] also applies to reads before it.
    pub fn request(&mut self, n: usize, request: Request, fault: StoreFault) -> Reply {
        let mut at = self.now.max(self.daemons[n].busy_until);
        let mut commands = self.daemons[n].owner.handle(at, Event::Requested(1, request));
        let mut fault = Some(fault);
        for _ in 0..MAX_COMMANDS {
            let Some(command) = commands.pop() else { break };
            let event = match command {
                Command::Reply(_, reply) => {
                    self.daemons[n].busy_until = at;
                    self.now = if self.calls_advance_clock { at } else { self.now };
                    return reply;
                }
                Command::Load if fault == Some(StoreFault::Unavailable) => Event::StoreUnavailable,
                Command::Load => Event::Loaded(self.stored.0, self.stored.1.clone()),
                Command::Write(version, shard) => self.write(version, shard, fault.take()),
                Command::WakeAt(wake_at) => {
                    at = at.max(wake_at);
                    Event::Tick
                }
                other => panic!("unexpected command without collections: {other:?}"),
            };
            at += 5;
            commands.extend(self.daemons[n].owner.handle(at, event));
        }
        panic!("no reply after {MAX_COMMANDS} commands");
    }

    fn write(&mut self, version: u64, shard: Shard, fault: Option<StoreFault>) -> Event {
        match fault.unwrap_or(StoreFault::None) {
            StoreFault::Unavailable => return Event::StoreUnavailable,
            StoreFault::RequestLost => return Event::Ambiguous,
            StoreFault::None | StoreFault::ReplyLost => {}
        }
        if version != self.stored.0 {
            return Event::Superseded(self.stored.0, self.stored.1.clone());
        }
        self.stored = (version + 1, shard);
        if fault == Some(StoreFault::ReplyLost) {
            Event::Ambiguous
        } else {
            Event::Written(version + 1)
        }
    }

    /// Lets daemon `n` draw `need` tokens through itself as the owner.
    pub fn draw(&mut self, n: usize, need: Tokens, fault: StoreFault) {
        self.draw_through(n, n, need, fault);
    }

    /// Lets daemon `n` draw `need` tokens through daemon `owner`. Returns the draw.
    pub fn draw_through(
        &mut self,
        n: usize,
        owner: usize,
        need: Tokens,
        fault: StoreFault,
    ) -> Draw {
        let holder = &mut self.daemons[n].holder;
        let draw = holder.draw(&budget(), need, self.terms, &address(n), self.now);
        let reply = self.request(owner, Request::Draw(draw.clone()), fault);
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
