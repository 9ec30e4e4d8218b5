//! What a daemon takes its fleet for right after a start.
//!
//! Symptom: after the return of 295 daemons, while the store was away, 25,500 draws in
//! place of 7,000 and 32,655 calls of the store in 48 s; 5,000 of its requests in 4 s were
//! refused (`budget_out_of_reach`). Sequence: no daemon could read the host list; each
//! heard two or three peers by heartbeats. Cause: whether a fleet is small was counted
//! from the peers known at the moment, so each daemon drew by itself and all of them wrote
//! the same four ledgers.

use std::sync::Arc;

use bankcove_core::members::Heartbeat;
use bankcove_core::table::Budget;
use bankcove_core::{Incarnation, Name};
use bankcoved::base::config::Config;
use bankcoved::base::logging;
use bankcoved::budget::ownership::owners_to_ask;
use bankcoved::daemon::Daemon;

/// Fleets up to this size draw each by itself.
const DIRECT: usize = 12;

fn daemon() -> Arc<Daemon> {
    let mut cfg = Config::example();
    cfg.name = Name::from("entry-0");
    cfg.limits.witnesses = 0;
    cfg.limits.direct_daemons = DIRECT;
    Daemon::new(cfg, logging::discard()).expect("it can be set up")
}

fn speaks(daemon: &Daemon, n: u64) {
    let heartbeat = Heartbeat {
        name: Name::from(format!("entry-{n}").as_str()),
        hall: Name::from("hall-1"),
        incarnation: Incarnation(n),
        address: format!("127.0.0.1:{}", 20_000 + n),
        revision: 1,
        servers_version: Default::default(),
        evacuated: Default::default(),
        stopping: false,
        store_heard_ms: None,
        view_age_ms: None,
        paces: Vec::new(),
        crashes_digest: 0,
        hints_digest: 0,
    };
    daemon.fleet.members.lock().record_heartbeat(0, &heartbeat);
}

#[test]
fn who_has_not_seen_the_list_draws_for_nobody_but_asks_the_peers_it_hears() {
    let daemon = daemon();
    for n in 1..=3 {
        speaks(&daemon, n);
    }
    for n in 0..40 {
        let budget = Budget::for_workspace(Name::from(format!("budget-{n}").as_str()), 1_000, 1);
        assert!(
            !owners_to_ask(&daemon.budgets, &budget).is_empty(),
            "it would draw {}",
            budget.name
        );
    }
}
