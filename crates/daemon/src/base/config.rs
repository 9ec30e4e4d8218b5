//! Settings of a daemon, read from one JSON file and validated as a whole at the start.

pub mod entry;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

use bankcove_core::owner::WRITE_INTERVAL_MS;
use bankcove_core::request_log::APPEND_INTERVAL_MS;
use bankcove_core::shard::BUDGET_SHARDS;
use bankcove_core::{Millis, Name};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::base::config::entry::EntrySettings;
use crate::error::{ConfigFault, Error, Result};

/// Time within which changes must be in force without a platform that sets one, in milliseconds.
const DEFAULT_IN_FORCE_MS: Millis = 3_000;

/// Minimum length of the operators' token, in bytes.
const MIN_TOKEN_BYTES: usize = 8;

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Name of this host; unique in the fleet.
    pub name: Name,
    /// Hall in which this host is located.
    pub hall: Name,
    /// IP address and port on which the daemon listens for callers.
    pub caller_listen: String,
    /// Address on which the daemon listens for peers.
    pub peer_listen: String,
    /// Address announced to peers; `peer_listen` if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_advertise: Option<String>,
    /// Address on which the daemon listens for operators; omitted if they manage the fleet only
    /// through the platform.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator_listen: Option<String>,
    /// Token that operators send as `Authorization: Bearer`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator_token: Option<String>,
    /// Address of the platform's object API.
    pub store: String,
    /// Protocol of the platform.
    #[serde(default)]
    pub adapter: Adapter,
    /// Settings for callers on a platform with a protocol of its own; omitted if callers use
    /// bankcove's own interfaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<EntrySettings>,
    /// Addresses of peers to contact while the platform does not answer.
    #[serde(default)]
    pub seed_peers: Vec<String>,
    /// Address to which metrics are sent by UDP; omitted to send none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub metrics: Option<String>,
    /// Limits and intervals.
    #[serde(default)]
    pub limits: Limits,
}

/// Protocol of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adapter {
    /// bankcove's own object API, host list and caller interfaces.
    #[default]
    Own,
    /// The users' platform, by the adapter in `platform/`.
    Objects,
}

/// Limits and intervals; all have defaults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to read a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum duration of a graceful shutdown, in milliseconds.
    pub stop_timeout_ms: u64,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Number of peers to which each heartbeat is sent.
    pub heartbeat_fanout: usize,
    /// Interval between reads of the host list, in milliseconds.
    pub host_list_ms: u64,
    /// Interval between load reports of a backend server, in milliseconds.
    pub load_report_ms: u64,
    /// Number of backend servers polled for a load report at once: first those with requests
    /// of this daemon, then the others in turn.
    pub load_reports_at_once: usize,
    /// Number of daemons in each hall that read the store for the whole hall, so that the load
    /// on the store grows with the number of halls and not of daemons. The others receive
    /// updates from these peers, which may be cut off from the store while the others are not.
    pub store_readers: usize,
    /// Timeout of a call to a peer, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Maximum wait for a peer's unspent tokens, in milliseconds.
    pub gather_timeout_ms: u64,
    /// Number of witnesses: peers that attest what a daemon opens of its grants while the store
    /// is unavailable. With 0 a grant is open as a whole once it is recorded.
    pub witnesses: usize,
    /// Number of peers contacted as the owner of a budget's shard before this daemon writes the
    /// shard itself.
    pub owners_tried: usize,
    /// Maximum number of daemons of a small fleet, in which each daemon first tries to write the
    /// budget shards itself: there write conflicts are rare, and an unreachable owner causes no
    /// delay.
    pub direct_daemons: usize,
    /// Number of objects over which all budgets are distributed.
    pub budget_shards: u32,
    /// Minimum interval between writes of a budget shard, in milliseconds.
    pub budget_write_ms: u64,
    /// Minimum interval between appends to a log shard, in milliseconds.
    pub log_append_ms: u64,
    /// How long the end of an answer waits until its bill is recorded before the bill is copied
    /// to peers instead, in milliseconds.
    pub bill_wait_ms: u64,
    /// Time without a response from the store or most peers, in milliseconds, after which
    /// servers that check no orders get no new work.
    pub isolation_ms: u64,
    /// Maximum number of servers tried for one request while none has executed it.
    pub max_tries: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body_bytes: 4 << 20,
            body_timeout_ms: 10_000,
            stop_timeout_ms: 120_000,
            heartbeat_ms: 500,
            heartbeat_fanout: 2,
            host_list_ms: 1_000,
            load_report_ms: 500,
            load_reports_at_once: 16,
            store_readers: 2,
            peer_timeout_ms: 1_500,
            gather_timeout_ms: 200,
            witnesses: 2,
            owners_tried: 2,
            direct_daemons: 0,
            budget_shards: BUDGET_SHARDS,
            budget_write_ms: WRITE_INTERVAL_MS,
            log_append_ms: APPEND_INTERVAL_MS,
            bill_wait_ms: 2_000,
            isolation_ms: 4_000,
            max_tries: 3,
        }
    }
}

