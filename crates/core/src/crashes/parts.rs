//! Decides which parts of prompts are blocked.
//!
//! Most requests have parts in common, so that innocent parts are at many crashes as well. They are
//! told from the cause by their successes. Rare parts may have none by bad luck while servers crash
//! for another reason; a part is blocked only if it, alone or with another one, explains most crashes
//! of its pool, or if so many crashes in a row are no coincidence.

use std::collections::{BTreeSet, HashMap, VecDeque};

use super::facts::{Block, ServerInstance};
use super::tracker::{CrashTracker, Verdict};
use crate::{Fingerprint, Millis};

/// Number of crashes without a success in between that block a part.
pub const CRASHES_TO_BLOCK_PART: usize = 5;

/// Number of crashes that block a part while another part has as many.
const CRASHES_TO_BLOCK_TIED: usize = 7;

/// Number of crashes from which on requests with a part are not repeated by hosts.
pub(super) const CRASHES_TO_SUSPECT_PART: usize = 3;

/// Minimum fraction of the crashes of a pool that blocked parts explain.
const MIN_EXPLAINED_FRACTION: f64 = 0.7;

/// Number of parts that together may explain them.
const MAX_CAUSES: usize = 2;

/// Probability of as many crashes in a row by chance below which a part is the cause, alone and if it
/// explains most crashes.
const MAX_CHANCE: f64 = 1e-4;
const MAX_CHANCE_EXPLAINING: f64 = 0.1;

/// Number of crashes added to those of the runs by which the chance of one is estimated, so that few
/// runs show little.
const PRIOR_CRASHES: usize = 2;

/// Minimum number of successes of other requests at the versions that crash: where nothing succeeds,
/// the servers are the cause.
const MIN_OTHER_SUCCESSES: usize = 3;

/// Number of runs of each pool whose outcomes are kept, and for how long, in milliseconds.
const MAX_OUTCOMES: usize = 512;
const OUTCOME_RETENTION_MS: Millis = 60_000;

/// Returns the number of crashes that block a request or a part.
pub(super) fn crashes_to_block(one: Fingerprint) -> usize {
    if one.is_part() { CRASHES_TO_BLOCK_PART } else { super::CRASHES_TO_BLOCK }
}

/// Outcome of a run at a server of a pool.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    at: Millis,
    /// Hash of the server's software version.
    version: u64,
    has_crashed: bool,
}

/// Outcomes of this daemon's latest runs, by pool.
#[derive(Debug, Clone, Default)]
pub(super) struct RunOutcomes {
    pools: HashMap<u32, VecDeque<Outcome>>,
}

/// Numbers of runs at the versions that have crashed.
#[derive(Debug, Clone, Copy, Default)]
struct Runs {
    succeeded: usize,
    crashed: usize,
}

impl RunOutcomes {
    fn record(&mut self, pool: u32, outcome: Outcome) {
        let outcomes = self.pools.entry(pool).or_default();
        if outcomes.len() >= MAX_OUTCOMES {
            outcomes.pop_front();
        }
        outcomes.push_back(outcome);
    }

    pub(super) fn remove_expired(&mut self, now: Millis) {
        self.pools.retain(|_, outcomes| {
            outcomes.retain(|outcome| now.saturating_sub(outcome.at) < OUTCOME_RETENTION_MS);
            !outcomes.is_empty()
        });
    }

    /// Returns the numbers of runs that have ended since, at the versions of which servers crashed.
    fn since(&self, pool: u32, since: Millis) -> Runs {
        let outcomes = self.pools.get(&pool).into_iter().flatten();
        let recent: Vec<&Outcome> = outcomes.filter(|outcome| outcome.at >= since).collect();
        let crashed = recent.iter().filter(|outcome| outcome.has_crashed);
        let versions: BTreeSet<u64> = crashed.map(|outcome| outcome.version).collect();
        let mut runs = Runs::default();
        for outcome in recent.iter().filter(|outcome| versions.contains(&outcome.version)) {
            runs.crashed += usize::from(outcome.has_crashed);
            runs.succeeded += usize::from(!outcome.has_crashed);
        }
        runs
    }
}

/// A part that may be the cause of crashes.
struct Candidate {
    part: Fingerprint,
    servers: BTreeSet<ServerInstance>,
    first_at: Millis,
}

impl CrashTracker {
    /// Records how a run of a request with prompt parts ended; `version` is a hash of the version of
    /// its server.
    pub fn record_outcome(
        &mut self,
        now: Millis,
        part: Fingerprint,
        version: u64,
        has_crashed: bool,
    ) {
        self.outcomes.record(part.part_pool(), Outcome { at: now, version, has_crashed });
    }

