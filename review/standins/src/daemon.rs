//! Daemons as separate processes, with the command of the deploy file.

use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

use crate::http::{Message, read_message};

/// Addresses and settings of one daemon.
pub struct Host {
    /// Its name.
    pub name: String,
    /// Address for clients.
    pub front: String,
    /// Address of the readiness check.
    pub ready: String,
    /// Address for other daemons.
    pub control: String,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

/// Returns the IP address of a host: all hosts use the same free ports, as PROTOCOL.md says.
fn ip(network: u8, host: usize) -> String {
    format!("127.{network}.0.{}", host + 1)
}

/// Returns a network 127.N.0.0 on which the ports are free.
pub fn free_network() -> u8 {
    let start = std::process::id() % 150;
    (0..150u32)
        .map(|n| (60 + (start + n) % 150) as u8)
        .find(|n| TcpListener::bind(format!("127.{n}.0.1:8227")).is_ok())
        .expect("a free network")
}

/// Creates the settings of `count` daemons in one zone each, like those that the template of the
/// deploy file gives on the small sites.
pub fn hosts(
    folder: &Path,
    root: &Path,
    network: u8,
    count: usize,
    store: &str,
    edit: impl Fn(&mut Value),
) -> Vec<Host> {
    let seeds: Vec<String> = (0..count.min(3)).map(|n| format!("{}:8229", ip(network, n))).collect();
    let zones = json!({"vaasa-keskus": "ostrobothnia", "seinajoki": "ostrobothnia", "kokkola": "ostrobothnia"});
    let zone_names = ["vaasa-keskus", "seinajoki", "kokkola"];
    let host = |n: usize| {
        let ip = ip(network, n);
        let zone = zone_names[n % 3];
        let name = format!("front-{zone}-{}", 1 + n / 3);
        let mut settings = json!({
            "name": name,
            "hall": zone,
            "caller_listen": format!("{ip}:8227"),
            "peer_listen": format!("{ip}:8229"),
            "store": store,
            "adapter": "objects",
            "seed_peers": seeds,
            "entry": {
                "horizon_s": 11,
                "held_ahead": 0.1,
                "ready_listen": format!("{ip}:8220"),
                "metrics_listen": format!("{ip}:9464"),
                "tunnel_listen": format!("{ip}:7340"),
                "stop_grace_s": 8,
                "retry_ratio": 0.2,
                "retry_extra": 52,
                "retry_window_s": 10,
                "link_mbps": 1000.0,
                "connect_queue_ms": 20,
                "memory_mb": 260,
                "hall_regions": zones,
                "share_divisor": 4,
                "place_queue": 64,
                "protect_horizon_s": 30
            },
            "limits": {
                "heartbeat_ms": 500,
                "heartbeat_fanout": 3,
                "host_list_ms": 10000,
                "store_readers": 2,
                "peer_timeout_ms": 300,
                "gather_timeout_ms": 100,
                "witnesses": 0,
                "direct_daemons": 12,
                "budget_shards": 4,
                "budget_write_ms": 100,
                "stop_timeout_ms": 8000
            }
        });
        edit(&mut settings);
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings written");
        Host {
            front: format!("{ip}:8227"),
            ready: format!("{ip}:8220"),
            control: format!("{ip}:8229"),
            settings: path,
            log: folder.join(format!("{name}.log")),
            program: root.join("target/release/bankcoved"),
            child: None,
            name,
        }
    };
    (0..count).map(host).collect()
}

impl Host {
    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the id of the process.
    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.as_mut()?.try_wait().ok()?.map(|status| status.to_string())
    }

    /// Sends a signal to the process that this case started.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.pid().to_string()).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the path of its log.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Waits until the daemon says that it is ready.
    pub async fn wait_ready(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if matches!(get(&self.ready, "/ready").await, Ok(Some(res)) if res.status() == 200) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends one GET over a new connection.
pub async fn get(addr: &str, path: &str) -> std::io::Result<Option<Message>> {
    let stream = TcpStream::connect(addr).await?;
    let (rx, mut tx) = stream.into_split();
    tx.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes()).await?;
    read_message(&mut BufReader::new(rx)).await
}