impl Config {
    /// Returns whether halls are evacuated through the platform.
    pub fn follows_evacuations(&self) -> bool {
        self.entry.as_ref().is_some_and(|entry| entry.follow_evacuations)
    }

    /// Returns the duration of an outage of the platform from which on entries of live servers may have
    /// lapsed, in milliseconds. Without a platform that lists servers none lapse.
    pub fn entry_lapse_ms(&self) -> Millis {
        self.entry.as_ref().map_or(Millis::MAX, EntrySettings::entry_lapse_ms)
    }

    /// Returns the time within which a change in the store must be in force, in milliseconds.
    pub fn in_force_ms(&self) -> Millis {
        self.entry.as_ref().map_or(DEFAULT_IN_FORCE_MS, EntrySettings::in_force_ms)
    }

    /// Returns the IP address from which connections to backend servers are made, if it is set.
    pub fn source_ip(&self) -> Option<IpAddr> {
        self.entry.as_ref().and_then(|entry| entry.source_ip)
    }

    /// Returns the fraction of a service's requests that a version under rollout may get; `None` if
    /// the platform orders no rollouts.
    pub fn rollout_fraction(&self) -> Option<f64> {
        self.entry.as_ref().and_then(|entry| entry.rollout_fraction)
    }

    /// Returns example settings with all defaults spelled out.
    pub fn example() -> Self {
        Config {
            name: Name::from("entry-1"),
            hall: Name::from("hall-1"),
            caller_listen: "127.0.0.1:8080".to_owned(),
            peer_listen: "127.0.0.1:8081".to_owned(),
            peer_advertise: None,
            operator_listen: Some("127.0.0.1:8082".to_owned()),
            operator_token: Some("change-this-token".to_owned()),
            store: "127.0.0.1:8500".to_owned(),
            adapter: Adapter::Own,
            entry: None,
            seed_peers: Vec::new(),
            metrics: None,
            limits: Limits::default(),
        }
    }

    /// Returns the address announced to peers.
    pub fn peer_address(&self) -> &str {
        self.peer_advertise.as_deref().unwrap_or(&self.peer_listen)
    }

    /// Returns the IP address announced to peers; `None` if `peer_address` is not an address.
    pub fn peer_ip(&self) -> Option<IpAddr> {
        self.peer_address().parse::<SocketAddr>().ok().map(|address| address.ip())
    }

    /// Returns the address on which tunnels of peers are accepted.
    pub fn tunnel_listen(&self) -> String {
        let set = self.entry.as_ref().and_then(|entry| entry.tunnel_listen.clone());
        set.unwrap_or_else(|| {
            let peer = self.peer_listen.parse::<SocketAddr>();
            let ip = peer.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |address| address.ip());
            SocketAddr::new(ip, 0).to_string()
        })
    }

    /// Returns whether the seed peers include a daemon other than this one.
    pub fn has_other_seeds(&self) -> bool {
        self.seed_peers.iter().any(|seed| seed != self.peer_address())
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`Error::ReadConfig`], or [`Error::Config`] with all faults found.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::ReadConfig { path: path.to_owned(), source })?;
        Config::parse(&text)
    }

    /// Parses settings from JSON text and validates them.
    ///
    /// # Errors
    /// [`Error::Config`] with all faults found.
    pub fn parse(text: &str) -> Result<Self> {
        let mut value: Value = serde_json::from_str(text).map_err(|e| {
            faults(vec![ConfigFault::new("", &e.to_string(), "fix the JSON syntax there")])
        })?;
        let mut found = remove_unknown_keys(&mut value);
        match serde_path_to_error::deserialize::<_, Config>(&value) {
            Ok(cfg) => {
                found.extend(cfg.faults());
                if found.is_empty() { Ok(cfg) } else { Err(faults(found)) }
            }
            Err(e) => {
                let (path, problem) = (e.path().to_string(), e.inner().to_string());
                found.push(ConfigFault::new(&path, &problem, "see 'bankcoved --print-defaults'"));
                Err(faults(found))
            }
        }
    }

    fn faults(&self) -> Vec<ConfigFault> {
        let mut found = Vec::new();
        let mut addresses = vec![
            ("caller_listen", &self.caller_listen),
            ("peer_listen", &self.peer_listen),
            ("store", &self.store),
        ];
        addresses.extend(self.operator_listen.as_ref().map(|address| ("operator_listen", address)));
        if let Some(entry) = &self.entry {
            addresses.push(("entry.ready_listen", &entry.ready_listen));
            addresses.extend(
                entry.metrics_listen.as_ref().map(|address| ("entry.metrics_listen", address)),
            );
            addresses.extend(
                entry.tunnel_listen.as_ref().map(|address| ("entry.tunnel_listen", address)),
            );
        }
        addresses.extend(self.peer_advertise.as_ref().map(|address| ("peer_advertise", address)));
        addresses.extend(self.metrics.as_ref().map(|address| ("metrics", address)));
        addresses.extend(self.seed_peers.iter().map(|address| ("seed_peers", address)));
        for (path, address) in addresses {
            if address.parse::<SocketAddr>().is_err() {
                let problem = format!("'{address}' is not an IP address and port");
                found.push(ConfigFault::new(path, &problem, "use the form 10.0.0.7:8080"));
            }
        }
        for (path, name) in [("name", &self.name), ("hall", &self.hall)] {
            if !name.is_well_formed() {
                let problem = format!("'{name}' is not a name");
                found.push(ConfigFault::new(
                    path,
                    &problem,
                    "use 1 to 64 of a-z, A-Z, 0-9, '.', '-', '_'",
                ));
            }
        }
        found.extend(self.operator_faults());
        if self.adapter == Adapter::Objects && self.entry.is_none() {
            let problem = "this adapter requires the 'entry' settings, which are missing";
            found.push(ConfigFault::new("entry", problem, "add them, see docs/OPERATIONS.md"));
        }
        found.extend(self.entry.iter().flat_map(EntrySettings::faults));
        found.extend(self.limits.faults());
        found
    }
}

