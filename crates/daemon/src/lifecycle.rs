//! Life cycle of a daemon: start, serving and graceful shutdown.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use salvo::affix_state;
use salvo::prelude::*;
use tokio::signal::unix::{SignalKind, signal};

use bankcove_core::Millis;
use bankcove_core::link;
use bankcove_core::members::{Host, HostRole, HostState};
use bankcove_platform::headers::Headers;
use bankcove_platform::store::ObjectStore;
use bankcove_ports::{Client, Store};

use crate::api::{Api, backend, chat, proxy};
use crate::args::{Args, Command};
use crate::base::config::{Adapter, Config};
use crate::base::{logging, store_calls, tcp};
use crate::bill::bills;
use crate::budget::{draws, rebalance};
use crate::crashes::persistence;
use crate::daemon::Daemon;
use crate::entry::{self, Entry};
use crate::error::{Error, Result};
use crate::fleet::suspension;
use crate::http::{HttpListener, serve, serve_with_backlog};
use crate::membership::{self, unread_reports};
use crate::paths::probe;
use crate::requests::stream_versions::admission;
use crate::view::{hall_sync, host_list, server_sync, table_sync};
use crate::{hints, operator, peer_server, rollouts};

/// Interval at which a graceful shutdown checks for unrecorded bills.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long a graceful shutdown waits for an unavailable store to give tokens back, in
/// milliseconds.
const RETIRE_TIMEOUT_MS: Millis = 30_000;

/// Part of a graceful shutdown's time that is reserved for the steps after giving tokens back,
/// in milliseconds: the host is withdrawn from the list, and the end is logged before the
/// process is killed.
const CLOSE_RESERVE_MS: Millis = 300;

/// Interval between attempts to give tokens back.
const RETIRE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// How long a starting daemon waits to read the platform's list before it announces itself: the
/// entry of an earlier incarnation may still be there. A read takes some 10 ms.
const LIST_TIMEOUT: Duration = Duration::from_millis(300);

/// Greatest age of a list, relative to this start, at which it counts as current, in
/// milliseconds. An older one may stem from an earlier incarnation on this host that has since
/// been shut down gracefully. Peers of a fleet that lost power together read the list up to a
/// second before this start.
const MAX_LIST_AGE_AT_START_MS: i64 = 1_000;

/// Interval between attempts to announce this host to the platform.
const ANNOUNCE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How long the HTTP listeners may take to close their idle connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the daemon or the command that the arguments select.
///
/// # Errors
/// Errors to print on the command line.
pub fn run(args: Args) -> Result<()> {
    if args.print_defaults {
        let text = serde_json::to_string_pretty(&Config::example()).unwrap_or_default();
        println!("{text}");
        return Ok(());
    }
    if let Some(Command::Check { file }) = args.command {
        Config::read(&file)?;
        println!("{}: no fault found", file.display());
        return Ok(());
    }
    let path = args.config.unwrap_or_default();
    let cfg = Config::read(&path)?;
    let runtime = match cfg.adapter {
        Adapter::Own => tokio::runtime::Builder::new_multi_thread().enable_all().build(),
        // The users' hosts have one visible core, and waking further threads costs time.
        Adapter::Objects => tokio::runtime::Builder::new_current_thread().enable_all().build(),
    };
    runtime.map_err(Error::Setup)?.block_on(serve_until_signal(cfg, &path))
}

/// Runs a daemon until SIGTERM or SIGINT; SIGHUP reloads its settings.
async fn serve_until_signal(cfg: Config, path: &Path) -> Result<()> {
    let mut reload = signal(SignalKind::hangup()).map_err(Error::Setup)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Setup)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Setup)?;
    let log = logging::json(&cfg);
    let store = match cfg.adapter {
        Adapter::Own => Store::new(Client::new(&cfg.store)),
        Adapter::Objects => Store::new(ObjectStore::new(&cfg.store)),
    };
    let running = RunningDaemon::start(Daemon::with_store(cfg, log, store)?).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => running.reload(path),
        }
    }
    running.stop().await;
    Ok(())
}

/// A running daemon.
pub struct RunningDaemon {
    pub daemon: Arc<Daemon>,
    entry: Option<Arc<Entry>>,
    listeners: Vec<HttpListener>,
}

