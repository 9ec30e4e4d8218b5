//! The daemons of a simulated fleet, and what each of them knows of the others.

use std::collections::HashMap;

use bankcove_core::Millis;
use bankcove_core::crashes::ServerStart;
use bankcove_core::id::rendezvous_score;
use bankcove_core::limits::{
    ISSUERS_PER_SERVER, Issuer, IssuerPosition, Leases, LimitTracker, RetrySchedule,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::fault::{FaultKind, Faults};

/// Longest time until a daemon knows of one that joined or left.
const MAX_MEMBERSHIP_LAG_MS: Millis = 2_000;

/// One daemon.
#[derive(Debug, Default)]
pub struct Daemon {
    pub limits: LimitTracker,
    pub issuer: Issuer,
    pub leases: Leases,
    pub retry_schedule: RetrySchedule,
    /// Servers that get nothing until then.
    pub skipped_until: Vec<Millis>,
    /// Issuers that did not answer, until then.
    pub unresponsive_until: HashMap<usize, Millis>,
    /// For fleets without issuers: what is saved up for each server, and since when.
    pub own_share: Vec<(f64, Millis)>,
    pub started_at: Millis,
}

impl Daemon {
    pub fn new(servers: usize, started_at: Millis) -> Self {
        Daemon {
            skipped_until: vec![0; servers],
            own_share: vec![(0.0, started_at); servers],
            started_at,
            ..Daemon::default()
        }
    }

    pub fn unresponsive_until(&self, peer: usize) -> Millis {
        self.unresponsive_until.get(&peer).copied().unwrap_or_default()
    }
}

/// Who is in the fleet, as each daemon sees it.
#[derive(Debug)]
pub struct Fleet {
    keys: Vec<u64>,
    /// A daemon is away from the first of these to the second.
    absences: Vec<Vec<(Millis, Millis)>>,
    membership_lags: Vec<Millis>,
}

impl Fleet {
    pub fn new(seed: u64, daemons: usize, faults: &Faults) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 1);
        let mut absences = vec![Vec::new(); daemons];
        for fault in faults.0.iter().filter(|fault| fault.kind == FaultKind::Absent) {
            for daemon in &fault.daemons {
                absences[*daemon].push((fault.from, fault.until));
            }
        }
        Fleet {
            keys: (0..daemons).map(|_| rng.random()).collect(),
            membership_lags: (0..daemons)
                .map(|_| rng.random_range(0..MAX_MEMBERSHIP_LAG_MS))
                .collect(),
            absences,
        }
    }

    fn is_listed(&self, at: usize, daemon: usize, now: Millis) -> bool {
        let seen = now.saturating_sub(self.membership_lags[at]);
        let is_absent = |(from, until): &(Millis, Millis)| {
            // Before the run began nobody has heard of what joins later.
            (*from == 0 || *from <= seen) && seen < *until
        };
        at == daemon || !self.absences[daemon].iter().any(is_absent)
    }

    /// Who issues permits for the server, as this daemon sees it.
    pub fn issuers(&self, at: usize, server: &ServerStart, now: Millis) -> Vec<usize> {
        let listed = (0..self.keys.len()).filter(|daemon| self.is_listed(at, *daemon, now));
        let mut ranked: Vec<(u64, usize)> = listed
            .map(|daemon| (rendezvous_score(server.key(), self.keys[daemon]), daemon))
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        ranked.into_iter().take(ISSUERS_PER_SERVER).map(|(_, daemon)| daemon).collect()
    }

    /// What this daemon is to the server, by its own view.
    pub fn position(
        &self,
        at: usize,
        server: &ServerStart,
        now: Millis,
        started: Millis,
    ) -> IssuerPosition {
        let rank = self.issuers(at, server, now).iter().position(|issuer| *issuer == at);
        let ends = self.absences.iter().flatten().flat_map(|(from, until)| [*from, *until]);
        let seen = ends.map(|end| end + self.membership_lags[at]).filter(|seen| *seen <= now);
        let since = seen.max().unwrap_or_default().max(started);
        IssuerPosition { rank: rank.unwrap_or(usize::MAX), since }
    }
}
