//! Adoption of the table and of the platform's list of servers.
//!
//! Load pattern: each change of one of 10,000 listed servers reaches every daemon. Only the servers
//! that differ are changed; views and rings of all others stay.

use std::collections::HashMap;

use crate::router::Router;
use crate::router::pool::{HallPool, Pool};
use crate::router::view::ServerView;
use crate::server_list::ListedServer;
use crate::table::{Hall, RouteTarget, Server, ServerKind, ServerState, Table};
use crate::{Millis, Name};

/// A server of the platform's list, for adoption.
#[derive(Debug, Clone, Copy)]
pub struct ListedRow<'a> {
    /// Its entry.
    pub server: &'a ListedServer,
    /// Time until which it is cold, on this daemon's clock.
    pub cold_until: Millis,
}

/// Pools of one server, each with the index of the server's hall in it.
pub(super) type Memberships = Vec<(u32, u32)>;

/// Number of servers that an adoption has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Adopted {
    /// Servers added, or replaced by a later instance or one with other pools.
    pub added: usize,
    /// Servers removed.
    pub removed: usize,
}

/// A row of the operators' table or of the platform's list.
struct Row<'a> {
    name: &'a Name,
    hall: &'a Name,
    weight: f64,
    pools: Vec<&'a Name>,
    view: RowView<'a>,
}

/// Source of a row's view.
enum RowView<'a> {
    Table(&'a Server),
    Listed(ListedRow<'a>),
}

impl Row<'_> {
    fn address(&self) -> &str {
        match &self.view {
            RowView::Table(row) => &row.address,
            RowView::Listed(row) => &row.server.address,
        }
    }

    fn started_ms(&self) -> Millis {
        match &self.view {
            RowView::Table(row) => row.listed.started_ms,
            RowView::Listed(row) => row.server.started_ms,
        }
    }

    /// Returns whether `view` is of the same instance: one that was started later shares no state.
    fn is_instance(&self, view: &ServerView) -> bool {
        view.address == self.address() && view.started_ms == self.started_ms()
    }

    /// Creates the view of a server without load.
    fn new_view(&self) -> ServerView {
        match &self.view {
            RowView::Table(row) => ServerView::new(row),
            RowView::Listed(row) => ServerView::of_listed(row.server, row.cold_until),
        }
    }

    /// Copies what may change during a server's life into its view.
    fn update(&self, view: &mut ServerView) {
        match &self.view {
            RowView::Table(row) => {
                view.limit = row.limit;
                view.row_draining = row.state == ServerState::Draining;
                view.cold_until = row.listed.cold_until;
            }
            RowView::Listed(row) => {
                view.limit = u32::MAX;
                view.row_draining = row.server.draining;
                view.cold_until = row.cold_until;
                view.update_version(row.server.version.as_ref());
                view.room.slots = row.server.slots;
            }
        }
    }
}

impl Router {
    /// Replaces the table, without a platform's list. The state of servers that are in both tables
    /// is kept.
    pub fn adopt(&mut self, table: &Table) -> Adopted {
        self.adopt_with_list(table, &table.halls, std::iter::empty())
    }

