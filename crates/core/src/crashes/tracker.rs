//! Crash state of one daemon and the resulting verdict for each request.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::decision::{CRASHES_TO_BLOCK, PendingDecisions, is_sufficient};
use super::facts::{Block, Cleared, Crash, CrashFacts, ServerInstance};
use super::history::CrashHistory;
use super::parts::{CRASHES_TO_SUSPECT_PART, RunOutcomes, crashes_to_block};
use crate::{Fingerprint, Millis, Name};

/// Duration of a block, in milliseconds. A caller that never stops crashes three servers a day,
/// and a caller whose problem was fixed is served on the next day at the latest.
pub const BLOCK_DURATION_MS: Millis = 24 * 3_600_000;

/// Maximum number of blocked requests: 1,000 of about 150 bytes each.
const MAX_BLOCKS: usize = 1_000;

/// Maximum number of cleared requests: those of about a hundred crashes.
const MAX_CLEARED: usize = 4_000;

/// Largest difference between the times of two reports of the same success, in milliseconds: they
/// differ by their time in transit.
const SAME_SUCCESS_MS: Millis = 1_000;

/// Decision on whether and where a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// At most one crash counts against it; it may run anywhere.
    Allowed,
    /// One more crash blocks it; it may run only at its [`CrashTracker::placement`].
    Suspect,
    /// It has enough crashes to be blocked, but another request has the same ones: it may run
    /// once more, sent by a single host, at its [`CrashTracker::placement`].
    Isolated,
    /// It may have to be blocked: the daemon is still checking whether disconnected servers have
    /// crashed, or waiting for peers to report the other requests of a crash.
    Undecided,
    /// It must not run anywhere.
    Blocked,
}

/// Sizes of the crash state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CrashStats {
    /// Number of crashes.
    pub crashes: usize,
    /// Number of blocked requests.
    pub blocks: usize,
    /// Number of facts evicted or left out because of the size bounds.
    pub dropped: u64,
}

/// A block in force.
#[derive(Debug, Clone)]
struct Blocked {
    at: Millis,
    servers: Vec<Name>,
}

/// Time up to which crashes don't count against a request.
#[derive(Debug, Clone, Copy, Default)]
struct Clearance {
    at: Millis,
    /// Clearance time last announced to peers.
    announced_at: Option<Millis>,
    /// Whether it ended a block. A host that was partitioned may still report that block.
    voids_block: bool,
}

/// End of a response that is delimited by its connection.
#[derive(Debug, Clone, Copy)]
struct UnframedEnd {
    at: Millis,
    request: Fingerprint,
    /// Hash of the server's version.
    version: u64,
}

/// Crashes, clearances and blocks that one daemon knows.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    pub(super) history: CrashHistory,
    /// Disconnected servers that may have crashed, and the requests that they were running.
    unverified: BTreeMap<ServerInstance, BTreeSet<Fingerprint>>,
    cleared: HashMap<Fingerprint, Clearance>,
    blocked: BTreeMap<Fingerprint, Blocked>,
    /// Requests waiting for a decision.
    pub(super) pending: PendingDecisions,
    /// How runs of this daemon ended lately, by pool.
    pub(super) outcomes: RunOutcomes,
    /// Requests whose responses have ended with their connections to a server that may have crashed.
    ended: BTreeMap<ServerInstance, Vec<UnframedEnd>>,
    dropped: u64,
}

impl CrashTracker {
    /// Returns whether nothing is recorded, so that no request has to be looked up.
    pub fn is_empty(&self) -> bool {
        let has_crashes = self.history.len() > 0 || !self.unverified.is_empty();
        !has_crashes && self.blocked.is_empty() && self.cleared.is_empty()
    }

    /// Returns the sizes of the crash state.
    pub fn stats(&self) -> CrashStats {
        CrashStats {
            crashes: self.history.len(),
            blocks: self.blocked.len(),
            dropped: self.dropped + self.history.dropped(),
        }
    }

