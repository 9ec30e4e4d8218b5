//! Decides which requests are blocked, and on which servers suspect requests run.
//!
//! A crash ends all requests of its server, and each host learns of its own requests first.
//! Decisions therefore wait until peers have reported their requests. When two requests have the
//! same crashes, one of them may be harmless, and the facts don't show which: both run once more,
//! on different servers and sent by one host, so that a success or a fourth crash decides.

use std::collections::{BTreeMap, BTreeSet};

use super::facts::{Block, CrashFacts};
use super::history::Evidence;
use super::parts::crashes_to_block;
use super::tracker::CrashTracker;
use crate::{Fingerprint, Millis, Name};

/// Number of crashes that block a request. One crash can have any cause, and two can happen to a
/// caller that retries at a bad time; three without a success in between are very unlikely to be
/// a coincidence.
pub const CRASHES_TO_BLOCK: usize = 3;

/// Number of crashes that block a request while another request has the same crashes.
const CRASHES_TO_BLOCK_INDISTINGUISHABLE: usize = CRASHES_TO_BLOCK + 1;

/// Minimum number of incidents (groups of nearly simultaneous crashes) that block a request: a
/// request with copies on all servers of a pool that fails at once has crashed none of them.
const MIN_INCIDENTS: usize = 2;

/// Time from the report of a crash to the decision, in milliseconds: a port that stays open
/// after the end of its process is detected after about 130 ms, and facts reach 300 daemons in
/// about 300 ms more.
pub const DECISION_DELAY_MS: Millis = 600;

/// Minimum number of crashes that a part of prompts has beside those of a request for which it may be
/// the cause of the request's crashes.
const MIN_FURTHER_PART_CRASHES: usize = 2;

/// Maximum number of servers that requests with the same crashes are spread over: each one costs
/// a further routing choice.
const MAX_RANKS: usize = 8;

/// Returns whether so many crashes in so many incidents are enough to block a request.
pub(super) fn is_sufficient(crashes: usize, incidents: usize) -> bool {
    crashes >= CRASHES_TO_BLOCK && incidents >= MIN_INCIDENTS
}

/// Server on which a suspect request runs. All hosts pick the same server, so that the request
/// can crash only one more, and requests with common crashes get different servers, so that the
/// next crash has a single suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// Key for the order of the servers, the same for all requests with common crashes.
    pub key: u64,
    /// Number of servers to skip in that order, which are for other requests.
    pub rank: usize,
}

/// Requests waiting for a decision, with the time of the decision.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingDecisions {
    due: BTreeMap<Fingerprint, Millis>,
}

impl PendingDecisions {
    pub(super) fn contains(&self, request: Fingerprint) -> bool {
        self.due.contains_key(&request)
    }

    /// Schedules a decision on the requests, or postpones one that is already scheduled.
    pub(super) fn schedule(
        &mut self,
        now: Millis,
        requests: impl IntoIterator<Item = Fingerprint>,
    ) {
        for request in requests {
            let due = self.due.entry(request).or_insert(now + DECISION_DELAY_MS);
            // A part may crash servers faster than decisions follow.
            if !request.is_part() {
                *due = (*due).max(now + DECISION_DELAY_MS);
            }
        }
    }

    /// Removes and returns the requests whose decision is due.
    fn take_due(&mut self, now: Millis) -> Vec<Fingerprint> {
        let due = self.due.iter().filter(|(_, at)| **at <= now);
        let due: Vec<Fingerprint> = due.map(|(request, _)| *request).collect();
        due.iter().for_each(|request| _ = self.due.remove(request));
        due
    }
}

impl CrashTracker {
    /// Schedules a decision for those of the requests that have enough crashes. `running` are the
    /// requests of a crash, or those that share a crash with a cleared request.
    pub(super) fn reconsider(&mut self, now: Millis, running: &[Fingerprint]) {
        let has_enough = |request: &Fingerprint| {
            self.history.crash_count(*request) >= crashes_to_block(*request)
        };
        self.pending.schedule(now, running.iter().copied().filter(has_enough));
    }