    /// Replaces the table, with `halls` in place of its halls, and the platform's list. The state of
    /// servers that stay is kept.
    pub fn adopt_with_list<'a>(
        &mut self,
        table: &'a Table,
        halls: &[Hall],
        listed: impl Iterator<Item = ListedRow<'a>>,
    ) -> Adopted {
        self.generation += 1;
        let mut adopted = Adopted::default();
        let routes = routes_by_server(table);
        for server in &table.servers {
            let models = server.models.iter().filter(|_| server.kind == ServerKind::Model);
            let routes = routes.get(&server.name).into_iter().flatten().copied();
            let pools = models.chain(routes).collect();
            let (name, hall, weight) = (&server.name, &server.hall, server.weight);
            let row = Row { name, hall, weight, pools, view: RowView::Table(server) };
            adopted.added += usize::from(self.adopt_row(halls, &row));
        }
        for listed in listed {
            let server = listed.server;
            let row = Row {
                name: &server.name,
                hall: &server.hall,
                weight: 1.0,
                pools: vec![&server.service],
                view: RowView::Listed(listed),
            };
            adopted.added += usize::from(self.adopt_row(halls, &row));
        }
        adopted.removed = self.remove_unseen();
        for pool in &mut self.pools {
            pool.halls.iter_mut().for_each(|hall| hall.refresh(halls));
        }
        self.set_pause_goals(table);
        self.refresh_speeds();
        adopted
    }

    /// Adds or updates the server of a row; returns whether it was added or replaced.
    fn adopt_row(&mut self, halls: &[Hall], row: &Row) -> bool {
        let Some(index) = self.by_name.get(row.name).map(|index| *index as usize) else {
            self.add_server(halls, row);
            return true;
        };
        let is_same_place = self.servers[index].hall == *row.hall
            && self.servers[index].weight.to_bits() == row.weight.to_bits()
            && self.is_in_pools(index, row);
        if !is_same_place {
            // Its place on the rings differs: it is removed below, and added again here.
            self.by_name.remove(row.name);
            self.servers[index].seen_in = 0;
            let old = row.is_instance(&self.servers[index]).then(|| self.servers[index].clone());
            self.add_server(halls, row);
            let last = self.servers.len() - 1;
            if let Some(old) = old {
                self.replace_state(last, ServerView { hall: row.hall.clone(), ..old });
            }
        } else if !row.is_instance(&self.servers[index]) {
            self.replace_state(index, row.new_view());
            self.refresh_view(row.name);
        }
        let index = self.by_name[row.name] as usize;
        row.update(&mut self.servers[index]);
        self.servers[index].weight = row.weight;
        self.servers[index].seen_in = self.generation;
        !is_same_place
    }

    /// Returns whether a server is in exactly the pools of its row.
    fn is_in_pools(&self, index: usize, row: &Row) -> bool {
        let names =
            self.memberships[index].iter().map(|(pool, _)| &self.pools[*pool as usize].name);
        // A weight of 0 keeps it from all pools.
        let is_member = row.weight != 0.0;
        names.eq(row.pools.iter().copied().filter(|_| is_member))
    }

    /// Adds a server as the last one.
    fn add_server(&mut self, halls: &[Hall], row: &Row) {
        let index = self.servers.len() as u32;
        let view = ServerView { weight: row.weight, seen_in: self.generation, ..row.new_view() };
        let (pace, load) = (view.event_ms, view.total_load());
        let mut memberships = Memberships::new();
        for name in row.pools.iter().filter(|_| row.weight != 0.0) {
            let pool_index = self.pool_index(name);
            let pool = &mut self.pools[pool_index as usize];
            let hall = pool.halls.iter().position(|hall| hall.hall == *row.hall);
            let hall = hall.unwrap_or_else(|| {
                pool.halls.push(HallPool::new(halls, row.hall));
                pool.halls.len() - 1
            });
            pool.mean_pace.change(None, pace);
            pool.halls[hall].add(row.name, row.weight, index, load);
            memberships.push((pool_index, hall as u32));
        }
        memberships.shrink_to_fit();
        self.by_name.insert(row.name.clone(), index);
        self.servers.push(view);
        self.memberships.push(memberships);
        self.refresh_view(row.name);
    }

    /// Returns the index of a pool; adds it if there is none.
    fn pool_index(&mut self, name: &Name) -> u32 {
        if let Some(index) = self.pools_by_name.get(name) {
            return *index;
        }
        let index = self.pools.len() as u32;
        self.pools.push(Pool::new(name.clone()));
        self.pools_by_name.insert(name.clone(), index);
        index
    }

    /// Replaces the view of a server, and updates the totals of its pools.
    fn replace_state(&mut self, index: usize, view: ServerView) {
        let old = std::mem::replace(&mut self.servers[index], view);
        let new = &self.servers[index];
        for (pool, hall) in &self.memberships[index] {
            let pool = &mut self.pools[*pool as usize];
            pool.mean_pace.change(old.event_ms, new.event_ms);
            pool.halls[*hall as usize].load.change(&old.total_load(), &new.total_load());
        }
    }

    /// Removes the servers that no row of the current adoption names; returns their number.
    fn remove_unseen(&mut self) -> usize {
        let is_seen = |view: &ServerView| view.seen_in == self.generation;
        let left = self.servers.iter().filter(|view| is_seen(view)).count();
        let removed = self.servers.len() - left;
        if removed > 0 {
            let moved = self.fill_gaps(left);
            for hall in self.pools.iter_mut().flat_map(|pool| &mut pool.halls) {
                hall.move_members(&moved);
            }
        }
        for hall in self.pools.iter_mut().flat_map(|pool| &mut pool.halls) {
            hall.sort_ring();
        }
        removed
    }

    /// Moves the last servers into the places of removed ones, so that `left` are left. Returns the
    /// new index of each server by its old one; [`REMOVED`] for those that were removed.
    fn fill_gaps(&mut self, left: usize) -> Vec<u32> {
        let is_seen: Vec<bool> =
            self.servers.iter().map(|view| view.seen_in == self.generation).collect();
        let mut moved: Vec<u32> = (0..self.servers.len() as u32).collect();
        for index in (0..is_seen.len()).filter(|index| !is_seen[*index]) {
            self.leave_pools(index);
            moved[index] = REMOVED;
        }
        let gaps = (0..left).filter(|index| !is_seen[*index]);
        let behind = (left..is_seen.len()).filter(|index| is_seen[*index]);
        for (gap, last) in gaps.zip(behind) {
            self.servers.swap(gap, last);
            self.memberships.swap(gap, last);
            moved[last] = gap as u32;
            self.by_name.insert(self.servers[gap].name.clone(), gap as u32);
        }
        self.servers.truncate(left);
        self.memberships.truncate(left);
        moved
    }

    /// Takes a removed server off the totals of its pools, and its name off the index.
    fn leave_pools(&mut self, index: usize) {
        let view = &self.servers[index];
        for (pool, hall) in &self.memberships[index] {
            let pool = &mut self.pools[*pool as usize];
            pool.mean_pace.change(view.event_ms, None);
            pool.halls[*hall as usize].load.change(&view.total_load(), &Default::default());
        }
        if self.by_name.get(&view.name) == Some(&(index as u32)) {
            self.by_name.remove(&self.servers[index].name.clone());
        }
    }

    /// Sets each pool's pause goal to the tightest goal of the routes that lead to it.
    fn set_pause_goals(&mut self, table: &Table) {
        self.pools.iter_mut().for_each(|pool| pool.pause_goal = Millis::MAX);
        for route in &table.routes {
            let RouteTarget::Host { split, .. } = &route.target else { continue };
            let Some(goal) = route.pause_goal_ms else { continue };
            for share in split {
                if let Some(index) = self.pools_by_name.get(&share.service) {
                    let pool = &mut self.pools[*index as usize];
                    pool.pause_goal = pool.pause_goal.min(goal);
                }
            }
        }
    }
}

/// Index of a removed server.
pub(super) const REMOVED: u32 = u32::MAX;

/// Returns the service routes that name each server.
fn routes_by_server(table: &Table) -> HashMap<&Name, Vec<&Name>> {
    let mut routes: HashMap<&Name, Vec<&Name>> = HashMap::new();
    for route in &table.routes {
        if let RouteTarget::Service { servers, .. } = &route.target {
            servers.iter().for_each(|name| routes.entry(name).or_default().push(&route.name));
        }
    }
    routes
}
