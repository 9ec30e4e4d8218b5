//! Who is condemned for crashes, and where those run that may be.
//!
//! A crash takes along all that its server was running, and each host knows its own requests
//! first. So nobody is judged before peers have told who else was aboard. Of two requests with
//! the same crashes one may be a bystander, and nothing that is known tells which: both get one
//! more run, apart from each other and sent by one host, so that a success or a fourth crash
//! tells.

use std::collections::{BTreeMap, BTreeSet};

use super::book::CrashBook;
use super::facts::{CrashFacts, Sentence};
use super::record::Evidence;
use crate::{Fingerprint, Millis, Name};

/// Servers that may crash under one request: one crash has any cause, two happen to a caller
/// that comes again at a bad moment, three with no success in between hardly do.
pub const CONDEMNED_AFTER: usize = 3;

/// Servers that may crash under one request beside another with the same crashes.
const CONDEMNED_BESIDE_A_RIVAL_AFTER: usize = CONDEMNED_AFTER + 1;

/// Moments in which they crash at the least: what a caller repeats on all servers of a pool
/// that is lost at once has crashed none of them.
const MOMENTS: usize = 2;

/// Time from the word of a crash to the judgement, in milliseconds: a port that outlives its
/// process is found out after some 130 ms, and news reach 300 daemons in some 300 ms more.
pub const SETTLE_MS: Millis = 600;

/// Servers that rivals are spread over at most: each costs a further choice.
const MOST_PLACES: usize = 8;

pub(super) fn is_enough(crashes: usize, moments: usize) -> bool {
    crashes >= CONDEMNED_AFTER && moments >= MOMENTS
}

/// Where a suspect is to run: the same server from all hosts, so that its next crash is one
/// server's, and another one than its rivals, so that the crash is one request's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Hash that orders the servers, the same for rivals.
    pub key: u64,
    /// How many servers in that order are others' places.
    pub rank: usize,
}

/// Requests to be judged, and when.
#[derive(Debug, Clone, Default)]
pub(super) struct Docket {
    due: BTreeMap<Fingerprint, Millis>,
}

impl Docket {
    pub(super) fn has(&self, request: Fingerprint) -> bool {
        self.due.contains_key(&request)
    }

    pub(super) fn put(&mut self, now: Millis, requests: impl IntoIterator<Item = Fingerprint>) {
        for request in requests {
            let due = self.due.entry(request).or_default();
            *due = (*due).max(now + SETTLE_MS);
        }
    }

    fn take_due(&mut self, now: Millis) -> Vec<Fingerprint> {
        let due = self.due.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Fingerprint> = due.map(|(request, _)| *request).collect();
        due.iter().for_each(|request| _ = self.due.remove(request));
        due
    }
}

impl CrashBook {
    /// These were aboard of a crash, or beside one that was cleared: those with enough crashes
    /// are to be judged.
    pub(super) fn accuse(&mut self, now: Millis, aboard: &[Fingerprint]) {
        let has_enough = |request: &Fingerprint| self.record.aboard_of(*request) >= CONDEMNED_AFTER;
        self.docket.put(now, aboard.iter().copied().filter(has_enough));
    }

    /// Whether requests wait to be judged.
    pub fn has_to_judge(&self) -> bool {
        !self.docket.due.is_empty()
    }

    /// Judges the requests of which peers have told by now what they know; returns the
    /// sentences, for peers.
    pub fn judge(&mut self, now: Millis) -> CrashFacts {
        let accused = self.docket.take_due(now);
        let mut sentences = Vec::new();
        // Those with the most crashes first: they explain the crashes of the others.
        loop {
            let free = accused.iter().filter(|request| !self.is_condemned(**request));
            let guilty: Vec<(Fingerprint, usize)> =
                free.filter_map(|request| Some((*request, self.guilt(*request)?))).collect();
            let Some(most) = guilty.iter().map(|(_, crashes)| *crashes).max() else {
                return CrashFacts { sentences, ..CrashFacts::default() };
            };
            for (request, _) in guilty.iter().filter(|(_, crashes)| *crashes == most) {
                sentences.push(self.condemn(now, *request));
            }
        }
    }

    /// Where a suspect is to run.
    pub fn place(&self, request: Fingerprint) -> Place {
        let is_suspect = |other: &Fingerprint| {
            self.against(*other).servers.len() + 1 >= CONDEMNED_AFTER && !self.is_condemned(*other)
        };
        let aboard: BTreeSet<Fingerprint> = self.record.aboard_with(request).collect();
        let mut group: BTreeSet<Fingerprint> = aboard.into_iter().filter(is_suspect).collect();
        group.insert(request);
        let first = group.first().copied().unwrap_or(request);
        let rank = group.iter().take_while(|other| **other != request).count();
        Place { key: first.key(), rank: rank % MOST_PLACES }
    }

    /// Crashes against a request that is to be condemned.
    fn guilt(&self, request: Fingerprint) -> Option<usize> {
        let crashes = self.count_against(request);
        if crashes == 0 {
            return None;
        }
        let is_sure = crashes >= CONDEMNED_BESIDE_A_RIVAL_AFTER || !self.has_rival(request);
        is_sure.then_some(crashes)
    }

    /// Whether all crashes against the request speak against another one as well.
    fn has_rival(&self, request: Fingerprint) -> bool {
        let against = self.against(request).servers;
        let Some(first) = against.first() else { return false };
        let others = self.record.aboard(first).filter(|other| *other != request);
        let mut others = others.filter(|other| !self.is_condemned(*other));
        others.any(|other| {
            let of_other = self.against(other).servers;
            against.iter().all(|server| of_other.contains(server))
        })
    }

    fn condemn(&mut self, now: Millis, request: Fingerprint) -> Sentence {
        let against = self.against(request).servers;
        let servers: Vec<Name> = against.iter().map(|server| server.name.clone()).collect();
        let sentence = Sentence { request, age_ms: 0, servers };
        self.take_sentence(now, &sentence);
        sentence
    }

    /// Crashes against the request; 0 while they are not enough.
    pub(super) fn count_against(&self, request: Fingerprint) -> usize {
        let against = self.against(request);
        let crashes = against.servers.len();
        if is_enough(crashes, against.moments) { crashes } else { 0 }
    }

    pub(super) fn against(&self, request: Fingerprint) -> Evidence<'_> {
        let since = self.cleared_at(request);
        self.record.against(request, since, |other| self.is_condemned(*other))
    }
}
