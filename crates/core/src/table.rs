//! The operators' table: halls, workspaces, budgets, backend servers, routes.

mod route;
mod server;
mod service;

use serde::{Deserialize, Serialize};

pub use route::{Route, RouteTarget, ServiceShare};
pub use server::{ListedState, Server, ServerKind, ServerState};
pub use service::{CallerLimits, ColdStart, Engine, Service};

use crate::{Name, Tokens};

/// Hours of a day, for weights that follow the sun.
pub const HOURS_PER_DAY: usize = 24;

/// How many of the last changes the table remembers.
pub const HISTORY_LENGTH: usize = 128;

/// A place with backend servers in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// The row's name.
    pub name: Name,
    /// Share of work that this hall draws, against the other halls.
    #[serde(default = "one_weight")]
    pub weight: f64,
    /// Weight in each hour of the day (UTC), in place of `weight`; 24 numbers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub weights_by_hour: Vec<f64>,
    /// Whether its servers take new work; what runs there goes on in any case.
    #[serde(default, skip_serializing_if = "ServerState::is_serving")]
    pub state: ServerState,
    /// The region that it lies in, for homes of routes and workspaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub region: Option<Name>,
    /// Revision of the table that wrote this row last; written by the system.
    #[serde(default)]
    pub version: u64,
}

impl Hall {
    /// A hall that only the platform names.
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

/// A customer, with the keys that its callers show.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The row's name.
    pub name: Name,
    /// SHA-256 of each bearer key, in 64 hexadecimal digits.
    pub keys_sha256: Vec<String>,
    /// The budget of requests that name none.
    pub default_budget: Name,
    /// Higher goes first at the engine, before the priority of the route.
    #[serde(default)]
    pub priority: i32,
    /// Regions whose servers may serve it; with none all may.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub homes: Vec<Name>,
    /// Revision of the table that wrote this row last; written by the system.
    #[serde(default)]
    pub version: u64,
}

/// Which error a budget's owner minds more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ShortagePolicy {
    /// Answer at once, also while running requests may still give tokens back.
    #[default]
    Refuse,
    /// Count the prompt exactly where a server can, before refusing.
    Count,
}

/// A prepaid sum of tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The row's name.
    pub name: Name,
    /// The workspace that spends it.
    pub workspace: Name,
    /// Tokens allowed by this row; top-ups add to it.
    pub tokens: Tokens,
    /// How far ahead a daemon draws, in seconds of its own recent spending.
    #[serde(default = "default_horizon_s")]
    pub horizon_s: f64,
    /// A daemon draws at most 1/`share_divisor` of what is not yet granted.
    #[serde(default = "default_share_divisor")]
    pub share_divisor: u64,
    /// Part of an equal share that each daemon draws at least, 0 to 1: more
    /// keeps more at hand for an outage of the store, and strands more with a
    /// host that dies.
    #[serde(default = "default_held_ahead")]
    pub held_ahead: f64,
    /// What a daemon does before it refuses.
    #[serde(default)]
    pub when_short: ShortagePolicy,
    /// Revision of the table that wrote this row last; written by the system.
    #[serde(default)]
    pub version: u64,
}

impl Budget {
    /// The only budget of a workspace, named like it, drawn on as by default.
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

/// Something with a name and a version: a row of any sheet.
pub trait Row: Clone + Serialize {
    /// The sheet's name as operators write it.
    const SHEET: &'static str;
    /// The row's name.
    fn name(&self) -> &Name;
    /// Revision of the table that wrote the row last.
    fn version(&self) -> u64;
    /// Puts the version.
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

/// One accepted change, as the table remembers it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Identity that the operator's client gave it.
    pub id: String,
    /// Revision of the table that it made.
    pub revision: u64,
    /// Who asked for it.
    pub who: String,
    /// When it was accepted, in seconds since 1970.
    pub when_s: u64,
    /// Rows that it touched, as "sheet/name".
    pub rows: Vec<String>,
}

/// The whole table.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Counts the accepted changes; never falls.
    #[serde(default)]
    pub revision: u64,
    /// Places.
    #[serde(default)]
    pub halls: Vec<Hall>,
    /// Customers.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Prepaid sums.
    #[serde(default)]
    pub budgets: Vec<Budget>,
    /// Backend servers.
    #[serde(default)]
    pub servers: Vec<Server>,
    /// Ways to the servers.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Services whose servers the platform lists.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub services: Vec<Service>,
    /// What callers may send; the daemon's own settings when left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_limits: Option<CallerLimits>,
    /// The last changes, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub history: Vec<Change>,
}

impl Table {
    /// The budget of this name.
    pub fn budget(&self, name: &Name) -> Option<&Budget> {
        self.budgets.iter().find(|row| row.name == *name)
    }

    /// The server of this name.
    pub fn server(&self, name: &Name) -> Option<&Server> {
        self.servers.iter().find(|row| row.name == *name)
    }

    /// The workspace whose keys hold this hash.
    pub fn workspace_by_key(&self, sha256: &str) -> Option<&Workspace> {
        let holds = |row: &&Workspace| row.keys_sha256.iter().any(|key| key == sha256);
        self.workspaces.iter().find(holds)
    }

    /// The route that serves this model.
    pub fn route_for_model(&self, wanted: &str) -> Option<&Route> {
        self.routes.iter().find(|row| match &row.target {
            RouteTarget::Model { model } => model.as_str() == wanted,
            RouteTarget::Service { .. } | RouteTarget::Host { .. } => false,
        })
    }

    /// The service route with the longest prefix of this path.
    pub fn route_for_path(&self, path: &str) -> Option<&Route> {
        let fitting = self.routes.iter().filter_map(|row| match &row.target {
            RouteTarget::Service { path_prefix, .. } if path.starts_with(path_prefix.as_str()) => {
                Some((path_prefix.len(), row))
            }
            _ => None,
        });
        fitting.max_by_key(|(length, _)| *length).map(|(_, row)| row)
    }

    /// The route of this host with the longest prefix of this path.
    pub fn route_for_host(&self, wanted: &str, path: &str) -> Option<&Route> {
        let fitting = self.routes.iter().filter_map(|row| match &row.target {
            RouteTarget::Host { host, path_prefix, .. }
                if host == wanted && path.starts_with(path_prefix.as_str()) =>
            {
                Some((path_prefix.len(), row))
            }
            _ => None,
        });
        fitting.max_by_key(|(length, _)| *length).map(|(_, row)| row)
    }

    /// The service of this name.
    pub fn service(&self, name: &Name) -> Option<&Service> {
        self.services.iter().find(|row| row.name == *name)
    }

    /// The workspace of this name.
    pub fn workspace(&self, name: &Name) -> Option<&Workspace> {
        self.workspaces.iter().find(|row| row.name == *name)
    }

    /// The change of this identity, when the table still remembers it.
    pub fn change(&self, id: &str) -> Option<&Change> {
        self.history.iter().find(|change| change.id == id)
    }
}

/// Rows weigh the same unless they say otherwise.
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
