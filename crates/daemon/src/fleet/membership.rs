//! Shell around membership: heartbeats, and what they tell of others.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::members::{Heartbeat, Peer};
use bankcove_core::standing::STALE_VIEW_MS;
use tokio::sync::Semaphore;

use crate::daemon::Daemon;
use crate::fleet::{awaits_peers, is_told_by_peers, standing};
use crate::view::{hall_sync, server_sync, table_sync};

/// Longest time until a daemon that waits for the store notices that peers tell of it.
const TOLD_POLL: Duration = Duration::from_millis(200);

/// Pause between two rounds of greetings while a start waits for a table.
const GREET_RETRY: Duration = Duration::from_millis(150);

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

/// Takes in a heartbeat that a peer sent by itself. How long it was under way is not known,
/// so that the ages in it say nothing: counted from when they are taken in they grew by less
/// than time passes, and a fleet that was cut from the store never noticed. A sender that
/// seems to be current when this daemon is not is asked.
pub fn heard(daemon: &Arc<Daemon>, heartbeat: &Heartbeat) {
    take_in(daemon, heartbeat);
    let seems_current = heartbeat.view_age_ms.is_some_and(|age| age < STALE_VIEW_MS);
    let (daemon, heartbeat) = (Arc::clone(daemon), heartbeat.clone());
    if knows_all_of(&daemon, &heartbeat) && (!seems_current || is_current(&daemon)) {
        return;
    }
    tokio::spawn(async move {
        fetch_news(&daemon, &heartbeat).await;
        if seems_current && !is_current(&daemon) {
            greet(&daemon, &heartbeat.address).await;
        }
    });
}

/// Takes in a peer's answer to a heartbeat that was sent at `asked_at`: no age in it is
/// younger than from then.
fn answered(daemon: &Arc<Daemon>, heartbeat: &Heartbeat, asked_at: Millis) {
    take_in(daemon, heartbeat);
    daemon.contact.store_heard_by_peer(asked_at, heartbeat.store_heard_ms);
    if knows_all_of(daemon, heartbeat) {
        caught_up(daemon, heartbeat, asked_at);
        return;
    }
    let (daemon, heartbeat) = (Arc::clone(daemon), heartbeat.clone());
    tokio::spawn(async move {
        fetch_news(&daemon, &heartbeat).await;
        if knows_all_of(&daemon, &heartbeat) {
            caught_up(&daemon, &heartbeat, asked_at);
        }
    });
}

fn take_in(daemon: &Arc<Daemon>, heartbeat: &Heartbeat) {
    hall_sync::heard(daemon, &heartbeat.evacuated);
    daemon.crashes.heard_digest(&heartbeat.address, heartbeat.crashes_digest);
    daemon.limits.heard_digest(&heartbeat.address, heartbeat.limits_digest);
    daemon.members.lock().heard(daemon.clock.now(), heartbeat);
    daemon.router.lock().heard_paces(&heartbeat.paces);
}

/// Whether this daemon's table and list are no older than the sender's.
fn knows_all_of(daemon: &Daemon, heartbeat: &Heartbeat) -> bool {
    let servers_version = daemon.servers.lock().version();
    heartbeat.revision <= daemon.revision() && heartbeat.servers_version <= servers_version
}

fn caught_up(daemon: &Arc<Daemon>, heartbeat: &Heartbeat, asked_at: Millis) {
    let Some(age) = heartbeat.view_age_ms else { return };
    let was_current = is_current(daemon);
    daemon.contact.caught_up(asked_at, age);
    pass_on_return(daemon, was_current);
}

/// Whether what this daemon knows of the table and the servers is recent enough for those
/// that it is told by peers.
pub fn is_current(daemon: &Daemon) -> bool {
    !daemon.contact.is_view_older_than(STALE_VIEW_MS, daemon.clock.now())
}

/// Tells neighbours at once when this daemon has become current again: after an outage the
/// word of one reader is with 300 daemons in some 50 ms, in place of 1.5 s by heartbeats,
/// before most of them have asked the store themselves.
pub fn pass_on_return(daemon: &Arc<Daemon>, was_current: bool) {
    if was_current || !is_current(daemon) {
        return;
    }
    let daemon = Arc::clone(daemon);
    tokio::spawn(async move { beat(&daemon).await });
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

/// Waits, after so many `failures` in a row, until it is time to look whether the store is
/// back, or peers tell of it.
pub async fn pause_without_store(daemon: &Daemon, failures: u32) {
    let pause = standing(daemon).probe_pause(failures, rand::random());
    let until = daemon.clock.now() + pause;
    loop {
        let left = daemon.clock.left(until);
        tokio::select! {
            () = tokio::time::sleep(left.min(TOLD_POLL)) => {}
            () = daemon.ended.cancelled() => return,
        }
        if daemon.clock.now() >= until || is_told_by_peers(daemon) {
            return;
        }
    }
}

/// Sends heartbeats until the daemon ends.
pub async fn send_heartbeats(daemon: Arc<Daemon>) {
    let interval = Duration::from_millis(daemon.cfg.limits.heartbeat_ms);
    loop {
        daemon.router.lock().forget_old_news(daemon.clock.now());
        daemon.crashes.forget_old();
        daemon.limits.forget_old();
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
    let asked_at = daemon.clock.now();
    let answer = daemon.peers.call(&peer.address, timeout, beat).await;
    if daemon.contact.heartbeat(answer.is_some()) {
        slog::info!(daemon.log, "peers regained"; "first" => %peer.name);
        daemon.members.lock().forgive();
    }
    match answer {
        Some(heartbeat) => answered(daemon, &heartbeat, asked_at),
        None => daemon.members.lock().failed(&peer.name),
    }
}

/// Makes the peers of the settings known, for a start without the platform, and hears of
/// what they know until this daemon has a table, or reads it by itself.
pub async fn greet_seed_peers(daemon: &Arc<Daemon>) {
    let me = daemon.cfg.peer_address();
    let seeds: Vec<&String> = daemon.cfg.seed_peers.iter().filter(|seed| *seed != me).collect();
    loop {
        futures::future::join_all(seeds.iter().map(|seed| greet(daemon, seed))).await;
        if daemon.revision() > 0 || !awaits_peers(daemon) {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(GREET_RETRY) => {}
            () = daemon.ended.cancelled() => return,
        }
    }
}

/// Sends a heartbeat to an address and takes in the answer.
async fn greet(daemon: &Arc<Daemon>, address: &str) {
    let timeout = Duration::from_millis(daemon.cfg.limits.peer_timeout_ms);
    let mine = daemon.heartbeat();
    let beat = |client: crate::peer::PeerServiceClient, cx| async move {
        client.heartbeat(cx, mine).await
    };
    let asked_at = daemon.clock.now();
    // Peers of the settings may be gone; the list tells of others.
    if let Some(heartbeat) = daemon.peers.call(address, timeout, beat).await {
        answered(daemon, &heartbeat, asked_at);
    }
}
