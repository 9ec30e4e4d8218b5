//! A request under which engines die, over the real binaries and bankcove's own interface.

use std::time::Duration;

use bankcove_proofs::caller::{Ask, Attempt, Caller, Told};
use bankcove_proofs::fleet::{Fleet, Plan};
use bankcove_standins::engine::RunRecord;
use serde_json::Value;

/// Pause between two looks at the engines.
const LOOK: Duration = Duration::from_millis(20);

/// Tries until the engine that is left must have been found.
const MOST_TRIES: usize = 20;

/// The same request under another idempotency key, so that it is a new one for billing.
fn fatal(turn: usize) -> Ask {
    let mut ask = Ask::new(format!("turn-{turn}")).max_tokens(100);
    ask.prompt = "the same prompt each time".to_owned();
    ask
}

/// Asks, and kills the engine that runs the request; what the caller was told.
async fn ask_and_kill(fleet: &mut Fleet, turn: usize) -> Attempt {
    let daemon = fleet.daemons[turn % fleet.daemons.len()].callers.clone();
    let asked = tokio::spawn(async move { Caller::default().ask(&daemon, &fatal(turn)).await });
    while !asked.is_finished() {
        for engine in &mut fleet.engines {
            if engine.process.has_ended() {
                continue;
            }
            let runs: Vec<RunRecord> = engine.history().await;
            if runs.iter().any(|run| run.output_tokens > 2 && !run.ended) {
                engine.process.kill();
            }
        }
        tokio::time::sleep(LOOK).await;
    }
    asked.await.expect("the caller does not panic")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_under_which_three_engines_died_is_refused_until_an_operator_lifts_it() {
    let plan = Plan { daemons: 2, engines: 4, step_ms: 20, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).await;
    for turn in 0..3 {
        let attempt = ask_and_kill(&mut fleet, turn).await;
        assert!(matches!(attempt.told, Told::Unknown { .. }), "{attempt:?}");
    }
    for daemon in 0..2 {
        fleet.wait_for_condemned(daemon, 1).await;
        let attempt = ask_and_kill(&mut fleet, 3 + daemon).await;
        let is_refused = |code: &str| code == "crashes_servers";
        assert!(
            matches!(&attempt.told, Told::NotRun { code, .. } if is_refused(code)),
            "{attempt:?}"
        );
    }
    let listed = fleet.bankcove(0, &["condemned", "list", "--output", "json"]);
    let listed: Vec<Value> = serde_json::from_slice(&listed.stdout).expect("it prints JSON");
    let fingerprint = listed[0]["fingerprint"].as_str().expect("a sentence has a fingerprint");
    let lifted = fleet.bankcove(0, &["condemned", "lift", fingerprint]);
    assert!(lifted.status.success(), "{}", String::from_utf8_lossy(&lifted.stderr));
    fleet.wait_for_condemned(1, 0).await;
    // The table still has the three that are gone, which are tried first.
    let daemon = [fleet.daemons[1].callers.clone()];
    let attempts = Caller::default().ask_until_done(&daemon, &fatal(9), MOST_TRIES).await;
    let last = attempts.last().map(|attempt| &attempt.told);
    assert!(matches!(last, Some(Told::Done { .. })), "{attempts:?}");
    let again = fleet.bankcove(1, &["condemned", "lift", fingerprint]);
    assert!(String::from_utf8_lossy(&again.stderr).contains("is not condemned"));
}