impl RunningDaemon {
    /// Starts all listeners and background tasks of a daemon.
    ///
    /// # Errors
    /// [`Error::Listen`] when a port can't be listened on.
    pub async fn start(daemon: Arc<Daemon>) -> Result<Self> {
        peer_server::serve(Arc::clone(&daemon)).await?;
        let mut listeners = Vec::new();
        let mut started = None;
        if let Some(address) = &daemon.cfg.operator_listen {
            listeners.push(serve(address, operator::router(Arc::clone(&daemon))).await?);
        }
        match daemon.cfg.entry.clone() {
            Some(settings) => {
                let wire = Arc::new(Headers);
                let (requests, view) = (Arc::clone(&daemon.requests), Arc::clone(&daemon.view));
                let entry = Entry::new(requests, view, wire, settings);
                daemon.entry.get_or_init(|| Arc::clone(&entry));
                listeners.extend(start_entry(&daemon, Arc::clone(&entry)).await?);
                entry::tunnels::serve(Arc::clone(&entry))?;
                let streams = &daemon.requests.stream_versions;
                tokio::spawn(admission::keep_admitted(Arc::clone(streams)));
                tokio::spawn(admission::remove_unused(Arc::clone(streams)));
                started = Some(entry);
            }
            None => {
                let (requests, billing) =
                    (Arc::clone(&daemon.requests), Arc::clone(&daemon.billing));
                let api = Api::new(requests, billing, daemon.connections.clone());
                let callers = caller_router(Arc::clone(&api));
                listeners.push(serve(&daemon.cfg.caller_listen, callers).await?);
                tokio::spawn(backend::poll_load_reports(api));
                tokio::spawn(bills::retry_pending(Arc::clone(&daemon.billing)));
            }
        }
        if daemon.cfg.limits.witnesses == 0 {
            // Without sealed grants, a holder that crashes loses all tokens that it holds.
            tokio::spawn(rebalance::rebalance(Arc::clone(&daemon.budgets)));
        }
        tokio::spawn(store_calls::report(daemon.fleet.base.clone(), daemon.store.clone()));
        tokio::spawn(keep_announced(Arc::clone(&daemon)));
        tokio::spawn(host_list::poll_host_list(Arc::clone(&daemon.view)));
        tokio::spawn(membership::send_heartbeats(Arc::clone(&daemon.membership)));
        tokio::spawn(membership::send_triggered_heartbeats(Arc::clone(&daemon.membership)));
        tokio::spawn(unread_reports::send_on_change(Arc::clone(&daemon.membership)));
        tokio::spawn(persistence::persist_blocks(Arc::clone(&daemon.crashes)));
        tokio::spawn(Arc::clone(&daemon.crashes).decide());
        tokio::spawn(Arc::clone(&daemon.crashes).send_facts());
        hints::gossip::spawn_sender(&daemon.hints);
        hints::slots::report::spawn(&daemon.hints.slots);
        tokio::spawn(suspension::watch(daemon.fleet.clone()));
        tokio::spawn(probe::run(Arc::clone(&daemon.paths)));
        tokio::spawn(table_sync::watch(Arc::clone(&daemon.view)));
        tokio::spawn(server_sync::watch(Arc::clone(&daemon.view)));
        if daemon.cfg.follows_evacuations() {
            tokio::spawn(hall_sync::watch(Arc::clone(&daemon.view)));
        }
        if daemon.cfg.rollout_fraction().is_some() {
            tokio::spawn(rollouts::sync::watch(Arc::clone(&daemon.rollouts)));
            tokio::spawn(rollouts::report::report(Arc::clone(&daemon.rollouts)));
        }
        let membership = Arc::clone(&daemon.membership);
        tokio::spawn(async move { membership::contact_seed_peers(&membership).await });
        slog::info!(daemon.log, "serving";
            "incarnation" => %daemon.incarnation, "callers" => &daemon.cfg.caller_listen);
        Ok(RunningDaemon { daemon, entry: started, listeners })
    }

    /// Reloads the settings. Settings for serving callers take effect at once; addresses and all
    /// others take effect at the next start.
    fn reload(&self, path: &Path) {
        let daemon = &self.daemon;
        let cfg = match Config::read(path) {
            Ok(cfg) => cfg,
            Err(e) => {
                // The report lists all faults; the settings in force are kept.
                let report = format!("{:?}", miette::Report::new(e));
                slog::error!(daemon.log, "settings not reloaded"; "why" => report);
                return;
            }
        };
        let is_changed = cfg != *daemon.cfg;
        if let (Some(entry), Some(settings)) = (&self.entry, cfg.entry) {
            entry.reload(settings);
        }
        slog::info!(daemon.log, "settings reloaded"; "changed" => is_changed);
    }

    /// Shuts down gracefully: requests in flight are finished, and all held tokens are given
    /// back except those that requests in flight may still spend.
    pub async fn stop(self) {
        let daemon = &self.daemon;
        let deadline = daemon.clock.now() + daemon.cfg.limits.stop_timeout_ms;
        let finished = match &daemon.cfg.entry {
            Some(entry) => {
                entry::stop::drain(&daemon.requests, Duration::from_secs_f64(entry.stop_grace_s))
                    .await
            }
            None => drain(daemon, deadline).await,
        };
        // Announces to peers at once that this daemon accepts no new requests.
        let ((), retired) =
            tokio::join!(membership::send_round(&daemon.membership), retire(daemon, deadline));
        if let Err(e) = daemon.store.withdraw(&own_host(daemon)).await {
            slog::warn!(daemon.log, "failed to withdraw this host from the list"; "error" => %e);
        }
        slog::info!(daemon.log, "stopped"; "finished" => finished, "retired" => retired,
            "open" => daemon.requests.in_flight.len(), "reserved" => daemon.budgets.holder().total_reserved(),
            "bills_waiting" => daemon.billing.pending_entries());
        // Open requests may run until the platform kills the process. At the deadline the
        // listeners are stopped.
        let _all_ended = daemon.clock.timeout_at(deadline, daemon.requests.in_flight.wait()).await;
        self.listeners.iter().for_each(|listener| listener.handle.stop_graceful(CLOSE_TIMEOUT));
        // The listeners' tasks end by themselves; a failed task counts as ended.
        let ends = self.listeners.into_iter().map(|listener| listener.task);
        let _ended = tokio::time::timeout(CLOSE_TIMEOUT * 2, futures::future::join_all(ends)).await;
        daemon.shutdown.cancel();
    }
}

