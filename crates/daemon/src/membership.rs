//! Heartbeats between daemons, and the synchronization that they trigger.
//!
//! Owns the rounds of heartbeats and the reports sent between them (`unread_reports`). May call
//! `view`, `crashes`, `hints`, `rollouts`, `fleet` and peers; called by `peer_server` and the startup code. The
//! layers below trigger heartbeats by a notification in `fleet`, so that they need not call this
//! one.

pub mod unread_reports;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::members::{Heartbeat, Peer};
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::crashes::Crashes;
use crate::fleet::Fleet;
use crate::fleet::fetch_throttle::FetchThrottle;
use crate::hints::Hints;
use crate::paths::Paths;
use crate::rollouts::Rollouts;
use crate::view::{View, hall_sync, server_sync, table_sync};

/// Number of servers whose pace one heartbeat reports, in some 100 bytes. A daemon receives twelve
/// heartbeats a second, so that it gets a report on each of 140 servers every 3 s.
const PACES_PER_HEARTBEAT: usize = 4;

/// Pause between two rounds of heartbeats to the seed peers while a starting daemon waits for a
/// table.
const SEED_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Maximum number of concurrent fetches of the table, and of the server list: a second peer is
/// asked if the first is slow or down.
const MAX_FETCHES: usize = 2;

/// Minimum interval between two fetches of the server list, in milliseconds. A daemon of a large
/// fleet receives a dozen heartbeats a second; while thousands of servers start, each of them
/// announces a newer list.
const MIN_LIST_FETCH_INTERVAL_MS: Millis = 200;

/// Limits fetches of the same object from several peers.
#[derive(Debug)]
pub struct Fetches {
    table: Semaphore,
    servers: Semaphore,
    servers_throttle: FetchThrottle,
}

impl Default for Fetches {
    fn default() -> Self {
        Fetches {
            table: Semaphore::new(MAX_FETCHES),
            servers: Semaphore::new(MAX_FETCHES),
            servers_throttle: FetchThrottle::default(),
        }
    }
}

/// State that heartbeats announce and update.
pub struct Membership {
    /// This daemon's view of the fleet.
    pub fleet: Fleet,
    /// This daemon's view of the table and of the platform's lists.
    pub view: Arc<View>,
    /// Crash state of this daemon.
    pub crashes: Arc<Crashes>,
    /// Hints of backend servers.
    pub hints: Arc<Hints>,
    /// Rollouts that were ordered.
    pub rollouts: Arc<Rollouts>,
    /// Network paths to the backend servers.
    pub paths: Arc<Paths>,
    /// Notified when the number of prompt tokens that servers still have to read for this daemon
    /// has changed.
    pub unread_changed: Arc<Notify>,
    /// Number of reports on unread prompt tokens that were sent to peers.
    unread_reports_sent: AtomicU64,
    fetches: Fetches,
    stopping: CancellationToken,
}

impl Membership {
    /// Creates the state before the first heartbeat.
    pub fn new(
        view: Arc<View>,
        crashes: Arc<Crashes>,
        hints: Arc<Hints>,
        rollouts: Arc<Rollouts>,
        paths: Arc<Paths>,
        stopping: CancellationToken,
    ) -> Self {
        Membership {
            fleet: view.fleet.clone(),
            view,
            crashes,
            hints,
            rollouts,
            paths,
            unread_changed: Arc::default(),
            unread_reports_sent: AtomicU64::new(0),
            fetches: Fetches::default(),
            stopping,
        }
    }

    /// Returns a heartbeat that describes this daemon's current state.
    pub fn heartbeat(&self) -> Heartbeat {
        // Takes one lock after the other. A guard within the struct literal below would be held
        // until its end and could deadlock with an adoption, which takes these two locks in the
        // opposite order.
        let servers_version = self.view.servers.lock().version();
        let evacuated = self.view.halls.lock().evacuated().clone();
        let rollouts = self.rollouts.orders();
        let first_pace = rand::random_range(0..usize::MAX);
        let paces = self.view.router.lock().paces(PACES_PER_HEARTBEAT, first_pace);
        Heartbeat {
            name: self.fleet.base.cfg.name.clone(),
            hall: self.fleet.base.cfg.hall.clone(),
            incarnation: self.fleet.base.incarnation,
            address: self.fleet.base.cfg.peer_address().to_owned(),
            revision: self.view.revision(),
            servers_version,
            evacuated,
            rollouts,
            stopping: self.stopping.is_cancelled(),
            store_heard_ms: self.fleet.connectivity.store_age(self.fleet.base.clock.now()),
            view_age_ms: self.fleet.connectivity.view_age(self.fleet.base.clock.now()),
            paces,
            crashes_digest: self.crashes.digest(),
            hints_digest: self.hints.digest(),
            paths: self.paths.report(),
        }
    }
}

