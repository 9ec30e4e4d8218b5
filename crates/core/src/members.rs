//! Who the other daemons are: the platform's list corrected by heartbeats.
//!
//! The list lags and may be wrong. Nothing that must always hold depends on
//! this view: it only says whom to ask first.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::hall_list::EvacuatedHalls;
use crate::id::rendezvous_score;
use crate::router::ServerPace;
use crate::server_list::{ListVersion, Unreadable};
use crate::{Incarnation, Millis, Name};

/// A peer that was silent to this many heartbeats in a row is suspected.
pub const SUSPECT_AFTER_FAILURES: u32 = 2;

/// Up to this many rounds of heartbeats, each peer in turn is asked; beyond that
/// a daemon keeps to its neighbours.
const SMALL_FLEET_ROUNDS: usize = 4;

/// State of a host in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It is live.
    Live,
    /// It is leaving.
    Leaving,
}

/// What runs on a listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// A daemon of bankcove.
    #[default]
    Daemon,
    /// A backend server.
    Server,
}

/// One line of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name; for backend servers the name of their row.
    pub name: Name,
    /// The hall that it stands in.
    pub hall: Name,
    /// For daemons the peer port, for backend servers their address.
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
    /// The lines.
    pub hosts: Vec<Host>,
    /// Lines that can't be read: they name no host.
    pub unreadable: Vec<Unreadable>,
}

/// What a daemon says of itself in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's name.
    pub name: Name,
    /// The sender's hall.
    pub hall: Name,
    /// The sender's start.
    pub incarnation: Incarnation,
    /// Where the sender's peer port listens.
    pub address: String,
    /// Revision of the table in force at the sender.
    pub revision: u64,
    /// Version of the sender's list of backend servers.
    pub servers_version: ListVersion,
    /// Halls that take no new work, as the sender knows them.
    pub evacuated: EvacuatedHalls,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// How long ago the store answered the sender or a peer in its contact.
    pub store_heard_ms: Option<Millis>,
    /// How old the sender's table and list of servers may be, at most.
    pub view_age_ms: Option<Millis>,
    /// How fast some of the backend servers are, others in each heartbeat.
    pub paces: Vec<ServerPace>,
    /// Hash of what the sender knows of crashes, as [`crate::crashes::CrashBook::digest`].
    pub crashes_digest: u64,
    /// Hash of what servers have said as far as the sender knows: of
    /// [`crate::limits::LimitBook::digest`] and [`crate::hints::LeavingServers::digest`].
    pub hints_digest: u64,
}

/// A peer as this daemon sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Peer {
    /// The peer's name.
    pub name: Name,
    /// Hash of its name, by which it is chosen as an owner, reader or neighbour.
    key: u64,
    /// The peer's hall.
    pub hall: Name,
    /// Its peer port.
    pub address: String,
    /// Its start, once it was heard.
    pub incarnation: Option<Incarnation>,
    /// Revision of the table that it last told.
    pub revision: u64,
    /// Whether it is there, by the platform's list or by its own word.
    pub listed: bool,
    /// Whether the platform's list has had it since this start of it.
    pub was_on_list: bool,
    /// Whether it is stopping, by the list or by its own word.
    pub stopping: bool,
    /// Heartbeats in a row that it did not answer.
    pub failures: u32,
    /// When it was heard last.
    pub heard_at: Option<Millis>,
}

impl Peer {
    /// Whether it is worth asking.
    pub fn is_usable(&self) -> bool {
        self.listed && !self.stopping && self.failures < SUSPECT_AFTER_FAILURES
    }

    /// Takes in which start of it runs; what was known of another one counts no more.
    fn set_incarnation(&mut self, start: Incarnation) {
        if self.incarnation == Some(start) {
            return;
        }
        let has_restarted = self.incarnation.is_some();
        self.was_on_list &= !has_restarted;
        self.incarnation = Some(start);
        self.revision = 0;
    }
}

/// The view of this daemon.
#[derive(Debug, Clone, Serialize)]
pub struct Members {
    me: Name,
    my_key: u64,
    peers: BTreeMap<Name, Peer>,
    /// What the platform's list said of this start of the daemon.
    list: ListSeen,
}

/// What the platform's list has told a daemon since it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
enum ListSeen {
    /// It was not seen yet.
    Not,
    /// This daemon is not on it: the fleet may be starting, and others are missing too.
    WithoutMe,
    /// It names this daemon, from an earlier start of it or from this one.
    WithMe,
}

/// How many daemons a fleet has, by the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetSize {
    /// The list was not seen since the start.
    Unknown,
    /// At least so many: the list may be that of a fleet which is still starting.
    AtLeast(usize),
    /// So many.
    Listed(usize),
}

impl Members {
    /// A view that knows nobody yet.
    pub fn new(me: Name) -> Self {
        let my_key = name_key(&me);
        Members { me, my_key, peers: BTreeMap::new(), list: ListSeen::Not }
    }

