//! The owner's state machine: one store operation at a time, and a queue of requests.

mod draw;
mod without_store;

use std::collections::VecDeque;

use serde::Serialize;

use crate::holder::Draw;
use crate::owner::collection::Collections;
use crate::owner::draft::Draft;
use crate::owner::message::{Command, Event, Reply, Request, Ticket};
use crate::owner::{MAX_REQUEST_AGE_MS, PREFETCH_DELAY_MS, RETRY_SOON_MS};
use crate::shard::Shard;
use crate::{Incarnation, Millis, Tokens};

/// Number of writes beyond the first that may follow without delay after an idle period.
const WRITE_BURST: u64 = 7;

/// Maximum age in milliseconds of the shard's last read or write on which a refusal may
/// be based; an older copy is read again first.
const MAX_SHARD_AGE_MS: Millis = 1_000;

/// Delay in milliseconds before the next store operation after a failure of the store.
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
    /// Returns whether the request is served now, without waiting for others to share its write.
    fn is_due(&self, now: Millis) -> bool {
        let is_prefetch = matches!(&self.request, Request::Draw(draw) if draw.need == 0);
        !is_prefetch || now >= self.arrived + PREFETCH_DELAY_MS
    }
}

/// How a request is answered, after its write if it needs one.
#[derive(Debug)]
enum Outcome {
    Reply(Reply),
    Transfer { own_grant: Option<(Tokens, Tokens)>, max: Tokens, need: Tokens, reply: Reply },
}

/// How one request is handled in the current round.
enum Decision {
    /// Answer immediately.
    Answer(Outcome),
    /// Answer once the next write has succeeded.
    AfterWrite(Outcome),
    /// Keep the request in the queue.
    Wait,
}

/// Counters of an owner's store operations and collections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct OwnerCounts {
    /// Reads of the shard from the store.
    pub loads: u64,
    /// Attempted writes.
    pub writes: u64,
    /// Writes rejected because the shard had changed.
    pub conflicts: u64,
    /// Collections from other holders.
    pub gathers: u64,
}

/// This daemon's state as the owner of one shard.
#[derive(Debug)]
pub struct Owner {
    me: Incarnation,
    address: String,
    write_interval: Millis,
    shard: Option<(u64, Shard)>,
    loaded_at: Millis,
    needs_reload: bool,
    phase: Phase,
    pending: VecDeque<Pending>,
    in_write: Vec<(Pending, Outcome)>,
    /// Whether a request in the current round requires an immediate write.
    is_write_due: bool,
    written_shard: Shard,
    collections: Collections,
    /// Rate limiter of writes: each write advances this time by one interval. A write is
    /// allowed while it is at most [`WRITE_BURST`] intervals ahead of the clock.
    write_quota_used_until: Millis,
    store_retry_at: Millis,
    next_wake: Option<Millis>,
    counts: OwnerCounts,
}

impl Owner {
    /// Creates an owner that has not read the shard yet; `address` is this daemon's peer
    /// address, and `write_interval` the mean interval between writes in milliseconds.
    pub fn new(me: Incarnation, address: &str, write_interval: Millis) -> Self {
        Owner {
            me,
            address: address.to_owned(),
            write_interval,
            shard: None,
            loaded_at: 0,
            needs_reload: false,
            phase: Phase::Idle,
            pending: VecDeque::new(),
            in_write: Vec::new(),
            is_write_due: false,
            written_shard: Shard::default(),
            collections: Collections::default(),
            write_quota_used_until: 0,
            store_retry_at: 0,
            next_wake: None,
            counts: OwnerCounts::default(),
        }
    }

    /// Disables collections from other holders, as a baseline for comparison.
    pub fn without_collecting(mut self) -> Self {
        self.collections = Collections::disabled();
        self
    }

    /// Returns the counters of this owner.
    pub fn counts(&self) -> OwnerCounts {
        self.counts
    }

    /// Returns the shard as last read or written.
    pub fn shard(&self) -> Option<&Shard> {
        self.versioned_shard().map(|(_, shard)| shard)
    }

    /// Returns the shard as last read or written, with its version.
    pub fn versioned_shard(&self) -> Option<(u64, &Shard)> {
        self.shard.as_ref().map(|(version, shard)| (*version, shard))
    }

