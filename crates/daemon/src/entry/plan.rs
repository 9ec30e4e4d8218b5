//! Looks up a request in the table in force: its route, service, workspace and budget.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::table::{Budget, Route, RouteTarget, ServiceShare, Table, Urgency, Workspace};
use bankcove_core::{Name, Tokens};
use bankcove_ports::wire::{Prompt, RequestHead};
use xxhash_rust::xxh3::xxh3_64;

use crate::auth::hash_key;
use crate::entry::refusal::Refusal;

/// Factor on the route's goal within which an answer is expected to begin, or to be complete.
const GOAL_FACTOR: u64 = 2;

/// Time to generate one token of a stream: engines that run twenty requests at once take about
/// 6 ms.
const TIME_PER_TOKEN: Duration = Duration::from_millis(8);

/// Rows of the table that apply to a request.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Revision of the table.
    pub revision: u64,
    /// Route.
    pub route: Route,
    /// Service selected by the route's traffic split.
    pub service: Name,
    /// Maximum number of tokens in one event of the service's streams.
    pub tokens_per_event: Tokens,
    /// Workspace of the caller; `None` on a public route without a key.
    pub workspace: Option<Name>,
    /// Priority rank of the workspace; 0 is the most urgent, and the rank of callers without one.
    pub workspace_rank: u32,
    /// Regions that may serve the workspace.
    pub workspace_homes: Vec<Name>,
    /// Default budget of the workspace, if the table has it.
    pub budget: Option<Budget>,
    /// See [`Plan::urgency`].
    urgency: Urgency,
}

impl Plan {
    /// Looks up a request to `host` and `path`.
    ///
    /// # Errors
    /// [`Refusal::NoRoute`] or [`Refusal::UnknownKey`].
    pub fn find(
        table: &Arc<Table>,
        host: &str,
        path: &str,
        request_head: &RequestHead,
    ) -> Result<Self, Refusal> {
        let route = table.route_for_host(host, path).ok_or(Refusal::NoRoute)?;
        let workspace = find_workspace(table, route, request_head)?;
        let RouteTarget::Host { split, .. } = &route.target else {
            return Err(Refusal::NoRoute);
        };
        // A stream that is taken up stays at the service of the attempt that began it.
        let first_attempt = request_head.resumes.as_ref().unwrap_or(&request_head.id);
        let service = select_share(split, first_attempt).ok_or(Refusal::NoRoute)?.service.clone();
        let engine = table.service(&service).and_then(|row| row.engine.as_ref());
        let budget = workspace.and_then(|row| table.budget(&row.default_budget));
        Ok(Plan {
            revision: table.revision,
            route: route.clone(),
            tokens_per_event: engine.map_or(1, |engine| engine.tokens_per_event),
            service,
            workspace: workspace.map(|row| row.name.clone()),
            workspace_rank: workspace.map_or(0, |row| row.priority.min(0).unsigned_abs()),
            workspace_homes: workspace.map(|row| row.homes.clone()).unwrap_or_default(),
            budget: budget.cloned(),
            urgency: table.urgency(workspace, route),
        })
    }

    /// Returns the priority rank of the route, by which requests of one budget are compared; 0 is
    /// the most urgent.
    pub fn rank(&self) -> u32 {
        self.route.rank()
    }

    /// Returns the urgency among the requests of all workspaces: the workspace's rank is compared
    /// first, then the route's.
    pub fn urgency(&self) -> Urgency {
        self.urgency
    }

    /// Returns the maximum number of events of a stream for this prompt if all are full, except for the
    /// last one.
    pub fn max_events(&self, prompt: &Prompt) -> u64 {
        prompt.output_limit.div_ceil(self.tokens_per_event.max(1))
    }

    /// Returns whether events may hold fewer tokens than a full one.
    pub fn has_partial_events(&self) -> bool {
        self.tokens_per_event > 1
    }

    /// Returns a conservative estimate of the time that the request takes.
    pub fn expected_time(&self, request_head: &RequestHead) -> Duration {
        let time_to_start = Duration::from_millis(self.route.goal_ms * GOAL_FACTOR);
        let tokens = request_head.prompt.as_ref().map_or(0, |prompt| prompt.output_limit);
        time_to_start + TIME_PER_TOKEN * tokens.try_into().unwrap_or(u32::MAX)
    }

    /// Returns whether the request may run again when the outcome of an attempt is unknown.
    pub fn is_retryable(&self) -> bool {
        self.route.repeatable || self.route.resumable
    }
}

/// Returns the workspace of the caller's key. An unknown key is an error if the table has
/// workspaces and the route is not public.
fn find_workspace<'a>(
    table: &'a Table,
    route: &Route,
    request_head: &RequestHead,
) -> Result<Option<&'a Workspace>, Refusal> {
    let has_workspaces = !table.workspaces.is_empty();
    let workspace =
        request_head.key.as_ref().and_then(|key| table.workspace_by_key(&hash_key(key)));
    if workspace.is_none() && has_workspaces && !route.public {
        return Err(Refusal::UnknownKey);
    }
    Ok(workspace)
}

/// Selects a share of the traffic split by a hash of an attempt's id, with the shares' weights.
/// The result is the same on all daemons.
fn select_share<'a>(split: &'a [ServiceShare], id: &str) -> Option<&'a ServiceShare> {
    let total: f64 = split.iter().map(|share| share.weight).sum();
    let point = xxh3_64(id.as_bytes()) as f64 / u64::MAX as f64 * total;
    let mut cumulative_weight = 0.0;
    let found = split.iter().find(|share| {
        cumulative_weight += share.weight;
        share.weight > 0.0 && point <= cumulative_weight
    });
    found.or(split.last())
}