    /// Every peer that is known.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Peers worth asking.
    pub fn usable(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| peer.is_usable())
    }

    /// How many daemons the fleet has, this one included. Peers that don't answer count: a
    /// fleet is no smaller in a cut, nor right after all of it has started anew and nobody
    /// was heard yet.
    pub fn fleet_size(&self) -> FleetSize {
        let there = self.peers.values().filter(|peer| peer.listed && !peer.stopping);
        let size = 1 + there.count();
        match self.list {
            ListSeen::Not => FleetSize::Unknown,
            ListSeen::WithoutMe => FleetSize::AtLeast(size),
            ListSeen::WithMe => FleetSize::Listed(size),
        }
    }

    /// Hash of who is there: equal for the same daemons, whoever of them answers.
    pub fn digest(&self) -> u64 {
        let there = self.peers.values().filter(|peer| peer.listed && !peer.stopping);
        there.fold(self.my_key, |digest, peer| digest ^ peer.key)
    }

    /// Takes in the platform's list.
    pub fn apply_host_list(&mut self, hosts: &[Host]) {
        let names_me = hosts.iter().any(|host| host.name == self.me);
        if names_me || self.list == ListSeen::Not {
            self.list = if names_me { ListSeen::WithMe } else { ListSeen::WithoutMe };
        }
        for peer in self.peers.values_mut() {
            // One that spoke before the list had it is new there, not gone: taken for
            // gone until its next heartbeat, nobody was asked for tokens meanwhile.
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
    }

    /// Takes in a heartbeat, received or answered.
    pub fn record_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        if heartbeat.name == self.me {
            return;
        }
        let peer = self.entry(&heartbeat.name, &heartbeat.hall, &heartbeat.address);
        peer.set_incarnation(heartbeat.incarnation);
        peer.address.clone_from(&heartbeat.address);
        peer.revision = peer.revision.max(heartbeat.revision);
        peer.stopping = heartbeat.stopping;
        peer.failures = 0;
        // A peer that speaks is live, whatever the lagging list says.
        peer.listed = true;
        peer.heard_at = Some(now);
    }

    /// Takes in which start of a peer has answered: in a large fleet most peers are never
    /// heard in heartbeats, and what is to go back to one has to name its start.
    pub fn record_answer(&mut self, name: &Name, start: Incarnation) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.set_incarnation(start);
            peer.failures = 0;
        }
    }

    /// Takes in that peers answer again after all of them were silent to this
    /// daemon: what it suspects of others says nothing of them.
    pub fn clear_failures(&mut self) {
        for peer in self.peers.values_mut() {
            peer.failures = 0;
        }
    }

    /// Takes in that a peer did not answer.
    pub fn record_failure(&mut self, name: &Name) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.failures = peer.failures.saturating_add(1);
        }
    }

    /// Up to `count` peers for the next heartbeats: in a small fleet a different
    /// few each time, in a large one always the same neighbours and one of those
    /// that are suspected, so that the connections of a daemon do not grow with
    /// the fleet.
    pub fn heartbeat_targets(&self, count: usize, seed: u64) -> Vec<Peer> {
        let peers: Vec<&Peer> = self.peers.values().filter(|peer| !peer.stopping).collect();
        if peers.len() <= count * SMALL_FLEET_ROUNDS {
            return first_by_score(peers, seed, count);
        }
        let (suspected, well): (Vec<&Peer>, Vec<&Peer>) =
            peers.into_iter().partition(|peer| peer.failures >= SUSPECT_AFTER_FAILURES);
        let mut targets = first_by_score(well, self.my_key, count);
        targets.extend(first_by_score(suspected, seed, 1));
        targets
    }

    /// Up to `count` usable peers, drawn by `seed`.
    pub fn sample(&self, count: usize, seed: u64) -> Vec<Peer> {
        first_by_score(self.usable().collect(), seed, count)
    }

    /// Usable peers and this daemon (none) in the order of their claim to own
    /// `key`; every daemon with the same view comes to the same order.
    pub fn owners(&self, key: u64, most: usize) -> Vec<Option<Peer>> {
        self.ranked(key, most, self.usable())
    }

    /// As [`Members::owners`], with peers that don't answer this daemon: in a cut the order is
    /// the same on both sides.
    pub fn owners_including_silent(&self, key: u64, most: usize) -> Vec<Option<Peer>> {
        let there = self.peers.values().filter(|peer| peer.listed && !peer.stopping);
        self.ranked(key, most, there)
    }

    fn ranked<'a>(
        &self,
        key: u64,
        most: usize,
        peers: impl Iterator<Item = &'a Peer>,
    ) -> Vec<Option<Peer>> {
        let mine = (rendezvous_score(key, self.my_key), None);
        let others = peers.map(|peer| (rendezvous_score(key, peer.key), Some(peer)));
        let mut ranked: Vec<(u64, Option<&Peer>)> = others.chain([mine]).collect();
        let highest_first = |(score, _): &(u64, Option<&Peer>)| std::cmp::Reverse(*score);
        if most < ranked.len() {
            // Hundreds of peers, of whom a few are asked.
            ranked.select_nth_unstable_by_key(most, highest_first);
            ranked.truncate(most);
        }
        ranked.sort_unstable_by_key(highest_first);
        ranked.into_iter().map(|(_, peer)| peer.cloned()).collect()
    }

    /// How many usable peers of the hall come before this daemon as readers of
    /// the store.
    pub fn store_reader_rank(&self, hall: &Name) -> usize {
        let key = name_key(hall);
        let mine = rendezvous_score(key, self.my_key);
        let in_hall = self.usable().filter(|peer| peer.hall == *hall);
        in_hall.filter(|peer| rendezvous_score(key, peer.key) > mine).count()
    }

    /// Whether this daemon is one of the `count` that read the store for their
    /// hall; else the peers of the hall that do, the first one first.
    ///
    /// # Errors
    /// The peers to ask instead.
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
        })
    }
}

/// The first `count` peers in the order that `seed` gives them.
fn first_by_score(mut peers: Vec<&Peer>, seed: u64, count: usize) -> Vec<Peer> {
    peers.sort_unstable_by_key(|peer| rendezvous_score(seed, peer.key));
    peers.into_iter().take(count).cloned().collect()
}

fn name_key(name: &Name) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}
