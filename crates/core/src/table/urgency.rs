//! Urgency of requests: the workspace's rank is compared first, then the route's.

use super::{Route, Table, Workspace};

/// Least urgent value sent to backend servers; 0 is the most urgent.
const LEAST_URGENT: u32 = 9;

/// Urgency of a request among all requests that the table in force allows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Urgency {
    /// Rank by which requests are compared; 0 is the most urgent. Where all workspaces have the
    /// same rank, it is the route's rank.
    pub rank: u32,
    /// Urgency for backend servers, 0 to 9; `None` when all requests are equally urgent.
    pub for_servers: Option<u8>,
}

impl Table {
    /// Returns the urgency of a request to `route`. A request without a workspace counts as one
    /// of a workspace with default priority.
    pub fn urgency(&self, workspace: Option<&Workspace>, route: &Route) -> Urgency {
        let workspaces = distinct(self.workspaces.iter().map(|row| row.priority));
        let routes = distinct(self.routes.iter().map(|row| row.priority));
        let workspace_rank = priority_rank(workspace.map_or(0, |row| row.priority));
        let workspace_position = position(&workspaces, workspace_rank);
        // Each workspace rank has as many ranks as the routes use, so that a route's rank never
        // outweighs a workspace's.
        let ranks = routes.last().map_or(1, |last| last.saturating_add(1));
        let first_rank = (workspace_position as u32).saturating_mul(ranks);
        let rank = first_rank.saturating_add(route.rank());
        let steps = workspaces.len().max(1) * routes.len().max(1);
        let step = workspace_position * routes.len().max(1) + position(&routes, route.rank());
        Urgency { rank, for_servers: for_servers(step, steps) }
    }
}

impl Route {
    /// Returns the priority rank of the route; 0 is the most urgent.
    pub fn rank(&self) -> u32 {
        priority_rank(self.priority)
    }
}

/// Returns the rank of a priority; 0 is the most urgent. Positive priorities count as 0.
fn priority_rank(priority: i32) -> u32 {
    priority.min(0).unsigned_abs()
}

/// Returns the distinct ranks of these priorities, most urgent first.
fn distinct(priorities: impl Iterator<Item = i32>) -> Vec<u32> {
    let mut ranks = Vec::new();
    for rank in priorities.map(priority_rank) {
        if let Err(at) = ranks.binary_search(&rank) {
            ranks.insert(at, rank);
        }
    }
    ranks
}

/// Returns the position of a rank among the distinct ranks. A rank that no row has gets the
/// position of the next less urgent one, or of the least urgent one.
fn position(ranks: &[u32], rank: u32) -> usize {
    ranks.partition_point(|known| *known < rank).min(ranks.len().saturating_sub(1))
}

/// Maps step `step` of `steps` onto 0 to 9, spread evenly: servers assume 5 for requests without a
/// value, for example from daemons of an earlier version.
fn for_servers(step: usize, steps: usize) -> Option<u8> {
    let last = steps.checked_sub(1).filter(|last| *last > 0)?;
    Some((step.min(last) * LEAST_URGENT as usize / last) as u8)
}
