//! Daemons of a simulated fleet, and the membership as each of them sees it.

use std::collections::HashMap;

use bankcove_core::Millis;
use bankcove_core::crashes::ServerInstance;
use bankcove_core::id::rendezvous_score;
use bankcove_core::limits::{
    ISSUERS_PER_SERVER, Issuer, IssuerPosition, Leases, LimitTracker, RetrySchedule,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::fault::{FaultKind, Faults};

/// Maximum time until a daemon learns that another joined or left, in milliseconds.
const MAX_MEMBERSHIP_LAG_MS: Millis = 2_000;

/// One daemon.
#[derive(Debug, Default)]
pub struct Daemon {
    pub limits: LimitTracker,
    pub issuer: Issuer,
    pub leases: Leases,
    pub retry_schedule: RetrySchedule,
    /// Time until which each server is skipped.
    pub skipped_until: Vec<Millis>,
    /// Time until which issuers that timed out are skipped.
    pub unresponsive_until: HashMap<usize, Millis>,
    /// Without issuers: unused requests of the daemon's own share of each limit, and the time of
    /// the last update.
    pub own_share: Vec<(f64, Millis)>,
    pub started_at: Millis,
}

impl Daemon {
    /// Creates a daemon without state.
    pub fn new(servers: usize, started_at: Millis) -> Self {
        Daemon {
            skipped_until: vec![0; servers],
            own_share: vec![(0.0, started_at); servers],
            started_at,
            ..Daemon::default()
        }
    }

    /// Returns the time until which this issuer is skipped; 0 if it has not timed out.
    pub fn unresponsive_until(&self, peer: usize) -> Millis {
        self.unresponsive_until.get(&peer).copied().unwrap_or_default()
    }
}

/// Membership of the fleet, as each daemon sees it after its lag.
#[derive(Debug)]
pub struct Fleet {
    /// Rendezvous hashing key of each daemon.
    keys: Vec<u64>,
    /// Start and end of each absence, by daemon.
    absences: Vec<Vec<(Millis, Millis)>>,
    /// Time after which each daemon learns of joins and leaves, in milliseconds.
    membership_lags: Vec<Millis>,
}

impl Fleet {
    /// Draws the keys and lags of the daemons; the absences are those in `faults`.
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

    /// Returns whether the daemon `at` considers `daemon` a member.
    fn is_listed(&self, at: usize, daemon: usize, now: Millis) -> bool {
        let seen = now.saturating_sub(self.membership_lags[at]);
        let is_absent = |(from, until): &(Millis, Millis)| {
            // An absence from the start of the run is known to all daemons without a lag.
            (*from == 0 || *from <= seen) && seen < *until
        };
        at == daemon || !self.absences[daemon].iter().any(is_absent)
    }

    /// Returns the ranked issuers of permits for the server, as the daemon `at` sees them.
    pub fn issuers(&self, at: usize, server: &ServerInstance, now: Millis) -> Vec<usize> {
        let listed = (0..self.keys.len()).filter(|daemon| self.is_listed(at, *daemon, now));
        let mut ranked: Vec<(u64, usize)> = listed
            .map(|daemon| (rendezvous_score(server.key(), self.keys[daemon]), daemon))
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        ranked.into_iter().take(ISSUERS_PER_SERVER).map(|(_, daemon)| daemon).collect()
    }

    /// Returns the rank of the daemon `at` among the issuers of the server, as it sees them.
    pub fn position(
        &self,
        at: usize,
        server: &ServerInstance,
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
