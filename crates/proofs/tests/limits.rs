//! Servers that name a limit, over the real binaries and bankcove's own interface.

use std::time::Duration;

use bankcove_proofs::caller::{Ask, Attempt, Caller, Told};
use bankcove_proofs::fleet::{Fleet, Plan};
use bankcove_proofs::table::{KEY, MODEL};
use bankcove_standins::engine::RunRecord;
use bankcove_standins::faults::Faults;
use serde_json::Value;

/// Pause between two calls: 20 a second.
const PAUSE: Duration = Duration::from_millis(50);

/// Length of the spans that are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// What an engine may get in a span beyond one and a half times its limit.
const MORE: usize = 5;

async fn call(fleet: &Fleet, calls: usize) -> Vec<Attempt> {
    let mut open = Vec::new();
    for turn in 0..calls {
        let daemon = fleet.daemons[turn % fleet.daemons.len()].callers.clone();
        open.push(tokio::spawn(async move {
            // Another prompt each time, so that each engine is some callers' first.
            let mut ask = Ask::new(format!("call-{turn}"));
            ask.prompt = format!("{turn} is the number of this call");
            Caller::default().ask(&daemon, &ask).await
        }));
        tokio::time::sleep(PAUSE).await;
    }
    let ended = futures::future::join_all(open).await;
    ended.into_iter().map(|attempt| attempt.expect("a call ends")).collect()
}

/// Most runs that began within a span, once the first answer had named the limit everywhere.
fn worst_window(runs: &[RunRecord]) -> usize {
    let first = runs.iter().map(|run| run.at_ms).min().unwrap_or_default();
    let bound: Vec<u64> =
        runs.iter().map(|run| run.at_ms).filter(|at| *at > first + 1_000).collect();
    let within =
        |from: &u64| bound.iter().filter(|at| (*from..from + WINDOW_MS).contains(at)).count();
    bound.iter().map(within).max().unwrap_or_default()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_gets_no_more_than_it_names_and_operators_see_it() {
    let fleet = Fleet::start(&Plan { daemons: 3, engines: 2, ..Plan::default() }).await;
    fleet.engines[0].faults(Faults { limit_per_s: Some(1.0), ..Faults::default() }).await;
    let attempts = call(&fleet, 200).await;
    let runs: Vec<RunRecord> = fleet.engines[0].history().await;
    let worst = worst_window(&runs);
    assert!(worst <= 6 + MORE, "{worst} in the worst 4 s");
    assert!(worst > 0, "the limit is not used");
    let done = attempts.iter().filter(|attempt| matches!(attempt.told, Told::Done { .. }));
    assert_eq!(done.count(), attempts.len(), "the other engine has room for all");
    let listed = fleet.bankcove(0, &["limits", "--output", "json"]);
    let listed: Vec<Value> = serde_json::from_slice(&listed.stdout).expect("it prints JSON");
    assert_eq!(listed.len(), 1, "{listed:?}");
    assert_eq!(listed[0]["per_s"], 1.0);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_engines_that_take_nothing_are_told_that_nothing_ran_and_when_to_come() {
    let fleet = Fleet::start(&Plan { daemons: 2, engines: 1, ..Plan::default() }).await;
    fleet.engines[0].faults(Faults { limit_per_s: Some(0.0), ..Faults::default() }).await;
    let first = call(&fleet, 2).await;
    assert!(first.iter().any(|attempt| matches!(attempt.told, Told::Done { .. })));
    let before: Vec<RunRecord> = fleet.engines[0].history().await;
    for attempt in call(&fleet, 20).await {
        let is_told = matches!(&attempt.told, Told::NotRun { code, .. } if code == "only_limited");
        assert!(is_told, "{attempt:?}");
    }
    let after: Vec<RunRecord> = fleet.engines[0].history().await;
    assert_eq!(after.len(), before.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_load_tool_tells_what_each_server_got() {
    let fleet = Fleet::start(&Plan { daemons: 1, engines: 2, ..Plan::default() }).await;
    let servers: Vec<String> =
        fleet.engines.iter().map(|engine| engine.address.to_string()).collect();
    let mut args = vec!["load", "--target", &fleet.daemons[0].callers, "--key", KEY];
    args.extend(["--model", MODEL, "--rate", "20", "--duration", "1", "--output", "json"]);
    servers.iter().for_each(|server| args.extend(["--stand-in", server.as_str()]));
    let output = fleet.bankcove(0, &args);
    let report: Value = serde_json::from_slice(&output.stdout).expect("it prints JSON");
    let got = |n: usize| report["servers"][n]["requests"].as_u64().expect("it is a number");
    assert_eq!(got(0) + got(1), 20, "{report}");
}