impl Config {
    fn operator_faults(&self) -> Option<ConfigFault> {
        let token = self.operator_token.as_deref().unwrap_or_default();
        let is_short = token.len() < MIN_TOKEN_BYTES;
        let is_needed = self.operator_listen.is_some() || self.operator_token.is_some();
        (is_needed && is_short).then(|| {
            let problem = "the token is shorter than 8 bytes";
            ConfigFault::new("operator_token", problem, "use a long random token")
        })
    }
}

impl Limits {
    fn faults(&self) -> Vec<ConfigFault> {
        let positive = [
            ("limits.max_body_bytes", self.max_body_bytes as u64),
            ("limits.body_timeout_ms", self.body_timeout_ms),
            ("limits.heartbeat_ms", self.heartbeat_ms),
            ("limits.heartbeat_fanout", self.heartbeat_fanout as u64),
            ("limits.host_list_ms", self.host_list_ms),
            ("limits.load_report_ms", self.load_report_ms),
            ("limits.load_reports_at_once", self.load_reports_at_once as u64),
            ("limits.store_readers", self.store_readers as u64),
            ("limits.owners_tried", self.owners_tried as u64),
            ("limits.peer_timeout_ms", self.peer_timeout_ms),
            ("limits.gather_timeout_ms", self.gather_timeout_ms),
            ("limits.isolation_ms", self.isolation_ms),
            ("limits.budget_shards", u64::from(self.budget_shards)),
            ("limits.max_tries", self.max_tries as u64),
        ];
        let zero = positive.into_iter().filter(|(_, value)| *value == 0);
        zero.map(|(path, _)| ConfigFault::new(path, "must not be 0", "use 1 or more")).collect()
    }
}

fn faults(found: Vec<ConfigFault>) -> Error {
    Error::Config(found)
}

/// Setting with keys that operators choose.
const HALL_REGIONS: &str = "entry.hall_regions";

/// Removes all unknown keys and returns a fault for each; serde would stop at the first.
fn remove_unknown_keys(value: &mut Value) -> Vec<ConfigFault> {
    let mut example = Config::example();
    example.peer_advertise = Some(String::new());
    example.metrics = Some(String::new());
    example.entry = Some(EntrySettings::example());
    let known = serde_json::to_value(example).unwrap_or_default();
    let mut found = Vec::new();
    remove_unknown_keys_below(value, &known, "", &mut found);
    found
}

fn remove_unknown_keys_below(
    value: &mut Value,
    known: &Value,
    path: &str,
    found: &mut Vec<ConfigFault>,
) {
    let (Some(value), Some(known)) = (value.as_object_mut(), known.as_object()) else { return };
    value.retain(|key, inner| {
        let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
        match known.get(key) {
            // The keys are names of halls.
            Some(_) if path == HALL_REGIONS => {}
            Some(known) => remove_unknown_keys_below(inner, known, &path, found),
            None => found.push(ConfigFault::new(
                &path,
                "there is no such setting",
                "remove or rename it",
            )),
        }
        known.contains_key(key)
    });
}