    /// Queues a request without handling it. The next event handles all queued requests,
    /// so that one write serves them all.
    pub fn enqueue(&mut self, now: Millis, ticket: Ticket, request: Request) {
        self.pending.push_back(Pending { ticket, request, arrived: now });
    }

    /// Handles one event and returns the commands to execute.
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
            Event::StoreUnavailable => self.store_unavailable(now),
            Event::Collected { budget, free, more_expected } => {
                self.collections.finish(budget, free, more_expected);
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
        self.needs_reload = false;
        self.store_retry_at = 0;
    }

    fn written(&mut self, now: Millis, version: u64, commands: &mut Vec<Command>) {
        self.phase = Phase::Idle;
        self.shard = Some((version, std::mem::take(&mut self.written_shard)));
        self.loaded_at = now;
        for (pending, outcome) in std::mem::take(&mut self.in_write) {
            answer(pending, outcome, commands);
        }
    }

    /// Returns whether the write rate allows a write now; schedules a wake-up if it doesn't.
    fn may_write(&mut self, now: Millis, commands: &mut Vec<Command>) -> bool {
        let burst = WRITE_BURST * self.write_interval;
        let write_at = self.write_quota_used_until.saturating_sub(burst);
        if now < write_at {
            self.wake_at(write_at, now, commands);
        }
        now >= write_at
    }

    /// Schedules a wake-up, unless an earlier one is pending.
    fn wake_at(&mut self, at: Millis, now: Millis, commands: &mut Vec<Command>) {
        let is_scheduled = self.next_wake.is_some_and(|wake| now < wake && wake <= at);
        if !is_scheduled {
            self.next_wake = Some(at);
            commands.push(Command::WakeAt(at));
        }
    }

    /// Returns the requests of the write to the front of the queue, in their order, and
    /// requires the shard to be read again, which shows whether the write took effect.
    fn write_failed(&mut self) {
        self.phase = Phase::Idle;
        self.needs_reload = true;
        self.requeue_written();
    }

    fn store_unavailable(&mut self, now: Millis) {
        self.phase = Phase::Idle;
        self.store_retry_at = now + STORE_RETRY_DELAY_MS;
        self.requeue_written();
    }

    fn requeue_written(&mut self) {
        for (pending, _) in std::mem::take(&mut self.in_write).into_iter().rev() {
            self.pending.push_front(pending);
        }
        // The collected tokens assigned to these requests were not transferred.
        self.collections.discard_finished();
    }

    fn advance(&mut self, now: Millis, commands: &mut Vec<Command>) {
        if self.phase != Phase::Idle {
            return;
        }
        self.drop_expired(now, commands);
        if self.pending.is_empty() {
            return;
        }
        let is_store_unavailable = now < self.store_retry_at;
        let must_load = self.shard.is_none() || self.needs_reload;
        if must_load && !is_store_unavailable {
            self.phase = Phase::Loading;
            self.counts.loads += 1;
            commands.push(Command::Load);
            return;
        }
        if is_store_unavailable {
            self.serve_without_store(now, commands);
        } else {
            self.serve(now, commands);
        }
    }

    fn drop_expired(&mut self, now: Millis, commands: &mut Vec<Command>) {
        let unavailable = Reply::StoreAway { retry_after_ms: RETRY_SOON_MS };
        self.pending.retain(|pending| {
            let is_expired = now > pending.arrived + MAX_REQUEST_AGE_MS;
            if is_expired {
                commands.push(Command::Reply(pending.ticket, unavailable));
            }
            !is_expired
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
            self.load_if_needed(now, commands);
            return;
        }
        let next = draft.finish();
        self.shard = Some((version, shard));
        self.phase = Phase::Writing;
        self.counts.writes += 1;
        self.write_quota_used_until = self.write_quota_used_until.max(now) + self.write_interval;
        self.in_write = to_write;
        self.written_shard = next.clone();
        commands.push(Command::Write(version, next));
    }

    fn load_if_needed(&mut self, now: Millis, commands: &mut Vec<Command>) {
        if self.needs_reload && now >= self.store_retry_at {
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
