//! A complete system of separate processes on loopback: store, engines, services and daemons.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use bankcove_core::members::Host;
use bankcove_core::request_log::Segment;
use bankcove_core::shard::Shard;
use bankcove_standins::engine::RunRecord;
use bankcove_standins::faults::Faults;
use bankcove_standins::service::CallRecord;
use bankcove_standins::store::CallCounts;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::process::{LoopbackAddresses, Process, binary};
use crate::relay::Relay;
use crate::table;

/// The operators' token of every fleet.
pub const OPERATOR_TOKEN: &str = "token-of-the-proof";

/// Longest wait for an expected state of a daemon.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two polls of a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of lines of each daemon's log that a failed test prints: about two seconds.
const LOG_TAIL_LINES: usize = 100;

/// A daemon process and the links to and from it.
pub struct DaemonProcess {
    /// The process.
    pub process: Process,
    /// Address of the caller port.
    pub caller_address: String,
    /// Address of the operator port.
    pub operator_address: String,
    /// The link from its peers to the daemon.
    pub peer_link: Relay,
    /// The daemon's link to the store.
    pub store_link: Relay,
    /// Name of the daemon.
    pub name: String,
    config: PathBuf,
    log: PathBuf,
}

/// A stand-in process.
pub struct StandIn {
    /// The process.
    pub process: Process,
    /// Address that it listens on.
    pub address: SocketAddr,
}

impl StandIn {
    fn start(args: &[&str]) -> Self {
        let (process, address) = Process::start_standin(args);
        StandIn { process, address }
    }

    /// Sets the faults of the stand-in.
    pub async fn set_faults(&self, faults: Faults) {
        put(&self.address.to_string(), "faults", &faults).await;
    }

    /// Returns the history of the stand-in.
    pub async fn history<T: DeserializeOwned>(&self) -> T {
        get(&self.address.to_string(), "history").await
    }
}

/// Composition and settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Tokens of the budget.
    pub tokens: u64,
    /// Time per token of the engines, in milliseconds.
    pub step_ms: u64,
    /// Whether the engines ignore orders.
    pub ignores_orders: bool,
    /// Text in a prompt that crashes the engine that runs it.
    pub crash_on: Option<&'static str>,
    /// The `limits` section of the daemons' settings.
    pub limits: Value,
    /// Number of processors of a host; `None` for those of this machine.
    pub processors: Option<usize>,
}

impl Default for FleetConfig {
    fn default() -> Self {
        FleetConfig {
            daemons: 1,
            engines: 1,
            services: 0,
            tokens: 1_000_000,
            step_ms: 2,
            ignores_orders: false,
            crash_on: None,
            limits: json!({
                "heartbeat_ms": 100, "host_list_ms": 200, "load_report_ms": 200,
                "budget_write_ms": 20, "log_append_ms": 10, "peer_timeout_ms": 500,
                "bill_wait_ms": 1000,
            }),
            processors: None,
        }
    }
}

/// The processes of one test.
pub struct Fleet {
    /// The stand-in for the store.
    pub store: StandIn,
    /// The stand-ins for engines.
    pub engines: Vec<StandIn>,
    /// The stand-ins for plain services.
    pub services: Vec<StandIn>,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// The table that was applied at the start.
    pub table: Value,
    dir: TempDir,
    limits: Value,
    processors: Option<usize>,
    addresses: LoopbackAddresses,
}

impl Fleet {
    /// Starts all processes and waits until every daemon has the table and knows its peers.
    pub async fn start(config: &FleetConfig) -> Self {
        Fleet::start_with(config, |_| {}).await
    }

    /// Starts all processes like [`Fleet::start`], with a table modified by `change`.
    pub async fn start_with(config: &FleetConfig, change: impl FnOnce(&mut Value)) -> Self {
        let store = StandIn::start(&["store"]);
        let step = config.step_ms.to_string();
        let mut engine_args = vec!["engine", "--step-ms", &step];
        if config.ignores_orders {
            engine_args.push("--ignores-orders");
        }
        if let Some(text) = config.crash_on {
            engine_args.extend(["--crash-on", text]);
        }
        let engines: Vec<StandIn> =
            (0..config.engines).map(|_| StandIn::start(&engine_args)).collect();
        let services: Vec<StandIn> =
            (0..config.services).map(|_| StandIn::start(&["service"])).collect();
        let addresses =
            |list: &[StandIn]| list.iter().map(|s| s.address.to_string()).collect::<Vec<_>>();
        let mut table =
            table::table_with_servers(&addresses(&engines), &addresses(&services), config.tokens);
        change(&mut table);
        let dir = tempfile::tempdir().expect("a temporary directory can be created");
        let limits = config.limits.clone();
        let mut fleet = Fleet {
            store,
            engines,
            services,
            daemons: Vec::new(),
            table,
            dir,
            limits,
            processors: config.processors,
            addresses: LoopbackAddresses::new(),
        };
        for n in 0..config.daemons {
            fleet.add_daemon(&format!("entry-{n}")).await;
        }
        fleet.publish_hosts().await;
        fleet.apply_table().await;
        fleet.wait_until_ready().await;
        fleet
    }

