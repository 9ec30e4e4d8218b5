//! A request that crashes each engine that runs it, and would crash all of them if it were sent
//! often enough: tested with the real binaries over bankcove's own interface.

use bankcove_proofs::caller::{Attempt, AttemptOutcome, Caller, ChatRequest};
use bankcove_proofs::fleet::{Fleet, FleetConfig};
use serde_json::Value;

/// Prompt text that crashes the engine that runs it.
const FATAL_PROMPT: &str = "fatal prompt";

/// Maximum number of attempts to reach a remaining engine: the table still lists the crashed ones.
const MAX_ATTEMPTS: usize = 20;

/// Sends the same prompt under a new idempotency key, so that it is a new request for billing.
async fn send_fatal_prompt(fleet: &Fleet, turn: usize) -> Attempt {
    let mut request = ChatRequest::new(format!("turn-{turn}"));
    request.prompt = FATAL_PROMPT.to_owned();
    let daemon = &fleet.daemons[turn % fleet.daemons.len()].caller_address;
    Caller::default().chat(daemon, &request).await
}

/// Returns whether the request was refused because it crashes servers.
fn is_refused(attempt: &Attempt) -> bool {
    matches!(&attempt.outcome, AttemptOutcome::NotRun { code, .. } if code == "crashes_servers")
}

/// Returns the number of engines that have not crashed.
fn running_engines(fleet: &mut Fleet) -> usize {
    fleet
        .engines
        .iter_mut()
        .filter_map(|engine| (!engine.process.has_exited()).then_some(()))
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_engines_is_refused_until_an_operator_lifts_it() {
    let config = FleetConfig {
        daemons: 2,
        engines: 5,
        crash_on: Some(FATAL_PROMPT),
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(&config).await;
    for turn in 0..MAX_ATTEMPTS {
        if running_engines(&mut fleet) == 2 {
            break;
        }
        assert!(!is_refused(&send_fatal_prompt(&fleet, turn).await));
    }
    for daemon in 0..2 {
        fleet.wait_for_blocked(daemon, 1).await;
        assert!(is_refused(&send_fatal_prompt(&fleet, daemon).await));
    }
    assert_eq!(running_engines(&mut fleet), 2);
    let listed = fleet.run_cli(0, &["blocked", "list", "--output", "json"]);
    let listed: Vec<Value> =
        serde_json::from_slice(&listed.stdout).expect("the client prints JSON");
    let fingerprint =
        listed[0]["fingerprint"].as_str().expect("a blocked request has a fingerprint");
    let lifted = fleet.run_cli(0, &["blocked", "lift", fingerprint]);
    assert!(lifted.status.success(), "{}", String::from_utf8_lossy(&lifted.stderr));
    fleet.wait_for_blocked(1, 0).await;
    assert!(!is_refused(&send_fatal_prompt(&fleet, 1).await));
    let again = fleet.run_cli(1, &["blocked", "lift", fingerprint]);
    assert!(String::from_utf8_lossy(&again.stderr).contains("is not blocked"));
    let other_request = ChatRequest::new("another request");
    let daemons = [fleet.daemons[0].caller_address.clone()];
    let attempts = Caller::default().chat_until_done(&daemons, &other_request, MAX_ATTEMPTS).await;
    let last = attempts.last().map(|attempt| &attempt.outcome);
    assert!(matches!(last, Some(AttemptOutcome::Done { .. })), "{attempts:?}");
}
