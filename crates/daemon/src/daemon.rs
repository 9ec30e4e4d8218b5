//! One daemon: its layers, put together. What serves callers, operators and peers is handed this;
//! the layers below know each only what it is built from.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwapOption;
use bankcove_core::router::Router;
use bankcove_core::table::Table;
use bankcove_core::{AttemptId, Incarnation, Millis};
use bankcove_ports::{Client, Store};
use parking_lot::Mutex;
use slog::Logger;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::base::Base;
use crate::bill::billing::Billing;
use crate::budget::budgets::Budgets;
use crate::clock::Clock;
use crate::config::Config;
use crate::crashes::Crashes;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::hints::Hints;
use crate::membership::Membership;
use crate::metrics::Metrics;
use crate::peer::PeerPool;
use crate::view::View;

/// One daemon.
pub struct Daemon {
    /// Its settings.
    pub cfg: Arc<Config>,
    /// This start of it.
    pub incarnation: Incarnation,
    /// Its clocks.
    pub clock: Clock,
    /// Its logger.
    pub log: Logger,
    /// Its metrics.
    pub metrics: Metrics,
    /// The platform's store.
    pub store: Store,
    /// Connections to backend servers.
    pub http: reqwest::Client,
    /// The table in force; none until the first one is adopted.
    pub table: Arc<ArcSwapOption<Table>>,
    /// The routing state.
    pub router: Arc<Mutex<Router>>,
    /// What is known of the platform.
    pub view: Arc<View>,
    /// The other daemons.
    pub fleet: Fleet,
    /// Budgets held and shards owned.
    pub budgets: Arc<Budgets>,
    /// Bills that wait for the store.
    pub billing: Arc<Billing>,
    /// Connections to peers.
    pub peers: Arc<PeerPool>,
    /// What is known of servers that crashed, and under which requests.
    pub crashes: Arc<Crashes>,
    /// The limits that servers name, and the permits that follow from them.
    pub hints: Arc<Hints>,
    /// Heartbeats, and what else is told with them.
    pub membership: Arc<Membership>,
    /// Cancelled when the platform's balancer is to send no new connections;
    /// requests are still taken then.
    pub leaving: CancellationToken,
    /// In a planned stop, the time by which a request that is still taken has
    /// to be expected to end.
    pub last_end: Mutex<Option<Millis>>,
    /// Cancelled when a planned stop takes no more requests.
    pub stopping: CancellationToken,
    /// Cancelled when background tasks are to end.
    pub ended: CancellationToken,
    /// Requests in flight.
    pub work: TaskTracker,
    attempts: AtomicU64,
}

impl Daemon {
    /// A daemon that serves nothing yet.
    ///
    /// # Errors
    /// [`crate::Error::Setup`] when the process can't be set up.
    pub fn new(cfg: Config, log: Logger) -> Result<Arc<Self>> {
        let store = Store::new(Client::new(&cfg.store));
        Daemon::with_store(cfg, log, store)
    }

    /// A daemon that serves nothing yet, on the platform of this store.
    ///
    /// # Errors
    /// [`crate::Error::Setup`] when the process can't be set up.
    pub fn with_store(cfg: Config, log: Logger, store: Store) -> Result<Arc<Self>> {
        let incarnation = Incarnation(rand::random());
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(std::time::Duration::from_millis(cfg.limits.peer_timeout_ms))
            .build()
            .map_err(|e| crate::Error::Setup(std::io::Error::other(e.to_string())))?;
        let base = Base {
            incarnation,
            clock: Clock::start(),
            log: log.clone(),
            metrics: Metrics::new(cfg.metrics.as_deref())?,
            peers: Arc::default(),
            ended: CancellationToken::new(),
            cfg: Arc::new(cfg),
        };
        let cfg = Arc::clone(&base.cfg);
        let fleet = Fleet::new(base.clone());
        let router = Arc::<Mutex<Router>>::default();
        let hints = Hints::new(fleet.clone(), Arc::clone(&router));
        let crashes = Crashes::new(fleet.clone(), Arc::clone(&router), store.clone());
        let table = Arc::<ArcSwapOption<Table>>::default();
        let (leaving, stopping) = (CancellationToken::new(), CancellationToken::new());
        let budgets = Budgets::new(
            fleet.clone(),
            store.clone(),
            Arc::clone(&table),
            leaving.clone(),
            stopping.clone(),
        );
        let view = Arc::new(View::new(
            fleet.clone(),
            store.clone(),
            http.clone(),
            Arc::clone(&table),
            Arc::clone(&router),
        ));
        let (crashes, hints) = (Arc::new(crashes), Arc::new(hints));
        let membership = Membership::new(
            Arc::clone(&view),
            Arc::clone(&crashes),
            Arc::clone(&hints),
            stopping.clone(),
        );
        let billing = Billing::new(fleet.clone(), store.clone());
        Ok(Arc::new(Daemon {
            clock: base.clock,
            metrics: base.metrics,
            store,
            http,
            table,
            router,
            fleet,
            budgets: Arc::new(budgets),
            billing: Arc::new(billing),
            peers: base.peers,
            hints,
            crashes,
            view,
            membership: Arc::new(membership),
            leaving,
            last_end: Mutex::new(None),
            stopping,
            ended: base.ended.clone(),
            work: TaskTracker::new(),
            attempts: AtomicU64::new(0),
            incarnation,
            log,
            cfg,
        }))
    }

    /// Identity for a new attempt.
    pub fn next_attempt(&self) -> AttemptId {
        let sequence = self.attempts.fetch_add(1, Ordering::Relaxed);
        AttemptId { incarnation: self.incarnation, sequence }
    }

    /// Revision of the table in force; 0 when there is none yet.
    pub fn revision(&self) -> u64 {
        self.table.load().as_ref().map_or(0, |table| table.revision)
    }
}
