//! The life of a daemon: start, serve, planned stop.

use std::sync::Arc;
use std::time::Duration;

use salvo::affix_state;
use salvo::prelude::*;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

use crate::args::{Args, Command};
use crate::config::Config;
use crate::daemon::Daemon;
use crate::error::{Error, Result};
use crate::http::{Side, serve};
use crate::{
    backend, billing, budgets, chat, logging, membership, operator, peer, proxy, table_sync,
};

/// Pause between two looks while a planned stop waits.
const STOP_POLL: Duration = Duration::from_millis(50);

/// How long a planned stop waits for a store that is away, to give tokens back.
const RETIRE_PATIENCE: Duration = Duration::from_secs(30);

/// Pause between two tries to give tokens back.
const RETIRE_RETRY: Duration = Duration::from_millis(500);

/// How long the sides may take to close their idle connections.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Does what the arguments ask for.
///
/// # Errors
/// What the person at the command line has to be told.
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
    let cfg = Config::read(&args.config.unwrap_or_default())?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.map_err(Error::Setup)?.block_on(serve_until_signal(cfg))
}

async fn serve_until_signal(cfg: Config) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Setup)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Setup)?;
    let log = logging::json(&cfg);
    let running = Running::start(Daemon::new(cfg, log)?).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    running.stop().await;
    Ok(())
}

/// A daemon that serves.
pub struct Running {
    /// Its state.
    pub daemon: Arc<Daemon>,
    callers: Side,
    operators: Side,
}

impl Running {
    /// Starts every side and background task of a daemon.
    ///
    /// # Errors
    /// [`Error::Listen`] when a port can't be listened on.
    pub async fn start(daemon: Arc<Daemon>) -> Result<Self> {
        peer::serve(Arc::clone(&daemon)).await?;
        let operators =
            serve(&daemon.cfg.operator_listen, operator::router(Arc::clone(&daemon))).await?;
        let callers = serve(&daemon.cfg.caller_listen, caller_router(Arc::clone(&daemon))).await?;
        tokio::spawn(membership::follow_host_list(Arc::clone(&daemon)));
        tokio::spawn(membership::send_heartbeats(Arc::clone(&daemon)));
        tokio::spawn(table_sync::watch(Arc::clone(&daemon)));
        tokio::spawn(backend::follow_load(Arc::clone(&daemon)));
        tokio::spawn(billing::hand_over(Arc::clone(&daemon)));
        let greeter = Arc::clone(&daemon);
        tokio::spawn(async move { membership::greet_seed_peers(&greeter).await });
        slog::info!(daemon.log, "serving";
            "incarnation" => %daemon.incarnation, "callers" => &daemon.cfg.caller_listen);
        Ok(Running { daemon, callers, operators })
    }

    /// Stops as planned: nothing in flight is cut, and everything held is
    /// given back.
    pub async fn stop(self) {
        let daemon = &self.daemon;
        let limit = Duration::from_millis(daemon.cfg.limits.stop_timeout_ms);
        let deadline = Instant::now() + limit;
        slog::info!(daemon.log, "stopping"; "in_flight" => daemon.work.len());
        daemon.stopping.cancel();
        // Peers learn at once that this daemon takes nothing new.
        membership::beat(daemon).await;
        daemon.work.close();
        let finished = tokio::time::timeout_at(deadline, daemon.work.wait()).await.is_ok();
        while daemon.billing.waiting() > 0 && Instant::now() < deadline {
            tokio::time::sleep(STOP_POLL).await;
        }
        let retired = retire(daemon, deadline).await;
        self.callers.handle.stop_graceful(CLOSE_TIMEOUT);
        self.operators.handle.stop_graceful(CLOSE_TIMEOUT);
        // The sides end by themselves; a failed task has ended as well.
        let _ended = tokio::time::timeout(CLOSE_TIMEOUT * 2, self.callers.task).await;
        daemon.ended.cancel();
        slog::info!(daemon.log, "stopped"; "finished" => finished, "retired" => retired,
            "bills_waiting" => daemon.billing.waiting());
    }
}

/// Gives everything held back to the store; again while the store is away.
async fn retire(daemon: &Arc<Daemon>, deadline: Instant) -> bool {
    let deadline = deadline.min(Instant::now() + RETIRE_PATIENCE);
    loop {
        if budgets::retire(daemon).await {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        tokio::time::sleep(RETIRE_RETRY).await;
    }
}

fn caller_router(daemon: Arc<Daemon>) -> Router {
    Router::new()
        .hoop(affix_state::inject(daemon))
        .push(Router::with_path("v1/chat/completions").post(chat::complete))
        .push(Router::with_path("v1/models").get(chat::list_models))
        .push(Router::with_path("{**rest}").goal(proxy::forward))
}
