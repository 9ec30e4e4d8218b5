//! State machine of this host's direct paths to groups of servers.
//!
//! A group without an entry is reachable, and nothing is probed for it. Evidence that something is
//! wrong leads to a round of probes, which decides. A lost path is probed until all probes of
//! successive rounds connect; then it takes a growing fraction of the requests.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::Millis;
use crate::paths::ServerGroup;

/// Interval between two rounds of probes of a group whose path is lost, in milliseconds.
pub const PROBE_INTERVAL_MS: Millis = 500;

/// Maximum number of groups that are probed at the same time.
pub const MAX_GROUPS_PROBED: usize = 8;

/// Time for which probes must connect before a path that was lost once is used again, in
/// milliseconds; doubles with each further loss, up to [`MAX_HOLD_MS`].
const FIRST_HOLD_MS: Millis = 400;

/// Longest time for which probes must connect before a path is used again, in milliseconds.
const MAX_HOLD_MS: Millis = 4_000;

/// Time over which the fraction of requests on a regained path grows to 1, in milliseconds.
const RAMP_MS: Millis = 2_000;

/// Fraction of requests on a path that was just regained is one in this many.
const FIRST_FRACTION_DIVISOR: Millis = 10;

/// Time for which the losses of a path that is reachable again are remembered, in milliseconds.
const LOSS_MEMORY_MS: Millis = 10_000;

/// Time after a round of probes that connected for which silence causes no further round, in
/// milliseconds.
const SILENCE_PAUSE_MS: Millis = 1_000;

/// Rounds of failed probes by which a path is lost while data still arrives from the group over
/// connections that were opened before.
const ROUNDS_WITH_DATA: u32 = 2;

/// Sign that the path to a group may be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// No connection to a server could be established.
    ConnectFailed,
    /// A connection broke.
    Broken,
    /// Servers with open requests have sent nothing for some time.
    Silent,
}

/// State of the path to one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum PathState {
    /// Something failed, and probes have not decided yet. Requests still use the path.
    Suspected {
        /// Rounds of probes of which none connected.
        failed_rounds: u32,
    },
    /// No probe connected. Requests do not use the path.
    Lost {
        /// When it was lost.
        since: Millis,
        /// Since when all probes have connected.
        reached_since: Option<Millis>,
    },
    /// A growing fraction of the requests uses the path again.
    Recovering {
        /// When it was regained.
        since: Millis,
    },
    /// The path is usable; its losses are remembered for some time.
    Reachable {
        /// Since when.
        since: Millis,
    },
}

#[derive(Debug, Clone, Copy, Serialize)]
struct Path {
    #[serde(flatten)]
    state: PathState,
    next_probe_at: Millis,
    /// Number of losses in quick succession.
    losses: u32,
}

/// Result of one round of probes of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeRound {
    /// Number of servers to which a connection was attempted.
    pub tried: usize,
    /// Number of servers that accepted one.
    pub reached: usize,
    /// Whether data has arrived from the group since the first evidence.
    pub has_data: bool,
}

/// Change of a path that affects where requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// The path was lost.
    Lost,
    /// The path takes requests again.
    Regained {
        /// Time since it was lost, in milliseconds.
        lost_ms: Millis,
    },
}

/// Paths to all groups of servers.
#[derive(Debug, Clone, Default)]
pub struct PathTracker {
    paths: BTreeMap<ServerGroup, Path>,
}

impl PathTracker {
    /// Returns whether all paths are usable and none has failed of late.
    pub fn is_empty(&self) -> bool {
        self.paths.is_empty()
    }

    /// Returns the groups whose paths are lost.
    pub fn lost(&self) -> impl Iterator<Item = &ServerGroup> {
        let is_lost = |path: &Path| matches!(path.state, PathState::Lost { .. });
        self.paths.iter().filter(move |(_, path)| is_lost(path)).map(|(group, _)| group)
    }

    /// Returns whether the path to a group is lost.
    pub fn is_lost(&self, group: &ServerGroup) -> bool {
        matches!(self.state(group), Some(PathState::Lost { .. }))
    }

    /// Returns the state of the path to a group; `None` if nothing has failed of late.
    pub fn state(&self, group: &ServerGroup) -> Option<PathState> {
        self.paths.get(group).map(|path| path.state)
    }

    /// Returns the paths that have failed of late, with their states.
    pub fn states(&self) -> impl Iterator<Item = (&ServerGroup, PathState)> {
        self.paths.iter().map(|(group, path)| (group, path.state))
    }

    /// Returns whether a request uses the direct path to a group. `seed` is random.
    pub fn is_direct(&self, now: Millis, group: &ServerGroup, seed: u64) -> bool {
        match self.state(group) {
            None | Some(PathState::Suspected { .. } | PathState::Reachable { .. }) => true,
            Some(PathState::Lost { .. }) => false,
            Some(PathState::Recovering { since }) => {
                let ramp = now.saturating_sub(since).max(RAMP_MS / FIRST_FRACTION_DIVISOR);
                seed % RAMP_MS < ramp
            }
        }
    }

