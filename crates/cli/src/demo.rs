//! Demo: stand-ins and three daemons in this process, on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bankcove_core::Name;
use bankcove_core::edit::difference;
use bankcove_core::holder::Statement;
use bankcove_core::members::{Host, HostRole, HostState};
use bankcove_core::table::Table;
use bankcove_standins::engine::{self, Settings};
use bankcove_standins::{RunningStandIn, service, store};
use bankcoved::auth::hash_key;
use bankcoved::base::config::Config;
use bankcoved::daemon::Daemon;
use bankcoved::lifecycle;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpSocket;

use crate::error::{Error, Result};
use crate::table::new_change_id;

/// Table of the demo: the first of the two example tables.
const TABLE: &str = include_str!("../../../examples/vaasa.json");

/// Number of daemons in the demo.
const DAEMONS: usize = 3;

/// Token of the demo's operators.
const OPERATOR_TOKEN: &str = "demo-operators";

/// Key of the demo's caller, in the workspace `dispatch`.
const KEY: &str = "demo-dispatch-key";

/// Workspace of the demo's caller.
const WORKSPACE: &str = "dispatch";

/// Interval at which the demo checks whether the daemons have started.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of checks before the demo fails.
const MAX_POLLS: u32 = 200;

/// Number of requests sent by `demo --once`.
const REQUESTS: u32 = 3;

struct Demo {
    store: RunningStandIn,
    servers: Vec<RunningStandIn>,
    daemons: Vec<lifecycle::RunningDaemon>,
    http: reqwest::Client,
}

/// Runs the demo until ctrl-C or, with `once`, until a few requests are answered.
///
/// # Errors
/// When the demo can't be started or a request fails.
pub async fn run(once: bool) -> Result<()> {
    let demo = Demo::start().await?;
    let outcome = if once { demo.send_requests().await } else { demo.wait_for_interrupt().await };
    demo.stop().await;
    outcome
}

impl Demo {
    async fn start() -> Result<Self> {
        let http = reqwest::Client::builder().no_proxy().build();
        let http = http.map_err(|e| Error::Setup(std::io::Error::other(e)))?;
        let store = store::start("127.0.0.1:0").await.map_err(Error::Setup)?;
        let (table, servers) = start_servers().await?;
        let mut daemons = Vec::new();
        for n in 1..=DAEMONS {
            let ports = Ports::reserve()?;
            let cfg = settings(n, &table, &store.address().to_string(), &ports)?;
            let daemon = Daemon::new(cfg, bankcoved::base::logging::discard())?;
            daemons.push(lifecycle::RunningDaemon::start(daemon).await?);
        }
        let demo = Demo { store, servers, daemons, http };
        demo.write_host_list().await?;
        demo.apply_table(&table).await?;
        demo.wait_until_ready().await?;
        Ok(demo)
    }

    /// Writes the daemons to the store's host list.
    async fn write_host_list(&self) -> Result<()> {
        let host = |running: &lifecycle::RunningDaemon| Host {
            name: running.daemon.cfg.name.clone(),
            hall: running.daemon.cfg.hall.clone(),
            address: running.daemon.cfg.peer_listen.clone(),
            role: HostRole::Daemon,
            state: HostState::Live,
        };
        let hosts: Vec<Host> = self.daemons.iter().map(host).collect();
        let url = format!("http://{}/hosts", self.store.address());
        let sent = self.http.put(url).json(&hosts).send().await;
        sent.map(|_| ()).map_err(|e| Error::Demo(e.to_string()))
    }

    async fn apply_table(&self, table: &Table) -> Result<()> {
        let edit = difference(&Table::default(), table, new_change_id(), "demo".to_owned());
        let cfg = &self.daemons[0].daemon.cfg;
        let url = format!("http://{}/v1/table/edits", operator_address(cfg));
        let req = self.http.post(url).bearer_auth(OPERATOR_TOKEN).json(&edit);
        let res = req.send().await.map_err(|e| Error::Demo(e.to_string()))?;
        if res.status().is_success() {
            return Ok(());
        }
        Err(Error::Demo(res.text().await.unwrap_or_default()))
    }

    async fn wait_until_ready(&self) -> Result<()> {
        for _ in 0..MAX_POLLS {
            if self.daemons.iter().all(|running| running.daemon.revision() > 0) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Error::Demo("the daemons did not adopt the table in time".to_owned()))
    }

    fn caller_address(&self, n: u32) -> &str {
        &self.daemons[n as usize % self.daemons.len()].daemon.cfg.caller_listen
    }

    async fn wait_for_interrupt(&self) -> Result<()> {
        self.print_addresses();
        tokio::signal::ctrl_c().await.map_err(Error::Setup)?;
        println!("\nstopping");
        Ok(())
    }

    fn print_addresses(&self) {
        println!("object API    {}", self.store.address());
        println!("servers       {}", self.servers.len());
        for running in &self.daemons {
            let cfg = &running.daemon.cfg;
            println!(
                "{}  callers {}  operators {}",
                cfg.name,
                cfg.caller_listen,
                operator_address(cfg)
            );
        }
        let address = self.caller_address(0);
        println!("\nA request with a streamed answer:\n");
        println!(
            "  curl -sN http://{address}/v1/chat/completions -H 'Authorization: Bearer {KEY}' \
             -H 'Content-Type: application/json' -d '{}'",
            chat_request("The ramp at the east door is iced over.")
        );
        let operators = operator_address(&self.daemons[0].daemon.cfg);
        println!("\nThe state of the budget, and the table:\n");
        println!("  bankcove --server {operators} --token {OPERATOR_TOKEN} budget show dispatch");
        println!("  bankcove --server {operators} --token {OPERATOR_TOKEN} table get");
        println!("\nPress ctrl-C to stop.");
    }