    /// Starts another daemon; its seed peers are the daemons started before.
    pub async fn add_daemon(&mut self, name: &str) {
        let peer_listen = self.addresses.next_address();
        let peer_link = Relay::start(peer_listen.clone()).await;
        let store_link = Relay::start(self.store.address.to_string()).await;
        let caller_address = self.addresses.next_address();
        let operator_address = self.addresses.next_address();
        let seeds: Vec<String> = self.daemons.iter().map(|d| d.peer_link.address()).collect();
        let config = json!({
            "name": name, "hall": "hall-1", "caller_listen": caller_address, "peer_listen": peer_listen,
            "peer_advertise": peer_link.address(), "operator_listen": operator_address,
            "operator_token": OPERATOR_TOKEN, "store": store_link.address(), "limits": self.limits,
            "seed_peers": seeds,
        });
        let path = self.dir.path().join(format!("{name}.json"));
        std::fs::write(&path, config.to_string()).expect("the settings can be written");
        let log = self.dir.path().join(format!("{name}.log"));
        let process = start_daemon(&path, &log, self.processors);
        let name = name.to_owned();
        self.daemons.push(DaemonProcess {
            process,
            caller_address,
            operator_address,
            peer_link,
            store_link,
            name,
            config: path,
            log,
        });
    }

    /// Restarts a daemon that has ended, at the same addresses, and waits until it answers
    /// operators.
    pub async fn restart_daemon(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.process = start_daemon(&daemon.config, &daemon.log, self.processors);
        self.wait_until_serving(index).await;
    }

    /// Sets the platform's host list to all daemons.
    pub async fn publish_hosts(&self) {
        self.set_hosts(&self.hosts()).await;
    }

    /// Returns the host list with every daemon live.
    pub fn hosts(&self) -> Vec<Host> {
        let host = |daemon: &DaemonProcess| {
            serde_json::from_value(json!({
                "name": daemon.name, "hall": "hall-1", "address": daemon.peer_link.address(),
                "state": "live",
            }))
        };
        self.daemons.iter().map(|d| host(d).expect("the JSON is a valid host")).collect()
    }

    /// Sets the platform's host list.
    pub async fn set_hosts(&self, hosts: &[Host]) {
        put(&self.store.address.to_string(), "hosts", &hosts).await;
    }