    /// Records evidence that the path to a group may be lost. Returns whether the state has
    /// changed: the path is suspected, or was lost again while it recovered.
    pub fn record_evidence(
        &mut self,
        now: Millis,
        group: &ServerGroup,
        evidence: Evidence,
    ) -> bool {
        let path = self.paths.entry(group.clone()).or_insert(Path {
            state: PathState::Reachable { since: 0 },
            next_probe_at: now,
            losses: 0,
        });
        let state = match path.state {
            PathState::Suspected { .. } | PathState::Lost { .. } => return false,
            PathState::Reachable { since }
                if evidence == Evidence::Silent && since > 0 && now < since + SILENCE_PAUSE_MS =>
            {
                return false;
            }
            PathState::Recovering { .. } if evidence == Evidence::ConnectFailed => {
                path.losses += 1;
                PathState::Lost { since: now, reached_since: None }
            }
            PathState::Recovering { .. } => return false,
            PathState::Reachable { .. } => PathState::Suspected { failed_rounds: 0 },
        };
        path.state = state;
        path.next_probe_at = now;
        true
    }

    /// Suspects the paths to all of these groups that have not failed yet: a fault that separates
    /// this host from one group may separate it from others.
    pub fn suspect_all(&mut self, now: Millis, groups: impl IntoIterator<Item = ServerGroup>) {
        for group in groups {
            self.record_evidence(now, &group, Evidence::Broken);
        }
    }

    /// Returns the groups to probe now, those due first in front.
    pub fn due_probes(&mut self, now: Millis) -> Vec<ServerGroup> {
        self.advance(now);
        let mut due: Vec<(Millis, ServerGroup)> = self
            .probed()
            .filter(|(_, path)| path.next_probe_at <= now)
            .map(|(group, path)| (path.next_probe_at, group.clone()))
            .collect();
        due.sort_unstable();
        due.truncate(MAX_GROUPS_PROBED);
        for (_, group) in &due {
            if let Some(path) = self.paths.get_mut(group) {
                path.next_probe_at = now + PROBE_INTERVAL_MS;
            }
        }
        due.into_iter().map(|(_, group)| group).collect()
    }

    /// Returns the time of the next call of [`PathTracker::due_probes`]; `None` if none is needed.
    pub fn next_due_at(&self) -> Option<Millis> {
        let due_at = |path: &Path| match path.state {
            PathState::Suspected { .. } | PathState::Lost { .. } => path.next_probe_at,
            PathState::Recovering { since } => since + RAMP_MS,
            PathState::Reachable { since } => since + LOSS_MEMORY_MS,
        };
        self.paths.values().map(due_at).min()
    }

    /// Returns the paths that are probed.
    fn probed(&self) -> impl Iterator<Item = (&ServerGroup, &Path)> {
        let is_probed = |path: &Path| {
            matches!(path.state, PathState::Suspected { .. } | PathState::Lost { .. })
        };
        self.paths.iter().filter(move |(_, path)| is_probed(path))
    }

    /// Ends ramps, and forgets losses that are long past.
    fn advance(&mut self, now: Millis) {
        for path in self.paths.values_mut() {
            if let PathState::Recovering { since } = path.state
                && now >= since + RAMP_MS
            {
                path.state = PathState::Reachable { since: now };
            }
        }
        self.paths.retain(|_, path| match path.state {
            PathState::Reachable { since } => now < since + LOSS_MEMORY_MS,
            _ => true,
        });
    }

    /// Records the result of a round of probes of a group.
    pub fn record_round(
        &mut self,
        now: Millis,
        group: &ServerGroup,
        round: ProbeRound,
    ) -> Option<PathChange> {
        let path = self.paths.get_mut(group)?;
        if round.tried == 0 {
            // The group has no servers any more.
            self.paths.remove(group);
            return None;
        }
        match path.state {
            PathState::Suspected { .. } if round.reached > 0 => {
                path.state = PathState::Reachable { since: now };
                None
            }
            PathState::Suspected { failed_rounds } => {
                path.record_failed_round(now, failed_rounds, round)
            }
            PathState::Lost { since, .. } if round.reached < round.tried => {
                path.state = PathState::Lost { since, reached_since: None };
                None
            }
            PathState::Lost { since, reached_since } => {
                let reached_since = reached_since.unwrap_or(now);
                if now < reached_since + path.hold_ms() {
                    path.state = PathState::Lost { since, reached_since: Some(reached_since) };
                    return None;
                }
                path.state = PathState::Recovering { since: now };
                Some(PathChange::Regained { lost_ms: now - since })
            }
            PathState::Recovering { .. } | PathState::Reachable { .. } => None,
        }
    }
}

impl Path {
    /// Records a round of which no probe connected, after `failed_rounds` such rounds.
    fn record_failed_round(
        &mut self,
        now: Millis,
        failed_rounds: u32,
        round: ProbeRound,
    ) -> Option<PathChange> {
        let failed_rounds = failed_rounds + 1;
        if round.has_data && failed_rounds < ROUNDS_WITH_DATA {
            self.state = PathState::Suspected { failed_rounds };
            self.next_probe_at = now;
            return None;
        }
        self.state = PathState::Lost { since: now, reached_since: None };
        self.losses += 1;
        Some(PathChange::Lost)
    }

    /// Returns the time for which probes must connect before the path is used again.
    fn hold_ms(&self) -> Millis {
        let doublings = self.losses.saturating_sub(1).min(8);
        (FIRST_HOLD_MS << doublings).min(MAX_HOLD_MS)
    }
}
