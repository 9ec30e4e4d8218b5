//! Verification of crashes: a reset connection, a network cut or a failing host must not count as
//! evidence against a request.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::crashes::ServerInstance;
use bankcove_core::paths::ServerGroup;

use crate::base::tcp::{ProbeResult, probe_and_hold};
use crate::crashes::{Crashes, Origin};

/// Timeout of a connection attempt; a reachable host accepts or refuses within 2 ms.
const REACH_TIMEOUT: Duration = Duration::from_millis(250);

/// Minimum time for which a connection to a running server stays open. No port was seen to stay
/// open after the end of its process for longer than this.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);

/// Pause between two attempts to reach an unresponsive server.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a server that neither accepts nor refuses connections is checked, in
/// milliseconds. The list entry of a server lost with its host is removed after three heartbeats,
/// some 3 to 4 s.
const MAX_CHECK_MS: Millis = 5_000;

/// Checks whether a disconnected server has crashed and records the result.
pub(super) async fn verify(crashes: Arc<Crashes>, server: ServerInstance, address: String) {
    let has_crashed = has_crashed(&crashes, &server, &address).await;
    let now = crashes.fleet.base.clock.now();
    if has_crashed {
        let updates = crashes.change(now, |tracker| tracker.record_crash(now, &server));
        crashes.process_updates(&updates, Origin::Local);
    } else {
        slog::info!(crashes.fleet.base.log, "server broke off and has not crashed"; "server" => %server.name);
        let updates = crashes.change(now, |tracker| tracker.record_alive(&server));
        crashes.process_updates(&updates, Origin::Local);
    }
}

/// What a check of a server shows.
enum Finding {
    /// It runs.
    Running,
    /// It does not.
    Crashed,
    /// Neither is certain yet.
    InDoubt,
}

/// Returns whether a server has crashed: it refuses connections, or its entry is gone from the
/// server list. A server that is still in doubt after `MAX_CHECK_MS` counts as running.
async fn has_crashed(crashes: &Crashes, server: &ServerInstance, address: &str) -> bool {
    let deadline = crashes.fleet.base.clock.now() + MAX_CHECK_MS;
    loop {
        match check(crashes, server, address).await {
            Finding::Running => return false,
            Finding::Crashed => return true,
            Finding::InDoubt => {}
        }
        // The server is gone from the list, or another instance of it is listed.
        if !crashes.router.lock().is_current_instance(&server.name, server.started_ms) {
            return true;
        }
        if crashes.fleet.base.clock.now() >= deadline || crashes.fleet.base.shutdown.is_cancelled()
        {
            return false;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Checks a server from this host. If the host has lost its path to the server, a failed connection
/// shows nothing, and peers are asked.
async fn check(crashes: &Crashes, server: &ServerInstance, address: &str) -> Finding {
    let source = crashes.fleet.base.cfg.source_ip();
    let finding = match probe_and_hold(address, source, REACH_TIMEOUT, MIN_OPEN_TIME).await {
        ProbeResult::Accepted => return Finding::Running,
        ProbeResult::Refused => Finding::Crashed,
        ProbeResult::NoAnswer => Finding::InDoubt,
    };
    let Some(group) = lost_group(crashes, server).await else { return finding };
    match crashes.paths.ask_peers_about(&group, server).await {
        Some(true) => Finding::Running,
        Some(false) => Finding::Crashed,
        None if crashes.fleet.members.lock().usable().next().is_none() => finding,
        None => Finding::InDoubt,
    }
}

/// Returns a group of the server to which this host has lost its path.
async fn lost_group(crashes: &Crashes, server: &ServerInstance) -> Option<ServerGroup> {
    let groups = crashes.router.lock().groups_of(&server.name);
    for group in groups {
        if crashes.paths.await_decision(&group).await {
            return Some(group);
        }
    }
    None
}
