//! The request log: claims and bills, in an order that everybody agrees on.
//!
//! Each log shard is a row of stored segments, numbered from 0 and created
//! only if absent, so the store alone decides the order. The first claim of a
//! request wins; the first bill of a request counts. What an entry came to is
//! read off the log itself, so a lost answer is settled by reading on. Any
//! daemon may append; the owner of a shard only batches.

mod message;

use std::collections::{HashMap, HashSet, VecDeque};

pub use message::{Command, Entry, Event, Outcome, Segment};

use crate::{AttemptId, Millis, RequestHash};

/// Number of log shards. Fixed by the store's write rate: 16 shards at 10
/// writes a second are 160 writes a second.
pub const LOG_SHARDS: u32 = 16;

/// Shortest time between two appends to one shard, in milliseconds.
pub const APPEND_INTERVAL_MS: Millis = 100;

/// How long a request is remembered, in milliseconds: a key that comes again
/// later than this counts as a new request.
pub const DEDUP_WINDOW_MS: Millis = 10 * 60 * 1000;

/// Most entries of one segment; keeps a segment well below a megabyte.
pub const MAX_SEGMENT_ENTRIES: usize = 2_000;

/// How long the store is left alone after it was away.
pub const STORE_RETRY_DELAY_MS: Millis = 300;

/// Names a caller of the log; chosen by the shell.
pub type Ticket = u64;

#[derive(Debug, Clone, Copy, Default)]
struct RequestState {
    claim: Option<AttemptId>,
    bill: Option<AttemptId>,
    last_segment: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Unknown,
    Busy,
    Ready,
}

/// Where the reading stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// Nothing is known.
    Start,
    /// Everything before `next` was read; `sure` when `next` was absent.
    At { next: u64, sure: bool },
}

/// One log shard, as far as this daemon is concerned.
#[derive(Debug)]
pub struct RequestLog {
    append_interval: Millis,
    phase: Phase,
    position: Position,
    states: HashMap<RequestHash, RequestState>,
    /// Segments within the window: number, time, requests.
    window: VecDeque<(u64, Millis, Vec<RequestHash>)>,
    pending: VecDeque<(Ticket, Entry)>,
    writing: Option<(u64, Segment)>,
    last_append: Option<Millis>,
    store_away_until: Millis,
    appends: u64,
    reads: u64,
}

impl RequestLog {
    /// A log shard of which nothing has been read.
    pub fn new(append_interval: Millis) -> Self {
        RequestLog {
            append_interval,
            phase: Phase::Unknown,
            position: Position::Start,
            states: HashMap::new(),
            window: VecDeque::new(),
            pending: VecDeque::new(),
            writing: None,
            last_append: None,
            store_away_until: 0,
            appends: 0,
            reads: 0,
        }
    }

    /// Appends tried so far.
    pub fn appends(&self) -> u64 {
        self.appends
    }

    /// Segments read so far.
    pub fn reads(&self) -> u64 {
        self.reads
    }

    /// Requests remembered.
    pub fn tracked_requests(&self) -> usize {
        self.states.len()
    }

    /// Entries that wait.
    pub fn pending_entries(&self) -> usize {
        self.pending.len()
    }

