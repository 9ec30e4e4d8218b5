//! Daemons of a small deployment, each a process, on loopback addresses of their own.

use std::net::TcpListener as Listener;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::json;
use tokio::net::TcpListener;

use crate::http::call;
use crate::store::{Path, Store};

/// One machine with its daemon.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub path: Arc<Path>,
    settings: std::path::PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Returns the address for clients.
    pub fn front(&self) -> String {
        format!("{}:8227", self.ip)
    }

    /// Starts the daemon by the command of the deploy file.
    pub fn start(&mut self) {
        let mut command = Command::new("target/release/bankcoved");
        command.arg("--config").arg(&self.settings).stdin(Stdio::null());
        if let Some(folder) = std::env::var_os("DAEMON_LOGS") {
            let log = std::path::Path::new(&folder).join(&self.name);
            command.stdout(std::fs::File::create(log).expect("a log can be written"));
        } else {
            command.stdout(Stdio::null());
        }
        self.child = Some(command.stderr(Stdio::null()).spawn().expect("the daemon can be started"));
    }

    /// Kills the daemon.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks the daemon to end.
    pub fn terminate(&self) {
        if let Some(pid) = self.pid() {
            let _ = kill(Pid::from_raw(pid as i32), Signal::SIGTERM);
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the daemon says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let address = format!("{}:8220", self.ip);
        let ready = call(&address, request);
        let ready = tokio::time::timeout(Duration::from_millis(500), ready).await;
        ready.is_ok_and(|ready| ready.is_ok_and(|ready| ready.status() == 200))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The deployment.
pub struct Fleet {
    pub machines: Vec<Machine>,
    pub store: Arc<Store>,
    /// First three bytes of the runners' addresses.
    pub runners_net: String,
    next_runner: u32,
    _folder: tempfile::TempDir,
}

impl Fleet {
    /// Creates machines in these zones, with a path to the store each. No daemon is started.
    pub async fn new(prefix: &str, zones: &[(&str, usize)]) -> Self {
        let start = 64 + std::process::id() % 120;
        let is_free = |net: &u32| Listener::bind(format!("127.{net}.1.10:8229")).is_ok();
        let net = (start..start + 60).find(is_free).expect("a network is free");
        let folder = tempfile::tempdir().expect("a folder can be made");
        let store = Arc::new(Store::default());
        let all: Vec<(String, String)> = zones
            .iter()
            .flat_map(|(zone, count)| {
                (1..=*count).map(move |n| (format!("front-{zone}-{n}"), (*zone).to_owned()))
            })
            .collect();
        let ip = |index: usize| format!("127.{net}.1.{}", 10 + index);
        let seeds: Vec<String> = (0..3).map(|index| format!("{}:8229", ip(index))).collect();
        let regions: serde_json::Map<String, serde_json::Value> =
            zones.iter().map(|(zone, _)| ((*zone).to_owned(), json!(prefix))).collect();
        let mut machines = Vec::new();
        for (index, (name, zone)) in all.into_iter().enumerate() {
            let ip = ip(index);
            let store_address = format!("127.{net}.2.{}:8223", 10 + index);
            let listener = TcpListener::bind(&store_address).await.expect("the address is free");
            let path = Arc::new(Path::default());
            let (serving, serving_path) = (Arc::clone(&store), Arc::clone(&path));
            tokio::spawn(async move { serving.serve(listener, serving_path).await });
            // The template of the deploy file, filled.
            let settings = json!({
                "name": name, "hall": zone,
                "caller_listen": format!("{ip}:8227"), "peer_listen": format!("{ip}:8229"),
                "store": store_address, "adapter": "objects", "seed_peers": seeds,
                "entry": {
                    "horizon_s": 11, "held_ahead": 0.1,
                    "ready_listen": format!("{ip}:8220"), "metrics_listen": format!("{ip}:9464"),
                    "tunnel_listen": format!("{ip}:7340"), "stop_grace_s": 8,
                    "retry_ratio": 0.2, "retry_extra": 56, "retry_window_s": 10,
                    "link_mbps": 1000.0, "connect_queue_ms": 20, "memory_mb": 260,
                    "server_heartbeat_ms": 1200, "hall_regions": regions,
                    "share_divisor": 4, "place_queue": 64, "protect_horizon_s": 30
                },
                "limits": {
                    "heartbeat_ms": 500, "heartbeat_fanout": 3, "host_list_ms": 10000,
                    "store_readers": 2, "peer_timeout_ms": 300, "gather_timeout_ms": 100,
                    "witnesses": 0, "direct_daemons": 12, "budget_shards": 4,
                    "budget_write_ms": 100, "stop_timeout_ms": 8000
                }
            });
            let file = folder.path().join(format!("{name}.json"));
            std::fs::write(&file, settings.to_string()).expect("the settings can be written");
            machines.push(Machine { name, ip, path, settings: file, child: None });
        }
        let runners_net = format!("127.{net}.3");
        Fleet { machines, store, runners_net, next_runner: 10, _folder: folder }
    }

    /// Returns an address for one more runner.
    pub fn runner_address(&mut self) -> String {
        self.next_runner += 1;
        format!("{}.{}:8080", self.runners_net, self.next_runner)
    }

    /// Starts all daemons and waits until they are ready; returns whether they are.
    pub async fn start(&mut self) -> bool {
        self.machines.iter_mut().for_each(Machine::start);
        let until = Instant::now() + Duration::from_secs(20);
        for machine in &self.machines {
            while !machine.is_ready().await {
                if Instant::now() > until {
                    return false;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        true
    }
}