    /// Returns the verdict for a request that is about to run.
    pub fn verdict(&self, request: Fingerprint) -> Verdict {
        if self.blocked.contains_key(&request) {
            return Verdict::Blocked;
        }
        let unverified =
            self.unverified.values().filter(|running| running.contains(&request)).count();
        let evidence = self.evidence_against(request);
        let crashes = evidence.servers.len() + unverified;
        if is_sufficient(crashes, evidence.incidents + usize::from(unverified > 0)) {
            // A request that was decided on and not blocked has the same crashes as another one.
            let is_decided = unverified == 0 && !self.pending.contains(request);
            return if is_decided { Verdict::Isolated } else { Verdict::Undecided };
        }
        if crashes + 1 >= CRASHES_TO_BLOCK { Verdict::Suspect } else { Verdict::Allowed }
    }

    /// Returns whether a success of this request would change the state.
    pub fn tracks(&self, request: Fingerprint) -> bool {
        self.history.crash_count(request) > 0 || self.blocked.contains_key(&request)
    }

    /// Records that the connection to a server that was running a request broke. Returns updates
    /// for peers, and whether the caller has to check if the server has crashed; the result is
    /// reported by [`CrashTracker::record_crash`] or [`CrashTracker::record_alive`].
    pub fn record_disconnect(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        request: Fingerprint,
    ) -> (bool, CrashFacts) {
        if self.history.contains(server) {
            return (false, self.add_crash(now, now, server, [request]));
        }
        let is_new = !self.unverified.contains_key(server);
        self.unverified.entry(server.clone()).or_default().insert(request);
        (is_new, CrashFacts::default())
    }

    /// Records that a disconnected server has crashed; returns updates for peers.
    pub fn record_crash(&mut self, now: Millis, server: &ServerInstance) -> CrashFacts {
        self.ended.remove(server);
        let running = self.unverified.remove(server).unwrap_or_default();
        self.add_crash(now, now, server, running)
    }

    /// Records that a disconnected server is still running: the connection was reset, the network
    /// partitioned, or a response ended with its connection, which then was a success. Returns
    /// updates for peers.
    pub fn record_alive(&mut self, server: &ServerInstance) -> CrashFacts {
        self.unverified.remove(server);
        let mut updates = CrashFacts::default();
        for UnframedEnd { at, request, version } in self.ended.remove(server).unwrap_or_default() {
            updates.merge(&self.record_success(at, request));
            if request.is_part() {
                self.record_outcome(at, request, version, false);
            }
        }
        updates
    }

    /// Records that a response of a server has ended with its connection: a success, if the server
    /// turns out to be still running. `version` is a hash of the server's version. As
    /// [`CrashTracker::record_disconnect`].
    pub fn record_unframed_end(
        &mut self,
        now: Millis,
        server: &ServerInstance,
        request: Fingerprint,
        version: u64,
    ) -> (bool, CrashFacts) {
        let outcome = self.record_disconnect(now, server, request);
        if self.unverified.contains_key(server) {
            self.ended.entry(server.clone()).or_default().push(UnframedEnd {
                at: now,
                request,
                version,
            });
        }
        outcome
    }

    /// Records that a request succeeded. Returns updates for peers if two crashes count against
    /// the request, so that a third one does not block it on daemons that did not see the success.
    pub fn record_success(&mut self, now: Millis, request: Fingerprint) -> CrashFacts {
        if !self.tracks(request) {
            return CrashFacts::default();
        }
        self.clear(now, request);
        self.clearance_to_announce(now, request)
    }

    /// Lifts the block of a request on behalf of an operator; returns updates for peers.
    pub fn lift(&mut self, now: Millis, request: Fingerprint) -> CrashFacts {
        self.clear(now, request);
        self.cleared.entry(request).and_modify(|clearance| {
            clearance.announced_at = Some(now);
            clearance.voids_block = true;
        });
        CrashFacts { cleared: vec![Cleared { request, age_ms: 0 }], ..CrashFacts::default() }
    }

    /// Returns whether crashes up to `at` no longer count against the request.
    pub fn is_cleared_since(&self, request: Fingerprint, at: Millis) -> bool {
        self.cleared.get(&request).is_some_and(|clearance| clearance.at >= at)
    }

