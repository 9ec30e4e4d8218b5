//! What operators are told of a budget, over the real binaries: each part by itself, and their
//! sum is the total, also after a daemon was killed.

use bankcove_proofs::caller::{Ask, Caller, Told};
use bankcove_proofs::fleet::{Fleet, Plan};
use serde_json::Value;

const TOKENS: i64 = 1_000_000;

/// Looks until a killed daemon shows as silent or ended.
const LOOKS: usize = 100;

fn statement(fleet: &Fleet, daemon: usize) -> Value {
    let names = fleet.bankcove(daemon, &["table", "get", "--output", "json"]);
    let table: Value = serde_json::from_slice(&names.stdout).expect("it prints JSON");
    let budget = table["budgets"][0]["name"].as_str().expect("a budget has a name").to_owned();
    let shown = fleet.bankcove(daemon, &["budget", "show", &budget, "--output", "json"]);
    let mut shown: Value = serde_json::from_slice(&shown.stdout).expect("it prints JSON");
    shown["statement"].take()
}

fn sum(statement: &Value) -> i64 {
    let parts = ["not_granted", "spent", "reserved", "held", "ended", "silent", "on_the_way"];
    parts.iter().map(|part| statement[part].as_i64().expect("it is a number")).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_parts_of_a_budget_add_up_and_a_lost_daemon_stands_apart() {
    let mut fleet = Fleet::start(&Plan { daemons: 3, ..Plan::default() }).await;
    let daemons: Vec<String> = fleet.daemons.iter().map(|one| one.callers.clone()).collect();
    let mut spent = 0;
    for turn in 0..6 {
        let attempt =
            Caller::default().ask(&daemons[turn % 3], &Ask::new(format!("call-{turn}"))).await;
        assert!(matches!(attempt.told, Told::Done { .. }), "{attempt:?}");
        let now = statement(&fleet, 0);
        assert_eq!((now["total"].as_i64(), sum(&now)), (Some(TOKENS), TOKENS), "{now}");
        // Some tens of tokens a call, whatever is held.
        assert!(now["spent"].as_i64().is_some_and(|tokens| tokens < 1_000), "{now}");
        spent = now["spent"].as_i64().unwrap_or_default();
    }
    assert!(spent > 0);
    fleet.daemons[2].process.kill();
    for _ in 0..LOOKS {
        let now = statement(&fleet, 0);
        assert_eq!(sum(&now), TOKENS, "{now}");
        if now["silent"].as_i64().unwrap_or_default() + now["ended"].as_i64().unwrap_or_default()
            > 0
        {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("what was held by the lost daemon is told nowhere: {}", statement(&fleet, 0));
}
