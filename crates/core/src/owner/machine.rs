//! The owner itself: one read or write under way, requests that wait.

mod draw;
mod without_store;

use std::collections::VecDeque;

use serde::Serialize;

use crate::holder::Draw;
use crate::owner::draft::Draft;
use crate::owner::gather::Gathers;
use crate::owner::message::{Command, Event, Reply, Request, Ticket};
use crate::owner::{MAX_REQUEST_AGE_MS, PREFETCH_DELAY_MS, RETRY_SOON_MS};
use crate::shard::Shard;
use crate::{Incarnation, Millis, Tokens};

/// Writes that may come at once after a quiet time, beyond the first.
const WRITE_BURST: u64 = 7;

/// A shard read longer ago than this is read again before a refusal.
const MAX_SHARD_AGE_MS: Millis = 1_000;

/// How long the store is left alone after it was away.
const STORE_RETRY_DELAY_MS: Millis = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    Loading,
    Writing,
}

#[derive(Debug)]
struct Pending {
    ticket: Ticket,
    request: Request,
    arrived: Millis,
}

impl Pending {
    /// Whether it does not wait for others any more.
    fn is_due(&self, now: Millis) -> bool {
        let is_ahead = matches!(&self.request, Request::Draw(draw) if draw.need == 0);
        !is_ahead || now >= self.arrived + PREFETCH_DELAY_MS
    }
}

/// What a request is answered with once its write has succeeded.
#[derive(Debug)]
enum Outcome {
    Reply(Reply),
    Transfer { own_grant: Option<(Tokens, Tokens)>, max: Tokens, need: Tokens, reply: Reply },
}

/// What is to become of one request in this round.
enum Decision {
    Answer(Outcome),
    AfterWrite(Outcome),
    Wait,
}

/// Figures that the owner keeps of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct OwnerCounts {
    /// Reads of the store.
    pub loads: u64,
    /// Writes tried.
    pub writes: u64,
    /// Writes refused because the shard had changed.
    pub conflicts: u64,
    /// Collections from other holders.
    pub gathers: u64,
}

/// The owner of one shard, as far as this daemon is concerned.
#[derive(Debug)]
pub struct Owner {
    me: Incarnation,
    address: String,
    write_interval: Millis,
    shard: Option<(u64, Shard)>,
    loaded_at: Millis,
    reload_wanted: bool,
    phase: Phase,
    pending: VecDeque<Pending>,
    in_write: Vec<(Pending, Outcome)>,
    /// Whether some request of this round can't wait for others.
    is_write_due: bool,
    written_shard: Shard,
    gathers: Gathers,
    /// Each write moves this on by one interval; it may run ahead by a burst.
    writes_paid_until: Millis,
    store_away_until: Millis,
    next_wake: Option<Millis>,
    counts: OwnerCounts,
}

impl Owner {
    /// An owner that has read nothing yet; `address` is its peer port.
    pub fn new(me: Incarnation, address: &str, write_interval: Millis) -> Self {
        Owner {
            me,
            address: address.to_owned(),
            write_interval,
            shard: None,
            loaded_at: 0,
            reload_wanted: false,
            phase: Phase::Idle,
            pending: VecDeque::new(),
            in_write: Vec::new(),
            is_write_due: false,
            written_shard: Shard::default(),
            gathers: Gathers::default(),
            writes_paid_until: 0,
            store_away_until: 0,
            next_wake: None,
            counts: OwnerCounts::default(),
        }
    }

    /// The same owner without collecting from other holders: a baseline.
    pub fn without_collecting(mut self) -> Self {
        self.gathers = Gathers::none();
        self
    }

    /// Figures of this owner.
    pub fn counts(&self) -> OwnerCounts {
        self.counts
    }

    /// The shard as last read or written.
    pub fn shard(&self) -> Option<&Shard> {
        self.versioned_shard().map(|(_, shard)| shard)
    }

    /// The same, with its version.
    pub fn versioned_shard(&self) -> Option<(u64, &Shard)> {
        self.shard.as_ref().map(|(version, shard)| (*version, shard))
    }

