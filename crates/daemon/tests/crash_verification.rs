//! Whether a server has crashed is checked through a peer while this host has no path to it.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::members::Heartbeat;
use bankcove_core::paths::{Evidence, PathReport, ServerGroup};
use bankcove_core::rollout::Versions;
use bankcove_core::router::{Choice, RoutingRequest};
use bankcove_core::server_list::ListedServer;
use bankcove_core::table::Table;
use bankcove_core::{Fingerprint, Incarnation, Name};
use bankcoved::base::config::Config;
use bankcoved::base::logging;
use bankcoved::daemon::Daemon;
use bankcoved::paths::probe;
use bankcoved::peer::tunnel::{RequestedTunnel, TunnelRefusal};
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// Interval and number of checks for a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: u32 = 500;

/// Returns an address at which connections are refused.
async fn refusing_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    listener.local_addr().expect("a listener has an address").to_string()
}

/// Starts a peer that reaches the server, or finds that it refuses connections; returns its tunnel
/// address.
async fn start_peer(has_crashed: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("a listener has an address").to_string();
    let server_address = address.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let Ok(tunnel) = RequestedTunnel::read(stream).await else { continue };
            if has_crashed {
                tunnel.refuse(TunnelRefusal::ServerRefused).await.expect("it is sent");
            } else {
                let server = TcpStream::connect(&server_address).await.expect("it is accepted");
                let _tunnel = tunnel.accept(server).await.expect("it is sent");
            }
        }
    });
    address
}

/// Returns a daemon that knows one server, at an address that refuses connections.
async fn daemon_with_server() -> (Arc<Daemon>, Choice) {
    let mut cfg = Config::example();
    cfg.entry = None;
    let daemon = Daemon::new(cfg, logging::discard()).expect("the daemon can be set up");
    let (pool, hall) = (Name::from("engines"), Name::from("hall-1"));
    let server = ListedServer {
        name: Name::from("i-1"),
        started_ms: 0,
        service: pool.clone(),
        version: None,
        address: refusing_address().await,
        hall,
        slots: 8,
        draining: false,
        cold_for_ms: 0,
    };
    let mut router = daemon.router.lock();
    let rows = [bankcove_core::router::ListedRow { server: &server, cold_until: 0 }];
    router.adopt_with_list(&Table::default(), &[], rows.into_iter());
    let request = RoutingRequest {
        pool: pool.as_str(),
        prefix: 0,
        prompt_tokens: 0,
        shared_tokens: 0,
        hour: 0,
        seed: 0,
        tried: &[],
        homes: Default::default(),
        versions: Versions::Any,
    };
    let choice = router.choose(0, &request).expect("the server is usable");
    drop(router);
    (daemon, choice)
}

/// Guards against a cut path, on which connections are refused, that is taken for a crash of all
/// servers behind it; and against a crash that is not noticed for it.
#[parameterized(
    running = { false },
    crashed = { true },
)]
#[test_macro(tokio::test)]
async fn a_refused_connection_on_a_lost_path_is_a_crash_only_if_a_peer_is_refused_too(
    has_crashed: bool,
) {
    let (daemon, choice) = daemon_with_server().await;
    let peer = Heartbeat {
        name: Name::from("entry-2"),
        hall: Name::from("hall-2"),
        incarnation: Incarnation(2),
        address: "127.0.0.1:9".to_owned(),
        revision: 0,
        servers_version: Default::default(),
        evacuated: Default::default(),
        rollouts: Default::default(),
        stopping: false,
        store_heard_ms: None,
        view_age_ms: None,
        paces: Vec::new(),
        crashes_digest: 0,
        hints_digest: 0,
        paths: PathReport::new([], Some(start_peer(has_crashed).await), 0),
    };
    daemon.fleet.members.lock().record_heartbeat(daemon.clock.now(), &peer);
    tokio::spawn(probe::run(Arc::clone(&daemon.paths)));
    let group = ServerGroup { pool: Name::from("engines"), hall: choice.hall.clone() };
    daemon.paths.record_evidence(&group, Evidence::Broken);
    let request = Fingerprint::of("host", "/path", "workspace", b"body");
    daemon.crashes.record_disconnect(&choice, request.into());
    let mut is_decided = false;
    for _ in 0..MAX_POLLS {
        let metrics = daemon.metrics.text();
        is_decided = metrics.contains("tunnel.opened") || metrics.contains("tunnel.refused");
        if is_decided {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(is_decided, "no peer was asked");
    tokio::time::sleep(POLL_INTERVAL * 5).await;
    assert_eq!(!daemon.crashes.facts().crashes.is_empty(), has_crashed);
}