    /// Merges facts from a peer or from the store; returns those that were new, for other peers.
    pub fn merge(&mut self, now: Millis, facts: CrashFacts) -> CrashFacts {
        let mut updates = CrashFacts::default();
        for cleared in facts.cleared {
            let at = now.saturating_sub(cleared.age_ms);
            let known = self.cleared.get(&cleared.request).and_then(|known| known.announced_at);
            if known.is_some_and(|known| at <= known + SAME_SUCCESS_MS) {
                continue;
            }
            self.clear(at, cleared.request);
            let mark = |clearance: &mut Clearance| clearance.announced_at = Some(at);
            self.cleared.entry(cleared.request).and_modify(mark);
            updates.cleared.push(cleared);
        }
        for crash in
            facts.crashes.into_iter().filter(|crash| CrashHistory::is_reportable(crash.age_ms))
        {
            // A peer's report settles a crash that this daemon has not verified yet.
            self.ended.remove(&crash.server);
            let mut running = self.unverified.remove(&crash.server).unwrap_or_default();
            running.extend(crash.running);
            let at = now.saturating_sub(crash.age_ms);
            let new = self.add_crash(now, at, &crash.server, running);
            updates.crashes.extend(new.crashes);
            updates.cleared.extend(new.cleared);
        }
        for block in facts.blocks {
            if self.insert_block(now, &block) {
                updates.blocks.push(block);
            }
        }
        updates
    }

    /// Returns all facts, for a peer with a different digest.
    pub fn facts(&self, now: Millis) -> CrashFacts {
        let announced =
            self.cleared.iter().filter(|(_, clearance)| clearance.announced_at.is_some());
        CrashFacts {
            crashes: self.history.reportable(now).collect(),
            cleared: announced
                .map(|(request, clearance)| Cleared {
                    request: *request,
                    age_ms: now.saturating_sub(clearance.at),
                })
                .collect(),
            blocks: self.blocks(now),
        }
    }

    /// Returns the blocks in force.
    pub fn blocks(&self, now: Millis) -> Vec<Block> {
        let block = |(request, blocked): (&Fingerprint, &Blocked)| Block {
            request: *request,
            age_ms: now.saturating_sub(blocked.at),
            servers: blocked.servers.clone(),
        };
        self.blocked.iter().map(block).collect()
    }

    /// Returns an order-independent hash of all facts that are sent to peers; 0 if there are none.
    /// Two daemons with the same hash need not exchange facts.
    pub fn digest(&self, now: Millis) -> u64 {
        let mut sum = self.history.digest(now);
        let mut add = |bytes: &[u8]| sum = sum.wrapping_add(xxh3_64(bytes));
        self.blocked.keys().for_each(|request| add(&request.0.to_le_bytes()));
        let announced =
            self.cleared.iter().filter(|(_, clearance)| clearance.announced_at.is_some());
        announced.for_each(|(request, _)| add(&[&[1], &request.0.to_le_bytes()[..]].concat()));
        sum
    }

    /// Removes expired crashes, blocks and clearances.
    pub fn remove_expired(&mut self, now: Millis) {
        self.history.remove_expired(now);
        self.outcomes.remove_expired(now);
        self.blocked.retain(|_, blocked| now.saturating_sub(blocked.at) < BLOCK_DURATION_MS);
        let history = &self.history;
        self.cleared.retain(|request, clearance| {
            let age_ms = now.saturating_sub(clearance.at);
            age_ms < BLOCK_DURATION_MS
                && (clearance.voids_block || history.crash_count(*request) > 0)
        });
    }

