//! Heartbeats, and what they tell of others.
//!
//! Owns the rounds of heartbeats and what is told between them (`unread_news`). May call `view`,
//! `crashes`, `limits`, `fleet` and peers; called by `peer_server` and the start. What is to be
//! told at once reaches it by the notice in `fleet`, so that the layers below need not call it.

pub mod unread_news;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::members::{Heartbeat, Peer};
use bankcove_core::store_read_policy::STALE_VIEW_MS;
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

use crate::crashes::Crashes;
use crate::fleet::Fleet;
use crate::hints::Hints;
use crate::view::{View, hall_sync, server_sync, table_sync};

/// Servers whose pace one heartbeat tells: some 100 bytes. A daemon hears twelve
/// heartbeats a second, so that one of 140 servers is told of every 3 s.
const PACES_PER_HEARTBEAT: usize = 4;

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

/// What takes part in heartbeats.
pub struct Membership {
    /// The other daemons.
    pub fleet: Fleet,
    /// What this daemon knows of the platform.
    pub view: Arc<View>,
    /// What it knows of crashes.
    pub crashes: Arc<Crashes>,
    /// What it knows of limits.
    pub hints: Arc<Hints>,
    /// Told when what servers have to read for this daemon has changed.
    pub unread_changed: Arc<Notify>,
    /// Rounds of news of that which were told to peers.
    news_told: AtomicU64,
    fetches: Fetches,
    stopping: CancellationToken,
}

impl Membership {
    /// Nothing was told yet.
    pub fn new(
        view: Arc<View>,
        crashes: Arc<Crashes>,
        hints: Arc<Hints>,
        stopping: CancellationToken,
    ) -> Self {
        Membership {
            fleet: view.fleet.clone(),
            view,
            crashes,
            hints,
            unread_changed: Arc::default(),
            news_told: AtomicU64::new(0),
            fetches: Fetches::default(),
            stopping,
        }
    }

    /// What this daemon says of itself.
    pub fn heartbeat(&self) -> Heartbeat {
        // One lock after the other: a guard within the value below would be kept until
        // its end, and an adoption, which takes these two the other way round, would wait
        // for this heartbeat as it waits for the adoption.
        let servers_version = self.view.servers.lock().version();
        let evacuated = self.view.halls.lock().evacuated().clone();
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
            stopping: self.stopping.is_cancelled(),
            store_heard_ms: self.fleet.contact.store_age(self.fleet.base.clock.now()),
            view_age_ms: self.fleet.contact.view_age(self.fleet.base.clock.now()),
            paces,
            crashes_digest: self.crashes.digest(),
            hints_digest: self.hints.digest(),
        }
    }
}

/// Takes in a heartbeat that a peer sent by itself. How long it was under way is not known,
/// so that the ages in it say nothing: counted from when they are taken in they grew by less
/// than time passes, and a fleet that was cut from the store never noticed. A sender that
/// seems to be current when this daemon is not is asked.
pub fn heard(membership: &Arc<Membership>, heartbeat: &Heartbeat) {
    take_in(membership, heartbeat);
    let seems_current = heartbeat.view_age_ms.is_some_and(|age| age < STALE_VIEW_MS);
    let (membership, heartbeat) = (Arc::clone(membership), heartbeat.clone());
    if knows_all_of(&membership, &heartbeat) && (!seems_current || membership.fleet.is_current()) {
        return;
    }
    tokio::spawn(async move {
        fetch_news(&membership, &heartbeat).await;
        if seems_current && !membership.fleet.is_current() {
            greet(&membership, &heartbeat.address).await;
        }
    });
}

/// Takes in a peer's answer to a heartbeat that was sent at `asked_at`: no age in it is
/// younger than from then.
fn answered(membership: &Arc<Membership>, heartbeat: &Heartbeat, asked_at: Millis) {
    take_in(membership, heartbeat);
    membership.fleet.contact.store_heard_by_peer(asked_at, heartbeat.store_heard_ms);
    if knows_all_of(membership, heartbeat) {
        caught_up(membership, heartbeat, asked_at);
        return;
    }
    let (membership, heartbeat) = (Arc::clone(membership), heartbeat.clone());
    tokio::spawn(async move {
        fetch_news(&membership, &heartbeat).await;
        if knows_all_of(&membership, &heartbeat) {
            caught_up(&membership, &heartbeat, asked_at);
        }
    });
}

fn take_in(membership: &Arc<Membership>, heartbeat: &Heartbeat) {
    hall_sync::heard(&membership.view, &heartbeat.evacuated);
    membership.crashes.heard_digest(&heartbeat.address, heartbeat.crashes_digest);
    membership.hints.heard_digest(&heartbeat.address, heartbeat.hints_digest);
    membership.fleet.members.lock().record_heartbeat(membership.fleet.base.clock.now(), heartbeat);
    membership.view.router.lock().merge_paces(&heartbeat.paces);
}

