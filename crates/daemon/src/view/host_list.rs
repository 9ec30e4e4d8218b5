//! The platform's list of hosts: read from the store by a few daemons of each hall, from
//! peers by the others.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::members::{Host, HostRole, HostState, Peer};
use bankcove_core::{Millis, Name};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::START_POLL;
use crate::peer::HostsTold;
use crate::view::View;

/// All hosts of a fleet start, and are listed, within this time: the users' do so
/// within 0.3 s, and write for some 0.1 s.
const FLEET_START: Duration = Duration::from_millis(1_000);

/// Pause between two tries to have the first host list of a start: a store that is away
/// is not asked, and peers answer in some milliseconds.
const FIRST_LIST_RETRY: Duration = Duration::from_millis(300);

/// Reads the platform's host list until the daemon ends.
pub async fn follow_host_list(view: Arc<View>) {
    let interval = Duration::from_millis(view.fleet.base.cfg.limits.host_list_ms);
    loop {
        read_host_list(&view).await;
        let is_told = view.fleet.store_read_policy().startup_wait() > 0;
        let pause = match (view.hosts.load().is_read(), view.fleet.size()) {
            // Without the list a daemon does not even know how large its fleet is.
            (false, _) => FIRST_LIST_RETRY,
            // In a start of the whole fleet others are not listed yet. Peers of the
            // settings read the list again first, and have it for the others.
            (true, None) if is_told => FLEET_START + FIRST_LIST_RETRY,
            (true, None) => FLEET_START,
            (true, Some(_)) => interval,
        };
        let pause = pause.min(interval);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = view.fleet.base.shutdown.cancelled() => return,
        }
    }
}

/// Waits until this start has read a host list.
pub async fn host_list_read(view: &View) {
    while !view.hosts.load().is_read() {
        tokio::time::sleep(START_POLL).await;
    }
}

/// Reads the platform's host list once: from the store when this daemon reads
/// it for its hall, else from a peer that does.
pub async fn read_host_list(view: &Arc<View>) {
    let list = match store_readers(view) {
        // By a list that is not complete nobody can tell who reads.
        Err(peers) if view.fleet.size().is_some() => host_list_of_peers(view, &peers).await,
        _ => host_list_of_store(view).await,
    };
    match list {
        Some(list) => {
            take_host_list(view, list);
            if view.revision() == 0 {
                // Neighbours are known now, and may have the table.
                view.fleet.to_tell.notify_one();
            }
        }
        None => slog::debug!(view.fleet.base.log, "host list not read"),
    }
}

/// The host list as the store has it. Once more in a start of the whole fleet, in which
/// everybody seems to be the first to read, or while the store is away: as a peer of the
/// settings has it.
async fn host_list_of_store(view: &Arc<View>) -> Option<HostList> {
    let is_known = view.hosts.load().is_read();
    let asked_at = view.fleet.base.clock.now();
    let is_away = view.fleet.contact.is_store_away(asked_at);
    let is_told = view.fleet.store_read_policy().startup_wait() > 0;
    if (is_known && is_told) || is_away {
        let told = host_list_of_seeds(view).await;
        if told.is_some() || is_away {
            return told;
        }
    }
    match view.store.hosts().await {
        Ok(read) => {
            view.unreadable.tell(&view.fleet.base.log, "hosts", &read.unreadable);
            Some(HostList::new(read.hosts, asked_at as i64))
        }
        Err(e) => {
            slog::info!(view.fleet.base.log, "host list not read"; "error" => %e);
            // Peers of the settings are asked until the watch finds the store, or they do.
            view.fleet.contact.store_lost();
            None
        }
    }
}

/// The host list of the first peer of the settings that has another one than is known.
async fn host_list_of_seeds(view: &Arc<View>) -> Option<HostList> {
    let me = view.fleet.base.cfg.peer_address();
    for address in view.fleet.base.cfg.seed_peers.iter().filter(|seed| *seed != me) {
        if let Ok(Some(list)) = host_list_of(view, address).await {
            return Some(list);
        }
    }
    None
}

/// Whether this daemon reads the store for its hall; else the peers that do.
///
/// # Errors
/// The peers to ask instead.
pub fn store_readers(view: &View) -> Result<(), Vec<Peer>> {
    let count = view.fleet.base.cfg.limits.store_readers;
    view.fleet.members.lock().check_store_reader(&view.fleet.base.cfg.hall, count)
}

/// The host list of the first of these peers that answers; none when it is the
/// one known already.
async fn host_list_of_peers(view: &Arc<View>, peers: &[Peer]) -> Option<HostList> {
    for peer in peers {
        match host_list_of(view, &peer.address).await {
            Ok(list) => return list,
            Err(NoAnswer) => view.fleet.members.lock().record_failure(&peer.name),
        }
    }
    None
}

/// A peer did not answer in time.
struct NoAnswer;

/// The host list of the peer at this address; none when it is the one known already.
async fn host_list_of(view: &Arc<View>, address: &str) -> Result<Option<HostList>, NoAnswer> {
    let known = view.hosts.load().hash;
    let timeout = Duration::from_millis(view.fleet.base.cfg.limits.peer_timeout_ms);
    let ask = |client: crate::peer::PeerServiceClient, cx| async move {
        client.hosts_unless(cx, known).await
    };
    let asked_at = view.fleet.base.clock.now() as i64;
    let told = view.fleet.base.peers.call(address, timeout, ask).await.ok_or(NoAnswer)?;
    Ok(told.map(|told| HostList::new(told.hosts, asked_at - told.age_ms)))
}

/// Takes a list, unless it is older than the one that is known: a peer that has lost the
/// store still tells the list that it read last, and hosts that are there since then
/// would be taken for gone.
fn take_host_list(view: &Arc<View>, list: HostList) {
    let known = view.hosts.load();
    if known.is_read() && list.read_at < known.read_at {
        slog::info!(view.fleet.base.log, "older host list not taken"; "hosts" => list.hosts.len());
        return;
    }
    let hosts = &list.hosts;
    let leaving: Vec<Name> = hosts
        .iter()
        .filter(|host| host.role == HostRole::Server && host.state == HostState::Leaving)
        .map(|host| host.name.clone())
        .collect();
    view.fleet.members.lock().apply_host_list(hosts);
    view.router.lock().set_listed_leaving(&leaving);
    view.hosts.store(Arc::new(list));
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

    /// Whether the store, asked at this time or later, named this host as it is now.
    pub fn names_since(&self, host: &Host, since: i64) -> bool {
        self.read_at >= since && self.hosts.contains(host)
    }

    /// Whether the store was asked for it at this time or later.
    pub fn is_read_since(&self, since: i64) -> bool {
        self.is_read() && self.read_at >= since
    }

    /// The list for a peer that knows the one with `hash`; none when it is the same, or
    /// none was read yet.
    pub fn unless(&self, hash: u64, now: Millis) -> Option<HostsTold> {
        let is_news = self.is_read() && self.hash != hash;
        is_news.then(|| HostsTold { hosts: self.hosts.clone(), age_ms: now as i64 - self.read_at })
    }
}