/// Processes a heartbeat that a peer sent as a request. Its transmission time is unknown, so the
/// ages in it are not used: counted from their receipt, they grew more slowly than time passed,
/// and a fleet that was cut off from the store never noticed. If the sender seems to be current
/// and this daemon is not, this daemon sends it a heartbeat in turn, whose response has usable
/// ages.
pub fn handle_heartbeat(membership: &Arc<Membership>, heartbeat: &Heartbeat) {
    merge_heartbeat(membership, heartbeat);
    let current_age = membership.fleet.view_bounds.current_age();
    let seems_current = heartbeat.view_age_ms.is_some_and(|age| age < current_age);
    let (membership, heartbeat) = (Arc::clone(membership), heartbeat.clone());
    if is_synced_with(&membership, &heartbeat) && (!seems_current || membership.fleet.is_current())
    {
        return;
    }
    tokio::spawn(async move {
        fetch_newer(&membership, &heartbeat).await;
        if seems_current && !membership.fleet.is_current() {
            send_heartbeat_to(&membership, &heartbeat.address).await;
        }
    });
}

/// Processes a peer's response to a heartbeat sent at `asked_at`. The ages in it are counted from
/// then, so they are not underestimated.
fn handle_response(membership: &Arc<Membership>, heartbeat: &Heartbeat, asked_at: Millis) {
    merge_heartbeat(membership, heartbeat);
    membership.fleet.connectivity.record_peer_store_age(asked_at, heartbeat.store_heard_ms);
    if is_synced_with(membership, heartbeat) {
        record_peer_sync(membership, heartbeat, asked_at);
        return;
    }
    let (membership, heartbeat) = (Arc::clone(membership), heartbeat.clone());
    tokio::spawn(async move {
        fetch_newer(&membership, &heartbeat).await;
        if is_synced_with(&membership, &heartbeat) {
            record_peer_sync(&membership, &heartbeat, asked_at);
        }
    });
}

/// Merges the parts of a heartbeat that are valid however long it was in transit.
fn merge_heartbeat(membership: &Arc<Membership>, heartbeat: &Heartbeat) {
    hall_sync::merge_from_peer(&membership.view, &heartbeat.evacuated);
    membership.rollouts.merge_from_peer(&heartbeat.rollouts);
    membership.crashes.fetch_if_digest_differs(&heartbeat.address, heartbeat.crashes_digest);
    membership.hints.fetch_if_digest_differs(&heartbeat.address, heartbeat.hints_digest);
    membership.fleet.members.lock().record_heartbeat(membership.fleet.base.clock.now(), heartbeat);
    membership.view.router.lock().merge_paces(&heartbeat.paces);
    membership.paths.merge_report();
}

/// Returns whether this daemon's table and server list are no older than the sender's.
fn is_synced_with(membership: &Membership, heartbeat: &Heartbeat) -> bool {
    let servers_version = membership.view.servers.lock().version();
    heartbeat.revision <= membership.view.revision() && heartbeat.servers_version <= servers_version
}

/// Records that this daemon has all versions of a peer that answered a heartbeat sent at
/// `asked_at`.
fn record_peer_sync(membership: &Arc<Membership>, heartbeat: &Heartbeat, asked_at: Millis) {
    let Some(age) = heartbeat.view_age_ms else { return };
    let was_current = membership.fleet.is_current();
    membership.fleet.connectivity.record_peer_sync(asked_at, age);
    membership.fleet.announce_if_current_again(was_current);
}

/// Fetches the table and the server list from the sender of a heartbeat where its versions are
/// newer.
async fn fetch_newer(membership: &Arc<Membership>, heartbeat: &Heartbeat) {
    if heartbeat.revision > membership.view.revision()
        && let Ok(_running) = membership.fetches.table.try_acquire()
    {
        table_sync::fetch_from_peer(&membership.view, &heartbeat.address).await;
    }
    if heartbeat.servers_version > membership.view.servers.lock().version()
        && let Ok(_running) = membership.fetches.servers.try_acquire()
        && membership
            .fetches
            .servers_throttle
            .try_acquire(membership.fleet.base.clock.now(), MIN_LIST_FETCH_INTERVAL_MS)
    {
        server_sync::fetch_from_peer(&membership.view, &heartbeat.address).await;
    }
}

