//! Groups of servers that a network fault separates from this host together: those of one pool in
//! one hall.

use std::collections::HashSet;

use crate::crashes::ServerInstance;
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

    /// Sets the groups to which no requests are sent, because no path leads there.
    pub fn set_unreachable(&mut self, groups: HashSet<ServerGroup>) {
        self.unreachable = groups;
    }

    /// Returns whether a path leads to the servers of a pool in a hall.
    pub(super) fn is_reachable(&self, pool: &Name, hall: &Name) -> bool {
        if self.unreachable.is_empty() {
            return true;
        }
        let group = ServerGroup { pool: pool.clone(), hall: hall.clone() };
        !self.unreachable.contains(&group)
    }

    /// Returns whether any path leads to the servers of a pool.
    pub fn has_path(&self, pool: &str) -> bool {
        self.pool(pool).is_none_or(|pool| {
            pool.halls.iter().any(|hall| self.is_reachable(&pool.name, &hall.hall))
        })
    }

    /// Clears the failures and ejections of a group's servers: those that a lost path has caused
    /// are not the servers' own.
    pub fn clear_failures(&mut self, group: &ServerGroup) {
        for index in self.group_members(group).to_vec() {
            let name = self.servers[index as usize].name.clone();
            self.change_load(&name, |view| {
                view.failures = 0;
                view.ejections = 0;
                view.ejected_until = 0;
            });
        }
    }

    /// Returns the groups of a server.
    pub fn groups_of(&self, server: &Name) -> Vec<ServerGroup> {
        let Some(index) = self.by_name.get(server).map(|index| *index as usize) else {
            return Vec::new();
        };
        let group = |(pool, hall): &(u32, u32)| {
            let pool = &self.pools[*pool as usize];
            ServerGroup { pool: pool.name.clone(), hall: pool.halls[*hall as usize].hall.clone() }
        };
        self.memberships[index].iter().map(group).collect()
    }

    /// Returns the address of this instance of a server, if it is in the table.
    pub fn address_of(&self, server: &ServerInstance) -> Option<String> {
        let index = self.index_of_instance(&server.name, server.started_ms)?;
        Some(self.servers[index].address.clone())
    }

    /// Returns the indices of a group's servers.
    pub(super) fn group_members(&self, group: &ServerGroup) -> &[u32] {
        let pool = self.pools_by_name.get(&group.pool).map(|pool| &self.pools[*pool as usize]);
        let mut halls = pool.into_iter().flat_map(|pool| &pool.halls);
        halls.find(|hall| hall.hall == group.hall).map_or(&[], |hall| &hall.members)
    }
}
