//! One daemon: its layers, put together. What serves callers, operators and peers is handed this;
//! the layers below know each only what it is built from.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use bankcove_core::Incarnation;
use bankcove_core::router::Router;
use bankcove_core::table::Table;
use bankcove_ports::{Client, Store};
use parking_lot::Mutex;
use slog::Logger;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::base::Base;
use crate::base::clock::Clock;
use crate::base::config::Config;
use crate::base::metrics::Metrics;
use crate::bill::billing::Billing;
use crate::budget::budgets::Budgets;
use crate::crashes::Crashes;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::hints::Hints;
use crate::membership::Membership;
use crate::peer::PeerPool;
use crate::requests::RequestContext;
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
    /// What requests of callers are served with.
    pub requests: Arc<RequestContext>,
    /// Cancelled when background tasks are to end.
    pub ended: CancellationToken,
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
        let budgets = Arc::new(budgets);
        let requests = RequestContext {
            base: base.clone(),
            fleet: fleet.clone(),
            table: Arc::clone(&table),
            router: Arc::clone(&router),
            budgets: Arc::clone(&budgets),
            crashes: Arc::clone(&crashes),
            hints: Arc::clone(&hints),
            unread_changed: Arc::clone(&membership.unread_changed),
            leaving,
            latest_end: Mutex::new(None),
            stopping,
            in_flight: TaskTracker::new(),
        };
        Ok(Arc::new(Daemon {
            clock: base.clock,
            metrics: base.metrics,
            store,
            http,
            table,
            router,
            fleet,
            budgets,
            billing: Arc::new(billing),
            peers: base.peers,
            hints,
            crashes,
            view,
            membership: Arc::new(membership),
            requests: Arc::new(requests),
            ended: base.ended,
            incarnation,
            log,
            cfg,
        }))
    }

    /// Revision of the table in force; 0 when there is none yet.
    pub fn revision(&self) -> u64 {
        self.requests.revision()
    }
}
