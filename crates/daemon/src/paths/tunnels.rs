//! Tunnels to servers through peers, for groups to which this host has lost its path.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bankcove_core::crashes::ServerInstance;
use bankcove_core::members::Peer;
use bankcove_core::paths::{PeerLoad, ServerGroup, choose_peer};
use bankcove_core::{Millis, Name};
use slog::Logger;

use crate::base::tcp;
use crate::paths::Paths;
use crate::peer::tunnel::{self, TunnelRefusal, TunnelRequest, TunnelStream};

/// Maximum number of peers that are asked for one tunnel.
const MAX_PEERS_ASKED: usize = 3;

/// Timeout for connecting to a peer; one that is reachable accepts within a few milliseconds.
const PEER_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout for the answer of a peer, which connects to the server before it answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a peer that has refused a tunnel or did not answer is not asked again, in
/// milliseconds.
const SKIP_MS: Millis = 500;

/// Maximum length of a request's identifier in a tunnel request, in bytes.
const MAX_ID_BYTES: usize = 64;

/// Reason for which there is no tunnel to a server. Nothing was sent to the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoTunnel {
    /// No peer is known to reach the server, or none of those that were asked carries the tunnel.
    #[error("no path to the server, neither directly nor through a peer")]
    NoPeer,
    /// A peer that has a path to the server's group could not connect to the server, or may not.
    #[error("no connection through a peer: {0}")]
    NotConnected(TunnelRefusal),
}

/// What this daemon knows of its peers as carriers of tunnels.
#[derive(Debug, Default)]
pub(super) struct Carriers {
    /// Tunnels opened through each peer since the report of this time.
    opened: HashMap<Name, (Option<Millis>, u32)>,
    /// Peers that are not asked until a time: for one group, or for all.
    skipped: HashMap<(Name, Option<ServerGroup>), Millis>,
}

impl Carriers {
    fn is_skipped(&self, now: Millis, peer: &Name, group: &ServerGroup) -> bool {
        let is_in_force = |group| {
            self.skipped.get(&(peer.clone(), group)).is_some_and(|until: &Millis| now < *until)
        };
        is_in_force(None) || is_in_force(Some(group.clone()))
    }

    /// Returns the number of tunnels that a peer carries: those of its last report, and those that
    /// this daemon has opened since.
    fn tunnels(&self, peer: &Peer) -> u32 {
        peer.paths.tunnels.saturating_add(self.opened(peer))
    }

    /// Returns the number of tunnels that this daemon has opened through a peer since its last
    /// report.
    pub(super) fn opened(&self, peer: &Peer) -> u32 {
        let opened = self.opened.get(&peer.name).filter(|(heard_at, _)| *heard_at == peer.heard_at);
        opened.map_or(0, |(_, opened)| *opened)
    }

    fn record_opened(&mut self, peer: &Peer) {
        let opened = self.opened.entry(peer.name.clone()).or_default();
        if opened.0 != peer.heard_at {
            *opened = (peer.heard_at, 0);
        }
        opened.1 += 1;
    }

    fn skip(&mut self, now: Millis, peer: &Name, group: Option<&ServerGroup>) {
        self.skipped.retain(|_, until| now < *until);
        self.skipped.insert((peer.clone(), group.cloned()), now + SKIP_MS);
    }
}

impl Paths {
    /// Returns whether a peer may carry tunnels to a group.
    pub(super) fn has_carrier(&self, group: &ServerGroup) -> bool {
        let now = self.fleet.base.clock.now();
        let members = self.fleet.members.lock();
        let carriers = self.carriers.lock();
        members.tunnel_peers(group).any(|peer| !carriers.is_skipped(now, &peer.name, group))
    }

