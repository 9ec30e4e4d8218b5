//! A request that crashes engines, over the real binaries and bankcove's own interface.

use bankcove_proofs::caller::{Attempt, AttemptOutcome, Caller, ChatRequest};
use bankcove_proofs::fleet::{Fleet, FleetConfig};
use serde_json::Value;

/// What crashes an engine that has it in its prompt.
const FATAL: &str = "fatal prompt";

/// Tries until the engine that is left must have been found: the table still has the others.
const MAX_ATTEMPTS: usize = 20;

/// The same request under another idempotency key, so that it is a new one for billing.
async fn send_fatal_prompt(fleet: &Fleet, turn: usize) -> Attempt {
    let mut request = ChatRequest::new(format!("turn-{turn}"));
    request.prompt = FATAL.to_owned();
    let daemon = &fleet.daemons[turn % fleet.daemons.len()].caller_address;
    Caller::default().chat(daemon, &request).await
}

fn is_refused(attempt: &Attempt) -> bool {
    matches!(&attempt.outcome, AttemptOutcome::NotRun { code, .. } if code == "crashes_servers")
}

fn engines_left(fleet: &mut Fleet) -> usize {
    fleet
        .engines
        .iter_mut()
        .filter_map(|engine| (!engine.process.has_exited()).then_some(()))
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_engines_is_refused_until_an_operator_lifts_it() {
    let config =
        FleetConfig { daemons: 2, engines: 5, crash_on: Some(FATAL), ..FleetConfig::default() };
    let mut fleet = Fleet::start(&config).await;
    for turn in 0..MAX_ATTEMPTS {
        if engines_left(&mut fleet) == 2 {
            break;
        }
        assert!(!is_refused(&send_fatal_prompt(&fleet, turn).await));
    }
    for daemon in 0..2 {
        fleet.wait_for_blocked(daemon, 1).await;
        assert!(is_refused(&send_fatal_prompt(&fleet, daemon).await));
    }
    assert_eq!(engines_left(&mut fleet), 2);
    let listed = fleet.run_cli(0, &["blocked", "list", "--output", "json"]);
    let listed: Vec<Value> = serde_json::from_slice(&listed.stdout).expect("it prints JSON");
    let fingerprint = listed[0]["fingerprint"].as_str().expect("a block has a fingerprint");
    let lifted = fleet.run_cli(0, &["blocked", "lift", fingerprint]);
    assert!(lifted.status.success(), "{}", String::from_utf8_lossy(&lifted.stderr));
    fleet.wait_for_blocked(1, 0).await;
    assert!(!is_refused(&send_fatal_prompt(&fleet, 1).await));
    let again = fleet.run_cli(1, &["blocked", "lift", fingerprint]);
    assert!(String::from_utf8_lossy(&again.stderr).contains("is not blocked"));
    let others = ChatRequest::new("another request");
    let daemons = [fleet.daemons[0].caller_address.clone()];
    let attempts = Caller::default().chat_until_done(&daemons, &others, MAX_ATTEMPTS).await;
    let last = attempts.last().map(|attempt| &attempt.outcome);
    assert!(matches!(last, Some(AttemptOutcome::Done { .. })), "{attempts:?}");
}
