//! Membership view of the fleet: the platform's host list, corrected by heartbeats.
//!
//! The list lags and may be wrong. No invariant depends on this view: it only
//! determines which peers are asked first.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::hall_list::EvacuatedHalls;
use crate::id::rendezvous_score;
use crate::paths::{PathReport, ServerGroup};
use crate::rollout::RolloutOrders;
use crate::router::ServerPace;
use crate::server_list::{ListVersion, Unreadable};
use crate::{Incarnation, Millis, Name};

/// Number of consecutive unanswered heartbeats after which a peer is suspected.
pub const SUSPECT_AFTER_FAILURES: u32 = 2;

/// Largest number of heartbeat rounds needed to reach every peer for which targets are drawn
/// from all peers; in larger fleets each daemon has fixed neighbours.
const SMALL_FLEET_ROUNDS: usize = 4;

/// State of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is leaving.
    Leaving,
}

/// What runs on a listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// A bankcove daemon.
    #[default]
    Daemon,
    /// A backend server.
    Server,
}

/// One row of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name; for backend servers the name of their row.
    pub name: Name,
    /// The hall that it is located in.
    pub hall: Name,
    /// Address of the peer port for daemons, of the server itself for backend servers.
    pub address: String,
    /// What runs there.
    #[serde(default)]
    pub role: HostRole,
    /// Its state.
    pub state: HostState,
}

/// The platform's host list as it was read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Hosts {
    /// The rows.
    pub hosts: Vec<Host>,
    /// Rows that can't be parsed; their hosts are ignored.
    pub unreadable: Vec<Unreadable>,
}

/// Message by which a daemon announces its state to a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's name.
    pub name: Name,
    /// The sender's hall.
    pub hall: Name,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Address of the sender's peer port.
    pub address: String,
    /// Revision of the table in force at the sender.
    pub revision: u64,
    /// Version of the sender's list of backend servers.
    pub servers_version: ListVersion,
    /// Halls that take no new work, as known to the sender.
    pub evacuated: EvacuatedHalls,
    /// Rollouts that were ordered, as known to the sender.
    pub rollouts: RolloutOrders,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Time since the store last answered the sender or a peer that it is in contact with, in
    /// milliseconds.
    pub store_heard_ms: Option<Millis>,
    /// Greatest possible age of the sender's table and server list, in milliseconds.
    pub view_age_ms: Option<Millis>,
    /// Measured speed of some backend servers, of different ones in each heartbeat.
    pub paces: Vec<ServerPace>,
    /// Hash of the sender's crash records, as [`crate::crashes::CrashTracker::digest`].
    pub crashes_digest: u64,
    /// Hash of the server hints known to the sender, from
    /// [`crate::limits::LimitTracker::digest`] and [`crate::hints::LeavingServers::digest`].
    pub hints_digest: u64,
    /// The sender's paths to backend servers.
    pub paths: PathReport,
}

/// This daemon's view of a peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// The peer's name.
    pub name: Name,
    /// Hash of its name, for rendezvous hashing of owners, store readers and neighbours.
    key: u64,
    /// The peer's hall.
    pub hall: Name,
    /// Address of its peer port.
    pub address: String,
    /// Its incarnation; none before its first message.
    pub incarnation: Option<Incarnation>,
    /// Latest revision of the table that it has reported.
    pub revision: u64,
    /// Whether it is a member, by the platform's list or by its own heartbeats.
    pub listed: bool,
    /// Whether the platform's list has contained it since this daemon learned of its current
    /// incarnation.
    pub was_on_list: bool,
    /// Whether it is stopping, by the list or by its own heartbeats.
    pub stopping: bool,
    /// Number of consecutive calls that it did not answer.
    pub failures: u32,
    /// Time of its last heartbeat.
    pub heard_at: Option<Millis>,
    /// Its paths to backend servers, by its last heartbeat.
    pub paths: PathReport,
}