/// Whether this daemon's table and list are no older than the sender's.
fn knows_all_of(membership: &Membership, heartbeat: &Heartbeat) -> bool {
    let servers_version = membership.view.servers.lock().version();
    heartbeat.revision <= membership.view.revision() && heartbeat.servers_version <= servers_version
}

fn caught_up(membership: &Arc<Membership>, heartbeat: &Heartbeat, asked_at: Millis) {
    let Some(age) = heartbeat.view_age_ms else { return };
    let was_current = membership.fleet.is_current();
    membership.fleet.contact.caught_up(asked_at, age);
    membership.fleet.pass_on_return(was_current);
}

/// Fetches what the sender of a heartbeat knows newer.
async fn fetch_news(membership: &Arc<Membership>, heartbeat: &Heartbeat) {
    if heartbeat.revision > membership.view.revision()
        && let Ok(_running) = membership.fetches.table.try_acquire()
    {
        table_sync::fetch_from_peer(&membership.view, &heartbeat.address).await;
    }
    if heartbeat.servers_version > membership.view.servers.lock().version()
        && let Ok(_running) = membership.fetches.servers.try_acquire()
    {
        server_sync::fetch_from_peer(&membership.view, &heartbeat.address).await;
    }
}

/// Sends heartbeats until the daemon ends.
pub async fn send_heartbeats(membership: Arc<Membership>) {
    let interval = Duration::from_millis(membership.fleet.base.cfg.limits.heartbeat_ms);
    loop {
        membership.view.router.lock().expire_unread_reports(membership.fleet.base.clock.now());
        membership.crashes.forget_old();
        membership.hints.forget_old();
        beat(&membership).await;
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = membership.fleet.base.shutdown.cancelled() => return,
        }
    }
}

/// Sends a round whenever peers are to hear at once, until the daemon ends. One that waits for a
/// silent peer delays no other.
pub async fn send_at_once(membership: Arc<Membership>) {
    loop {
        tokio::select! {
            () = membership.fleet.to_tell.notified() => {}
            () = membership.fleet.base.shutdown.cancelled() => return,
        }
        let membership = Arc::clone(&membership);
        tokio::spawn(async move { beat(&membership).await });
    }
}

/// Sends one round of heartbeats to a few peers.
pub async fn beat(membership: &Arc<Membership>) {
    let fanout = membership.fleet.base.cfg.limits.heartbeat_fanout;
    let targets = membership.fleet.members.lock().heartbeat_targets(fanout, rand::random());
    futures::future::join_all(targets.iter().map(|peer| beat_one(membership, peer))).await;
}

async fn beat_one(membership: &Arc<Membership>, peer: &Peer) {
    let timeout = Duration::from_millis(membership.fleet.base.cfg.limits.peer_timeout_ms);
    let mine = membership.heartbeat();
    let beat = |client: crate::peer::PeerServiceClient, cx| async move {
        client.heartbeat(cx, mine).await
    };
    let asked_at = membership.fleet.base.clock.now();
    let answer = membership.fleet.base.peers.call(&peer.address, timeout, beat).await;
    if membership.fleet.contact.heartbeat(answer.is_some()) {
        slog::info!(membership.fleet.base.log, "peers regained"; "first" => %peer.name);
        membership.fleet.members.lock().clear_failures();
    }
    match answer {
        Some(heartbeat) => answered(membership, &heartbeat, asked_at),
        None => membership.fleet.members.lock().record_failure(&peer.name),
    }
}

/// Makes the peers of the settings known, for a start without the platform, and hears of
/// what they know until this daemon has a table, or reads it by itself.
pub async fn greet_seed_peers(membership: &Arc<Membership>) {
    let me = membership.fleet.base.cfg.peer_address();
    let seeds: Vec<&String> =
        membership.fleet.base.cfg.seed_peers.iter().filter(|seed| *seed != me).collect();
    loop {
        futures::future::join_all(seeds.iter().map(|seed| greet(membership, seed))).await;
        if membership.view.revision() > 0 || !membership.fleet.awaits_peers() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(GREET_RETRY) => {}
            () = membership.fleet.base.shutdown.cancelled() => return,
        }
    }
}

/// Sends a heartbeat to an address and takes in the answer.
async fn greet(membership: &Arc<Membership>, address: &str) {
    let timeout = Duration::from_millis(membership.fleet.base.cfg.limits.peer_timeout_ms);
    let mine = membership.heartbeat();
    let beat = |client: crate::peer::PeerServiceClient, cx| async move {
        client.heartbeat(cx, mine).await
    };
    let asked_at = membership.fleet.base.clock.now();
    // Peers of the settings may be gone; the list tells of others.
    if let Some(heartbeat) = membership.fleet.base.peers.call(address, timeout, beat).await {
        answered(membership, &heartbeat, asked_at);
    }
}
