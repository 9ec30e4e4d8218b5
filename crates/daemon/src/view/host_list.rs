//! Reads the platform's host list: a few daemons of each hall read it from the store, the others
//! from those peers.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::members::{Host, HostRole, HostState, Peer};
use bankcove_core::{Millis, Name};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::STARTUP_POLL;
use crate::peer::HostListReply;
use crate::peer::packed_list::{PackError, PackedList};
use crate::view::View;

/// Time within which all hosts of a fleet start and are listed: the users' hosts start within
/// 0.3 s and take some 0.1 s to write their entries.
const FLEET_START_TIME: Duration = Duration::from_millis(1_000);

/// Pause between attempts to read the first host list after startup: an unavailable store is not
/// asked, and peers answer within a few milliseconds.
const FIRST_LIST_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Reads the platform's host list at regular intervals until the daemon ends.
pub async fn poll_host_list(view: Arc<View>) {
    let interval = Duration::from_millis(view.fleet.base.cfg.limits.host_list_ms);
    loop {
        read_host_list(&view).await;
        let waits_for_peers = view.fleet.store_read_policy().startup_wait() > 0;
        let pause = match (view.hosts.load().is_read(), view.fleet.size()) {
            // Without the list the size of the fleet is unknown too.
            (false, _) => FIRST_LIST_RETRY_PAUSE,
            // When the whole fleet starts, other daemons may not be listed yet. Seed peers
            // read the list again first, and the others then fetch it from them.
            (true, None) if waits_for_peers => FLEET_START_TIME + FIRST_LIST_RETRY_PAUSE,
            (true, None) => FLEET_START_TIME,
            (true, Some(_)) => interval,
        };
        let pause = pause.min(interval);
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = view.fleet.base.shutdown.cancelled() => return,
        }
    }
}

/// Waits until a host list was read since startup.
pub async fn wait_for_host_list(view: &View) {
    while !view.hosts.load().is_read() {
        tokio::time::sleep(STARTUP_POLL).await;
    }
}

/// Reads the platform's host list once: from the store if this daemon reads the store for its
/// hall, else from a peer that does.
pub async fn read_host_list(view: &Arc<View>) {
    let list = match check_store_reader(view) {
        // An incomplete list does not show which daemons read the store.
        Err(peers) if view.fleet.size().is_some() => fetch_from_peers(view, &peers).await,
        _ => read_from_store_or_seeds(view).await,
    };
    match list {
        Some(list) => {
            apply_host_list(view, list);
            if view.revision() == 0 {
                // The peers that are known now may have the table.
                view.fleet.heartbeat_now.notify_one();
            }
        }
        None => slog::debug!(view.fleet.base.log, "no new host list"),
    }
}

/// Reads the host list from the store. If a list is known already during a start of the whole
/// fleet, in which each daemon ranks itself first as a reader, tries the seed peers first. While
/// the store is unavailable, asks the seed peers alone.
async fn read_from_store_or_seeds(view: &Arc<View>) -> Option<HostList> {
    let is_known = view.hosts.load().is_read();
    let asked_at = view.fleet.base.clock.now();
    let is_store_unavailable = view.fleet.connectivity.is_store_unavailable(asked_at);
    let waits_for_peers = view.fleet.store_read_policy().startup_wait() > 0;
    if (is_known && waits_for_peers) || is_store_unavailable {
        let fetched = fetch_from_seed_peers(view).await;
        if fetched.is_some() || is_store_unavailable {
            return fetched;
        }
    }
    match view.store.hosts().await {
        Ok(read) => {
            view.unreadable.log_new(&view.fleet.base.log, "hosts", &read.unreadable);
            Some(HostList::new(read.hosts, asked_at as i64))
        }
        Err(e) => {
            slog::info!(view.fleet.base.log, "failed to read host list from the store"; "error" => %e);
            // Seed peers are asked until the watch of the servers, or a seed peer, reaches the
            // store.
            view.fleet.connectivity.mark_store_unavailable();
            None
        }
    }
}

