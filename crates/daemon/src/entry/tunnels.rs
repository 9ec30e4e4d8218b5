//! Tunnels that this daemon carries for peers: connections to backend servers that a peer has no
//! path to itself.
//!
//! A tunnel leads to the server over this host's own path only. The peer has chosen the server,
//! holds the permit for the request and pays for it; this daemon checks that nothing speaks against
//! a connection from this host.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::link::Traffic;
use tokio::net::{TcpListener, TcpStream};

use crate::base::tcp;
use crate::entry::Entry;
use crate::error::Result;
use crate::paths::CarriedTunnel;
use crate::peer::tunnel::{RequestedTunnel, TunnelRefusal, TunnelRequest};

/// Maximum number of tunnels that a daemon carries. Each takes two descriptors and some 20 KB.
const MAX_TUNNELS: u32 = 256;

/// Timeout for the request on a new connection.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for connecting to the server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Starts to carry tunnels of peers, in the background, until the daemon ends.
///
/// # Errors
/// Returns [`crate::Error::Listen`] if listening on the tunnel port fails.
pub fn serve(entry: Arc<Entry>) -> Result<()> {
    let cfg = &entry.requests.base.cfg;
    let listener = tcp::listen(&cfg.tunnel_listen())?;
    let port = listener.local_addr().map_err(crate::Error::Setup)?.port();
    if let Some(ip) = cfg.peer_ip() {
        entry.requests.paths.set_tunnel_address(SocketAddr::new(ip, port));
    }
    tokio::spawn(async move {
        let shutdown = entry.requests.base.shutdown.clone();
        tokio::select! {
            () = accept_connections(&entry, listener) => {}
            () = shutdown.cancelled() => {}
        }
    });
    Ok(())
}

async fn accept_connections(entry: &Arc<Entry>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(carry(Arc::clone(entry), stream))),
            Err(e) => {
                slog::warn!(entry.requests.base.log, "failed to accept a tunnel"; "error" => %e);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Carries one tunnel until it ends.
async fn carry(entry: Arc<Entry>, stream: TcpStream) {
    tcp::break_when_silent(&stream);
    let requested = tokio::time::timeout(REQUEST_TIMEOUT, RequestedTunnel::read(stream)).await;
    let Ok(Ok(tunnel)) = requested else { return };
    let request = tunnel.request.clone();
    // A graceful shutdown waits for the tunnel as for a request.
    let _in_flight = entry.requests.in_flight.token();
    let connected = match admit(&entry, &request) {
        Ok((address, carried)) => connect(&entry, &address).await.map(|server| (server, carried)),
        Err(refusal) => Err(refusal),
    };
    let ended = match connected {
        Ok((server, _carried)) => {
            log_tunnel(&entry, &request, "opened");
            let record = |bytes: usize| {
                // Each byte passes the link twice: from one side and to the other.
                let bytes = 2 * bytes as u64;
                entry.record_passed(Traffic { bytes, chunks: 2, ..Traffic::default() });
            };
            match tunnel.accept(server).await {
                Ok(tunnel) => tunnel.run(tcp::SILENCE_TIMEOUT, record).await,
                Err(e) => Err(e),
            }
        }
        Err(refusal) => {
            log_tunnel(&entry, &request, refusal.code());
            tunnel.refuse(refusal).await
        }
    };
    if let Err(e) = ended {
        log_broken(&entry, &request, &e);
    }
}

/// Checks whether a tunnel may be carried; returns the server's address.
fn admit<'a>(
    entry: &'a Entry,
    request: &TunnelRequest,
) -> std::result::Result<(String, CarriedTunnel<'a>), TunnelRefusal> {
    let requests = &entry.requests;
    if requests.leaving.is_cancelled() {
        return Err(TunnelRefusal::Stopping);
    }
    if !requests.fleet.members.lock().is_peer(request.from) {
        return Err(TunnelRefusal::UnknownSender);
    }
    if entry.is_withdrawn() || !entry.may_send() {
        return Err(TunnelRefusal::LinkFull);
    }
    let now = requests.base.clock.now();
    let (address, groups) = {
        let router = requests.router.lock();
        let server = &request.server;
        let is_serving = router.is_current_and_not_leaving(now, &server.name, server.started_ms);
        if !is_serving || router.check_open(now, server).is_err() {
            return Err(TunnelRefusal::Closed);
        }
        let address = router.address_of(server).ok_or(TunnelRefusal::Closed)?;
        (address, router.groups_of(&server.name))
    };
    if groups.iter().any(|group| requests.paths.is_lost(group)) {
        return Err(TunnelRefusal::NoPath);
    }
    let carried = requests.paths.carry(MAX_TUNNELS).ok_or(TunnelRefusal::Full)?;
    Ok((address, carried))
}

/// Connects to a server.
async fn connect(entry: &Entry, address: &str) -> std::result::Result<TcpStream, TunnelRefusal> {
    let connecting = tcp::connect(address, entry.settings.source_ip);
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(server)) => {
            tcp::break_when_silent(&server);
            Ok(server)
        }
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
            Err(TunnelRefusal::ServerRefused)
        }
        Ok(Err(_)) | Err(_) => Err(TunnelRefusal::NotConnected),
    }
}

/// Logs and counts the answer to a request for a tunnel.
fn log_tunnel(entry: &Entry, request: &TunnelRequest, answer: &'static str) {
    let base = &entry.requests.base;
    base.metrics.count(&format!("tunnel.carried.{answer}"));
    slog::info!(base.log, "tunnel requested";
        "request" => &request.request, "from" => %request.from, "server" => %request.server.name,
        "answer" => answer);
}

fn log_broken(entry: &Entry, request: &TunnelRequest, e: &io::Error) {
    let base = &entry.requests.base;
    base.metrics.count("tunnel.broken");
    slog::info!(base.log, "tunnel broke";
        "request" => &request.request, "server" => %request.server.name, "error" => %e);
}
