//! Servers that leave, and that ask for rest, over the real binaries and bankcove's own interface.

use std::time::Duration;

use bankcove_proofs::caller::{Attempt, AttemptOutcome, Caller, ChatRequest};
use bankcove_proofs::fleet::{Fleet, FleetConfig};
use bankcove_standins::engine::RunRecord;
use bankcove_standins::faults::Faults;
use serde_json::Value;

/// Pause between two calls.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Time for all daemons to be told.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

async fn send_requests(fleet: &Fleet, calls: usize) -> Vec<Attempt> {
    let mut open = Vec::new();
    for turn in 0..calls {
        let daemon = fleet.daemons[turn % fleet.daemons.len()].caller_address.clone();
        open.push(tokio::spawn(async move {
            // Another prompt each time, so that each engine is some callers' first.
            let id: u64 = rand::random();
            let mut request = ChatRequest::new(format!("call-{id}"));
            request.prompt = format!("{id} is the number of this call");
            Caller::default().chat(&daemon, &request).await
        }));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let ended = futures::future::join_all(open).await;
    ended.into_iter().map(|attempt| attempt.expect("a call ends")).collect()
}

fn count_done(attempts: &[Attempt]) -> usize {
    attempts.iter().filter(|attempt| matches!(attempt.outcome, AttemptOutcome::Done { .. })).count()
}

/// State of each engine as the first daemon's operators see it, by the engine's address.
fn states(fleet: &Fleet) -> Vec<String> {
    let listed = fleet.run_cli(0, &["servers", "--output", "json"]);
    let listed: Vec<Value> = serde_json::from_slice(&listed.stdout).expect("it prints JSON");
    listed.iter().map(|row| row["state"].as_str().unwrap_or_default().to_owned()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_announces_leaving_gets_no_new_requests_and_is_listed_as_leaving() {
    let fleet =
        Fleet::start(&FleetConfig { daemons: 3, engines: 2, ..FleetConfig::default() }).await;
    fleet.engines[0].set_faults(Faults { says_leaving: true, ..Faults::default() }).await;
    send_requests(&fleet, 20).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    // Later answers, and load reports, that don't say so undo nothing.
    fleet.engines[0].set_faults(Faults::default()).await;
    let before: Vec<RunRecord> = fleet.engines[0].history().await;
    let attempts = send_requests(&fleet, 240).await;
    let after: Vec<RunRecord> = fleet.engines[0].history().await;
    assert_eq!(after.len(), before.len());
    assert!(!before.is_empty(), "no answer could say so");
    assert_eq!(count_done(&attempts), attempts.len(), "the other engine has room for all");
    let states = states(&fleet);
    assert_eq!(states.iter().filter(|state| *state == "leaving").count(), 1, "{states:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_sends_retry_after_gets_no_requests_until_it_expires() {
    let fleet =
        Fleet::start(&FleetConfig { daemons: 1, engines: 1, ..FleetConfig::default() }).await;
    fleet.engines[0].set_faults(Faults { rest_s: Some(6.0), ..Faults::default() }).await;
    send_requests(&fleet, 1).await;
    assert_eq!(states(&fleet), ["resting"]);
    // It would run them now, but has asked for rest.
    fleet.engines[0].set_faults(Faults::default()).await;
    for attempt in send_requests(&fleet, 20).await {
        let is_expected = matches!(&attempt.outcome, AttemptOutcome::NotRun { code, .. } if code == "only_resting");
        assert!(is_expected, "{attempt:?}");
    }
    let runs: Vec<RunRecord> = fleet.engines[0].history().await;
    assert!(runs.is_empty(), "{runs:?}");
}
