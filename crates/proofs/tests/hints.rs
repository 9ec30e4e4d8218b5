//! Hints in response headers: a server that is leaving, or asks for rest until a retry time, gets no
//! new requests. Tested with the real binaries over bankcove's own interface.

use std::time::Duration;

use bankcove_proofs::caller::{Attempt, AttemptOutcome, Caller, ChatRequest};
use bankcove_proofs::fleet::{Fleet, FleetConfig};
use bankcove_standins::engine::RunRecord;
use bankcove_standins::faults::Faults;
use serde_json::Value;

/// Interval between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which all daemons learn of an announcement.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Sends `count` requests to the daemons in turn and returns their attempts.
async fn send_requests(fleet: &Fleet, count: usize) -> Vec<Attempt> {
    let mut callers = Vec::new();
    for turn in 0..count {
        let daemon = fleet.daemons[turn % fleet.daemons.len()].caller_address.clone();
        callers.push(tokio::spawn(async move {
            // Prompts differ, so that each engine is the first choice for some of them.
            let id: u64 = rand::random();
            let mut request = ChatRequest::new(format!("call-{id}"));
            request.prompt = format!("{id} is the number of this call");
            Caller::default().chat(&daemon, &request).await
        }));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let attempts = futures::future::join_all(callers).await;
    attempts.into_iter().map(|attempt| attempt.expect("the caller does not panic")).collect()
}

/// Returns the number of attempts with a complete response.
fn count_done(attempts: &[Attempt]) -> usize {
    attempts.iter().filter(|attempt| matches!(attempt.outcome, AttemptOutcome::Done { .. })).count()
}

/// Returns the state of each engine as the first daemon reports it to operators.
fn states(fleet: &Fleet) -> Vec<String> {
    let listed = fleet.run_cli(0, &["servers", "--output", "json"]);
    let listed: Vec<Value> =
        serde_json::from_slice(&listed.stdout).expect("the client prints JSON");
    listed.iter().map(|row| row["state"].as_str().unwrap_or_default().to_owned()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_announces_leaving_gets_no_new_requests_and_is_listed_as_leaving() {
    let fleet =
        Fleet::start(&FleetConfig { daemons: 3, engines: 2, ..FleetConfig::default() }).await;
    fleet.engines[0].set_faults(Faults { says_leaving: true, ..Faults::default() }).await;
    send_requests(&fleet, 20).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    // Later responses and load reports without the announcement do not revoke it.
    fleet.engines[0].set_faults(Faults::default()).await;
    let before: Vec<RunRecord> = fleet.engines[0].history().await;
    let attempts = send_requests(&fleet, 240).await;
    let after: Vec<RunRecord> = fleet.engines[0].history().await;
    assert_eq!(after.len(), before.len());
    assert!(!before.is_empty(), "the engine sent no response with the announcement");
    assert_eq!(count_done(&attempts), attempts.len(), "the other engine can serve all requests");
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
    // The engine would run requests again, but the announced time is not over.
    fleet.engines[0].set_faults(Faults::default()).await;
    for attempt in send_requests(&fleet, 20).await {
        let is_expected = matches!(&attempt.outcome, AttemptOutcome::NotRun { code, .. } if code == "only_resting");
        assert!(is_expected, "{attempt:?}");
    }
    let runs: Vec<RunRecord> = fleet.engines[0].history().await;
    assert!(runs.is_empty(), "{runs:?}");
}
