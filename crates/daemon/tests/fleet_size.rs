//! Size of the fleet as known to a daemon right after its start.
//!
//! Guards against a daemon that counts the peers known at the moment and so takes a large fleet
//! for a small one. After 295 daemons restarted while the store was unavailable, none could read
//! the host list and each received heartbeats from two or three peers. Each then drew by itself,
//! so that all of them wrote the same four ledgers: 25,500 draws instead of 7,000, 32,655 calls of
//! the store in 48 s, and 5,000 requests refused in 4 s (`budget_out_of_reach`).

use std::sync::Arc;

use bankcove_core::members::Heartbeat;
use bankcove_core::paths::PathReport;
use bankcove_core::rollout::RolloutOrders;
use bankcove_core::table::Budget;
use bankcove_core::{Incarnation, Name};
use bankcoved::base::config::Config;
use bankcoved::base::logging;
use bankcoved::budget::ownership::owners_to_ask;
use bankcoved::daemon::Daemon;

/// Size of the largest fleet in which each daemon draws by itself.
const DIRECT_DAEMONS: usize = 12;

fn daemon() -> Arc<Daemon> {
    let mut cfg = Config::example();
    cfg.name = Name::from("entry-0");
    cfg.limits.witnesses = 0;
    cfg.limits.direct_daemons = DIRECT_DAEMONS;
    Daemon::new(cfg, logging::discard()).expect("the daemon can be set up")
}

/// Delivers a heartbeat of peer `n`.
fn receive_heartbeat(daemon: &Daemon, n: u64) {
    let heartbeat = Heartbeat {
        name: Name::from(format!("entry-{n}").as_str()),
        hall: Name::from("hall-1"),
        incarnation: Incarnation(n),
        address: format!("127.0.0.1:{}", 20_000 + n),
        revision: 1,
        servers_version: Default::default(),
        evacuated: Default::default(),
        rollouts: RolloutOrders::default(),
        stopping: false,
        store_heard_ms: None,
        view_age_ms: None,
        paces: Vec::new(),
        crashes_digest: 0,
        hints_digest: 0,
        paths: PathReport::default(),
    };
    daemon.fleet.members.lock().record_heartbeat(0, &heartbeat);
}

#[test]
fn without_the_host_list_a_daemon_asks_the_peers_known_by_heartbeats() {
    let daemon = daemon();
    for n in 1..=3 {
        receive_heartbeat(&daemon, n);
    }
    for n in 0..40 {
        let budget = Budget::for_workspace(Name::from(format!("budget-{n}").as_str()), 1_000, 1);
        assert!(
            !owners_to_ask(&daemon.budgets, &budget).is_empty(),
            "the daemon would draw {} by itself",
            budget.name
        );
    }
}
