//! Finds out whether a server that broke off has crashed: the evidence against a request must
//! not be a reset connection, a cut, or a host in trouble of its own.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::crashes::ServerStart;

use crate::base::tcp::{ProbeResult, probe_and_hold};
use crate::crashes::{Crashes, Origin};

/// Longest wait for a connection: a host in reach accepts or refuses within 2 ms.
const REACH_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a connection to a server that lives stays open at the least: a port that is open
/// longer than its process by more than this was not seen.
const HOLD: Duration = Duration::from_millis(100);

/// Pause between two tries to reach a server that is silent.
const PAUSE: Duration = Duration::from_millis(100);

/// How long a server that neither accepts nor refuses is in doubt, in milliseconds: the entry
/// of one that is lost with its host goes after three heartbeats, some 3 to 4 s.
const DOUBT_MS: Millis = 5_000;

/// Finds it out, and takes in the answer.
pub(super) async fn verify(crashes: Arc<Crashes>, server: ServerStart, address: String) {
    let has_crashed = has_crashed(&crashes, &server, &address).await;
    let now = crashes.fleet.base.clock.now();
    if has_crashed {
        let news = crashes.change(now, |book| book.record_crash(now, &server));
        crashes.take_news(&news, Origin::Here);
    } else {
        slog::info!(crashes.fleet.base.log, "server broke off and has not crashed"; "server" => %server.name);
        crashes.change(now, |book| book.record_alive(&server));
    }
}

async fn has_crashed(crashes: &Crashes, server: &ServerStart, address: &str) -> bool {
    let doubted_until = crashes.fleet.base.clock.now() + DOUBT_MS;
    loop {
        match probe_and_hold(address, REACH_TIMEOUT, HOLD).await {
            ProbeResult::Refused => return true,
            ProbeResult::Accepted => return false,
            ProbeResult::NoAnswer => {}
        }
        // Gone from the list, or another start has its name.
        if !crashes.router.lock().is_current_start(&server.name, server.started_ms) {
            return true;
        }
        if crashes.fleet.base.clock.now() >= doubted_until
            || crashes.fleet.base.shutdown.is_cancelled()
        {
            return false;
        }
        tokio::time::sleep(PAUSE).await;
    }
}