    async fn send_requests(&self) -> Result<()> {
        for n in 0..REQUESTS {
            let answer = self.send_request(n).await?;
            println!("{} answered: {answer}", self.daemons[n as usize % DAEMONS].daemon.cfg.name);
        }
        let statement = self.statement().await?;
        println!(
            "budget '{WORKSPACE}': {} tokens, {} spent, {} left ({} of them held by daemons)",
            statement.total,
            statement.spent,
            statement.left(),
            statement.held
        );
        let unavailable = statement.unaccounted();
        if unavailable != 0 {
            println!("{unavailable} are reserved, in transit, or at daemons that have ended");
        }
        Ok(())
    }

    async fn send_request(&self, n: u32) -> Result<String> {
        let url = format!("http://{}/v1/chat/completions", self.caller_address(n));
        let body = chat_request(&format!("Summarise the handover of shift {n}."));
        let req = self.http.post(url).bearer_auth(KEY).json(&body);
        let res = req.send().await.map_err(|e| Error::Demo(e.to_string()))?;
        let text = res.text().await.map_err(|e| Error::Demo(e.to_string()))?;
        if !text.contains("[DONE]") {
            return Err(Error::Demo(text));
        }
        Ok(stream_text(&text))
    }

    async fn statement(&self) -> Result<Statement> {
        #[derive(Deserialize)]
        struct BudgetResponse {
            statement: Statement,
        }

        let cfg = &self.daemons[0].daemon.cfg;
        let url = format!("http://{}/v1/budgets/{WORKSPACE}", operator_address(cfg));
        let req = self.http.get(url).bearer_auth(OPERATOR_TOKEN);
        let res = req.send().await.map_err(|e| Error::Demo(e.to_string()))?;
        let response: BudgetResponse = res.json().await.map_err(|e| Error::Demo(e.to_string()))?;
        Ok(response.statement)
    }

    async fn stop(self) {
        let stopping = self.daemons.into_iter().map(lifecycle::RunningDaemon::stop);
        futures::future::join_all(stopping).await;
    }
}

/// Starts the stand-ins and returns the example table with their addresses as servers.
async fn start_servers() -> Result<(Table, Vec<RunningStandIn>)> {
    let mut table: Table = serde_json::from_str(TABLE)
        .map_err(|e| Error::Demo(format!("examples/vaasa.json: {e}")))?;
    let mut servers = Vec::new();
    for row in &mut table.servers {
        let running = match row.kind {
            bankcove_core::table::ServerKind::Model => {
                engine::start("127.0.0.1:0", Settings::default()).await
            }
            bankcove_core::table::ServerKind::Service => service::start("127.0.0.1:0").await,
        };
        let running = running.map_err(Error::Setup)?;
        row.address = running.address().to_string();
        servers.push(running);
    }
    for row in &mut table.workspaces {
        if row.name.as_str() == WORKSPACE {
            row.keys_sha256 = vec![hash_key(KEY)];
        }
    }
    Ok((table, servers))
}

/// Returns the address on which operators connect to a daemon of the demo.
fn operator_address(cfg: &Config) -> &str {
    cfg.operator_listen.as_deref().unwrap_or_default()
}

/// Returns the settings of the `n`th daemon.
fn settings(n: usize, table: &Table, store: &str, ports: &Ports) -> Result<Config> {
    let hall = table.halls[n % table.halls.len()].name.clone();
    Ok(Config {
        name: Name::from(format!("entry-{n}")),
        hall,
        caller_listen: address_of(&ports.callers)?,
        peer_listen: address_of(&ports.peers)?,
        operator_listen: Some(address_of(&ports.operators)?),
        operator_token: Some(OPERATOR_TOKEN.to_owned()),
        store: store.to_owned(),
        adapter: bankcoved::base::config::Adapter::Own,
        entry: None,
        ..Config::example()
    })
}

/// Ports of one daemon. They stay bound until the daemon listens on them: otherwise another
/// program or an outgoing connection could get them in the meantime.
struct Ports {
    callers: TcpSocket,
    peers: TcpSocket,
    operators: TcpSocket,
}

impl Ports {
    fn reserve() -> Result<Self> {
        Ok(Ports { callers: reserve_port()?, peers: reserve_port()?, operators: reserve_port()? })
    }
}

/// Binds a free port, on which a socket with `SO_REUSEADDR` can still listen.
fn reserve_port() -> Result<TcpSocket> {
    let reserve = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        Ok(socket)
    };
    reserve().map_err(Error::Setup)
}

fn address_of(socket: &TcpSocket) -> Result<String> {
    Ok(socket.local_addr().map_err(Error::Setup)?.to_string())
}

fn chat_request(prompt: &str) -> Value {
    json!({
        "model": "dispatch-8b", "stream": true, "max_tokens": 12,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Returns the text of a streamed answer.
fn stream_text(stream: &str) -> String {
    let data = stream.lines().filter_map(|line| line.strip_prefix("data: "));
    let pieces = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let texts = pieces.map(|piece| {
        piece["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
    });
    texts.collect()
}