/// Sends a round of heartbeats at each interval, and removes expired records, until the daemon
/// ends.
pub async fn send_heartbeats(membership: Arc<Membership>) {
    let interval = Duration::from_millis(membership.fleet.base.cfg.limits.heartbeat_ms);
    let mut rank = membership.fleet.store_read_policy().rank;
    loop {
        membership
            .view
            .router
            .lock()
            .remove_expired_unread_reports(membership.fleet.base.clock.now());
        check_version_news(&membership);
        membership.crashes.remove_expired();
        membership.hints.remove_expired();
        send_round(&membership).await;
        let rank_now = membership.fleet.store_read_policy().rank;
        if std::mem::replace(&mut rank, rank_now) != rank_now {
            membership.fleet.recheck_sync.notify_waiters();
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = membership.fleet.base.shutdown.cancelled() => return,
        }
    }
}

/// Checks whether this daemon may have missed versions of servers.
fn check_version_news(membership: &Membership) {
    let now = membership.fleet.base.clock.now();
    let news_age = membership.fleet.connectivity.news_age(now);
    membership.view.router.lock().check_version_news(now, news_age);
}

/// Sends an additional round of heartbeats whenever one is triggered, until the daemon ends. A
/// round that waits for a silent peer delays no other round.
pub async fn send_triggered_heartbeats(membership: Arc<Membership>) {
    loop {
        tokio::select! {
            () = membership.fleet.heartbeat_now.notified() => {}
            () = membership.fleet.base.shutdown.cancelled() => return,
        }
        let membership = Arc::clone(&membership);
        tokio::spawn(async move { send_round(&membership).await });
    }
}

/// Sends one round of heartbeats to a few peers.
pub async fn send_round(membership: &Arc<Membership>) {
    let fanout = membership.fleet.base.cfg.limits.heartbeat_fanout;
    let targets = membership.fleet.members.lock().heartbeat_targets(fanout, rand::random());
    futures::future::join_all(targets.iter().map(|peer| send_heartbeat(membership, peer))).await;
}

/// Sends a heartbeat to a peer, processes the response and records whether there was one.
async fn send_heartbeat(membership: &Arc<Membership>, peer: &Peer) {
    let timeout = Duration::from_millis(membership.fleet.base.cfg.limits.peer_timeout_ms);
    let own_heartbeat = membership.heartbeat();
    let request = |client: crate::peer::PeerServiceClient, cx| async move {
        client.heartbeat(cx, own_heartbeat).await
    };
    let asked_at = membership.fleet.base.clock.now();
    let response = membership.fleet.base.peers.call(&peer.address, timeout, request).await;
    if membership.fleet.connectivity.record_heartbeat_outcome(response.is_some()) {
        slog::info!(membership.fleet.base.log, "peers regained"; "first" => %peer.name);
        membership.fleet.members.lock().clear_failures();
    }
    match response {
        Some(heartbeat) => handle_response(membership, &heartbeat, asked_at),
        None => membership.fleet.members.lock().record_failure(&peer.name),
    }
}

/// Exchanges heartbeats with the seed peers, so that a daemon can start without the platform, and
/// repeats this until it has a table or its wait for peers at startup is over.
pub async fn contact_seed_peers(membership: &Arc<Membership>) {
    let me = membership.fleet.base.cfg.peer_address();
    let seeds: Vec<&String> =
        membership.fleet.base.cfg.seed_peers.iter().filter(|seed| *seed != me).collect();
    loop {
        futures::future::join_all(seeds.iter().map(|seed| send_heartbeat_to(membership, seed)))
            .await;
        if membership.view.revision() > 0 || !membership.fleet.is_in_startup_wait() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(SEED_RETRY_PAUSE) => {}
            () = membership.fleet.base.shutdown.cancelled() => return,
        }
    }
}

/// Sends a heartbeat to an address and processes the response.
async fn send_heartbeat_to(membership: &Arc<Membership>, address: &str) {
    let timeout = Duration::from_millis(membership.fleet.base.cfg.limits.peer_timeout_ms);
    let own_heartbeat = membership.heartbeat();
    let request = |client: crate::peer::PeerServiceClient, cx| async move {
        client.heartbeat(cx, own_heartbeat).await
    };
    let asked_at = membership.fleet.base.clock.now();
    // A missing response is no failure: seed peers may be gone, and the host list names the
    // current peers.
    if let Some(heartbeat) = membership.fleet.base.peers.call(address, timeout, request).await {
        handle_response(membership, &heartbeat, asked_at);
    }
}
