//! The operators' table: halls, workspaces, budgets, backend servers, routes, services.

mod route;
mod server;
mod service;
mod urgency;

use serde::{Deserialize, Serialize};

pub use route::{Route, RouteTarget, ServiceShare};
pub use server::{ListedState, Server, ServerKind, ServerState};
pub use service::{CallerLimits, ColdStart, Engine, Service};
pub use urgency::Urgency;

use crate::{Name, Tokens};

/// Number of entries in a list of hourly weights.
pub const HOURS_PER_DAY: usize = 24;

/// Number of recent changes that the table keeps.
pub const HISTORY_LENGTH: usize = 128;

/// A location with backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// Name of the row.
    pub name: Name,
    /// Weight of this hall in the distribution of requests among halls.
    #[serde(default = "one_weight")]
    pub weight: f64,
    /// Weight in each hour of the day (UTC), instead of `weight`; 24 numbers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub weights_by_hour: Vec<f64>,
    /// Whether its servers accept new requests; running ones continue in any case.
    #[serde(default, skip_serializing_if = "ServerState::is_serving")]
    pub state: ServerState,
    /// Region of the hall, to which the `homes` of routes and workspaces refer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<Name>,
    /// Table revision that last wrote this row; set by the system.
    #[serde(default)]
    pub version: u64,
}

impl Hall {
    /// Returns a hall with default settings for a name that only the platform's list has.
    pub fn from_platform(name: Name) -> Self {
        Hall {
            name,
            weight: one_weight(),
            weights_by_hour: Vec::new(),
            state: ServerState::Serving,
            region: None,
            version: 0,
        }
    }
}

/// A customer and the keys of its callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the row.
    pub name: Name,
    /// SHA-256 of each bearer key, as 64 hexadecimal digits.
    pub keys_sha256: Vec<String>,
    /// Budget of requests that specify none.
    pub default_budget: Name,
    /// Engine priority of its requests, compared before the route's; higher runs first.
    #[serde(default)]
    pub priority: i32,
    /// Regions whose servers may serve it; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<Name>,
    /// Table revision that last wrote this row; set by the system.
    #[serde(default)]
    pub version: u64,
}

/// What a daemon does before it refuses a request for lack of tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShortagePolicy {
    /// Refuses at once, even though running requests may still give tokens back.
    #[default]
    Refuse,
    /// Has a server count the prompt's tokens exactly, if one can, before it refuses.
    Count,
}

/// A prepaid amount of tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Name of the row.
    pub name: Name,
    /// Workspace that spends it.
    pub workspace: Name,
    /// Tokens allowed by this row, to which top-ups are added.
    pub tokens: Tokens,
    /// How far ahead a daemon draws, in seconds of its own recent spending.
    #[serde(default = "default_horizon_s")]
    pub horizon_s: f64,
    /// A daemon draws at most 1/`share_divisor` of what is not yet granted.
    #[serde(default = "default_share_divisor")]
    pub share_divisor: u64,
    /// Fraction of an equal share that each daemon holds at least, 0 to 1. A higher value
    /// leaves more tokens usable during a store outage, and loses more with a crashed host.
    #[serde(default = "default_held_ahead")]
    pub held_ahead: f64,
    /// What a daemon does before it refuses a request for lack of tokens.
    #[serde(default)]
    pub when_short: ShortagePolicy,
    /// Table revision that last wrote this row; set by the system.
    #[serde(default)]
    pub version: u64,
}

impl Budget {
    /// Returns the only budget of a workspace, with its name and the default settings.
    pub fn for_workspace(workspace: Name, tokens: Tokens, version: u64) -> Self {
        Budget {
            name: workspace.clone(),
            workspace,
            tokens,
            horizon_s: default_horizon_s(),
            share_divisor: default_share_divisor(),
            held_ahead: default_held_ahead(),
            when_short: ShortagePolicy::Refuse,
            version,
        }
    }
}

/// A row of any sheet, with a name and a version.
pub trait Row: Clone + Serialize {
    /// Name of the sheet in edits.
    const SHEET: &'static str;
    /// Returns the name of the row.
    fn name(&self) -> &Name;
    /// Returns the table revision that last wrote the row.
    fn version(&self) -> u64;
    /// Sets the table revision that last wrote the row.
    fn set_version(&mut self, version: u64);
}

