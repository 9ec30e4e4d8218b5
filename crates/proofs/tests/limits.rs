//! Servers that announce a request limit, which all daemons together must not exceed: tested with
//! the real binaries over bankcove's own interface.

use std::time::Duration;

use bankcove_proofs::caller::{Attempt, AttemptOutcome, Caller, ChatRequest};
use bankcove_proofs::fleet::{Fleet, FleetConfig};
use bankcove_proofs::table::{API_KEY, MODEL};
use bankcove_standins::engine::RunRecord;
use bankcove_standins::faults::Faults;
use serde_json::Value;

/// Interval between two requests: 20 per second.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Length of the windows in which runs are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Number of requests that an engine may receive in a window beyond one and a half times its limit.
const SLACK_REQUESTS: usize = 5;

/// Sends `count` requests to the daemons in turn and returns their attempts.
async fn send_requests(fleet: &Fleet, count: usize) -> Vec<Attempt> {
    let mut callers = Vec::new();
    for turn in 0..count {
        let daemon = fleet.daemons[turn % fleet.daemons.len()].caller_address.clone();
        callers.push(tokio::spawn(async move {
            // Prompts differ, so that each engine is the first choice for some of them.
            let mut request = ChatRequest::new(format!("call-{turn}"));
            request.prompt = format!("{turn} is the number of this call");
            Caller::default().chat(&daemon, &request).await
        }));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let attempts = futures::future::join_all(callers).await;
    attempts.into_iter().map(|attempt| attempt.expect("the caller does not panic")).collect()
}

/// Returns the largest number of runs that started within a window, counted from 1 s after the
/// first run, when all daemons know the limit.
fn most_runs_in_window(runs: &[RunRecord]) -> usize {
    let first = runs.iter().map(|run| run.at_ms).min().unwrap_or_default();
    let limited: Vec<u64> =
        runs.iter().map(|run| run.at_ms).filter(|at| *at > first + 1_000).collect();
    let runs_within =
        |from: &u64| limited.iter().filter(|at| (*from..from + WINDOW_MS).contains(at)).count();
    limited.iter().map(runs_within).max().unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_gets_no_more_than_its_announced_limit_and_operators_see_it() {
    let fleet =
        Fleet::start(&FleetConfig { daemons: 3, engines: 2, ..FleetConfig::default() }).await;
    fleet.engines[0].set_faults(Faults { limit_per_s: Some(1.0), ..Faults::default() }).await;
    let attempts = send_requests(&fleet, 200).await;
    let runs: Vec<RunRecord> = fleet.engines[0].history().await;
    let most_runs = most_runs_in_window(&runs);
    assert!(most_runs <= 6 + SLACK_REQUESTS, "{most_runs} runs started within 4 s");
    assert!(most_runs > 0, "the engine received no requests within its limit");
    let done =
        attempts.iter().filter(|attempt| matches!(attempt.outcome, AttemptOutcome::Done { .. }));
    assert_eq!(done.count(), attempts.len(), "the other engine can serve all requests");
    let listed = fleet.run_cli(0, &["limits", "--output", "json"]);
    let listed: Vec<Value> =
        serde_json::from_slice(&listed.stdout).expect("the client prints JSON");
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
    let report: Value = serde_json::from_slice(&output.stdout).expect("the client prints JSON");
    let requests =
        |n: usize| report["servers"][n]["requests"].as_u64().expect("the count is a number");
    assert_eq!(requests(0) + requests(1), 20, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_see_the_paths_of_all_daemons() {
    let fleet = Fleet::start(&FleetConfig { daemons: 2, ..FleetConfig::default() }).await;
    let shown = fleet.run_cli(0, &["paths", "--output", "json"]);
    let shown: Vec<Value> = serde_json::from_slice(&shown.stdout).expect("the client prints JSON");
    assert_eq!(shown.len(), 2, "{shown:?}");
    assert!(shown.iter().all(|row| row["lost"] == "" && row["tunnels_carried"] == 0), "{shown:?}");
}
