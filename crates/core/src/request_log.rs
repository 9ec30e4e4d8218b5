//! The request log: claims and bills in a total order.
//!
//! Each log shard is a sequence of stored segments, numbered from 0 and created
//! only if absent, so that the store alone determines the order. The first claim of a
//! request wins, and the first bill of a request counts. The outcome of an entry follows
//! from the log's contents, so an append whose reply was lost is resolved by reading the
//! next segments. Any daemon may append; the owner of a shard only batches.

mod message;

use std::collections::{HashMap, HashSet, VecDeque};

pub use message::{Command, Entry, Event, Outcome, Segment};

use crate::{AttemptId, Millis, RequestHash};

/// Number of log shards. Limited by the store's write rate: 16 shards at 10 writes per
/// second make 160 writes per second.
pub const LOG_SHARDS: u32 = 16;

/// Minimum interval between two appends to one shard, in milliseconds.
pub const APPEND_INTERVAL_MS: Millis = 100;

/// How long requests are tracked for deduplication, in milliseconds. A key that is reused
/// after this time counts as a new request.
pub const DEDUP_WINDOW_MS: Millis = 10 * 60 * 1000;

/// Maximum number of entries in one segment; keeps a segment well below one megabyte.
pub const MAX_SEGMENT_ENTRIES: usize = 2_000;

/// Delay in milliseconds before the next store operation after a failure of the store.
pub const STORE_RETRY_DELAY_MS: Millis = 300;

/// Identifies a submitted entry; chosen by the code that runs the log.
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

/// Position up to which the log has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// Nothing has been read.
    Start,
    /// `next` is the number of the next segment to read; with `is_end` it did not exist
    /// when last checked, and is the next one to append.
    At { next: u64, is_end: bool },
}

/// This daemon's state of one log shard.
#[derive(Debug)]
pub struct RequestLog {
    append_interval: Millis,
    phase: Phase,
    position: Position,
    states: HashMap<RequestHash, RequestState>,
    /// Segments within the deduplication window: number, time of writing, requests.
    window: VecDeque<(u64, Millis, Vec<RequestHash>)>,
    pending: VecDeque<(Ticket, Entry)>,
    writing: Option<(u64, Segment)>,
    last_append: Option<Millis>,
    store_retry_at: Millis,
    appends: u64,
    reads: u64,
}

impl RequestLog {
    /// Creates the state of a log shard that has not been read yet. `append_interval` is
    /// the minimum interval between two appends, in milliseconds.
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
            store_retry_at: 0,
            appends: 0,
            reads: 0,
        }
    }

    /// Returns the number of appends attempted so far.
    pub fn appends(&self) -> u64 {
        self.appends
    }

    /// Returns the number of segment reads requested so far.
    pub fn reads(&self) -> u64 {
        self.reads
    }

    /// Returns the number of requests in the deduplication window.
    pub fn tracked_requests(&self) -> usize {
        self.states.len()
    }

    /// Returns the number of entries without an outcome.
    pub fn pending_entries(&self) -> usize {
        self.pending.len()
    }

    /// Handles one event and returns the commands to execute. `now` is in milliseconds
    /// since 1970, because it is written into segments.
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
                self.store_retry_at = now + STORE_RETRY_DELAY_MS;
            }
            Event::Tick => {}
        }
        self.advance(now, &mut commands);
        commands
    }

    fn newest(&mut self, newest: Option<u64>) {
        self.phase = Phase::Ready;
        // The newest segment is read first, because it states where the window begins.
        self.position = match newest {
            None => Position::At { next: 0, is_end: false },
            Some(number) => Position::At { next: number, is_end: false },
        };
    }

    fn segment_read(&mut self, now: Millis, number: u64, segment: Option<Segment>) {
        self.phase = Phase::Ready;
        let Some(segment) = segment else {
            self.position = Position::At { next: number, is_end: true };
            return;
        };
        let opens_window = self.window.is_empty() && segment.window_start < number;
        if opens_window {
            self.position = Position::At { next: segment.window_start, is_end: false };
            // An empty placeholder prevents a second jump to the start of the window.
            self.window.push_back((segment.window_start, segment.at, Vec::new()));
            return;
        }
        self.apply(now, number, &segment);
        self.position = Position::At { next: number + 1, is_end: false };
    }

    fn appended(&mut self, now: Millis) {
        self.phase = Phase::Ready;
        if let Some((number, segment)) = self.writing.take() {
            self.apply(now, number, &segment);
            self.position = Position::At { next: number + 1, is_end: true };
        }
    }

    fn append_failed(&mut self) {
        self.phase = Phase::Ready;
        if let Some((number, _)) = self.writing.take() {
            self.position = Position::At { next: number, is_end: false };
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
        self.remove_expired(now);
    }

    fn remove_expired(&mut self, now: Millis) {
        while let Some((number, at, _)) = self.window.front() {
            if at.saturating_add(DEDUP_WINDOW_MS) > now {
                return;
            }
            let number = *number;
            let Some((_, _, requests)) = self.window.pop_front() else { return };
            for request in requests {
                let is_expired =
                    self.states.get(&request).is_some_and(|s| s.last_segment <= number);
                if is_expired {
                    self.states.remove(&request);
                }
            }
        }
    }

    fn advance(&mut self, now: Millis, commands: &mut Vec<Command>) {
        if self.phase == Phase::Busy || self.pending.is_empty() {
            return;
        }
        if now < self.store_retry_at {
            self.answer_decided(commands);
            for (ticket, _) in std::mem::take(&mut self.pending) {
                commands.push(Command::Answer(ticket, Outcome::StoreAway));
            }
            return;
        }
        match self.position {
            Position::Start => self.start(Command::FindNewest, commands),
            Position::At { next, is_end: false } => {
                self.reads += 1;
                self.start(Command::Read(next), commands);
            }
            Position::At { next, is_end: true } => self.append(now, next, commands),
        }
    }

    fn start(&mut self, command: Command, commands: &mut Vec<Command>) {
        self.phase = Phase::Busy;
        commands.push(command);
    }

    fn append(&mut self, now: Millis, next: u64, commands: &mut Vec<Command>) {
        self.answer_decided(commands);
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
        self.start(Command::Append(next, segment), commands);
    }

    /// Returns the pending entries for one segment, at most one per request, because the
    /// outcome of the first one determines the others.
    fn next_batch(&self) -> Vec<Entry> {
        let mut requests = HashSet::new();
        let entries = self.pending.iter().map(|(_, entry)| entry);
        let first_ones = entries.filter(|entry| requests.insert(entry.request()));
        first_ones.take(MAX_SEGMENT_ENTRIES).cloned().collect()
    }

    /// Answers every pending entry whose outcome is already determined by the log.
    fn answer_decided(&mut self, commands: &mut Vec<Command>) {
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

/// Returns the outcome of an entry according to the log, or `None` if it is still open.
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
