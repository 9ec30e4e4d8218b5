//! What the table in force says of a request: its route, service, workspace
//! and budget.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::table::{Budget, Route, RouteTarget, ServiceShare, Table, Workspace};
use bankcove_core::{Name, Tokens};
use bankcove_ports::wire::Incoming;
use xxhash_rust::xxh3::xxh3_64;

use crate::auth::hash_key;
use crate::entry::refusal::Refusal;

/// Times its goal that an answer may take to begin, or to come whole.
const GOALS: u64 = 2;

/// Time of one token of a stream: engines that run twenty requests at once were
/// measured at some 6 ms.
const TIME_PER_TOKEN: Duration = Duration::from_millis(8);

/// What the table in force says of a request.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Revision of the table.
    pub revision: u64,
    /// The route.
    pub route: Route,
    /// The service that the route's split gives this request.
    pub service: Name,
    /// Tokens of one event of the service's streams, at most.
    pub tokens_per_event: Tokens,
    /// Who calls; none on a public route without a key.
    pub workspace: Option<Name>,
    /// Regions that may serve the workspace.
    pub workspace_homes: Vec<Name>,
    /// What pays, when the table holds a budget of the workspace.
    pub budget: Option<Budget>,
}

impl Plan {
    /// Finds what the table says of a request to `host` and `path`.
    ///
    /// # Errors
    /// [`Refusal::NoRoute`] or [`Refusal::UnknownKey`].
    pub fn find(
        table: &Arc<Table>,
        host: &str,
        path: &str,
        incoming: &Incoming,
    ) -> Result<Self, Refusal> {
        let route = table.route_for_host(host, path).ok_or(Refusal::NoRoute)?;
        let workspace = workspace_of(table, route, incoming)?;
        let RouteTarget::Host { split, .. } = &route.target else {
            return Err(Refusal::NoRoute);
        };
        let service = share_of(split, &incoming.id).ok_or(Refusal::NoRoute)?.service.clone();
        let engine = table.service(&service).and_then(|row| row.engine.as_ref());
        let budget = workspace.and_then(|row| table.budget(&row.default_budget));
        Ok(Plan {
            revision: table.revision,
            route: route.clone(),
            tokens_per_event: engine.map_or(1, |engine| engine.tokens_per_event),
            service,
            workspace: workspace.map(|row| row.name.clone()),
            workspace_homes: workspace.map(|row| row.homes.clone()).unwrap_or_default(),
            budget: budget.cloned(),
        })
    }

    /// How urgent the table calls the route: 0 is the most urgent.
    pub fn rank(&self) -> u32 {
        self.route.priority.min(0).unsigned_abs()
    }

    /// How long the request is expected to take, rather more than less.
    pub fn expected_time(&self, incoming: &Incoming) -> Duration {
        let begin = Duration::from_millis(self.route.goal_ms * GOALS);
        let tokens = incoming.prompt.as_ref().map_or(0, |prompt| prompt.output_limit);
        begin + TIME_PER_TOKEN * tokens.try_into().unwrap_or(u32::MAX)
    }

    /// Whether the request may run again when its outcome is not known.
    pub fn may_repeat(&self) -> bool {
        self.route.repeatable || self.route.resumable
    }
}

fn workspace_of<'a>(
    table: &'a Table,
    route: &Route,
    incoming: &Incoming,
) -> Result<Option<&'a Workspace>, Refusal> {
    let has_workspaces = !table.workspaces.is_empty();
    let known = incoming.key.as_ref().and_then(|key| table.workspace_by_key(&hash_key(key)));
    if known.is_none() && has_workspaces && !route.public {
        return Err(Refusal::UnknownKey);
    }
    Ok(known)
}

/// The share that a request falls to: the same one on every requests.
fn share_of<'a>(split: &'a [ServiceShare], id: &str) -> Option<&'a ServiceShare> {
    let total: f64 = split.iter().map(|share| share.weight).sum();
    let point = xxh3_64(id.as_bytes()) as f64 / u64::MAX as f64 * total;
    let mut passed = 0.0;
    let found = split.iter().find(|share| {
        passed += share.weight;
        share.weight > 0.0 && point <= passed
    });
    found.or(split.last())
}
