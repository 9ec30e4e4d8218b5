//! Probes of servers: connections that are closed again. None is made while nothing has failed.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Name;
use bankcove_core::paths::{ProbeRound, ServerGroup};
use bankcove_core::router::ProbeTarget;

use crate::base::tcp::{ProbeResult, probe_and_hold};
use crate::paths::Paths;

/// Maximum number of servers of a group that one round probes.
const SERVERS_PER_ROUND: usize = 3;

/// Timeout of a probe; a reachable server accepts within 2 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a probe's connection must stay open: some network faults reset connections that
/// were accepted.
const HOLD: Duration = Duration::from_millis(20);

/// Pause between two rounds of probes.
const ROUND_PAUSE: Duration = Duration::from_millis(25);

/// Probes the groups whose paths are suspected or lost, until the daemon ends.
pub async fn run(paths: Arc<Paths>) {
    loop {
        let due = paths.change(|now, tracker| tracker.due_probes(now));
        for group in due {
            tokio::spawn(probe_group(Arc::clone(&paths), group));
        }
        let next_at = paths.read(|_, tracker| tracker.next_due_at()).flatten();
        let until_next = async {
            match next_at {
                Some(at) => paths.fleet.base.clock.sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = until_next => {}
            () = paths.probe_due.notified() => {}
            () = paths.fleet.base.shutdown.cancelled() => return,
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }
}

/// Runs one round of probes of a group.
async fn probe_group(paths: Arc<Paths>, group: ServerGroup) {
    let clock = &paths.fleet.base.clock;
    let started_at = clock.now();
    let targets =
        paths.router.lock().probe_targets(started_at, &group, SERVERS_PER_ROUND, rand::random());
    paths.fleet.base.metrics.add("path.probes", targets.len() as u64);
    let source = paths.fleet.base.cfg.source_ip();
    let probes = targets.iter().map(|target| is_reached(target, source));
    let results = futures::future::join_all(probes).await;
    let reached = results.iter().filter(|is_reached| **is_reached).count();
    let heard_at = paths.contacts.lock().get(&group).map(|contact| contact.heard_at());
    let has_data = heard_at.is_some_and(|at| at >= started_at);
    let round = ProbeRound { tried: targets.len(), reached, has_data };
    let unreached = targets.iter().zip(&results).filter(|(_, is_reached)| !**is_reached);
    let unreached: Vec<Name> = unreached.map(|(target, _)| target.server.clone()).collect();
    paths.record_round(&group, round, &unreached);
}

/// Returns whether a server accepts a connection.
async fn is_reached(target: &ProbeTarget, source: Option<IpAddr>) -> bool {
    probe_and_hold(&target.address, source, PROBE_TIMEOUT, HOLD).await == ProbeResult::Accepted
}
