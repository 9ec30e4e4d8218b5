//! Network paths from this host to the backend servers (core `paths`).
//!
//! Owns the state of the direct path to each group of servers, which `entry` updates with the
//! outcome of its attempts (`contact`) and `probe` with probes, and opens tunnels through peers to
//! groups whose path is lost (`tunnels`). Depends on `fleet` and the router's state; called by all
//! layers above.

pub mod contact;
pub mod probe;
pub mod tunnels;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bankcove_core::crashes::ServerInstance;
use bankcove_core::paths::{
    Evidence, PROBE_INTERVAL_MS, PathChange, PathReport, PathState, PathTracker, ProbeRound,
    ServerGroup,
};
use bankcove_core::router::Router;
use bankcove_core::{Millis, Name};
use parking_lot::Mutex;
use serde_json::{Value, json};
use slog::Logger;
use tokio::sync::Notify;

use crate::fleet::Fleet;
use crate::paths::contact::{Contact, GroupContact};
use crate::paths::tunnels::{Carriers, NoTunnel};
use crate::peer::tunnel::TunnelStream;

/// Retry delay while this host has no path to the servers and another one reports one: a retry
/// reaches another host.
const OTHER_HOST_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Paths to the groups of servers as known to this daemon.
pub struct Paths {
    fleet: Fleet,
    router: Arc<Mutex<Router>>,
    tracker: Mutex<PathTracker>,
    /// Whether any path has failed of late; if not, requests skip the lock of `tracker`.
    has_trouble: AtomicBool,
    /// Latest data received directly from each group.
    contacts: Mutex<HashMap<ServerGroup, Arc<GroupContact>>>,
    /// Notified when groups are to be probed.
    probe_due: Notify,
    /// Notified (all waiting tasks) when the state of a path has changed.
    changed: Notify,
    /// Peers as carriers of tunnels.
    carriers: Mutex<Carriers>,
    /// Address at which this daemon accepts tunnels of peers.
    tunnel_address: OnceLock<SocketAddr>,
    /// Number of tunnels that this daemon carries for peers.
    carried: AtomicU32,
}

/// How a request reaches a server.
pub struct Route {
    /// Contact with the server.
    pub contact: Contact,
    /// Connection through a peer; `None` if the server is reached directly.
    pub tunnel: Option<TunnelStream>,
}

/// A tunnel that this daemon carries for a peer; counted until it is dropped.
pub struct CarriedTunnel<'a>(&'a Paths);

