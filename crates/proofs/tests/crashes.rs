//! A request that crashes engines, over the real binaries and bankcove's own interface.

use bankcove_proofs::caller::{Ask, Attempt, Caller, Told};
use bankcove_proofs::fleet::{Fleet, Plan};
use serde_json::Value;

/// What crashes an engine that has it in its prompt.
const FATAL: &str = "fatal prompt";

/// Tries until the engine that is left must have been found: the table still has the others.
const MOST_TRIES: usize = 20;

/// The same request under another idempotency key, so that it is a new one for billing.
async fn ask(fleet: &Fleet, turn: usize) -> Attempt {
    let mut ask = Ask::new(format!("turn-{turn}"));
    ask.prompt = FATAL.to_owned();
    let daemon = &fleet.daemons[turn % fleet.daemons.len()].callers;
    Caller::default().ask(daemon, &ask).await
}

fn is_refused(attempt: &Attempt) -> bool {
    matches!(&attempt.told, Told::NotRun { code, .. } if code == "crashes_servers")
}

fn engines_left(fleet: &mut Fleet) -> usize {
    fleet
        .engines
        .iter_mut()
        .filter_map(|engine| (!engine.process.has_ended()).then_some(()))
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_engines_is_refused_until_an_operator_lifts_it() {
    let plan = Plan { daemons: 2, engines: 5, crash_on: Some(FATAL), ..Plan::default() };
    let mut fleet = Fleet::start(&plan).await;
    for turn in 0..MOST_TRIES {
        if engines_left(&mut fleet) == 2 {
            break;
        }
        assert!(!is_refused(&ask(&fleet, turn).await));
    }
    for daemon in 0..2 {
        fleet.wait_for_blocked(daemon, 1).await;
        assert!(is_refused(&ask(&fleet, daemon).await));
    }
    assert_eq!(engines_left(&mut fleet), 2);
    let listed = fleet.bankcove(0, &["blocked", "list", "--output", "json"]);
    let listed: Vec<Value> = serde_json::from_slice(&listed.stdout).expect("it prints JSON");
    let fingerprint = listed[0]["fingerprint"].as_str().expect("a block has a fingerprint");
    let lifted = fleet.bankcove(0, &["blocked", "lift", fingerprint]);
    assert!(lifted.status.success(), "{}", String::from_utf8_lossy(&lifted.stderr));
    fleet.wait_for_blocked(1, 0).await;
    assert!(!is_refused(&ask(&fleet, 1).await));
    let again = fleet.bankcove(1, &["blocked", "lift", fingerprint]);
    assert!(String::from_utf8_lossy(&again.stderr).contains("is not blocked"));
    let others = Ask::new("another request");
    let daemons = [fleet.daemons[0].callers.clone()];
    let attempts = Caller::default().ask_until_done(&daemons, &others, MOST_TRIES).await;
    let last = attempts.last().map(|attempt| &attempt.told);
    assert!(matches!(last, Some(Told::Done { .. })), "{attempts:?}");
}
