//! Who is blocked for crashes, and where those run that may be.
//!
//! A crash takes along all that its server was running, and each host knows its own requests
//! first. So nobody is decided on before peers have told who else was aboard. Of two requests with
//! the same crashes one may be a bystander, and nothing that is known tells which: both get one
//! more run, apart from each other and sent by one host, so that a success or a fourth crash
//! tells.

use std::collections::{BTreeMap, BTreeSet};

use super::facts::{Block, CrashFacts};
use super::history::Evidence;
use super::tracker::CrashTracker;
use crate::{Fingerprint, Millis, Name};

/// Servers that may crash under one request: one crash has any cause, two happen to a caller
/// that comes again at a bad moment, three with no success in between hardly do.
pub const CRASHES_TO_BLOCK: usize = 3;

/// Servers that may crash under one request beside another with the same crashes.
const CRASHES_TO_BLOCK_BESIDE_EQUAL: usize = CRASHES_TO_BLOCK + 1;

/// Moments in which they crash at the least: what a caller repeats on all servers of a pool
/// that is lost at once has crashed none of them.
const MIN_MOMENTS: usize = 2;

/// Time from the word of a crash to the decision, in milliseconds: a port that outlives its
/// process is found out after some 130 ms, and news reach 300 daemons in some 300 ms more.
pub const DECISION_DELAY_MS: Millis = 600;

/// Servers that requests with the same crashes are spread over at most: each costs a further choice.
const MAX_PLACES: usize = 8;

pub(super) fn is_enough(crashes: usize, moments: usize) -> bool {
    crashes >= CRASHES_TO_BLOCK && moments >= MIN_MOMENTS
}

/// Where a suspect is to run: the same server from all hosts, so that its next crash is one
/// server's, and another one than those that were aboard with it, so that the crash is one request's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Hash that orders the servers, the same for all that were aboard together.
    pub key: u64,
    /// How many servers in that order are others' places.
    pub rank: usize,
}

/// Requests to be decided on, and when.
#[derive(Debug, Clone, Default)]
pub(super) struct Pending {
    due: BTreeMap<Fingerprint, Millis>,
}

impl Pending {
    pub(super) fn has(&self, request: Fingerprint) -> bool {
        self.due.contains_key(&request)
    }

    pub(super) fn put(&mut self, now: Millis, requests: impl IntoIterator<Item = Fingerprint>) {
        for request in requests {
            let due = self.due.entry(request).or_default();
            *due = (*due).max(now + DECISION_DELAY_MS);
        }
    }

    fn take_due(&mut self, now: Millis) -> Vec<Fingerprint> {
        let due = self.due.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Fingerprint> = due.map(|(request, _)| *request).collect();
        due.iter().for_each(|request| _ = self.due.remove(request));
        due
    }
}

impl CrashTracker {
    /// These were aboard of a crash, or beside one that was cleared: those with enough crashes
    /// are to be decided on.
    pub(super) fn reconsider(&mut self, now: Millis, running: &[Fingerprint]) {
        let has_enough =
            |request: &Fingerprint| self.history.crash_count(*request) >= CRASHES_TO_BLOCK;
        self.pending.put(now, running.iter().copied().filter(has_enough));
    }

    /// Whether requests wait to be decided on.
    pub fn has_pending(&self) -> bool {
        !self.pending.due.is_empty()
    }

    /// Decides on the requests of which peers have told by now what they know; returns the
    /// blocks, for peers.
    pub fn decide(&mut self, now: Millis) -> CrashFacts {
        let candidates = self.pending.take_due(now);
        let mut blocks = Vec::new();
        // Those with the most crashes first: they explain the crashes of the others.
        loop {
            let free = candidates.iter().filter(|request| !self.is_blocked(**request));
            let to_block: Vec<(Fingerprint, usize)> = free
                .filter_map(|request| Some((*request, self.crashes_to_block_for(*request)?)))
                .collect();
            let Some(most) = to_block.iter().map(|(_, crashes)| *crashes).max() else {
                return CrashFacts { blocks, ..CrashFacts::default() };
            };
            for (request, _) in to_block.iter().filter(|(_, crashes)| *crashes == most) {
                blocks.push(self.block(now, *request));
            }
        }
    }

    /// Where a suspect is to run.
    pub fn placement(&self, request: Fingerprint) -> Placement {
        let is_suspect = |other: &Fingerprint| {
            self.against(*other).servers.len() + 1 >= CRASHES_TO_BLOCK && !self.is_blocked(*other)
        };
        let running: BTreeSet<Fingerprint> = self.history.crashed_with(request).collect();
        let mut group: BTreeSet<Fingerprint> = running.into_iter().filter(is_suspect).collect();
        group.insert(request);
        let first = group.first().copied().unwrap_or(request);
        let rank = group.iter().take_while(|other| **other != request).count();
        Placement { key: first.key(), rank: rank % MAX_PLACES }
    }

    /// Crashes against a request that is to be blocked.
    fn crashes_to_block_for(&self, request: Fingerprint) -> Option<usize> {
        let crashes = self.count_against(request);
        if crashes == 0 {
            return None;
        }
        let is_sure = crashes >= CRASHES_TO_BLOCK_BESIDE_EQUAL || !self.has_equal(request);
        is_sure.then_some(crashes)
    }

    /// Whether all crashes against the request speak against another one as well.
    fn has_equal(&self, request: Fingerprint) -> bool {
        let against = self.against(request).servers;
        let Some(first) = against.first() else { return false };
        let others = self.history.requests_of(first).filter(|other| *other != request);
        let mut others = others.filter(|other| !self.is_blocked(*other));
        others.any(|other| {
            let of_other = self.against(other).servers;
            against.iter().all(|server| of_other.contains(server))
        })
    }

    fn block(&mut self, now: Millis, request: Fingerprint) -> Block {
        let against = self.against(request).servers;
        let servers: Vec<Name> = against.iter().map(|server| server.name.clone()).collect();
        let block = Block { request, age_ms: 0, servers };
        self.insert_block(now, &block);
        block
    }

    /// Crashes against the request; 0 while they are not enough.
    pub(super) fn count_against(&self, request: Fingerprint) -> usize {
        let against = self.against(request);
        let crashes = against.servers.len();
        if is_enough(crashes, against.moments) { crashes } else { 0 }
    }

    pub(super) fn against(&self, request: Fingerprint) -> Evidence<'_> {
        let since = self.cleared_at(request);
        self.history.against(request, since, |other| self.is_blocked(*other))
    }
}
