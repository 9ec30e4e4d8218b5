//! When a daemon believes that what it knows is current: see freshness_by_gossip.rs of core.

use std::sync::Arc;

use bankcove_core::members::Heartbeat;
use bankcove_core::{Incarnation, Name};
use bankcoved::base::config::Config;
use bankcoved::base::logging;
use bankcoved::daemon::Daemon;
use bankcoved::membership;

/// An address at which nobody answers.
const NOBODY: &str = "127.0.0.1:9";

fn heartbeat() -> Heartbeat {
    Heartbeat {
        name: Name::from("entry-1"),
        hall: Name::from("hall-1"),
        incarnation: Incarnation(1),
        address: NOBODY.to_owned(),
        revision: 0,
        servers_version: Default::default(),
        evacuated: Default::default(),
        stopping: false,
        store_heard_ms: Some(0),
        view_age_ms: Some(0),
        paces: Vec::new(),
        crashes_digest: 0,
        hints_digest: 0,
    }
}

#[tokio::test]
async fn a_heartbeat_that_was_not_asked_for_makes_nobody_current() {
    let daemon: Arc<Daemon> =
        Daemon::new(Config::example(), logging::discard()).expect("it can be set up");
    // How long it was under way nobody knows.
    membership::heard(&daemon.membership, &heartbeat());
    let now = daemon.clock.now();
    assert_eq!(daemon.fleet.contact.view_age(now), None);
    assert_eq!(daemon.fleet.contact.store_age(now), None);
}
