//! Statement of a budget for operators, tested with the real binaries: the parts add up to the
//! total, also after a daemon was killed.

use bankcove_proofs::caller::{AttemptOutcome, Caller, ChatRequest};
use bankcove_proofs::fleet::{Fleet, FleetConfig};
use serde_json::Value;

/// Tokens of the budget.
const BUDGET_TOKENS: i64 = 1_000_000;

/// Maximum number of polls until a killed daemon's tokens are listed as silent or ended.
const MAX_POLLS: usize = 100;

/// Returns the statement of the table's budget from a daemon.
fn read_statement(fleet: &Fleet, daemon: usize) -> Value {
    let table = fleet.run_cli(daemon, &["table", "get", "--output", "json"]);
    let table: Value = serde_json::from_slice(&table.stdout).expect("the client prints JSON");
    let budget = table["budgets"][0]["name"].as_str().expect("a budget has a name").to_owned();
    let shown = fleet.run_cli(daemon, &["budget", "show", &budget, "--output", "json"]);
    let mut shown: Value = serde_json::from_slice(&shown.stdout).expect("the client prints JSON");
    shown["statement"].take()
}

/// Returns the sum of the parts of a statement, in tokens.
fn sum_of_parts(statement: &Value) -> i64 {
    let parts = ["not_granted", "spent", "reserved", "held", "ended", "silent", "on_the_way"];
    parts.iter().map(|part| statement[part].as_i64().expect("each part is a number")).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn statement_parts_add_up_and_a_killed_daemon_is_listed_separately() {
    let mut fleet = Fleet::start(&FleetConfig { daemons: 3, ..FleetConfig::default() }).await;
    let daemons: Vec<String> =
        fleet.daemons.iter().map(|daemon| daemon.caller_address.clone()).collect();
    let mut spent = 0;
    for turn in 0..6 {
        let attempt = Caller::default()
            .chat(&daemons[turn % 3], &ChatRequest::new(format!("call-{turn}")))
            .await;
        assert!(matches!(attempt.outcome, AttemptOutcome::Done { .. }), "{attempt:?}");
        let statement = read_statement(&fleet, 0);
        assert_eq!(
            (statement["total"].as_i64(), sum_of_parts(&statement)),
            (Some(BUDGET_TOKENS), BUDGET_TOKENS),
            "{statement}"
        );
        // A request spends some tens of tokens, however many its daemon holds.
        assert!(statement["spent"].as_i64().is_some_and(|tokens| tokens < 1_000), "{statement}");
        spent = statement["spent"].as_i64().unwrap_or_default();
    }
    assert!(spent > 0);
    fleet.daemons[2].process.kill();
    for _ in 0..MAX_POLLS {
        let statement = read_statement(&fleet, 0);
        assert_eq!(sum_of_parts(&statement), BUDGET_TOKENS, "{statement}");
        if statement["silent"].as_i64().unwrap_or_default()
            + statement["ended"].as_i64().unwrap_or_default()
            > 0
        {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!(
        "the tokens held by the killed daemon are in no part of the statement: {}",
        read_statement(&fleet, 0)
    );
}
