//! Assembly of a daemon from its layers. Only `lifecycle` and the code that serves operators and
//! peers get the whole daemon; each lower layer gets the parts that it depends on.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bankcove_core::Incarnation;
use bankcove_core::router::Router;
use bankcove_core::table::Table;
use bankcove_ports::{Client, Connections, Store};
use parking_lot::Mutex;
use reqwest::redirect::Policy;
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
use crate::entry::Entry;
use crate::error::Result;
use crate::fleet::Fleet;
use crate::hints::Hints;
use crate::membership::Membership;
use crate::paths::Paths;
use crate::peer::PeerPool;
use crate::requests::RequestContext;
use crate::requests::gathering::GatherMemory;
use crate::requests::held_answers::AnswerMemory;
use crate::requests::held_bodies::BodyMemory;
use crate::requests::stream_versions::StreamVersions;
use crate::rollouts::Rollouts;
use crate::view::View;

/// A daemon with all its state.
pub struct Daemon {
    pub cfg: Arc<Config>,
    /// Identifier of this incarnation of the daemon.
    pub incarnation: Incarnation,
    pub clock: Clock,
    pub log: Logger,
    pub metrics: Metrics,
    /// The platform's store.
    pub store: Store,
    /// Connections to backend servers of bankcove's own interface.
    pub connections: Connections,
    /// Table in force; `None` until the first one is adopted.
    pub table: Arc<ArcSwapOption<Table>>,
    /// Routing state of the backend servers.
    pub router: Arc<Mutex<Router>>,
    /// Table and lists as read from the platform or received from peers.
    pub view: Arc<View>,
    /// The known peers, and recent contact with them and the store.
    pub fleet: Fleet,
    /// Budgets that this daemon holds, and budget shards that it owns.
    pub budgets: Arc<Budgets>,
    /// Pending bills, and the tasks of the request log.
    pub billing: Arc<Billing>,
    /// Connections to peers.
    pub peers: Arc<PeerPool>,
    /// Crashes of backend servers, and the requests that they were running.
    pub crashes: Arc<Crashes>,
    /// Hints of backend servers, and the permits derived from their limits.
    pub hints: Arc<Hints>,
    /// Rollouts that were ordered, and the outcomes of requests by version.
    pub rollouts: Arc<Rollouts>,
    /// Network paths to the backend servers.
    pub paths: Arc<Paths>,
    /// Heartbeats and the state sent with them.
    pub membership: Arc<Membership>,
    /// State for serving callers' requests.
    pub requests: Arc<RequestContext>,
    /// The entry proxy, once it is started; without the `entry` settings there is none.
    pub entry: OnceLock<Arc<Entry>>,
    /// Cancelled when background tasks must end.
    pub shutdown: CancellationToken,
}

impl Daemon {
    /// Creates a daemon that does not serve requests yet.
    ///
    /// # Errors
    /// [`crate::Error::Setup`] when the process can't be set up.
    pub fn new(cfg: Config, log: Logger) -> Result<Arc<Self>> {
        let store = Store::new(Client::new(&cfg.store));
        Daemon::with_store(cfg, log, store)
    }

    /// Creates a daemon on the platform of `store` that does not serve requests yet.
    ///
    /// # Errors
    /// [`crate::Error::Setup`] when the process can't be set up.
    pub fn with_store(cfg: Config, log: Logger, store: Store) -> Result<Arc<Self>> {
        let incarnation = Incarnation(rand::random());
        let connect_timeout = Duration::from_millis(cfg.limits.peer_timeout_ms);
        let connections = Connections::new(connect_timeout);
        let base = Base {
            incarnation,
            clock: Clock::start(),
            log: log.clone(),
            metrics: Metrics::new(cfg.metrics.as_deref())?,
            peers: Arc::default(),
            shutdown: CancellationToken::new(),
            cfg: Arc::new(cfg),
        };
        let cfg = Arc::clone(&base.cfg);
        let fleet = Fleet::new(base.clone());
        let router = Arc::<Mutex<Router>>::default();
        let paths = Arc::new(Paths::new(fleet.clone(), Arc::clone(&router)));
        let hints = Hints::new(fleet.clone(), Arc::clone(&router));
        let crashes =
            Crashes::new(fleet.clone(), Arc::clone(&router), Arc::clone(&paths), store.clone());
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
            order_client(connect_timeout),
            Arc::clone(&table),
            Arc::clone(&router),
        ));
        let rollouts = Arc::new(Rollouts::new(fleet.clone(), store.clone()));
        let (crashes, hints) = (Arc::new(crashes), Arc::new(hints));
        let membership = Membership::new(
            Arc::clone(&view),
            Arc::clone(&crashes),
            Arc::clone(&hints),
            Arc::clone(&rollouts),
            Arc::clone(&paths),
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
            rollouts: Arc::clone(&rollouts),
            paths: Arc::clone(&paths),
            stream_versions: Arc::new(StreamVersions::new(
                fleet.clone(),
                Arc::clone(&router),
                Arc::clone(&table),
                store.clone(),
            )),
            unread_changed: Arc::clone(&membership.unread_changed),
            leaving,
            latest_end: Mutex::new(None),
            stopping,
            in_flight: TaskTracker::new(),
            body_memory: BodyMemory::new(base.clone()),
            answer_memory: Arc::new(AnswerMemory::new(base.clone())),
            gather_memory: GatherMemory::new(base.clone()),
        };
        Ok(Arc::new(Daemon {
            clock: base.clock,
            metrics: base.metrics,
            store,
            connections,
            table,
            router,
            fleet,
            budgets,
            billing: Arc::new(billing),
            peers: base.peers,
            hints,
            rollouts,
            crashes,
            view,
            paths,
            membership: Arc::new(membership),
            requests: Arc::new(requests),
            entry: OnceLock::new(),
            shutdown: base.shutdown,
            incarnation,
            log,
            cfg,
        }))
    }

    /// Returns the revision of the table in force; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.requests.revision()
    }
}

/// Returns the client for orders to backend servers. It keeps no connections: a copy of an earlier answer
/// would be taken for the answer to an order, which names nothing by which they are told apart. It follows
/// no redirects: another address answers for itself.
///
/// # Panics
/// Panics if the client can't be built, which happens only in a broken build.
fn order_client(connect_timeout: Duration) -> reqwest::Client {
    let client = reqwest::Client::builder().no_proxy().connect_timeout(connect_timeout);
    let client = client.pool_max_idle_per_host(0).redirect(Policy::none());
    client.build().expect("an HTTP client without TLS requires no system configuration")
}