impl Drop for CarriedTunnel<'_> {
    fn drop(&mut self) {
        self.0.carried.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Paths {
    /// Creates the state in which all servers are reachable.
    pub fn new(fleet: Fleet, router: Arc<Mutex<Router>>) -> Self {
        Paths {
            fleet,
            router,
            tracker: Mutex::default(),
            has_trouble: AtomicBool::new(false),
            contacts: Mutex::default(),
            probe_due: Notify::new(),
            changed: Notify::new(),
            carriers: Mutex::default(),
            tunnel_address: OnceLock::new(),
            carried: AtomicU32::new(0),
        }
    }

    /// Applies `change` to the tracker, then updates the values derived from it.
    fn change<T>(&self, change: impl FnOnce(Millis, &mut PathTracker) -> T) -> T {
        let now = self.fleet.base.clock.now();
        let mut tracker = self.tracker.lock();
        let changed = change(now, &mut tracker);
        self.has_trouble.store(!tracker.is_empty(), Ordering::Relaxed);
        self.fleet.base.metrics.set("path.lost_groups", tracker.lost().count() as u64);
        changed
    }

    /// Returns the result of `read` on the tracker; `None` while no path has failed of late.
    fn read<T>(&self, read: impl FnOnce(Millis, &PathTracker) -> T) -> Option<T> {
        let has_trouble = self.has_trouble.load(Ordering::Relaxed);
        has_trouble.then(|| read(self.fleet.base.clock.now(), &self.tracker.lock()))
    }

    /// Returns whether the direct path to a group is lost.
    pub fn is_lost(&self, group: &ServerGroup) -> bool {
        self.read(|_, tracker| tracker.is_lost(group)).unwrap_or(false)
    }

    /// Returns how a request is to reach a server of a group: directly, or through a peer while
    /// this host has no path to the group. `request` is the request's identifier; `log` adds it.
    ///
    /// # Errors
    /// [`NoTunnel`] when it can't reach the server. Nothing was sent.
    pub async fn route(
        self: &Arc<Self>,
        log: &Logger,
        group: &ServerGroup,
        server: &ServerInstance,
        request: &str,
    ) -> Result<Route, NoTunnel> {
        let state = self.read(|now, tracker| {
            (tracker.is_direct(now, group, rand::random()), tracker.state(group))
        });
        let is_direct = match state {
            None | Some((true, _)) => true,
            // While the path recovers it is better than none.
            Some((false, Some(PathState::Recovering { .. }))) => !self.has_carrier(group),
            Some((false, _)) => false,
        };
        if is_direct {
            return Ok(Route { contact: self.direct_contact(group), tunnel: None });
        }
        let (peer, stream) = self.open_tunnel(log, group, server, request).await?;
        Ok(Route { contact: Contact::ThroughPeer(peer), tunnel: Some(stream) })
    }

    /// Waits until it is decided whether the path to a group is lost; returns whether it is.
    pub async fn await_decision(&self, group: &ServerGroup) -> bool {
        loop {
            let changed = self.changed.notified();
            match self.read(|_, tracker| tracker.state(group)).flatten() {
                Some(PathState::Lost { .. }) => return true,
                Some(PathState::Suspected { .. }) => changed.await,
                _ => return false,
            }
        }
    }

    /// Records evidence that the path to a group may be lost.
    pub fn record_evidence(&self, group: &ServerGroup, evidence: Evidence) {
        let is_new = self.change(|now, tracker| tracker.record_evidence(now, group, evidence));
        if is_new {
            self.fleet.base.metrics.count("path.suspected");
            slog::info!(self.fleet.base.log, "path suspected";
                "pool" => %group.pool, "hall" => %group.hall, "evidence" => ?evidence,
                "heard_ms_ago" => self.contact_age(group));
            self.probe_due.notify_one();
        }
    }

    /// Records the result of a round of probes of a group; `unreached` are the servers that did not
    /// accept a connection.
    fn record_round(&self, group: &ServerGroup, round: ProbeRound, unreached: &[Name]) {
        let change = self.change(|now, tracker| tracker.record_round(now, group, round));
        if change.is_some() {
            // Failures on a lost path are not the servers' own.
            self.router.lock().clear_failures(group);
            self.fleet.heartbeat_now.notify_one();
        }
        match change {
            Some(PathChange::Lost) => self.apply_loss(group, round, unreached),
            Some(PathChange::Regained { lost_ms }) => {
                self.fleet.base.metrics.count("path.regained");
                slog::warn!(self.fleet.base.log, "path regained";
                    "pool" => %group.pool, "hall" => %group.hall, "lost_ms" => lost_ms);
            }
            None => {}
        }
        self.refresh_unreachable();
        self.changed.notify_waiters();
        self.probe_due.notify_one();
    }

    /// Tells the router which groups no path leads to: this host's own is lost, and no peer is known
    /// to reach them.
    pub fn refresh_unreachable(&self) {
        let lost = self.read(|_, tracker| tracker.lost().cloned().collect::<Vec<_>>());
        let unreachable: HashSet<ServerGroup> =
            lost.into_iter().flatten().filter(|group| !self.has_carrier(group)).collect();
        self.fleet.base.metrics.set("path.unreachable_groups", unreachable.len() as u64);
        self.router.lock().set_unreachable(unreachable);
    }

    /// Updates what depends on the reports of peers, after one was received.
    pub fn merge_report(&self) {
        if self.has_trouble.load(Ordering::Relaxed) {
            self.refresh_unreachable();
        }
    }

    /// Returns the retry delay for callers of a pool to which no path leads from this host. Another
    /// host serves them now if a peer reports a path.
    pub fn retry_delay(&self, pool: &Name) -> Duration {
        let groups = self.router.lock().groups();
        let mut of_pool = groups.iter().filter(|group| group.pool == *pool);
        let members = self.fleet.members.lock();
        if of_pool.any(|group| members.tunnel_peers(group).next().is_some()) {
            return OTHER_HOST_RETRY_DELAY;
        }
        let spread = rand::random_range(0..=PROBE_INTERVAL_MS);
        Duration::from_millis(PROBE_INTERVAL_MS + spread)
    }

    /// Returns what this daemon reports to peers.
    pub fn report(&self) -> PathReport {
        let lost = self.read(|_, tracker| tracker.lost().cloned().collect::<Vec<_>>());
        let address = self.tunnel_address.get().map(ToString::to_string);
        let carried = self.carried.load(Ordering::Relaxed);
        PathReport::new(lost.unwrap_or_default(), address, carried)
    }

    /// Counts a tunnel that this daemon carries; `None` if it carries `max` already.
    pub fn carry(&self, max: u32) -> Option<CarriedTunnel<'_>> {
        let add = |carried: u32| (carried < max).then_some(carried + 1);
        let added = self.carried.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        added.is_ok().then_some(CarriedTunnel(self))
    }

    /// Logs and counts that a path was lost, and suspects those to all other groups.
    fn apply_loss(&self, group: &ServerGroup, round: ProbeRound, unreached: &[Name]) {
        let unreached: Vec<&str> = unreached.iter().map(Name::as_str).collect();
        self.fleet.base.metrics.count("path.lost");
        slog::warn!(self.fleet.base.log, "path lost";
            "pool" => %group.pool, "hall" => %group.hall, "servers_tried" => unreached.join(", "),
            "has_data" => round.has_data, "heard_ms_ago" => self.contact_age(group));
        let groups = self.router.lock().groups();
        self.change(|now, tracker| tracker.suspect_all(now, groups));
        if let Some(contact) = self.contacts.lock().get(group) {
            contact.record_loss();
        }
    }

    /// Returns the time since data was last received directly from a group, in milliseconds.
    fn contact_age(&self, group: &ServerGroup) -> Option<Millis> {
        let contacts = self.contacts.lock();
        let age = contacts.get(group)?.age(self.fleet.base.clock.now());
        Some(age)
    }

    /// Returns the paths that have failed of late as JSON, for operators.
    pub fn dump(&self) -> Value {
        let rows = self.read(|_, tracker| {
            let row = |(group, state)| json!({"group": group, "path": state});
            tracker.states().map(row).collect::<Vec<Value>>()
        });
        json!({
            "own": rows.unwrap_or_default(),
            "tunnel_address": self.tunnel_address.get(),
            "tunnels_carried": self.carried.load(Ordering::Relaxed),
        })
    }

    /// Returns one row as JSON for this daemon and for each peer with recent heartbeats: the groups
    /// that it does not reach, the tunnels that it carries, and how many of these this daemon has
    /// opened since the peer's last report.
    pub fn rows(&self) -> Vec<Value> {
        let now = self.fleet.base.clock.now();
        let row = |host: &Name, report: &PathReport, heard_ms_ago, opened_here| {
            let lost = report.lost.iter().map(|group| format!("{} in {}", group.pool, group.hall));
            json!({
                "host": host, "lost": lost.collect::<Vec<String>>().join(", "),
                "has_lost_more": report.has_lost_more, "tunnels_carried": report.tunnels,
                "opened_here": opened_here, "heard_ms_ago": heard_ms_ago,
            })
        };
        let mut rows = vec![row(&self.fleet.base.cfg.name, &self.report(), Some(0), 0)];
        let members = self.fleet.members.lock();
        let carriers = self.carriers.lock();
        let heard = members.peers().filter(|peer| peer.heard_at.is_some());
        rows.extend(heard.map(|peer| {
            let heard_ms_ago = peer.heard_at.map(|at| now.saturating_sub(at));
            row(&peer.name, &peer.paths, heard_ms_ago, carriers.opened(peer))
        }));
        rows
    }
}