impl Peer {
    /// Returns whether requests should be sent to it: it is a member, not stopping and not
    /// suspected.
    pub fn is_usable(&self) -> bool {
        self.listed && !self.stopping && self.failures < SUSPECT_AFTER_FAILURES
    }

    /// Returns whether it counts as a daemon of the fleet, whether or not it answers.
    fn is_active(&self) -> bool {
        self.listed && !self.stopping
    }

    /// Records which incarnation of the peer is running; after a restart, resets what was known
    /// of the earlier one.
    fn set_incarnation(&mut self, incarnation: Incarnation) {
        if self.incarnation == Some(incarnation) {
            return;
        }
        let has_restarted = self.incarnation.is_some();
        self.was_on_list &= !has_restarted;
        self.incarnation = Some(incarnation);
        self.revision = 0;
    }
}

/// This daemon's membership view.
#[derive(Debug, Clone, Serialize)]
pub struct Members {
    me: Name,
    my_key: u64,
    peers: BTreeMap<Name, Peer>,
    /// Whether the platform's list was received since this daemon's start, and names it.
    list: ListState,
    /// Number of peers that are members and not stopping.
    active: usize,
}

/// Whether the platform's list was received since this daemon's start, and names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
enum ListState {
    /// The list was not received.
    #[serde(rename = "Not")]
    NotReceived,
    /// The list lacks this daemon: the fleet may be starting, and other daemons may be missing
    /// too.
    #[serde(rename = "WithoutMe")]
    WithoutSelf,
    /// The list contains this daemon, in an earlier or in the current incarnation.
    #[serde(rename = "WithMe")]
    WithSelf,
}

/// Number of daemons in the fleet, by the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetSize {
    /// The list was not received since this daemon's start.
    Unknown,
    /// A lower bound: the list may be that of a fleet that is still starting.
    AtLeast(usize),
    /// The number of listed daemons.
    Listed(usize),
}

impl Members {
    /// Creates a view without peers for the daemon named `me`.
    pub fn new(me: Name) -> Self {
        let my_key = name_key(&me);
        Members { me, my_key, peers: BTreeMap::new(), list: ListState::NotReceived, active: 0 }
    }