/// Returns the host list of the first seed peer whose list differs from the known one.
async fn fetch_from_seed_peers(view: &Arc<View>) -> Option<HostList> {
    let me = view.fleet.base.cfg.peer_address();
    for address in view.fleet.base.cfg.seed_peers.iter().filter(|seed| *seed != me) {
        if let Ok(Some(list)) = fetch_from_peer(view, address).await {
            return Some(list);
        }
    }
    None
}

/// Checks whether this daemon reads the store for its hall.
///
/// # Errors
/// Returns the peers that read it instead.
pub fn check_store_reader(view: &View) -> Result<(), Vec<Peer>> {
    let count = view.fleet.base.cfg.limits.store_readers;
    view.fleet.members.lock().check_store_reader(&view.fleet.base.cfg.hall, count)
}

/// Returns the host list of the first of these peers that answers; `None` if it is the known one
/// or no peer answers.
async fn fetch_from_peers(view: &Arc<View>, peers: &[Peer]) -> Option<HostList> {
    for peer in peers {
        match fetch_from_peer(view, &peer.address).await {
            Ok(list) => return list,
            Err(NoAnswer) => view.fleet.members.lock().record_failure(&peer.name),
        }
    }
    None
}

/// Error: a peer did not answer in time.
struct NoAnswer;

/// Returns the host list of the peer at this address; `None` if it is the known one.
async fn fetch_from_peer(view: &Arc<View>, address: &str) -> Result<Option<HostList>, NoAnswer> {
    let known = view.hosts.load().hash;
    let timeout = Duration::from_millis(view.fleet.base.cfg.limits.peer_timeout_ms);
    let request = |client: crate::peer::PeerServiceClient, cx| async move {
        client.hosts_unless(cx, known).await
    };
    let asked_at = view.fleet.base.clock.now() as i64;
    let reply = view.fleet.base.peers.call(address, timeout, request).await.ok_or(NoAnswer)?;
    let Some(reply) = reply else { return Ok(None) };
    match reply.hosts.unpack() {
        Ok(hosts) => Ok(Some(HostList::new(hosts, asked_at - reply.age_ms))),
        Err(e) => {
            slog::warn!(view.fleet.base.log, "failed to unpack host list received from a peer"; "error" => %e);
            Ok(None)
        }
    }
}

/// Applies a list unless it is older than the known one: a peer that has lost the store still
/// returns the list that it read last, and hosts added since then would count as removed.
fn apply_host_list(view: &Arc<View>, list: HostList) {
    let known = view.hosts.load();
    if known.is_read() && list.read_at < known.read_at {
        slog::info!(view.fleet.base.log, "ignoring an outdated host list"; "hosts" => list.hosts.len());
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

/// The platform's host list with the time of its read.
#[derive(Debug, Default)]
pub struct HostList {
    /// Hash of the rows; 0 before the first list.
    pub hash: u64,
    /// The rows.
    pub hosts: Vec<Host>,
    /// Time at which the store was asked for them, by this daemon's clock, in milliseconds;
    /// negative if that was before this daemon started.
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

    /// Returns whether the store, asked at `since` or later, listed exactly this row.
    pub fn contains_since(&self, host: &Host, since: i64) -> bool {
        self.read_at >= since && self.hosts.contains(host)
    }

    /// Returns whether the list was read from the store at `since` or later.
    pub fn is_read_since(&self, since: i64) -> bool {
        self.is_read() && self.read_at >= since
    }

    /// Returns the list for a peer that has the list with this `hash`; `None` if this list is the
    /// same or was not read yet.
    ///
    /// # Errors
    /// [`PackError`] if the list can't be encoded.
    pub fn unless_hash(&self, hash: u64, now: Millis) -> Result<Option<HostListReply>, PackError> {
        if !self.is_read() || self.hash == hash {
            return Ok(None);
        }
        let hosts = PackedList::pack(&self.hosts)?;
        Ok(Some(HostListReply { hosts, age_ms: now as i64 - self.read_at }))
    }
}
