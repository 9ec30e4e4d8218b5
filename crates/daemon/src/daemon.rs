//! The state that all parts of a daemon share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use bankcove_core::hall_list::HallList;
use bankcove_core::members::{Heartbeat, Members};
use bankcove_core::router::Router;
use bankcove_core::server_list::ServerList;
use bankcove_core::table::Table;
use bankcove_core::{AttemptId, Incarnation, Millis};
use bankcove_ports::{Client, Store};
use parking_lot::Mutex;
use slog::Logger;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::base::Base;
use crate::bill::billing::Billing;
use crate::bill::request_log::RequestLogs;
use crate::budget::budgets::Budgets;
use crate::clock::Clock;
use crate::config::Config;
use crate::crashes::Crashes;
use crate::error::Result;
use crate::fleet::health::Contact;
use crate::fleet::membership::Fetches;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::peer::PeerPool;
use crate::view::host_list::HostList;
use crate::view::unreadable::UnreadableEntries;

/// Servers whose pace one heartbeat tells: some 100 bytes. A daemon hears twelve
/// heartbeats a second, so that one of 140 servers is told of every 3 s.
const PACES_PER_HEARTBEAT: usize = 4;

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
    pub table: ArcSwapOption<Table>,
    /// The routing state.
    pub router: Arc<Mutex<Router>>,
    /// The backend servers that the platform lists.
    pub servers: Mutex<ServerList>,
    /// Halls that take no new work.
    pub halls: Mutex<HallList>,
    /// Entries of the store that can't be read, each told once.
    pub unreadable: UnreadableEntries,
    /// The other daemons.
    pub members: Arc<Mutex<Members>>,
    /// The platform's host list as last read.
    pub hosts: ArcSwap<HostList>,
    /// Budgets held and shards owned.
    pub budgets: Budgets,
    /// Shards of the request log.
    pub requests: RequestLogs,
    /// Bills that wait for the store.
    pub billing: Billing,
    /// Connections to peers.
    pub peers: Arc<PeerPool>,
    /// Whom this daemon has heard of late.
    pub contact: Arc<Contact>,
    /// What is known of servers that crashed, and under which requests.
    pub crashes: Arc<Crashes>,
    /// The limits that servers name, and the permits that follow from them.
    pub limits: Arc<Limits>,
    /// Fetches of what a peer knows newer.
    pub fetches: Fetches,
    /// Told when what servers have to read for this daemon has changed.
    pub unread_changed: Notify,
    /// Rounds of news of that which were told to peers.
    pub news_told: AtomicU64,
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
        let members = Arc::new(Mutex::new(Members::new(cfg.name.clone())));
        let router = Arc::<Mutex<Router>>::default();
        let contact = Arc::new(Contact::new(cfg.follows_evacuations()));
        let limits = Limits::new(base.clone(), Arc::clone(&members), Arc::clone(&router));
        let crashes = Crashes::new(
            base.clone(),
            Arc::clone(&members),
            Arc::clone(&router),
            Arc::clone(&contact),
            store.clone(),
        );
        Ok(Arc::new(Daemon {
            clock: base.clock,
            metrics: base.metrics,
            store,
            http,
            table: ArcSwapOption::empty(),
            router,
            servers: Mutex::new(ServerList::default()),
            halls: Mutex::new(HallList::default()),
            unreadable: UnreadableEntries::default(),
            members,
            hosts: ArcSwap::from_pointee(HostList::default()),
            budgets: Budgets::new(incarnation),
            requests: RequestLogs::default(),
            billing: Billing::default(),
            peers: base.peers,
            limits: Arc::new(limits),
            contact,
            crashes: Arc::new(crashes),
            fetches: Fetches::default(),
            unread_changed: Notify::new(),
            news_told: AtomicU64::new(0),
            leaving: CancellationToken::new(),
            last_end: Mutex::new(None),
            stopping: CancellationToken::new(),
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

    /// What this daemon says of itself.
    pub fn heartbeat(&self) -> Heartbeat {
        // One lock after the other: a guard within the value below would be kept until
        // its end, and an adoption, which takes these two the other way round, would wait
        // for this heartbeat as it waits for the adoption.
        let servers_version = self.servers.lock().version();
        let evacuated = self.halls.lock().told().clone();
        let first_pace = rand::random_range(0..usize::MAX);
        let paces = self.router.lock().paces(PACES_PER_HEARTBEAT, first_pace);
        Heartbeat {
            name: self.cfg.name.clone(),
            hall: self.cfg.hall.clone(),
            incarnation: self.incarnation,
            address: self.cfg.peer_address().to_owned(),
            revision: self.revision(),
            servers_version,
            evacuated,
            stopping: self.stopping.is_cancelled(),
            store_heard_ms: self.contact.store_age(self.clock.now()),
            view_age_ms: self.contact.view_age(self.clock.now()),
            paces,
            crashes_digest: self.crashes.digest(),
            limits_digest: self.limits.digest(),
        }
    }
}