    /// Iterates over all known peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Iterates over the usable peers; see [`Peer::is_usable`].
    pub fn usable(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.is_usable())
    }

    /// Iterates over the usable peers that accept tunnels and may reach a group of servers, as far
    /// as they have reported.
    pub fn tunnel_peers<'a>(&'a self, group: &'a ServerGroup) -> impl Iterator<Item = &'a Peer> {
        let accepts = |peer: &&Peer| peer.paths.tunnel_address.is_some();
        self.usable().filter(accepts).filter(|peer| peer.paths.may_reach(group))
    }

    /// Returns whether this incarnation is that of a known peer.
    pub fn is_peer(&self, incarnation: Incarnation) -> bool {
        self.peers.values().any(|peer| peer.incarnation == Some(incarnation))
    }

    /// Returns the number of daemons in the fleet, including this one. Peers that don't answer
    /// count: the fleet is no smaller during a network partition, nor right after a restart of
    /// all daemons, before their first heartbeats.
    pub fn fleet_size(&self) -> FleetSize {
        let size = 1 + self.active;
        match self.list {
            ListState::NotReceived => FleetSize::Unknown,
            ListState::WithoutSelf => FleetSize::AtLeast(size),
            ListState::WithSelf => FleetSize::Listed(size),
        }
    }

    /// Returns an order-independent hash of the members, whether or not they answer; equal on all
    /// daemons that know the same members.
    pub fn digest(&self) -> u64 {
        let active = self.peers.values().filter(|peer| peer.is_active());
        active.fold(self.my_key, |digest, peer| digest ^ peer.key)
    }

    /// Applies the platform's host list.
    pub fn apply_host_list(&mut self, hosts: &[Host]) {
        let names_me = hosts.iter().any(|host| host.name == self.me);
        if names_me || self.list == ListState::NotReceived {
            self.list = if names_me { ListState::WithSelf } else { ListState::WithoutSelf };
        }
        for peer in self.peers.values_mut() {
            // A peer that sent heartbeats before it was on the list is new, not removed. If it
            // counted as removed until its next heartbeat, it could not be asked for tokens.
            peer.listed &= !peer.was_on_list;
        }
        let daemons = hosts.iter().filter(|host| host.role == HostRole::Daemon);
        for host in daemons {
            if host.name == self.me {
                continue;
            }
            let peer = self.entry(&host.name, &host.hall, &host.address);
            peer.listed = true;
            peer.was_on_list = true;
            if host.state == HostState::Leaving {
                peer.stopping = true;
            }
        }
        self.peers.retain(|_, peer| {
            let is_on_list = peer.listed && peer.was_on_list;
            is_on_list || peer.failures < SUSPECT_AFTER_FAILURES
        });
        self.active = self.peers.values().filter(|peer| peer.is_active()).count();
    }

    /// Applies a heartbeat of a peer, received as a request or as a response.
    pub fn record_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        if heartbeat.name == self.me {
            return;
        }
        let peer = self.entry(&heartbeat.name, &heartbeat.hall, &heartbeat.address);
        let was_active = peer.is_active();
        peer.set_incarnation(heartbeat.incarnation);
        peer.address.clone_from(&heartbeat.address);
        peer.revision = peer.revision.max(heartbeat.revision);
        peer.stopping = heartbeat.stopping;
        peer.failures = 0;
        // A peer that sends heartbeats is a member, even if the lagging list lacks it.
        peer.listed = true;
        peer.heard_at = Some(now);
        peer.paths.clone_from(&heartbeat.paths);
        let is_active = peer.is_active();
        self.active = self.active + usize::from(is_active) - usize::from(was_active);
    }

    /// Records which incarnation of a peer has answered a call: in a large fleet most peers
    /// exchange no heartbeats with this daemon, and a return of tokens to a peer has to name the
    /// peer's incarnation.
    pub fn record_answer(&mut self, name: &Name, incarnation: Incarnation) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.set_incarnation(incarnation);
            peer.failures = 0;
        }
    }

    /// Clears the failures of all peers when peers answer again after none of them answered
    /// this daemon: the failures were then those of its own connection.
    pub fn clear_failures(&mut self) {
        for peer in self.peers.values_mut() {
            peer.failures = 0;
        }
    }

    /// Records that a peer did not answer a call.
    pub fn record_failure(&mut self, name: &Name) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.failures = peer.failures.saturating_add(1);
        }
    }

    /// Returns the peers for the next heartbeats: in a small fleet up to `count` peers drawn by
    /// `seed`, in a large one `count` fixed neighbours and one suspected peer, so that the
    /// number of a daemon's connections does not grow with the fleet.
    pub fn heartbeat_targets(&self, count: usize, seed: u64) -> Vec<Peer> {
        let peers: Vec<&Peer> = self.peers.values().filter(|peer| !peer.stopping).collect();
        if peers.len() <= count * SMALL_FLEET_ROUNDS {
            return first_by_score(peers, seed, count);
        }
        let (suspected, healthy): (Vec<&Peer>, Vec<&Peer>) =
            peers.into_iter().partition(|peer| peer.failures >= SUSPECT_AFTER_FAILURES);
        let mut targets = first_by_score(healthy, self.my_key, count);
        targets.extend(first_by_score(suspected, seed, 1));
        targets
    }

    /// Returns up to `count` usable peers, drawn by `seed`.
    pub fn sample(&self, count: usize, seed: u64) -> Vec<Peer> {
        first_by_score(self.usable().collect(), seed, count)
    }

    /// Returns up to `max_count` candidates for the ownership of `key`, the owner first, among
    /// the usable peers and this daemon (`None`). The order is by rendezvous hashing, so it is
    /// the same on all daemons with the same view.
    pub fn owners(&self, key: u64, max_count: usize) -> Vec<Option<Peer>> {
        self.ranked(key, max_count, self.usable())
    }

    /// Returns whether this daemon is the first of [`Members::owners`]. Most calls look at a few
    /// peers only, whatever the number of peers.
    pub fn is_first_owner(&self, key: u64) -> bool {
        let mine = rendezvous_score(key, self.my_key);
        !self.usable().any(|peer| rendezvous_score(key, peer.key) > mine)
    }

    /// As [`Members::owners`], including peers that don't answer this daemon: during a network
    /// partition the order is the same on both sides.
    pub fn owners_including_silent(&self, key: u64, max_count: usize) -> Vec<Option<Peer>> {
        let active = self.peers.values().filter(|peer| peer.is_active());
        self.ranked(key, max_count, active)
    }

    fn ranked<'a>(
        &self,
        key: u64,
        max_count: usize,
        peers: impl Iterator<Item = &'a Peer>,
    ) -> Vec<Option<Peer>> {
        let mine = (rendezvous_score(key, self.my_key), None);
        let others = peers.map(|peer| (rendezvous_score(key, peer.key), Some(peer)));
        let mut ranked: Vec<(u64, Option<&Peer>)> = others.chain([mine]).collect();
        let highest_first = |(score, _): &(u64, Option<&Peer>)| std::cmp::Reverse(*score);
        if max_count < ranked.len() {
            // Avoids sorting hundreds of peers where a few are needed.
            ranked.select_nth_unstable_by_key(max_count, highest_first);
            ranked.truncate(max_count);
        }
        ranked.sort_unstable_by_key(highest_first);
        ranked.into_iter().map(|(_, peer)| peer.cloned()).collect()
    }

    /// Returns the number of usable peers of the hall that rank before this daemon as readers
    /// of the store.
    pub fn store_reader_rank(&self, hall: &Name) -> usize {
        let key = name_key(hall);
        let mine = rendezvous_score(key, self.my_key);
        let in_hall = self.usable().filter(|peer| peer.hall == *hall);
        in_hall.filter(|peer| rendezvous_score(key, peer.key) > mine).count()
    }

    /// Returns the number of usable daemons in a hall, which is this daemon's, with itself.
    pub fn hall_size(&self, hall: &Name) -> usize {
        1 + self.usable().filter(|peer| peer.hall == *hall).count()
    }

    /// Checks whether this daemon is one of the `count` that read the store for their hall.
    ///
    /// # Errors
    /// Returns the peers of the hall that read it instead, in the order of their rank.
    pub fn check_store_reader(&self, hall: &Name, count: usize) -> Result<(), Vec<Peer>> {
        let key = name_key(hall);
        let in_hall = self.usable().filter(|peer| peer.hall == *hall);
        let mine = rendezvous_score(key, self.my_key);
        let score = |peer: &&Peer| rendezvous_score(key, peer.key);
        let mut ahead: Vec<&Peer> = in_hall.filter(|peer| score(peer) > mine).collect();
        if ahead.len() < count {
            return Ok(());
        }
        ahead.sort_unstable_by_key(|peer| std::cmp::Reverse(score(peer)));
        Err(ahead.into_iter().take(count).cloned().collect())
    }

    fn entry(&mut self, name: &Name, hall: &Name, address: &str) -> &mut Peer {
        self.peers.entry(name.clone()).or_insert_with(|| Peer {
            name: name.clone(),
            key: name_key(name),
            hall: hall.clone(),
            address: address.to_owned(),
            incarnation: None,
            revision: 0,
            listed: false,
            was_on_list: false,
            stopping: false,
            failures: 0,
            heard_at: None,
            paths: PathReport::default(),
        })
    }
}

/// Returns the first `count` peers in the order given by `seed`.
fn first_by_score(mut peers: Vec<&Peer>, seed: u64, count: usize) -> Vec<Peer> {
    peers.sort_unstable_by_key(|peer| rendezvous_score(seed, peer.key));
    peers.into_iter().take(count).cloned().collect()
}

fn name_key(name: &Name) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}
