//! Shell around membership: the host list and the heartbeats.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Name;
use bankcove_core::members::{Heartbeat, Host, HostRole, HostState, Peer};
use xxhash_rust::xxh3::xxh3_64;

use crate::daemon::Daemon;
use crate::{server_sync, table_sync};

/// Takes in a heartbeat that was received or answered.
pub fn heard(daemon: &Arc<Daemon>, heartbeat: &Heartbeat) {
    let now = daemon.clock.now();
    daemon.members.lock().heard(now, heartbeat);
    daemon.contact.store_heard_by_peer(now, heartbeat.store_heard_ms);
    if heartbeat.revision > daemon.revision() {
        let daemon = Arc::clone(daemon);
        let address = heartbeat.address.clone();
        tokio::spawn(async move { table_sync::fetch_from_peer(&daemon, &address).await });
    }
    if heartbeat.servers_version > daemon.servers.lock().version() {
        let daemon = Arc::clone(daemon);
        let address = heartbeat.address.clone();
        tokio::spawn(async move { server_sync::fetch_from_peer(&daemon, &address).await });
    }
}

/// Sends heartbeats until the daemon ends.
pub async fn send_heartbeats(daemon: Arc<Daemon>) {
    let interval = Duration::from_millis(daemon.cfg.limits.heartbeat_ms);
    loop {
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
    daemon.contact.heartbeat(answer.is_some());
    match answer {
        Some(heartbeat) => heard(daemon, &heartbeat),
        None => daemon.members.lock().failed(&peer.name),
    }
}

/// Reads the platform's host list until the daemon ends.
pub async fn follow_host_list(daemon: Arc<Daemon>) {
    let interval = Duration::from_millis(daemon.cfg.limits.host_list_ms);
    loop {
        read_host_list(&daemon).await;
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = daemon.ended.cancelled() => return,
        }
    }
}

/// Reads the platform's host list once: from the store when this daemon reads
/// it for its hall, else from a peer that does.
pub async fn read_host_list(daemon: &Arc<Daemon>) {
    let readers = store_readers(daemon);
    let hosts = match readers {
        Ok(()) => daemon.store.api().hosts().await.ok(),
        Err(peers) => host_list_of_peers(daemon, &peers).await,
    };
    match hosts {
        Some(hosts) => take_host_list(daemon, hosts),
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
async fn host_list_of_peers(daemon: &Arc<Daemon>, peers: &[Peer]) -> Option<Vec<Host>> {
    let known = daemon.hosts.load().hash;
    let timeout = Duration::from_millis(daemon.cfg.limits.peer_timeout_ms);
    for peer in peers {
        let ask = |client: crate::peer::PeerServiceClient, cx| async move {
            client.hosts_unless(cx, known).await
        };
        match daemon.peers.call(&peer.address, timeout, ask).await {
            Some(hosts) => return hosts,
            None => daemon.members.lock().failed(&peer.name),
        }
    }
    None
}

fn take_host_list(daemon: &Arc<Daemon>, hosts: Vec<Host>) {
    let leaving: Vec<Name> = hosts
        .iter()
        .filter(|host| host.role == HostRole::Server && host.state == HostState::Leaving)
        .map(|host| host.name.clone())
        .collect();
    daemon.members.lock().host_list(&hosts);
    daemon.router.lock().listed_leaving(&leaving);
    daemon.hosts.store(Arc::new(HostList::new(hosts)));
}

/// The platform's host list as last read.
#[derive(Debug, Default)]
pub struct HostList {
    /// Hash of the lines; 0 before the first list.
    pub hash: u64,
    /// The lines.
    pub hosts: Vec<Host>,
}

impl HostList {
    fn new(hosts: Vec<Host>) -> Self {
        let text = serde_json::to_vec(&hosts).unwrap_or_default();
        HostList { hash: xxh3_64(&text), hosts }
    }
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
