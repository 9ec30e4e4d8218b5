//! Shell around membership: the host list and the heartbeats.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::members::{Heartbeat, Host, HostRole, HostState, Peer};
use bankcove_core::{Millis, Name};
use serde::{Deserialize, Serialize};
use tokio::sync::Semaphore;
use xxhash_rust::xxh3::xxh3_64;

use crate::daemon::Daemon;
use crate::{server_sync, table_sync};

/// A daemon that learns of changes from peers asks the store itself once its view
/// is older than this, in milliseconds: readers hear of the store each 1.5 s at
/// least, heartbeats take another 0.5 to 1 s, and changes are to be in force
/// everywhere within 2 to 3 s.
const STALE_VIEW_MS: Millis = 2_500;

/// Each daemon that stands further back in the order of readers waits this much
/// longer, in milliseconds, so that a few step in for readers that are gone, not
/// all at once.
const STALE_VIEW_STEP_MS: Millis = 50;

/// The most that all of those steps come to, in milliseconds.
const STALE_VIEW_STEPS_MS: Millis = 500;

/// All hosts of a fleet start, and are listed, within this time: the users' do so
/// within 0.3 s, and write for some 0.1 s.
const FLEET_START: Duration = Duration::from_millis(1_000);

/// Fetches of the table, or of the list, at once: a second peer is asked when the
/// first is slow or gone.
const FETCHES: usize = 2;

/// Bounds how often the same news are fetched at once.
#[derive(Debug)]
pub struct Fetches {
    table: Semaphore,
    servers: Semaphore,
}

impl Default for Fetches {
    fn default() -> Self {
        Fetches { table: Semaphore::new(FETCHES), servers: Semaphore::new(FETCHES) }
    }
}

/// Takes in a heartbeat that was received or answered.
pub fn heard(daemon: &Arc<Daemon>, heartbeat: &Heartbeat) {
    let now = daemon.clock.now();
    daemon.members.lock().heard(now, heartbeat);
    daemon.router.lock().heard_paces(&heartbeat.paces);
    daemon.contact.store_heard_by_peer(now, heartbeat.store_heard_ms);
    if knows_all_of(daemon, heartbeat) {
        caught_up(daemon, heartbeat, now);
        return;
    }
    let (daemon, heartbeat) = (Arc::clone(daemon), heartbeat.clone());
    tokio::spawn(async move {
        fetch_news(&daemon, &heartbeat).await;
        if knows_all_of(&daemon, &heartbeat) {
            caught_up(&daemon, &heartbeat, now);
        }
    });
}

/// Whether this daemon's table and list are no older than the sender's.
fn knows_all_of(daemon: &Daemon, heartbeat: &Heartbeat) -> bool {
    let servers_version = daemon.servers.lock().version();
    heartbeat.revision <= daemon.revision() && heartbeat.servers_version <= servers_version
}

fn caught_up(daemon: &Daemon, heartbeat: &Heartbeat, told_at: Millis) {
    if let Some(age) = heartbeat.view_age_ms {
        daemon.contact.caught_up(told_at, age);
    }
}

/// Fetches what the sender of a heartbeat knows newer.
async fn fetch_news(daemon: &Arc<Daemon>, heartbeat: &Heartbeat) {
    if heartbeat.revision > daemon.revision()
        && let Ok(_running) = daemon.fetches.table.try_acquire()
    {
        table_sync::fetch_from_peer(daemon, &heartbeat.address).await;
    }
    if heartbeat.servers_version > daemon.servers.lock().version()
        && let Ok(_running) = daemon.fetches.servers.try_acquire()
    {
        server_sync::fetch_from_peer(daemon, &heartbeat.address).await;
    }
}

/// Whether peers tell this daemon of changes in the store, so that it need not
/// ask itself: others of its hall do, and their word is recent.
pub fn is_told_by_peers(daemon: &Daemon) -> bool {
    let rank = daemon.members.lock().reader_rank(&daemon.cfg.hall);
    let Some(behind) = rank.checked_sub(daemon.cfg.limits.store_readers) else { return false };
    let steps = (behind as Millis * STALE_VIEW_STEP_MS).min(STALE_VIEW_STEPS_MS);
    !daemon.contact.is_view_older_than(STALE_VIEW_MS + steps, daemon.clock.now())
}

/// Sends heartbeats until the daemon ends.
pub async fn send_heartbeats(daemon: Arc<Daemon>) {
    let interval = Duration::from_millis(daemon.cfg.limits.heartbeat_ms);
    loop {
        daemon.router.lock().forget_old_news(daemon.clock.now());
        beat(&daemon).await;
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = daemon.ended.cancelled() => return,
        }
    }
}

/// Sends one round of heartbeats to a few peers.
pub async fn beat(daemon: &Arc<Daemon>) {
    let fanout = daemon.cfg.limits.heartbeat_fanout;
    let targets = daemon.members.lock().heartbeat_targets(fanout, rand::random());
    futures::future::join_all(targets.iter().map(|peer| beat_one(daemon, peer))).await;
}