    /// Opens a tunnel to a server of a group, for the request with this identifier; `log` adds the
    /// identifier. Returns the peer's name and the connection.
    ///
    /// # Errors
    /// [`NoTunnel`] when no peer carries one.
    pub(super) async fn open_tunnel(
        &self,
        log: &Logger,
        group: &ServerGroup,
        server: &ServerInstance,
        request: &str,
    ) -> Result<(Name, TunnelStream), NoTunnel> {
        let request = TunnelRequest {
            from: self.fleet.base.incarnation,
            server: server.clone(),
            request: request.chars().take(MAX_ID_BYTES / char::MAX.len_utf8()).collect(),
        };
        for _ in 0..MAX_PEERS_ASKED {
            let peer = self.choose_carrier(group).ok_or(NoTunnel::NoPeer)?;
            let refusal = match self.ask_for_tunnel(&peer, &request).await {
                Ok(stream) => {
                    self.fleet.base.metrics.count("tunnel.opened");
                    let now = self.fleet.base.clock.now();
                    slog::info!(log, "sent through a peer";
                        "peer" => %peer.name, "server" => %server.name, "pool" => %group.pool,
                        "hall" => %group.hall, "peer_tunnels" => peer.paths.tunnels,
                        "peer_heard_ms_ago" => peer.heard_at.map(|at| now.saturating_sub(at)));
                    return Ok((peer.name, stream));
                }
                Err(refusal) => refusal,
            };
            self.record_refusal(log, group, &peer, refusal);
            if let Some(
                refusal @ (TunnelRefusal::Closed
                | TunnelRefusal::NotConnected
                | TunnelRefusal::ServerRefused),
            ) = refusal
            {
                return Err(NoTunnel::NotConnected(refusal));
            }
        }
        Err(NoTunnel::NoPeer)
    }

    /// Chooses the peer to ask, and counts the tunnel.
    fn choose_carrier(&self, group: &ServerGroup) -> Option<Peer> {
        let now = self.fleet.base.clock.now();
        let members = self.fleet.members.lock();
        let mut carriers = self.carriers.lock();
        let usable = members.tunnel_peers(group);
        let peers: Vec<&Peer> =
            usable.filter(|peer| !carriers.is_skipped(now, &peer.name, group)).collect();
        let load = |peer: &&Peer| PeerLoad {
            is_same_hall: peer.hall == self.fleet.base.cfg.hall,
            tunnels: carriers.tunnels(peer),
        };
        let loads: Vec<PeerLoad> = peers.iter().map(load).collect();
        let peer = peers[choose_peer(&loads, rand::random())?].clone();
        carriers.record_opened(&peer);
        Some(peer)
    }

    /// Asks a peer for a tunnel.
    ///
    /// # Errors
    /// The peer's refusal; `None` if it did not answer.
    async fn ask_for_tunnel(
        &self,
        peer: &Peer,
        request: &TunnelRequest,
    ) -> Result<TunnelStream, Option<TunnelRefusal>> {
        let address = peer.paths.tunnel_address.as_deref().unwrap_or_default();
        let source = self.fleet.base.cfg.source_ip();
        let connecting = tokio::time::timeout(PEER_TIMEOUT, tcp::connect(address, source));
        let stream = connecting.await.ok().and_then(Result::ok).ok_or(None)?;
        tcp::break_when_silent(&stream);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, tunnel::open(stream, request)).await;
        match answer {
            Ok(Ok(Ok(stream))) => Ok(stream),
            Ok(Ok(Err(refusal))) => Err(Some(refusal)),
            Ok(Err(_)) | Err(_) => Err(None),
        }
    }

    /// Logs and counts that a peer does not carry a tunnel; `None` stands for no answer. The peer
    /// is skipped for some time, unless the server is the reason.
    fn record_refusal(
        &self,
        log: &Logger,
        group: &ServerGroup,
        peer: &Peer,
        refusal: Option<TunnelRefusal>,
    ) {
        let code = refusal.map_or("no_answer", TunnelRefusal::code);
        self.fleet.base.metrics.count(&format!("tunnel.refused.{code}"));
        slog::info!(log, "no tunnel through a peer";
            "peer" => %peer.name, "pool" => %group.pool, "hall" => %group.hall, "why" => code);
        let now = self.fleet.base.clock.now();
        match refusal {
            Some(
                TunnelRefusal::Closed | TunnelRefusal::NotConnected | TunnelRefusal::ServerRefused,
            ) => return,
            Some(TunnelRefusal::NoPath) => self.carriers.lock().skip(now, &peer.name, Some(group)),
            _ => self.carriers.lock().skip(now, &peer.name, None),
        }
        self.refresh_unreachable();
    }

    /// Returns whether a peer that has a path to a server's group can connect to the server; `None`
    /// if no peer can tell.
    pub async fn ask_peers_about(
        &self,
        group: &ServerGroup,
        server: &ServerInstance,
    ) -> Option<bool> {
        match self.open_tunnel(&self.fleet.base.log, group, server, "").await {
            Ok(_) => Some(true),
            Err(NoTunnel::NotConnected(TunnelRefusal::ServerRefused)) => Some(false),
            Err(_) => None,
        }
    }

    /// Sets the address at which this daemon accepts tunnels of peers.
    pub fn set_tunnel_address(&self, address: SocketAddr) {
        // It is set once, at the start.
        let _already_set = self.tunnel_address.set(address);
    }
}
