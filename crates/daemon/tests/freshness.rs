//! Age of a daemon's view after heartbeats.
//!
//! Guards against a view that seems current although no daemon reads the store, because the age in
//! a heartbeat is counted from its receipt; see `freshness_by_gossip.rs` in core.

use std::sync::Arc;

use bankcove_core::members::Heartbeat;
use bankcove_core::paths::PathReport;
use bankcove_core::rollout::RolloutOrders;
use bankcove_core::{Incarnation, Name};
use bankcoved::base::config::Config;
use bankcoved::base::logging;
use bankcoved::daemon::Daemon;
use bankcoved::membership;

/// An address at which no peer listens.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:9";

fn heartbeat() -> Heartbeat {
    Heartbeat {
        name: Name::from("entry-1"),
        hall: Name::from("hall-1"),
        incarnation: Incarnation(1),
        address: UNREACHABLE_ADDRESS.to_owned(),
        revision: 0,
        servers_version: Default::default(),
        evacuated: Default::default(),
        rollouts: RolloutOrders::default(),
        stopping: false,
        store_heard_ms: Some(0),
        view_age_ms: Some(0),
        paces: Vec::new(),
        crashes_digest: 0,
        hints_digest: 0,
        paths: PathReport::default(),
    }
}

#[tokio::test]
async fn an_unsolicited_heartbeat_does_not_make_the_view_current() {
    let daemon: Arc<Daemon> =
        Daemon::new(Config::example(), logging::discard()).expect("the daemon can be set up");
    // The transmission time of an unsolicited heartbeat is unknown, so its ages are not used.
    membership::handle_heartbeat(&daemon.membership, &heartbeat());
    let now = daemon.clock.now();
    assert_eq!(daemon.fleet.connectivity.view_age(now), None);
    assert_eq!(daemon.fleet.connectivity.store_age(now), None);
}