    /// Returns the verdict on requests with a part.
    pub fn part_verdict(&self, part: Fingerprint) -> Verdict {
        if self.is_blocked(part) {
            return Verdict::Blocked;
        }
        let crashes = self.evidence_against(part).servers.len();
        if crashes >= CRASHES_TO_BLOCK_PART && self.pending.contains(part) {
            Verdict::Undecided
        } else if crashes >= CRASHES_TO_SUSPECT_PART {
            Verdict::Suspect
        } else {
            Verdict::Allowed
        }
    }

    /// Blocks those of the parts that are the cause of crashes.
    pub(super) fn block_parts(&mut self, now: Millis, parts: &[Fingerprint]) -> Vec<Block> {
        let mut blocks = Vec::new();
        let pools: BTreeSet<u32> = parts.iter().map(|part| part.part_pool()).collect();
        for pool in pools {
            let of_pool = parts.iter().copied().filter(|part| part.part_pool() == pool);
            let of_pool: Vec<Fingerprint> = of_pool.collect();
            loop {
                let causes = self.causes(pool, &of_pool);
                if causes.is_empty() {
                    break;
                }
                blocks.extend(causes.into_iter().map(|part| self.block(now, part)));
            }
        }
        blocks
    }

    /// Returns the parts with the most crashes, if they are the cause of them.
    fn causes(&self, pool: u32, parts: &[Fingerprint]) -> Vec<Fingerprint> {
        let mut candidates: Vec<Candidate> =
            parts.iter().filter_map(|part| self.candidate(*part)).collect();
        candidates.sort_by_key(|candidate| std::cmp::Reverse(candidate.servers.len()));
        let Some(leader) = candidates.first() else { return Vec::new() };
        let most = leader.servers.len();
        let leaders = candidates.iter().filter(|candidate| candidate.servers.len() == most);
        let leaders: Vec<Fingerprint> = leaders.map(|candidate| candidate.part).collect();
        let is_tied = leaders.len() > 1 && most < CRASHES_TO_BLOCK_TIED;
        let chance = self.chance(leader);
        let explains = chance <= MAX_CHANCE_EXPLAINING && self.explains_most(pool, &candidates);
        let is_cause = explains || chance <= MAX_CHANCE;
        if is_tied && !self.are_apart(&candidates) || !is_cause {
            return Vec::new();
        }
        leaders
    }

    /// Returns a part as a possible cause, if it has enough crashes.
    fn candidate(&self, part: Fingerprint) -> Option<Candidate> {
        if self.is_blocked(part) || self.crashes_against(part) < CRASHES_TO_BLOCK_PART {
            return None;
        }
        let servers = self.evidence_against(part).servers;
        let first_at = servers.iter().filter_map(|server| self.history.time_of(server)).min()?;
        let servers = servers.into_iter().cloned().collect();
        let runs = self.outcomes.since(part.part_pool(), first_at);
        let has_contrast = runs.succeeded >= MIN_OTHER_SUCCESSES;
        has_contrast.then_some(Candidate { part, servers, first_at })
    }

    /// Returns whether the parts with the most crashes explain most crashes of the pool.
    fn explains_most(&self, pool: u32, candidates: &[Candidate]) -> bool {
        let causes = &candidates[..candidates.len().min(MAX_CAUSES)];
        let Some(since) = causes.iter().map(|cause| cause.first_at).min() else { return false };
        let all = self.history.crashes_of_pool(pool, since, |one| self.is_blocked(*one));
        let explained: BTreeSet<&ServerInstance> =
            causes.iter().flat_map(|cause| &cause.servers).collect();
        explained.len() as f64 >= MIN_EXPLAINED_FRACTION * all as f64
    }

    /// Returns whether two parts with as many crashes have different ones, so that each is the cause
    /// of its own.
    fn are_apart(&self, candidates: &[Candidate]) -> bool {
        let [one, other] = candidates else { return false };
        one.servers.is_disjoint(&other.servers)
    }

    /// Returns the probability of as many crashes in a row by chance, at the rate at which runs end
    /// with one.
    fn chance(&self, candidate: &Candidate) -> f64 {
        let runs = self.outcomes.since(candidate.part.part_pool(), candidate.first_at);
        let all = runs.succeeded + runs.crashed + PRIOR_CRASHES;
        let crash_rate = (runs.crashed + PRIOR_CRASHES) as f64 / all as f64;
        crash_rate.powi(candidate.servers.len() as i32)
    }
}