/// Stops accepting requests and waits until those in flight have ended and their bills are
/// recorded. Returns whether all requests have ended.
async fn drain(daemon: &Arc<Daemon>, deadline: Millis) -> bool {
    slog::info!(daemon.log, "stopping"; "in_flight" => daemon.requests.in_flight.len());
    daemon.requests.stopping.cancel();
    daemon.requests.in_flight.close();
    let finished =
        daemon.clock.timeout_at(deadline, daemon.requests.in_flight.wait()).await.is_some();
    while daemon.billing.pending_entries() > 0 && daemon.clock.now() < deadline {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    finished
}

/// Starts the listeners for a platform with a protocol of its own.
async fn start_entry(daemon: &Arc<Daemon>, entry: Arc<Entry>) -> Result<Vec<HttpListener>> {
    let mut listeners = Vec::new();
    if let Some(address) = &entry.settings.metrics_listen {
        listeners.push(serve(address, operator::metrics_router(Arc::clone(daemon))).await?);
    }
    let ready = entry::ready::ready_router(Arc::clone(&entry));
    listeners.push(serve(&entry.settings.ready_listen, ready).await?);
    let callers = entry::serve::router(Arc::clone(&entry));
    let (mbps, queue_ms) = (entry.settings.link_mbps, entry.settings.connect_queue_ms);
    let backlog = link::backlog(mbps, queue_ms, tcp::MAX_BACKLOG);
    listeners.push(serve_with_backlog(&daemon.cfg.caller_listen, callers, backlog).await?);
    Ok(listeners)
}

fn own_host(daemon: &Daemon) -> Host {
    Host {
        name: daemon.cfg.name.clone(),
        hall: daemon.cfg.hall.clone(),
        address: daemon.cfg.peer_address().to_owned(),
        role: HostRole::Daemon,
        state: HostState::Live,
    }
}

/// Keeps this host on the platform's list: checks each list that is read, and announces the
/// host if it is missing. An earlier incarnation may have left it on the list.
async fn keep_announced(daemon: Arc<Daemon>) {
    let host = own_host(&daemon);
    let check_interval = Duration::from_millis(daemon.cfg.limits.host_list_ms);
    // An earlier incarnation that was shut down gracefully withdrew the host before it ended.
    let mut known_since = -MAX_LIST_AGE_AT_START_MS;
    let mut is_announced = false;
    // Continues with the list or, after the timeout, without it.
    let _unread =
        tokio::time::timeout(LIST_TIMEOUT, host_list::wait_for_host_list(&daemon.view)).await;
    loop {
        let list = daemon.view.hosts.load_full();
        let is_known_missing = list.is_read_since(known_since);
        let is_listed = list.contains_since(&host, known_since);
        let is_store_unavailable =
            daemon.fleet.connectivity.is_store_unavailable(daemon.clock.now());
        let mut pause = check_interval;
        if !is_listed && (is_known_missing || !is_announced) {
            pause = ANNOUNCE_RETRY_INTERVAL;
            if !is_store_unavailable {
                is_announced = announce_host(&daemon, &host).await;
                known_since = daemon.clock.now() as i64;
            }
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            // A graceful shutdown withdraws the host, which must not be announced again.
            () = daemon.requests.leaving.cancelled() => return,
            () = daemon.shutdown.cancelled() => return,
        }
    }
}

/// Announces this host to the platform; returns whether it succeeded.
async fn announce_host(daemon: &Daemon, host: &Host) -> bool {
    let announced = daemon.store.announce(host).await;
    if let Err(e) = &announced {
        slog::warn!(daemon.log, "failed to announce this host; retrying"; "error" => %e);
    }
    announced.is_ok()
}

/// Gives all held tokens back to the store, and retries while the store is unavailable. Returns
/// whether it succeeded.
async fn retire(daemon: &Arc<Daemon>, deadline: Millis) -> bool {
    let deadline =
        deadline.saturating_sub(CLOSE_RESERVE_MS).min(daemon.clock.now() + RETIRE_TIMEOUT_MS);
    loop {
        if draws::retire(&daemon.budgets).await {
            return true;
        }
        if daemon.clock.now() >= deadline {
            return false;
        }
        tokio::time::sleep(RETIRE_RETRY_INTERVAL).await;
    }
}

fn caller_router(api: Arc<Api>) -> Router {
    Router::new()
        .hoop(affix_state::inject(api))
        .push(Router::with_path("v1/chat/completions").post(chat::complete))
        .push(Router::with_path("v1/models").get(chat::list_models))
        .push(Router::with_path("{**rest}").goal(proxy::forward))
}