    /// Applies the fleet's table through the first daemon with the operators' client.
    pub async fn apply_table(&self) {
        let path = self.dir.path().join("table.json");
        std::fs::write(&path, self.table.to_string()).expect("the table can be written");
        self.wait_until_serving(0).await;
        let output = self.run_cli(0, &["table", "apply", &path.to_string_lossy()]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }

    /// Runs the operators' client against a daemon and returns its output.
    pub fn run_cli(&self, daemon: usize, args: &[&str]) -> std::process::Output {
        Command::new(binary("bankcove"))
            .args(args)
            .env("BANKCOVE_SERVER", &self.daemons[daemon].operator_address)
            .env("BANKCOVE_TOKEN", OPERATOR_TOKEN)
            .output()
            .expect("the operators' client can be started")
    }

    /// Returns the response of a daemon's operator port; `None` if it is an error or missing.
    pub async fn operator_get(&self, daemon: usize, path: &str) -> Option<Value> {
        let url = format!("http://{}/v1/{path}", self.daemons[daemon].operator_address);
        let req = http().get(url).bearer_auth(OPERATOR_TOKEN).timeout(Duration::from_secs(5));
        req.send().await.ok()?.error_for_status().ok()?.json().await.ok()
    }

    /// Waits until every daemon has adopted the table and knows its peers.
    ///
    /// # Panics
    /// If it takes too long.
    pub async fn wait_until_ready(&self) {
        let revision =
            self.operator_get(0, "status").await.map_or(0, |s| s["revision"].as_u64().unwrap_or(0));
        for index in 0..self.daemons.len() {
            self.wait_for_status(index, |status| {
                let peers = status["peers"].as_array().map_or(0, Vec::len);
                status["revision"].as_u64() >= Some(revision.max(1))
                    && peers + 1 >= self.daemons.len()
            })
            .await;
        }
    }

    /// Waits until a daemon answers operators.
    ///
    /// # Panics
    /// If it takes too long.
    pub async fn wait_until_serving(&self, index: usize) {
        self.wait_for_status(index, |_| true).await;
    }

    /// Waits until a daemon's status satisfies `wanted`.
    ///
    /// # Panics
    /// If it takes too long; the message has the last status and a dump.
    pub async fn wait_for_status(&self, index: usize, wanted: impl Fn(&Value) -> bool) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self.operator_get(index, "status").await;
            if status.as_ref().is_some_and(&wanted) {
                return;
            }
            if tokio::time::Instant::now() >= deadline {
                let dump = self.operator_get(index, "dump").await.unwrap_or_default();
                let name = &self.daemons[index].name;
                panic!("timed out waiting for {name}; last status: {status:?}; dump: {dump}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a daemon lists exactly `count` requests as blocked.
    ///
    /// # Panics
    /// If it takes too long.
    pub async fn wait_for_blocked(&self, index: usize, count: usize) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let blocked = self.operator_get(index, "blocked").await;
            if blocked.as_ref().and_then(Value::as_array).is_some_and(|all| all.len() == count) {
                return;
            }
            let name = &self.daemons[index].name;
            assert!(tokio::time::Instant::now() < deadline, "{name} lists {blocked:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns all runs, ended ones included, of the engines whose process is alive. The runs of a
    /// killed engine are lost with it, so checks of them can only be too lenient.
    pub async fn engine_runs(&mut self) -> Vec<RunRecord> {
        let mut runs = Vec::new();
        for engine in &mut self.engines {
            if !engine.process.has_exited() {
                runs.extend(engine.history::<Vec<RunRecord>>().await);
            }
        }
        runs
    }

    /// Returns all calls that the plain services have received.
    pub async fn service_calls(&self) -> Vec<CallRecord> {
        let mut calls = Vec::new();
        for service in &self.services {
            calls.extend(service.history::<Vec<CallRecord>>().await);
        }
        calls
    }

    /// Returns all writes that the store accepted, in order.
    pub async fn store_writes(&self) -> Vec<Value> {
        self.store.history().await
    }

    /// Returns the call counts of the store.
    pub async fn store_counts(&self) -> CallCounts {
        get(&self.store.address.to_string(), "counts").await
    }

    /// Returns the state of a daemon's process and the end of its log.
    fn log_tail(&self, index: usize) -> String {
        let daemon = &self.daemons[index];
        let log = self.log(index);
        let lines: Vec<&str> = log.lines().collect();
        let tail = lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n");
        let state = daemon.process.state();
        format!("{} ({state}), end of its {} log lines:\n{tail}", daemon.name, lines.len())
    }

    /// Returns the log of a daemon.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(&self.daemons[index].log).unwrap_or_default()
    }
}

/// Returns the segments of the request log among the store's writes, in log order.
pub fn segments(writes: &[Value]) -> Vec<Segment> {
    let of_log =
        |write: &&Value| write["kind"].as_str().is_some_and(|kind| kind.starts_with("log-"));
    let mut segments: Vec<(String, String, Segment)> = writes
        .iter()
        .filter(of_log)
        .filter_map(|write| {
            let segment = serde_json::from_value(write["value"].clone()).ok()?;
            Some((write["kind"].to_string(), write["name"].to_string(), segment))
        })
        .collect();
    segments.sort_by(|a, b| (&a.0, &a.1).cmp(&(&b.0, &b.1)));
    segments.into_iter().map(|(_, _, segment)| segment).collect()
}

/// Returns the budget shards among the store's writes, in the order of the writes.
pub fn shards(writes: &[Value]) -> Vec<Shard> {
    let budgets = writes.iter().filter(|write| write["kind"] == "budgets");
    budgets.filter_map(|write| serde_json::from_value(write["value"].clone()).ok()).collect()
}

impl Drop for Fleet {
    /// Prints the end of the daemons' logs if the test has failed. The directory with the logs is
    /// deleted with the fleet, and a failure that occurs once in fifty runs is hard to reproduce.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for index in 0..self.daemons.len() {
            eprintln!("{}", self.log_tail(index));
        }
    }
}

fn start_daemon(config: &Path, log: &Path, processors: Option<usize>) -> Process {
    let threads = processors.map(|count| ("TOKIO_WORKER_THREADS", count.to_string()));
    Process::start("bankcoved", &["--config", &config.to_string_lossy()], threads, log)
}

fn http() -> reqwest::Client {
    let client = reqwest::Client::builder().no_proxy().build();
    client.expect("an HTTP client without TLS needs no system resources")
}

async fn put(address: &str, path: &str, value: &impl serde::Serialize) {
    let req = http().put(format!("http://{address}/{path}")).json(value);
    let res = req.send().await.expect("the stand-in answers");
    assert!(res.status().is_success(), "the stand-in answered {}", res.status());
}

async fn get<T: DeserializeOwned>(address: &str, path: &str) -> T {
    let res = http().get(format!("http://{address}/{path}")).send().await;
    res.expect("the stand-in answers").json().await.expect("the response has the expected type")
}