    /// Takes in a request that comes together with others: nothing is done
    /// until the next event, so that one write serves them all.
    pub fn enqueue(&mut self, now: Millis, ticket: Ticket, request: Request) {
        self.pending.push_back(Pending { ticket, request, arrived: now });
    }

    /// Takes one event and says what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Requested(ticket, request) => self.enqueue(now, ticket, request),
            Event::Loaded(version, shard) => self.loaded(now, version, shard),
            Event::Written(version) => self.written(now, version, &mut commands),
            Event::Conflict => {
                self.counts.conflicts += 1;
                self.write_failed();
            }
            Event::Superseded(version, shard) => {
                self.counts.conflicts += 1;
                self.write_failed();
                self.loaded(now, version, shard);
            }
            Event::Ambiguous => self.write_failed(),
            Event::StoreUnavailable => self.store_away(now),
            Event::Gathered { budget, free, more_expected } => {
                self.gathers.ended(budget, free, more_expected);
            }
            Event::Tick => {}
        }
        self.advance(now, &mut commands);
        commands
    }

    fn loaded(&mut self, now: Millis, version: u64, shard: Shard) {
        self.phase = Phase::Idle;
        self.shard = Some((version, shard));
        self.loaded_at = now;
        self.reload_wanted = false;
        self.store_away_until = 0;
    }

    fn written(&mut self, now: Millis, version: u64, commands: &mut Vec<Command>) {
        self.phase = Phase::Idle;
        self.shard = Some((version, std::mem::take(&mut self.written_shard)));
        self.loaded_at = now;
        for (pending, outcome) in std::mem::take(&mut self.in_write) {
            answer(pending, outcome, commands);
        }
    }

    /// Whether a write is allowed now; asks to be woken when it is too early.
    fn may_write(&mut self, now: Millis, commands: &mut Vec<Command>) -> bool {
        let burst = WRITE_BURST * self.write_interval;
        let write_at = self.writes_paid_until.saturating_sub(burst);
        if now < write_at {
            self.wake_at(write_at, now, commands);
        }
        now >= write_at
    }

    /// Asks to be woken, unless that is asked for already.
    fn wake_at(&mut self, at: Millis, now: Millis, commands: &mut Vec<Command>) {
        let is_asked = self.next_wake.is_some_and(|wake| now < wake && wake <= at);
        if !is_asked {
            self.next_wake = Some(at);
            commands.push(Command::WakeAt(at));
        }
    }

    /// The requests of the write go back to the front, in their order; the
    /// shard is read again, and it tells whether the write took effect.
    fn write_failed(&mut self) {
        self.phase = Phase::Idle;
        self.reload_wanted = true;
        self.put_back();
    }

    fn store_away(&mut self, now: Millis) {
        self.phase = Phase::Idle;
        self.store_away_until = now + STORE_RETRY_DELAY_MS;
        self.put_back();
    }

    fn put_back(&mut self) {
        for (pending, _) in std::mem::take(&mut self.in_write).into_iter().rev() {
            self.pending.push_front(pending);
        }
        // What they were to be given from collections was not given.
        self.gathers.forget_ended();
    }

    fn advance(&mut self, now: Millis, commands: &mut Vec<Command>) {
        if self.phase != Phase::Idle {
            return;
        }
        self.drop_old(now, commands);
        if self.pending.is_empty() {
            return;
        }
        let store_is_away = now < self.store_away_until;
        let must_load = self.shard.is_none() || self.reload_wanted;
        if must_load && !store_is_away {
            self.phase = Phase::Loading;
            self.counts.loads += 1;
            commands.push(Command::Load);
            return;
        }
        if store_is_away {
            self.serve_without_store(now, commands);
        } else {
            self.serve(now, commands);
        }
    }

    fn drop_old(&mut self, now: Millis, commands: &mut Vec<Command>) {
        let away = Reply::StoreAway { retry_after_ms: RETRY_SOON_MS };
        self.pending.retain(|pending| {
            let is_old = now > pending.arrived + MAX_REQUEST_AGE_MS;
            if is_old {
                commands.push(Command::Reply(pending.ticket, away));
            }
            !is_old
        });
    }

    fn serve(&mut self, now: Millis, commands: &mut Vec<Command>) {
        let Some((version, shard)) = self.shard.take() else { return };
        let mut draft = Draft::new(&shard);
        let mut waiting = VecDeque::new();
        let mut to_write = Vec::new();
        self.is_write_due = self.pending.iter().any(|pending| pending.is_due(now));
        for pending in std::mem::take(&mut self.pending) {
            match self.decide(now, &pending, &mut draft, commands) {
                Decision::Answer(outcome) => answer(pending, outcome, commands),
                Decision::AfterWrite(outcome) => to_write.push((pending, outcome)),
                Decision::Wait => waiting.push_back(pending),
            }
        }
        self.pending = waiting;
        if to_write.is_empty() {
            self.shard = Some((version, shard));
            self.load_if_wanted(now, commands);
            return;
        }
        let next = draft.finish();
        self.shard = Some((version, shard));
        self.phase = Phase::Writing;
        self.counts.writes += 1;
        self.writes_paid_until = self.writes_paid_until.max(now) + self.write_interval;
        self.in_write = to_write;
        self.written_shard = next.clone();
        commands.push(Command::Write(version, next));
    }

    fn load_if_wanted(&mut self, now: Millis, commands: &mut Vec<Command>) {
        if self.reload_wanted && now >= self.store_away_until {
            self.phase = Phase::Loading;
            self.counts.loads += 1;
            commands.push(Command::Load);
        }
    }

    fn decide(
        &mut self,
        now: Millis,
        pending: &Pending,
        draft: &mut Draft,
        commands: &mut Vec<Command>,
    ) -> Decision {
        let ledger = draft.ledger(pending.request.budget());
        match &pending.request {
            Request::TopUp { id, tokens, .. } => {
                if ledger.has_top_up(id) {
                    return Decision::Answer(Outcome::Reply(Reply::Recorded));
                }
                if !self.may_write(now, commands) {
                    return Decision::Wait;
                }
                ledger.record_top_up(id, *tokens);
                Decision::AfterWrite(Outcome::Reply(Reply::Recorded))
            }
            Request::Retire { holder, kept, .. } => {
                if ledger.has_retired(*holder) {
                    return Decision::Answer(Outcome::Reply(Reply::Recorded));
                }
                if !self.may_write(now, commands) {
                    return Decision::Wait;
                }
                ledger.retire(*holder, *kept);
                Decision::AfterWrite(Outcome::Reply(Reply::Recorded))
            }
            Request::Reclaim { holder, witness, opened, .. } => {
                if !ledger.grants.contains_key(holder) {
                    return Decision::Answer(Outcome::Reply(Reply::Recorded));
                }
                if !self.may_write(now, commands) {
                    return Decision::Wait;
                }
                if !ledger.reclaim(*holder, *witness, *opened) {
                    let retry_after_ms = RETRY_SOON_MS;
                    return Decision::Answer(Outcome::Reply(Reply::Short { retry_after_ms }));
                }
                Decision::AfterWrite(Outcome::Reply(Reply::Recorded))
            }
            Request::Draw(draw) => self.decide_draw(now, pending, draw, draft, commands),
        }
    }
}

fn answer(pending: Pending, outcome: Outcome, commands: &mut Vec<Command>) {
    let command = match (outcome, pending.request) {
        (Outcome::Transfer { own_grant, max, need, reply }, Request::Draw(draw)) => {
            let (ticket, draw) = (pending.ticket, Box::new(Draw { need, ..draw }));
            Command::Transfer { own_grant, ticket, draw, max, reply }
        }
        (Outcome::Reply(reply), _) => Command::Reply(pending.ticket, reply),
        (Outcome::Transfer { .. }, _) => return,
    };
    commands.push(command);
}