    /// Adds a crash that happened at `at`; returns the new facts about it, for peers.
    fn add_crash(
        &mut self,
        now: Millis,
        at: Millis,
        server: &ServerInstance,
        running: impl IntoIterator<Item = Fingerprint>,
    ) -> CrashFacts {
        let new = self.history.add(at, server, running);
        if new.is_empty() {
            return CrashFacts::default();
        }
        let mut updates = CrashFacts::default();
        for request in &new {
            updates.cleared.extend(self.clearance_to_announce(now, *request).cleared);
        }
        let running: Vec<Fingerprint> = self.history.requests_of(server).collect();
        self.reconsider(now, &running);
        let age_ms = now.saturating_sub(at);
        let running = new.into_iter().collect();
        updates.crashes.push(Crash { server: server.clone(), age_ms, running });
        updates
    }

    /// Returns whether the request is blocked.
    pub(super) fn is_blocked(&self, request: Fingerprint) -> bool {
        self.blocked.contains_key(&request)
    }

    /// Returns the time up to which crashes don't count against the request.
    pub(super) fn cleared_at(&self, request: Fingerprint) -> Option<Millis> {
        self.cleared.get(&request).map(|clearance| clearance.at)
    }

    /// Inserts a block; returns whether it is new and in force.
    pub(super) fn insert_block(&mut self, now: Millis, block: &Block) -> bool {
        let request = block.request;
        let at = now.saturating_sub(block.age_ms);
        let is_lifted = self.cleared.get(&request).is_some_and(|clearance| clearance.at >= at);
        let is_expired = block.age_ms >= BLOCK_DURATION_MS;
        if is_lifted || is_expired || self.blocked.contains_key(&request) {
            return false;
        }
        let blocked = Blocked { at, servers: block.servers.clone() };
        self.blocked.insert(request, blocked);
        if self.blocked.len() > MAX_BLOCKS {
            let oldest = self.blocked.iter().min_by_key(|(_, blocked)| blocked.at);
            let oldest = oldest.map(|(request, _)| *request);
            oldest.map(|request| self.blocked.remove(&request));
            self.dropped += 1;
        }
        true
    }

    /// Stops crashes before `at` from counting against the request, and ends its block if the
    /// remaining crashes don't justify it.
    fn clear(&mut self, at: Millis, request: Fingerprint) {
        let clearance = self.cleared.entry(request).or_default();
        clearance.at = clearance.at.max(at);
        // Requests that had the same crashes may now be distinguishable, so decide on them again.
        let running: Vec<Fingerprint> = self.history.crashed_with(request).collect();
        self.reconsider(at, &running);
        let Some(blocked) = self.blocked.get(&request) else { return };
        // The report of a success may arrive after the block that it refutes.
        let to_block = crashes_to_block(request);
        let has_enough_crashes = self.history.crash_count(request) >= to_block;
        let is_refuted = has_enough_crashes && self.crashes_against(request) < to_block;
        if is_refuted || at >= blocked.at {
            self.blocked.remove(&request);
            self.cleared.entry(request).and_modify(|clearance| clearance.voids_block = true);
        }
        self.evict_oldest_clearance();
    }

    fn evict_oldest_clearance(&mut self) {
        if self.cleared.len() <= MAX_CLEARED {
            return;
        }
        let oldest = self.cleared.iter().min_by_key(|(_, clearance)| clearance.at);
        let oldest = oldest.map(|(request, _)| *request);
        oldest.map(|request| self.cleared.remove(&request));
        self.dropped += 1;
    }

    /// Returns the clearance of a request if peers need it, because a crash before it may still
    /// count against the request there.
    fn clearance_to_announce(&mut self, now: Millis, request: Fingerprint) -> CrashFacts {
        let mut updates = CrashFacts::default();
        let Some(clearance) = self.cleared.get_mut(&request) else { return updates };
        let announced_at = clearance.announced_at.unwrap_or(0);
        let crashes = self.history.crashes_between(request, announced_at, clearance.at);
        let is_needed = if request.is_part() {
            // Popular parts have a crash before nearly each success.
            crashes >= CRASHES_TO_SUSPECT_PART
        } else {
            crashes > 0 && self.history.crash_count(request) + 1 >= CRASHES_TO_BLOCK
        };
        if is_needed {
            clearance.announced_at = Some(clearance.at);
            updates.cleared.push(Cleared { request, age_ms: now.saturating_sub(clearance.at) });
        }
        updates
    }
}
