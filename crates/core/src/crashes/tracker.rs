//! What one daemon knows of crashes, and what follows for a request.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::decision::{CRASHES_TO_BLOCK, Pending, is_enough};
use super::facts::{Block, Cleared, Crash, CrashFacts, ServerStart};
use super::history::CrashHistory;
use crate::{Fingerprint, Millis, Name};

/// How long a request stays blocked, in milliseconds: a caller that nobody stops costs
/// three servers a day, and one whose cause was mended is served the next day at the latest.
pub const BLOCK_DURATION_MS: Millis = 24 * 3_600_000;

/// Requests blocked at most: 1,000 of some 150 bytes each.
const MAX_BLOCKS: usize = 1_000;

/// Requests remembered as cleared at most: those aboard of some hundred crashes.
const MAX_CLEARED: usize = 4_000;

/// Two words of the same success differ by what they were under way, in milliseconds.
const SAME_SUCCESS_MS: Millis = 1_000;

/// What follows for a request that is to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it, or one crash.
    Allowed,
    /// One more crash blocks it: it is to run at its [`CrashTracker::placement`].
    Suspect,
    /// Another request has the same crashes, enough of them: it may run once more, sent by one
    /// host alone, and at its [`CrashTracker::placement`].
    Isolated,
    /// It may be blocked: whether servers that broke off have crashed, or what peers know of
    /// who else was aboard, is being found out.
    Undecided,
    /// It runs nowhere any more.
    Blocked,
}

/// How much is remembered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CrashStats {
    /// Crashes.
    pub crashes: usize,
    /// Requests blocked.
    pub blocks: usize,
    /// Facts that gave way to newer ones.
    pub dropped: u64,
}

/// A request that runs nowhere any more.
#[derive(Debug, Clone)]
struct Blocked {
    at: Millis,
    servers: Vec<Name>,
}

/// Until when crashes don't speak against a request.
#[derive(Debug, Clone, Copy, Default)]
struct Clearance {
    at: Millis,
    /// Up to when others were told.
    announced_at: Option<Millis>,
    /// Whether it made a block void, which a host that was cut off may still bring back.
    voids_block: bool,
}

/// What one daemon knows of crashes.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    pub(super) history: CrashHistory,
    /// Servers that broke off and may have crashed, and what they were running.
    unverified: BTreeMap<ServerStart, BTreeSet<Fingerprint>>,
    cleared: HashMap<Fingerprint, Clearance>,
    blocked: BTreeMap<Fingerprint, Blocked>,
    /// Requests to be decided on.
    pub(super) pending: Pending,
    dropped: u64,
}

impl CrashTracker {
    /// Whether nothing is known, so that no request need be looked up.
    pub fn is_empty(&self) -> bool {
        let knows_crashes = self.history.len() > 0 || !self.unverified.is_empty();
        !knows_crashes && self.blocked.is_empty() && self.cleared.is_empty()
    }

    /// How much is remembered.
    pub fn stats(&self) -> CrashStats {
        CrashStats {
            crashes: self.history.len(),
            blocks: self.blocked.len(),
            dropped: self.dropped + self.history.dropped(),
        }
    }

    /// What follows for a request that is to run now.
    pub fn verdict(&self, request: Fingerprint) -> Verdict {
        if self.blocked.contains_key(&request) {
            return Verdict::Blocked;
        }
        let unverified =
            self.unverified.values().filter(|running| running.contains(&request)).count();
        let sure = self.against(request);
        let crashes = sure.servers.len() + unverified;
        if is_enough(crashes, sure.moments + usize::from(unverified > 0)) {
            // One that was decided on and is free has the same crashes as another.
            let is_decided = unverified == 0 && !self.pending.has(request);
            return if is_decided { Verdict::Isolated } else { Verdict::Undecided };
        }
        if crashes + 1 >= CRASHES_TO_BLOCK { Verdict::Suspect } else { Verdict::Allowed }
    }

    /// Whether a success of this request would change anything.
    pub fn tracks(&self, request: Fingerprint) -> bool {
        self.history.crash_count(request) > 0 || self.blocked.contains_key(&request)
    }

    /// Takes in that the connection over which this server was running a request broke.
    /// Returns whether it is to be found out if the server has crashed, which then comes back
    /// by [`CrashTracker::record_crash`] or [`CrashTracker::record_alive`], and news for peers.
    pub fn record_disconnect(
        &mut self,
        now: Millis,
        server: &ServerStart,
        request: Fingerprint,
    ) -> (bool, CrashFacts) {
        if self.history.has(server) {
            return (false, self.add_crash(now, now, server, [request]));
        }
        let is_new = !self.unverified.contains_key(server);
        self.unverified.entry(server.clone()).or_default().insert(request);
        (is_new, CrashFacts::default())
    }