async fn beat_one(daemon: &Arc<Daemon>, peer: &Peer) {
    let timeout = Duration::from_millis(daemon.cfg.limits.peer_timeout_ms);
    let mine = daemon.heartbeat();
    let beat = |client: crate::peer::PeerServiceClient, cx| async move {
        client.heartbeat(cx, mine).await
    };
    let answer = daemon.peers.call(&peer.address, timeout, beat).await;
    if daemon.contact.heartbeat(answer.is_some()) {
        slog::info!(daemon.log, "peers regained"; "first" => %peer.name);
        daemon.members.lock().forgive();
    }
    match answer {
        Some(heartbeat) => heard(daemon, &heartbeat),
        None => daemon.members.lock().failed(&peer.name),
    }
}

/// Reads the platform's host list until the daemon ends.
pub async fn follow_host_list(daemon: Arc<Daemon>) {
    let interval = Duration::from_millis(daemon.cfg.limits.host_list_ms);
    // In a start of the whole fleet others are not listed yet at the first read.
    let mut pauses = [FLEET_START.min(interval)].into_iter();
    loop {
        read_host_list(&daemon).await;
        tokio::select! {
            () = tokio::time::sleep(pauses.next().unwrap_or(interval)) => {}
            () = daemon.ended.cancelled() => return,
        }
    }
}

/// Reads the platform's host list once: from the store when this daemon reads
/// it for its hall, else from a peer that does.
pub async fn read_host_list(daemon: &Arc<Daemon>) {
    let asked_at = daemon.clock.now() as i64;
    let list = match store_readers(daemon) {
        Ok(()) => {
            let hosts = daemon.store.hosts().await.ok();
            hosts.map(|hosts| HostList::new(hosts, asked_at))
        }
        Err(peers) => host_list_of_peers(daemon, &peers).await,
    };
    match list {
        Some(list) => take_host_list(daemon, list),
        None => slog::debug!(daemon.log, "host list not read"),
    }
}

/// Whether this daemon reads the store for its hall; else the peers that do.
///
/// # Errors
/// The peers to ask instead.
pub fn store_readers(daemon: &Daemon) -> Result<(), Vec<Peer>> {
    let count = daemon.cfg.limits.store_readers;
    daemon.members.lock().reads_store_for(&daemon.cfg.hall, count)
}

/// The host list of the first of these peers that answers; none when it is the
/// one known already.
async fn host_list_of_peers(daemon: &Arc<Daemon>, peers: &[Peer]) -> Option<HostList> {
    let known = daemon.hosts.load().hash;
    let timeout = Duration::from_millis(daemon.cfg.limits.peer_timeout_ms);
    for peer in peers {
        let ask = |client: crate::peer::PeerServiceClient, cx| async move {
            client.hosts_unless(cx, known).await
        };
        let asked_at = daemon.clock.now() as i64;
        match daemon.peers.call(&peer.address, timeout, ask).await {
            Some(told) => {
                let told = told?;
                return Some(HostList::new(told.hosts, asked_at - told.age_ms));
            }
            None => daemon.members.lock().failed(&peer.name),
        }
    }
    None
}

/// Takes a list, unless it is older than the one that is known: a peer that has lost the
/// store still tells the list that it read last, and hosts that are there since then
/// would be taken for gone.
fn take_host_list(daemon: &Arc<Daemon>, list: HostList) {
    let known = daemon.hosts.load();
    if known.is_read() && list.read_at < known.read_at {
        slog::info!(daemon.log, "older host list not taken"; "hosts" => list.hosts.len());
        return;
    }
    let hosts = &list.hosts;
    let leaving: Vec<Name> = hosts
        .iter()
        .filter(|host| host.role == HostRole::Server && host.state == HostState::Leaving)
        .map(|host| host.name.clone())
        .collect();
    daemon.members.lock().host_list(hosts);
    daemon.router.lock().listed_leaving(&leaving);
    daemon.hosts.store(Arc::new(list));
}

/// The platform's host list as last read.
#[derive(Debug, Default)]
pub struct HostList {
    /// Hash of the lines; 0 before the first list.
    pub hash: u64,
    /// The lines.
    pub hosts: Vec<Host>,
    /// When the store was asked for them, by this daemon's clock, in milliseconds; below
    /// 0 when that was before this daemon started.
    read_at: i64,
}

impl HostList {
    fn new(hosts: Vec<Host>, read_at: i64) -> Self {
        let text = serde_json::to_vec(&hosts).unwrap_or_default();
        HostList { hash: xxh3_64(&text), hosts, read_at }
    }

    fn is_read(&self) -> bool {
        self.hash != 0
    }

    /// The list for a peer that knows the one with `hash`; none when it is the same, or
    /// none was read yet.
    pub fn unless(&self, hash: u64, now: Millis) -> Option<HostsTold> {
        let is_news = self.is_read() && self.hash != hash;
        is_news.then(|| HostsTold { hosts: self.hosts.clone(), age_ms: now as i64 - self.read_at })
    }
}

/// The platform's host list, as a peer tells it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostsTold {
    hosts: Vec<Host>,
    /// How long ago the store was asked for it, in milliseconds.
    age_ms: i64,
}

/// Makes the peers of the settings known, for a start without the platform.
pub async fn greet_seed_peers(daemon: &Arc<Daemon>) {
    let timeout = Duration::from_millis(daemon.cfg.limits.peer_timeout_ms);
    for address in &daemon.cfg.seed_peers {
        let mine = daemon.heartbeat();
        let beat = |client: crate::peer::PeerServiceClient, cx| async move {
            client.heartbeat(cx, mine).await
        };
        if let Some(heartbeat) = daemon.peers.call(address, timeout, beat).await {
            heard(daemon, &heartbeat);
        }
    }
}
