//! Groups of servers that a network fault separates from this host together: those of one pool in
//! one hall.

use crate::paths::ServerGroup;
use crate::router::Router;
use crate::router::pool::{HallPool, Pool};
use crate::router::view::ServerView;
use crate::{Millis, Name};

/// A server to which a connection is attempted, to check the path to its group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The server's name.
    pub server: Name,
    /// Its address.
    pub address: String,
}

impl Router {
    /// Returns all groups that have servers.
    pub fn groups(&self) -> Vec<ServerGroup> {
        let group = |pool: &Pool, hall: &HallPool| ServerGroup {
            pool: pool.name.clone(),
            hall: hall.hall.clone(),
        };
        let of_pool = |pool: &Pool| -> Vec<ServerGroup> {
            let halls = pool.halls.iter().filter(|hall| !hall.members.is_empty());
            halls.map(|hall| group(pool, hall)).collect()
        };
        self.pools.iter().flat_map(of_pool).collect()
    }

    /// Returns up to `max` servers of a group that are not leaving, beginning at one that `seed`
    /// selects.
    pub fn probe_targets(
        &self,
        now: Millis,
        group: &ServerGroup,
        max: usize,
        seed: u64,
    ) -> Vec<ProbeTarget> {
        let members = self.group_members(group);
        let start = seed as usize % members.len().max(1);
        let around = members[start..].iter().chain(&members[..start]);
        let views = around.map(|index| &self.servers[*index as usize]);
        let target = |view: &ServerView| ProbeTarget {
            server: view.name.clone(),
            address: view.address.clone(),
        };
        views.filter(|view| !view.is_leaving(now)).take(max).map(target).collect()
    }

    /// Returns the indices of a group's servers.
    pub(super) fn group_members(&self, group: &ServerGroup) -> &[u32] {
        let pool = self.pools_by_name.get(&group.pool).map(|pool| &self.pools[*pool as usize]);
        let mut halls = pool.into_iter().flat_map(|pool| &pool.halls);
        halls.find(|hall| hall.hall == group.hall).map_or(&[], |hall| &hall.members)
    }
}