    /// The server that broke off has crashed; returns news for peers.
    pub fn record_crash(&mut self, now: Millis, server: &ServerStart) -> CrashFacts {
        let running = self.unverified.remove(server).unwrap_or_default();
        self.add_crash(now, now, server, running)
    }

    /// The server that broke off is there: a reset or a cut, and no crash.
    pub fn record_alive(&mut self, server: &ServerStart) {
        self.unverified.remove(server);
    }

    /// A request has ended well. Returns news for peers: of a request that two crashes speak
    /// against, so that no third one blocks it where nobody saw it succeed.
    pub fn record_success(&mut self, now: Millis, request: Fingerprint) -> CrashFacts {
        if !self.tracks(request) {
            return CrashFacts::default();
        }
        self.clear(now, request);
        self.clearance_to_announce(now, request)
    }

    /// An operator lets the request run again; returns news for peers.
    pub fn lift(&mut self, now: Millis, request: Fingerprint) -> CrashFacts {
        self.clear(now, request);
        self.cleared.entry(request).and_modify(|clearance| {
            clearance.announced_at = Some(now);
            clearance.voids_block = true;
        });
        CrashFacts { cleared: vec![Cleared { request, age_ms: 0 }], ..CrashFacts::default() }
    }

    /// Whether crashes up to `at` speak no more against the request.
    pub fn is_cleared_since(&self, request: Fingerprint, at: Millis) -> bool {
        self.cleared.get(&request).is_some_and(|clearance| clearance.at >= at)
    }

    /// Takes in what a peer, or the store, has told; returns what was new, for other peers.
    pub fn merge(&mut self, now: Millis, facts: CrashFacts) -> CrashFacts {
        let mut news = CrashFacts::default();
        for cleared in facts.cleared {
            let at = now.saturating_sub(cleared.age_ms);
            let known = self.cleared.get(&cleared.request).and_then(|known| known.announced_at);
            if known.is_some_and(|known| at <= known + SAME_SUCCESS_MS) {
                continue;
            }
            self.clear(at, cleared.request);
            let told = |clearance: &mut Clearance| clearance.announced_at = Some(at);
            self.cleared.entry(cleared.request).and_modify(told);
            news.cleared.push(cleared);
        }
        for crash in
            facts.crashes.into_iter().filter(|crash| CrashHistory::is_reported_at(crash.age_ms))
        {
            // What this daemon has not yet found out by itself is told by a peer.
            let mut running = self.unverified.remove(&crash.server).unwrap_or_default();
            running.extend(crash.running);
            let at = now.saturating_sub(crash.age_ms);
            let new = self.add_crash(now, at, &crash.server, running);
            news.crashes.extend(new.crashes);
            news.cleared.extend(new.cleared);
        }
        for block in facts.blocks {
            if self.insert_block(now, &block) {
                news.blocks.push(block);
            }
        }
        news
    }

    /// All that is known, for a peer that knows something else.
    pub fn facts(&self, now: Millis) -> CrashFacts {
        let told = self.cleared.iter().filter(|(_, clearance)| clearance.announced_at.is_some());
        CrashFacts {
            crashes: self.history.told(now).collect(),
            cleared: told
                .map(|(request, clearance)| Cleared {
                    request: *request,
                    age_ms: now.saturating_sub(clearance.at),
                })
                .collect(),
            blocks: self.blocks(now),
        }
    }

    /// Requests that run nowhere any more.
    pub fn blocks(&self, now: Millis) -> Vec<Block> {
        let block = |(request, blocked): (&Fingerprint, &Blocked)| Block {
            request: *request,
            age_ms: now.saturating_sub(blocked.at),
            servers: blocked.servers.clone(),
        };
        self.blocked.iter().map(block).collect()
    }

    /// Hash of all that is told: two daemons with the same one need not tell each other. 0
    /// when nothing is known.
    pub fn digest(&self, now: Millis) -> u64 {
        let mut sum = 0_u64;
        let mut add = |bytes: &[u8]| sum = sum.wrapping_add(xxh3_64(bytes));
        for crash in self.history.told(now) {
            let server = crash.server.name.as_str().as_bytes();
            for request in &crash.running {
                add(&[server, &crash.server.started_ms.to_le_bytes(), &request.0.to_le_bytes()]
                    .concat());
            }
        }
        self.blocked.keys().for_each(|request| add(&request.0.to_le_bytes()));
        let told = self.cleared.iter().filter(|(_, clearance)| clearance.announced_at.is_some());
        told.for_each(|(request, _)| add(&[&[1], &request.0.to_le_bytes()[..]].concat()));
        sum
    }