    /// Returns whether requests are waiting for a decision.
    pub fn has_pending(&self) -> bool {
        !self.pending.due.is_empty()
    }

    /// Decides on the requests whose waiting time for reports of peers is over; returns the new
    /// blocks, for peers.
    pub fn decide(&mut self, now: Millis) -> CrashFacts {
        let (parts, candidates): (Vec<Fingerprint>, Vec<Fingerprint>) =
            self.pending.take_due(now).into_iter().partition(|one| one.is_part());
        // A blocked part explains the crashes of the requests that were there.
        let mut blocks = self.block_parts(now, &parts);
        // Requests with the most crashes are blocked first: they explain the crashes of others.
        loop {
            let unblocked = candidates.iter().filter(|request| !self.is_blocked(**request));
            let to_block: Vec<(Fingerprint, usize)> = unblocked
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

    /// Returns where a suspect request has to run.
    pub fn placement(&self, request: Fingerprint) -> Placement {
        let is_suspect = |other: &Fingerprint| {
            self.evidence_against(*other).servers.len() + 1 >= CRASHES_TO_BLOCK
                && !self.is_blocked(*other)
        };
        let running = self.history.crashed_with(request).filter(|other| !other.is_part());
        let running: BTreeSet<Fingerprint> = running.collect();
        let mut group: BTreeSet<Fingerprint> = running.into_iter().filter(is_suspect).collect();
        group.insert(request);
        let first = group.first().copied().unwrap_or(request);
        let rank = group.iter().take_while(|other| **other != request).count();
        Placement { key: first.key(), rank: rank % MAX_RANKS }
    }

    /// Returns the number of crashes against the request if it has to be blocked.
    fn crashes_to_block_for(&self, request: Fingerprint) -> Option<usize> {
        let crashes = self.crashes_against(request);
        if crashes == 0 {
            return None;
        }
        let is_conclusive =
            crashes >= CRASHES_TO_BLOCK_INDISTINGUISHABLE || !self.is_indistinguishable(request);
        is_conclusive.then_some(crashes)
    }

    /// Returns whether all crashes against the request count against another request as well.
    fn is_indistinguishable(&self, request: Fingerprint) -> bool {
        let evidence = self.evidence_against(request).servers;
        let Some(first) = evidence.first() else { return false };
        let others = self.history.requests_of(first).filter(|other| *other != request);
        let mut others = others.filter(|other| !self.is_blocked(*other));
        others.any(|other| {
            let other_servers = self.evidence_against(other).servers;
            // The parts of the request itself have its crashes, but rarely others as well.
            let needed =
                evidence.len() + if other.is_part() { MIN_FURTHER_PART_CRASHES } else { 0 };
            other_servers.len() >= needed
                && evidence.iter().all(|server| other_servers.contains(server))
        })
    }

    /// Blocks the request on the current evidence.
    pub(super) fn block(&mut self, now: Millis, request: Fingerprint) -> Block {
        let evidence = self.evidence_against(request).servers;
        let servers: Vec<Name> = evidence.iter().map(|server| server.name.clone()).collect();
        let block = Block { request, age_ms: 0, servers };
        self.insert_block(now, &block);
        block
    }

    /// Returns the number of crashes against the request; 0 if they don't suffice to block it.
    pub(super) fn crashes_against(&self, request: Fingerprint) -> usize {
        let evidence = self.evidence_against(request);
        let crashes = evidence.servers.len();
        if is_sufficient(crashes, evidence.incidents) { crashes } else { 0 }
    }

    /// Returns the crashes since the last clearance that no blocked request explains.
    pub(super) fn evidence_against(&self, request: Fingerprint) -> Evidence<'_> {
        let since = self.cleared_at(request);
        self.history.evidence_against(request, since, |other| self.is_blocked(*other))
    }
}
