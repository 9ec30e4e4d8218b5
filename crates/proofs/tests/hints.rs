//! Servers that leave, and that ask for rest, over the real binaries and bankcove's own interface.

use std::time::Duration;

use bankcove_proofs::caller::{Ask, Attempt, Caller, Told};
use bankcove_proofs::fleet::{Fleet, Plan};
use bankcove_standins::engine::RunRecord;
use bankcove_standins::faults::Faults;
use serde_json::Value;

/// Pause between two calls.
const PAUSE: Duration = Duration::from_millis(50);

/// Time for all daemons to be told.
const TOLD: Duration = Duration::from_secs(1);

async fn call(fleet: &Fleet, calls: usize) -> Vec<Attempt> {
    let mut open = Vec::new();
    for turn in 0..calls {
        let daemon = fleet.daemons[turn % fleet.daemons.len()].callers.clone();
        open.push(tokio::spawn(async move {
            // Another prompt each time, so that each engine is some callers' first.
            let id: u64 = rand::random();
            let mut ask = Ask::new(format!("call-{id}"));
            ask.prompt = format!("{id} is the number of this call");
            Caller::default().ask(&daemon, &ask).await
        }));
        tokio::time::sleep(PAUSE).await;
    }
    let ended = futures::future::join_all(open).await;
    ended.into_iter().map(|attempt| attempt.expect("a call ends")).collect()
}

fn done(attempts: &[Attempt]) -> usize {
    attempts.iter().filter(|attempt| matches!(attempt.told, Told::Done { .. })).count()
}

/// State of each engine as the first daemon's operators see it, by the engine's address.
fn states(fleet: &Fleet) -> Vec<String> {
    let listed = fleet.bankcove(0, &["servers", "--output", "json"]);
    let listed: Vec<Value> = serde_json::from_slice(&listed.stdout).expect("it prints JSON");
    listed.iter().map(|row| row["state"].as_str().unwrap_or_default().to_owned()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_whose_answers_say_that_it_leaves_gets_nothing_more_and_operators_see_it() {
    let fleet = Fleet::start(&Plan { daemons: 3, engines: 2, ..Plan::default() }).await;
    fleet.engines[0].faults(Faults { says_leaving: true, ..Faults::default() }).await;
    call(&fleet, 20).await;
    tokio::time::sleep(TOLD).await;
    // Later answers, and load reports, that don't say so undo nothing.
    fleet.engines[0].faults(Faults::default()).await;
    let before: Vec<RunRecord> = fleet.engines[0].history().await;
    let attempts = call(&fleet, 240).await;
    let after: Vec<RunRecord> = fleet.engines[0].history().await;
    assert_eq!(after.len(), before.len());
    assert!(!before.is_empty(), "no answer could say so");
    assert_eq!(done(&attempts), attempts.len(), "the other engine has room for all");
    let states = states(&fleet);
    assert_eq!(states.iter().filter(|state| *state == "leaving").count(), 1, "{states:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_asks_for_rest_gets_none_of_the_daemons_requests_meanwhile() {
    let fleet = Fleet::start(&Plan { daemons: 1, engines: 1, ..Plan::default() }).await;
    fleet.engines[0].faults(Faults { rest_s: Some(6.0), ..Faults::default() }).await;
    call(&fleet, 1).await;
    assert_eq!(states(&fleet), ["resting"]);
    // It would run them now, but has asked for rest.
    fleet.engines[0].faults(Faults::default()).await;
    for attempt in call(&fleet, 20).await {
        let is_told = matches!(&attempt.told, Told::NotRun { code, .. } if code == "only_resting");
        assert!(is_told, "{attempt:?}");
    }
    let runs: Vec<RunRecord> = fleet.engines[0].history().await;
    assert!(runs.is_empty(), "{runs:?}");
}