macro_rules! row {
    ($kind:ty, $sheet:literal) => {
        impl Row for $kind {
            const SHEET: &'static str = $sheet;
            fn name(&self) -> &Name {
                &self.name
            }
            fn version(&self) -> u64 {
                self.version
            }
            fn set_version(&mut self, version: u64) {
                self.version = version;
            }
        }
    };
}

row!(Hall, "halls");
row!(Workspace, "workspaces");
row!(Budget, "budgets");
row!(Server, "servers");
row!(Route, "routes");
row!(Service, "services");

/// An accepted change in the table's history.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Identifier chosen by the operator's client.
    pub id: String,
    /// Table revision that it produced.
    pub revision: u64,
    /// User who requested it.
    pub who: String,
    /// Time of its acceptance, in seconds since 1970.
    pub when_s: u64,
    /// Rows that it changed, as "sheet/name".
    pub rows: Vec<String>,
}

/// The whole table.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Number of accepted changes; never decreases.
    #[serde(default)]
    pub revision: u64,
    /// Locations of backend servers.
    #[serde(default)]
    pub halls: Vec<Hall>,
    /// Customers.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Prepaid amounts of tokens.
    #[serde(default)]
    pub budgets: Vec<Budget>,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<Server>,
    /// Routes from requests to servers.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Services whose servers the platform lists.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
    /// Limits on callers' requests; the daemon's own settings when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
    /// The most recent changes, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub history: Vec<Change>,
}

impl Table {
    /// Returns the budget with this name.
    pub fn budget(&self, name: &Name) -> Option<&Budget> {
        self.budgets.iter().find(|row| row.name == *name)
    }

    /// Returns the server with this name.
    pub fn server(&self, name: &Name) -> Option<&Server> {
        self.servers.iter().find(|row| row.name == *name)
    }

    /// Returns the workspace that has a key with this SHA-256.
    pub fn workspace_by_key(&self, sha256: &str) -> Option<&Workspace> {
        let has_key = |row: &&Workspace| row.keys_sha256.iter().any(|key| key == sha256);
        self.workspaces.iter().find(has_key)
    }

    /// Returns the route that serves this model.
    pub fn route_for_model(&self, wanted: &str) -> Option<&Route> {
        self.routes.iter().find(|row| match &row.target {
            RouteTarget::Model { model } => model.as_str() == wanted,
            RouteTarget::Service { .. } | RouteTarget::Host { .. } => false,
        })
    }

    /// Returns the service route with the longest prefix of this path.
    pub fn route_for_path(&self, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter_map(|row| match &row.target {
            RouteTarget::Service { path_prefix, .. } if path.starts_with(path_prefix.as_str()) => {
                Some((path_prefix.len(), row))
            }
            _ => None,
        });
        matching.max_by_key(|(length, _)| *length).map(|(_, row)| row)
    }

    /// Returns the route of this host with the longest prefix of this path.
    pub fn route_for_host(&self, wanted: &str, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter_map(|row| match &row.target {
            RouteTarget::Host { host, path_prefix, .. }
                if host == wanted && path.starts_with(path_prefix.as_str()) =>
            {
                Some((path_prefix.len(), row))
            }
            _ => None,
        });
        matching.max_by_key(|(length, _)| *length).map(|(_, row)| row)
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.iter().find(|row| row.name == *name)
    }

    /// Returns the workspace with this name.
    pub fn workspace(&self, name: &Name) -> Option<&Workspace> {
        self.workspaces.iter().find(|row| row.name == *name)
    }

    /// Returns the change with this identifier, if it is still in the history.
    pub fn change(&self, id: &str) -> Option<&Change> {
        self.history.iter().find(|change| change.id == id)
    }
}

/// Default weight of a row.
fn one_weight() -> f64 {
    1.0
}

fn default_horizon_s() -> f64 {
    10.0
}

fn default_share_divisor() -> u64 {
    4
}

fn default_held_ahead() -> f64 {
    1.0
}
