//! Servers that name a limit, over the real binaries and bankcove's own interface.

use std::time::Duration;

use bankcove_proofs::caller::{Attempt, AttemptOutcome, Caller, ChatRequest};
use bankcove_proofs::fleet::{Fleet, FleetConfig};
use bankcove_proofs::table::{API_KEY, MODEL};
use bankcove_standins::engine::RunRecord;
use bankcove_standins::faults::Faults;
use serde_json::Value;

/// Pause between two calls: 20 a second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Length of the spans that are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// What an engine may get in a span beyond one and a half times its limit.
const SLACK_REQUESTS: usize = 5;

async fn send_requests(fleet: &Fleet, calls: usize) -> Vec<Attempt> {
    let mut open = Vec::new();
    for turn in 0..calls {
        let daemon = fleet.daemons[turn % fleet.daemons.len()].caller_address.clone();
        open.push(tokio::spawn(async move {
            // Another prompt each time, so that each engine is some callers' first.
            let mut request = ChatRequest::new(format!("call-{turn}"));
            request.prompt = format!("{turn} is the number of this call");
            Caller::default().chat(&daemon, &request).await
        }));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let ended = futures::future::join_all(open).await;
    ended.into_iter().map(|attempt| attempt.expect("a call ends")).collect()
}

/// Most runs that began within a span, once the first answer had named the limit everywhere.
fn most_runs_in_window(runs: &[RunRecord]) -> usize {
    let first = runs.iter().map(|run| run.at_ms).min().unwrap_or_default();
    let bound: Vec<u64> =
        runs.iter().map(|run| run.at_ms).filter(|at| *at > first + 1_000).collect();
    let within =
        |from: &u64| bound.iter().filter(|at| (*from..from + WINDOW_MS).contains(at)).count();
    bound.iter().map(within).max().unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_gets_no_more_than_its_announced_limit_and_operators_see_it() {
    let fleet =
        Fleet::start(&FleetConfig { daemons: 3, engines: 2, ..FleetConfig::default() }).await;
    fleet.engines[0].set_faults(Faults { limit_per_s: Some(1.0), ..Faults::default() }).await;
    let attempts = send_requests(&fleet, 200).await;
    let runs: Vec<RunRecord> = fleet.engines[0].history().await;
    let worst = most_runs_in_window(&runs);
    assert!(worst <= 6 + SLACK_REQUESTS, "{worst} in the worst 4 s");
    assert!(worst > 0, "the limit is not used");
    let done =
        attempts.iter().filter(|attempt| matches!(attempt.outcome, AttemptOutcome::Done { .. }));
    assert_eq!(done.count(), attempts.len(), "the other engine has room for all");
    let listed = fleet.run_cli(0, &["limits", "--output", "json"]);
    let listed: Vec<Value> = serde_json::from_slice(&listed.stdout).expect("it prints JSON");
    assert_eq!(listed.len(), 1, "{listed:?}");
    assert_eq!(listed[0]["per_s"], 1.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_for_an_engine_with_limit_zero_are_answered_not_run() {
    let fleet =
        Fleet::start(&FleetConfig { daemons: 2, engines: 1, ..FleetConfig::default() }).await;
    fleet.engines[0].set_faults(Faults { limit_per_s: Some(0.0), ..Faults::default() }).await;
    let first = send_requests(&fleet, 2).await;
    assert!(first.iter().any(|attempt| matches!(attempt.outcome, AttemptOutcome::Done { .. })));
    let before: Vec<RunRecord> = fleet.engines[0].history().await;
    for attempt in send_requests(&fleet, 20).await {
        let is_expected = matches!(&attempt.outcome, AttemptOutcome::NotRun { code, .. } if code == "only_limited");
        assert!(is_expected, "{attempt:?}");
    }
    let after: Vec<RunRecord> = fleet.engines[0].history().await;
    assert_eq!(after.len(), before.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_load_tool_reports_requests_per_server() {
    let fleet =
        Fleet::start(&FleetConfig { daemons: 1, engines: 2, ..FleetConfig::default() }).await;
    let servers: Vec<String> =
        fleet.engines.iter().map(|engine| engine.address.to_string()).collect();
    let mut args = vec!["load", "--target", &fleet.daemons[0].caller_address, "--key", API_KEY];
    args.extend(["--model", MODEL, "--rate", "20", "--duration", "1", "--output", "json"]);
    servers.iter().for_each(|server| args.extend(["--stand-in", server.as_str()]));
    let output = fleet.run_cli(0, &args);
    let report: Value = serde_json::from_slice(&output.stdout).expect("it prints JSON");
    let got = |n: usize| report["servers"][n]["requests"].as_u64().expect("it is a number");
    assert_eq!(got(0) + got(1), 20, "{report}");
}