    /// Takes one event and says what is to be done. `now` counts milliseconds
    /// since 1970, since it is written into segments.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Command> {
        let mut commands = Vec::new();
        match event {
            Event::Submitted(ticket, entry) => self.pending.push_back((ticket, entry)),
            Event::NewestFound(newest) => self.newest(newest),
            Event::SegmentRead(number, segment) => self.segment_read(now, number, segment),
            Event::Appended => self.appended(now),
            Event::Conflict | Event::Ambiguous => self.append_failed(),
            Event::StoreUnavailable => {
                self.phase = Phase::Ready;
                self.writing = None;
                self.store_away_until = now + STORE_RETRY_DELAY_MS;
            }
            Event::Tick => {}
        }
        self.advance(now, &mut commands);
        commands
    }

    fn newest(&mut self, newest: Option<u64>) {
        self.phase = Phase::Ready;
        // The newest segment tells where the window begins; read it first.
        self.position = match newest {
            None => Position::At { next: 0, sure: false },
            Some(number) => Position::At { next: number, sure: false },
        };
    }

    fn segment_read(&mut self, now: Millis, number: u64, segment: Option<Segment>) {
        self.phase = Phase::Ready;
        let Some(segment) = segment else {
            self.position = Position::At { next: number, sure: true };
            return;
        };
        let opens_window = self.window.is_empty() && segment.window_start < number;
        if opens_window {
            self.position = Position::At { next: segment.window_start, sure: false };
            // An empty mark keeps the window from being opened twice.
            self.window.push_back((segment.window_start, segment.at, Vec::new()));
            return;
        }
        self.apply(now, number, &segment);
        self.position = Position::At { next: number + 1, sure: false };
    }

    fn appended(&mut self, now: Millis) {
        self.phase = Phase::Ready;
        if let Some((number, segment)) = self.writing.take() {
            self.apply(now, number, &segment);
            self.position = Position::At { next: number + 1, sure: true };
        }
    }

    fn append_failed(&mut self) {
        self.phase = Phase::Ready;
        if let Some((number, _)) = self.writing.take() {
            self.position = Position::At { next: number, sure: false };
        }
    }

    fn apply(&mut self, now: Millis, number: u64, segment: &Segment) {
        let mut requests = Vec::with_capacity(segment.entries.len());
        for entry in &segment.entries {
            let state = self.states.entry(entry.request()).or_default();
            state.last_segment = number;
            requests.push(entry.request());
            match entry {
                Entry::Claim { attempt, .. } => {
                    state.claim.get_or_insert(*attempt);
                }
                Entry::Release { attempt, .. } => {
                    if state.claim == Some(*attempt) && state.bill.is_none() {
                        state.claim = None;
                    }
                }
                Entry::Bill(bill) => {
                    state.bill.get_or_insert(bill.attempt);
                }
            }
        }
        self.window.push_back((number, segment.at, requests));
        self.forget(now);
    }

    fn forget(&mut self, now: Millis) {
        while let Some((number, at, _)) = self.window.front() {
            if at.saturating_add(DEDUP_WINDOW_MS) > now {
                return;
            }
            let number = *number;
            let Some((_, _, requests)) = self.window.pop_front() else { return };
            for request in requests {
                let old = self.states.get(&request).is_some_and(|s| s.last_segment <= number);
                if old {
                    self.states.remove(&request);
                }
            }
        }
    }

    fn advance(&mut self, now: Millis, commands: &mut Vec<Command>) {
        if self.phase == Phase::Busy || self.pending.is_empty() {
            return;
        }
        if now < self.store_away_until {
            self.answer_known(commands);
            for (ticket, _) in std::mem::take(&mut self.pending) {
                commands.push(Command::Answer(ticket, Outcome::StoreAway));
            }
            return;
        }
        match self.position {
            Position::Start => self.busy(Command::FindNewest, commands),
            Position::At { next, sure: false } => {
                self.reads += 1;
                self.busy(Command::Read(next), commands);
            }
            Position::At { next, sure: true } => self.append(now, next, commands),
        }
    }

    fn busy(&mut self, command: Command, commands: &mut Vec<Command>) {
        self.phase = Phase::Busy;
        commands.push(command);
    }

    fn append(&mut self, now: Millis, next: u64, commands: &mut Vec<Command>) {
        self.answer_known(commands);
        if self.pending.is_empty() {
            return;
        }
        let append_at = self.last_append.map_or(now, |at| at + self.append_interval);
        if now < append_at {
            commands.push(Command::WakeAt(append_at));
            return;
        }
        self.last_append = Some(now);
        self.appends += 1;
        let entries = self.next_batch();
        let window_start = self.window.front().map_or(next, |(number, _, _)| *number);
        let segment = Segment { at: now, window_start, entries };
        self.writing = Some((next, segment.clone()));
        self.busy(Command::Append(next, segment), commands);
    }

    /// Pending entries for one segment, at most one of each request: what the
    /// first one comes to decides the others.
    fn next_batch(&self) -> Vec<Entry> {
        let mut requests = HashSet::new();
        let entries = self.pending.iter().map(|(_, entry)| entry);
        let first_ones = entries.filter(|entry| requests.insert(entry.request()));
        first_ones.take(MAX_SEGMENT_ENTRIES).cloned().collect()
    }

    /// Answers every pending entry whose outcome the log already shows.
    fn answer_known(&mut self, commands: &mut Vec<Command>) {
        let states = &self.states;
        self.pending.retain(|(ticket, entry)| {
            let state = states.get(&entry.request()).copied().unwrap_or_default();
            let outcome = outcome_of(entry, state);
            if let Some(outcome) = outcome {
                commands.push(Command::Answer(*ticket, outcome));
            }
            outcome.is_none()
        });
    }
}

/// What the log says of an entry; none when the log does not hold it yet.
fn outcome_of(entry: &Entry, state: RequestState) -> Option<Outcome> {
    match entry {
        Entry::Claim { attempt, .. } => {
            let by = state.claim?;
            let billed = state.bill.is_some();
            Some(if by == *attempt { Outcome::ClaimWon } else { Outcome::ClaimLost { by, billed } })
        }
        Entry::Release { attempt, .. } => {
            (state.claim != Some(*attempt)).then_some(Outcome::Released)
        }
        Entry::Bill(bill) => {
            state.bill.map(|attempt| Outcome::Billed { first: attempt == bill.attempt })
        }
    }
}
