//! Network paths from this host to the backend servers.
//!
//! The servers of one pool in one hall form a group: a network fault usually separates a host from
//! all of them. [`PathTracker`] decides from failed connections, probes and silence whether the
//! host still has a direct path to each group. Without one, requests reach the servers through a
//! peer that has a path ([`choose_peer`]); [`PathReport`] tells peers which groups a daemon does
//! not reach itself.

mod peer_choice;
mod tracker;

pub use peer_choice::{PeerLoad, choose_peer};
pub use tracker::{
    Evidence, MAX_GROUPS_PROBED, PROBE_INTERVAL_MS, PathChange, PathState, PathTracker, ProbeRound,
};

use serde::{Deserialize, Serialize};

use crate::Name;

/// Maximum number of groups named in one report, some 30 bytes each.
pub const MAX_REPORTED_GROUPS: usize = 16;

/// Servers of one pool in one hall.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerGroup {
    /// Pool: a model or a service.
    pub pool: Name,
    /// Hall of the servers.
    pub hall: Name,
}

/// What a daemon reports of its paths in its heartbeats.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PathReport {
    /// Groups that it does not reach directly, at most [`MAX_REPORTED_GROUPS`].
    pub lost: Vec<ServerGroup>,
    /// Whether it has lost more groups than `lost` names.
    pub has_lost_more: bool,
    /// Address at which it accepts tunnels of peers; `None` if it accepts none.
    pub tunnel_address: Option<String>,
    /// Number of tunnels that it carries for peers.
    pub tunnels: u32,
}

impl PathReport {
    /// Creates the report of a daemon that has lost its direct paths to these groups.
    pub fn new(
        lost: impl IntoIterator<Item = ServerGroup>,
        tunnel_address: Option<String>,
        tunnels: u32,
    ) -> Self {
        let mut lost = lost.into_iter();
        let named = lost.by_ref().take(MAX_REPORTED_GROUPS).collect();
        PathReport { lost: named, has_lost_more: lost.next().is_some(), tunnel_address, tunnels }
    }

    /// Returns whether the sender has not reported that it lost its path to the group.
    pub fn may_reach(&self, group: &ServerGroup) -> bool {
        !self.has_lost_more && !self.lost.contains(group)
    }
}
