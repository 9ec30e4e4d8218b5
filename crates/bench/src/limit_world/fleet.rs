//! The daemons of a simulated fleet, and what each of them knows of the others.

use std::collections::HashMap;

use bankcove_core::Millis;
use bankcove_core::crashes::ServerInstance;
use bankcove_core::id::rendezvous_score;
use bankcove_core::limits::{
    ISSUERS_PER_SERVER, Issuer, IssuerPosition, Leases, LimitTracker, RetrySchedule,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::trouble::{Kind, Troubles};

/// Longest time until a daemon knows of one that joined or left.
const LIST_LAG_MS: Millis = 2_000;

/// One daemon.
#[derive(Debug, Default)]
pub struct Daemon {
    pub book: LimitTracker,
    pub issuer: Issuer,
    pub leases: Leases,
    pub returns: RetrySchedule,
    /// Servers that get nothing until then.
    pub passed_over: Vec<Millis>,
    /// Issuers that did not answer, until then.
    pub silent: HashMap<usize, Millis>,
    /// For fleets without issuers: what is saved up for each server, and since when.
    pub saved: Vec<(f64, Millis)>,
    pub started_at: Millis,
}

impl Daemon {
    pub fn new(servers: usize, started_at: Millis) -> Self {
        Daemon {
            passed_over: vec![0; servers],
            saved: vec![(0.0, started_at); servers],
            started_at,
            ..Daemon::default()
        }
    }

    pub fn silent_until(&self, peer: usize) -> Millis {
        self.silent.get(&peer).copied().unwrap_or_default()
    }
}

/// Who is in the fleet, as each daemon sees it.
#[derive(Debug)]
pub struct Fleet {
    keys: Vec<u64>,
    /// A daemon is away from the first of these to the second.
    away: Vec<Vec<(Millis, Millis)>>,
    lags: Vec<Millis>,
}

impl Fleet {
    pub fn new(seed: u64, daemons: usize, troubles: &Troubles) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 1);
        let mut away = vec![Vec::new(); daemons];
        for trouble in troubles.0.iter().filter(|trouble| trouble.kind == Kind::Gone) {
            for daemon in &trouble.daemons {
                away[*daemon].push((trouble.from, trouble.until));
            }
        }
        Fleet {
            keys: (0..daemons).map(|_| rng.random()).collect(),
            lags: (0..daemons).map(|_| rng.random_range(0..LIST_LAG_MS)).collect(),
            away,
        }
    }

    fn is_listed(&self, at: usize, daemon: usize, now: Millis) -> bool {
        let seen = now.saturating_sub(self.lags[at]);
        let is_away = |(from, until): &(Millis, Millis)| {
            // Before the run began nobody has heard of what joins later.
            (*from == 0 || *from <= seen) && seen < *until
        };
        at == daemon || !self.away[daemon].iter().any(is_away)
    }

    /// Who issues permits for the server, as this daemon sees it.
    pub fn issuers(&self, at: usize, server: &ServerInstance, now: Millis) -> Vec<usize> {
        let listed = (0..self.keys.len()).filter(|daemon| self.is_listed(at, *daemon, now));
        let mut ranked: Vec<(u64, usize)> = listed
            .map(|daemon| (rendezvous_score(server.key(), self.keys[daemon]), daemon))
            .collect();
        ranked.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        ranked.into_iter().take(ISSUERS_PER_SERVER).map(|(_, daemon)| daemon).collect()
    }

    /// What this daemon is to the server, by its own view.
    pub fn place(
        &self,
        at: usize,
        server: &ServerInstance,
        now: Millis,
        started: Millis,
    ) -> IssuerPosition {
        let rank = self.issuers(at, server, now).iter().position(|issuer| *issuer == at);
        let ends = self.away.iter().flatten().flat_map(|(from, until)| [*from, *until]);
        let seen = ends.map(|end| end + self.lags[at]).filter(|seen| *seen <= now);
        let since = seen.max().unwrap_or_default().max(started);
        IssuerPosition { rank: rank.unwrap_or(usize::MAX), since }
    }
}