    /// Forgets what is too long ago.
    pub fn forget_old(&mut self, now: Millis) {
        self.history.forget_old(now);
        self.blocked.retain(|_, blocked| now.saturating_sub(blocked.at) < BLOCK_DURATION_MS);
        let history = &self.history;
        self.cleared.retain(|request, clearance| {
            let age_ms = now.saturating_sub(clearance.at);
            age_ms < BLOCK_DURATION_MS
                && (clearance.voids_block || history.crash_count(*request) > 0)
        });
    }

    fn add_crash(
        &mut self,
        now: Millis,
        at: Millis,
        server: &ServerStart,
        running: impl IntoIterator<Item = Fingerprint>,
    ) -> CrashFacts {
        let new = self.history.add(at, server, running);
        if new.is_empty() {
            return CrashFacts::default();
        }
        let mut news = CrashFacts::default();
        for request in &new {
            news.cleared.extend(self.clearance_to_announce(now, *request).cleared);
        }
        let running: Vec<Fingerprint> = self.history.requests_of(server).collect();
        self.reconsider(now, &running);
        let age_ms = now.saturating_sub(at);
        let running = new.into_iter().collect();
        news.crashes.push(Crash { server: server.clone(), age_ms, running });
        news
    }

    /// Whether the request runs nowhere any more.
    pub(super) fn is_blocked(&self, request: Fingerprint) -> bool {
        self.blocked.contains_key(&request)
    }

    /// Up to when crashes don't speak against the request.
    pub(super) fn cleared_at(&self, request: Fingerprint) -> Option<Millis> {
        self.cleared.get(&request).map(|clearance| clearance.at)
    }

    /// Takes a block; returns whether it is new and in force.
    pub(super) fn insert_block(&mut self, now: Millis, block: &Block) -> bool {
        let request = block.request;
        let at = now.saturating_sub(block.age_ms);
        let is_lifted = self.cleared.get(&request).is_some_and(|clearance| clearance.at >= at);
        let is_over = block.age_ms >= BLOCK_DURATION_MS;
        if is_lifted || is_over || self.blocked.contains_key(&request) {
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

    /// Crashes before `at` speak no more against the request.
    fn clear(&mut self, at: Millis, request: Fingerprint) {
        let clearance = self.cleared.entry(request).or_default();
        clearance.at = clearance.at.max(at);
        // Those with the same crashes may be left without one like them.
        let running: Vec<Fingerprint> = self.history.crashed_with(request).collect();
        self.reconsider(at, &running);
        let Some(blocked) = self.blocked.get(&request) else { return };
        // Word of a success may come after the block that it makes void.
        let has_evidence = self.history.crash_count(request) >= CRASHES_TO_BLOCK;
        let is_void = has_evidence && self.count_against(request) < CRASHES_TO_BLOCK;
        if is_void || at >= blocked.at {
            self.blocked.remove(&request);
            self.cleared.entry(request).and_modify(|clearance| clearance.voids_block = true);
        }
        self.make_room_for_clearances();
    }

    fn make_room_for_clearances(&mut self) {
        if self.cleared.len() <= MAX_CLEARED {
            return;
        }
        let oldest = self.cleared.iter().min_by_key(|(_, clearance)| clearance.at);
        let oldest = oldest.map(|(request, _)| *request);
        oldest.map(|request| self.cleared.remove(&request));
        self.dropped += 1;
    }

    /// The word that clears a request, when others need it: a crash before it may count there.
    fn clearance_to_announce(&mut self, now: Millis, request: Fingerprint) -> CrashFacts {
        let mut news = CrashFacts::default();
        let Some(clearance) = self.cleared.get_mut(&request) else { return news };
        let announced_at = clearance.announced_at.unwrap_or(0);
        let matters = self.history.was_aboard_between(request, announced_at, clearance.at);
        if matters && self.history.crash_count(request) + 1 >= CRASHES_TO_BLOCK {
            clearance.announced_at = Some(clearance.at);
            news.cleared.push(Cleared { request, age_ms: now.saturating_sub(clearance.at) });
        }
        news
    }
}
