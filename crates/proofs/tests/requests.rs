//! Promises about single requests, each under the failure that threatens it.

use std::time::Duration;

use bankcove_core::{Name, RequestHash};
use bankcove_proofs::caller::{Ask, Attempt, Caller, Told};
use bankcove_proofs::check;
use bankcove_proofs::fleet::{Fleet, Plan, segments};
use bankcove_standins::faults::Faults;
use yare::parameterized;

/// Requests that are under way when a daemon is killed.
const REQUESTS: usize = 6;

/// How long their callers wait.
const PATIENCE: Duration = Duration::from_secs(5);

fn request_of(key: &str) -> RequestHash {
    RequestHash::of(&Name::from("dispatch"), key)
}

fn addresses(fleet: &Fleet) -> Vec<String> {
    fleet.daemons.iter().map(|daemon| daemon.callers.clone()).collect()
}

async fn settle(fleet: &Fleet, daemon: usize) {
    let idle = |status: &serde_json::Value| {
        status["bills_waiting"] == 0 && status["requests_in_flight"] == 0
    };
    fleet.wait_for_status(daemon, idle).await;
}

async fn wait_until_runs_ended(fleet: &mut Fleet, count: usize) {
    for _ in 0..2_000 {
        let runs = fleet.live_runs().await;
        if runs.iter().filter(|run| run.ended).count() >= count {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the runs never ended");
}

#[parameterized(
    before_the_runs = { None },
    as_the_runs_end = { Some(0) },
    as_the_bills_are_sent = { Some(60) },
    while_the_bills_are_written = { Some(400) },
    as_the_bills_land = { Some(920) },
    after_the_bills = { Some(1_500) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_request_is_billed_once_when_its_daemon_is_killed(after_runs_ms: Option<u64>) {
    let mut fleet = Fleet::start(&Plan { daemons: 2, ..Plan::default() }).await;
    fleet.store.faults(Faults { delay_ms: 300, ..Faults::default() }).await;
    // Several, so that either daemon owns the log shard of some.
    let asks = (0..REQUESTS).map(|n| Ask::new(format!("paid-{n}")).patience(PATIENCE));
    let asks: Vec<Ask> = asks.collect();
    let sent = asks.iter().map(|ask| {
        let (first, ask) = (fleet.daemons[0].callers.clone(), ask.clone());
        tokio::spawn(async move { Caller::default().ask(&first, &ask).await })
    });
    let sent: Vec<_> = sent.collect();
    match after_runs_ms {
        None => tokio::time::sleep(Duration::from_millis(100)).await,
        Some(millis) => {
            wait_until_runs_ended(&mut fleet, REQUESTS).await;
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
    }
    fleet.daemons[0].process.kill();
    let second = [fleet.daemons[1].callers.clone()];
    let mut attempts = Vec::new();
    for (ask, sent) in asks.iter().zip(sent) {
        let first = sent.await.expect("the caller does not panic");
        let is_done = matches!(first.told, Told::Done { .. });
        attempts.push(first);
        // Who has the whole answer asks no more, and is billed all the same.
        if !is_done {
            attempts.extend(Caller::default().ask_until_done(&second, ask, 10).await);
        }
    }
    settle(&fleet, 1).await;
    assert_eq!(check::whole_answers(&attempts), Ok(REQUESTS), "{attempts:?}");
    let bills = check::bills(&segments(&fleet.writes().await));
    assert_eq!(check::billed_once(&attempts, &bills, request_of), Ok(()));
    assert_eq!(bills.len(), REQUESTS);
}

#[tokio::test(flavor = "multi_thread")]
async fn bills_and_claims_survive_lost_answers() {
    let fleet = Fleet::start(&Plan { daemons: 2, ..Plan::default() }).await;
    fleet.store.faults(Faults { lose_answers: 1.0, ..Faults::default() }).await;
    let mut attempts = Vec::new();
    for n in 0..6 {
        let ask = Ask::new(format!("lost-{n}")).once();
        attempts.push(Caller::default().ask(&addresses(&fleet)[n % 2], &ask).await);
    }
    assert_eq!(check::whole_answers(&attempts), Ok(6), "{attempts:?}");
    let bills = check::bills(&segments(&fleet.writes().await));
    assert_eq!(check::billed_once(&attempts, &bills, request_of), Ok(()));
}

#[parameterized(
    early = { 20 },
    as_the_claim_is_written = { 150 },
    as_the_claim_lands = { 310 },
    before_dispatch = { 420 },
    after_dispatch = { 700 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_frozen_daemon_runs_a_claimed_request_at_most_once(freeze_after_ms: u64) {
    let plan = Plan { daemons: 2, services: 1, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).await;
    fleet.store.faults(Faults { delay_ms: 300, ..Faults::default() }).await;
    let ask = Ask::new("confirmation").once().patience(Duration::from_secs(2));
    let targets = addresses(&fleet);
    let (first, asked) = (targets[0].clone(), ask.clone());
    let chat = tokio::spawn(async move { Caller::default().ask(&first, &asked).await });
    let first = targets[0].clone();
    let patience = Duration::from_secs(2);
    let order = tokio::spawn(async move {
        Caller::default().post(&first, "/orders/7", "order-7", "two seats", patience).await
    });
    tokio::time::sleep(Duration::from_millis(freeze_after_ms)).await;
    fleet.daemons[0].process.freeze();
    let mut attempts = Caller::default().ask_until_done(&targets[1..], &ask, 4).await;
    for _ in 0..3 {
        Caller::default().post(&targets[1], "/orders/7", "order-7", "two seats", patience).await;
    }
    fleet.daemons[0].process.thaw();
    attempts.push(chat.await.expect("the caller does not panic"));
    order.await.expect("the caller does not panic");
    fleet.store.faults(Faults::default()).await;
    settle(&fleet, 0).await;
    settle(&fleet, 1).await;
    let runs = fleet.live_runs().await;
    let calls = fleet.calls().await;
    assert!(runs.len() <= 1, "{runs:?}");
    assert!(calls.len() <= 1, "{calls:?}");
    assert!(check::not_run_is_true(&attempts, &runs, &calls).is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_every_daemon_at_once_runs_once() {
    let mut fleet = Fleet::start(&Plan { daemons: 4, services: 1, ..Plan::default() }).await;
    let targets = addresses(&fleet);
    let patience = Duration::from_secs(5);
    for n in 0..5 {
        let (key, order) = (format!("taxi-{n}"), format!("order-{n}"));
        let caller = Caller::default();
        let asks = targets.iter().map(|target| {
            let (target, ask) = (target.clone(), Ask::new(key.clone()).once());
            let (caller, order) = (caller.clone(), order.clone());
            async move {
                let posted = caller.post(&target, "/orders/1", &order, "one", patience);
                tokio::join!(caller.ask(&target, &ask), posted)
            }
        });
        let told: Vec<_> = futures::future::join_all(asks).await;
        let done = told.iter().filter(|(a, _)| matches!(a.told, Told::Done { .. })).count();
        let ordered =
            told.iter().filter(|(_, p)| p.as_ref().is_some_and(|p| p.status == 201)).count();
        assert_eq!((done, ordered), (1, 1), "{told:?}");
    }
    let runs = fleet.live_runs().await;
    assert_eq!(check::at_most_once(runs.iter().map(|run| run.run.as_str())), Ok(5));
    let calls = fleet.calls().await;
    assert_eq!(check::at_most_once(calls.iter().map(|call| call.run.as_str())), Ok(5));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_another_daemon_from_the_same_run() {
    let plan = Plan { daemons: 2, step_ms: 30, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).await;
    let ask = Ask::new("handover").max_tokens(30);
    let targets = addresses(&fleet);
    let (first, asked) = (targets[0].clone(), ask.clone());
    let sent = tokio::spawn(async move { Caller::default().ask(&first, &asked).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.daemons[0].process.kill();
    let broken = sent.await.expect("the caller does not panic");
    assert!(matches!(broken.told, Told::Unknown { .. }), "{broken:?}");
    let attempts = Caller::default().ask_until_done(&targets[1..], &ask, 3).await;
    assert_eq!(check::whole_answers(&attempts), Ok(1), "{attempts:?}");
    let runs = fleet.live_runs().await;
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert_eq!(runs[0].attached.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_pays_for_what_ran() {
    let plan = Plan { step_ms: 20, ..Plan::default() };
    let mut fleet = Fleet::start(&plan).await;
    let ask = Ask::new("left").max_tokens(200).patience(Duration::from_millis(500));
    let left = Caller::default().ask(&addresses(&fleet)[0], &ask).await;
    assert!(matches!(left.told, Told::Unknown { .. }), "{left:?}");
    settle(&fleet, 0).await;
    let whole = Ask::new("left-whole").max_tokens(200).whole().patience(ask.patience);
    let left = Caller::default().ask(&addresses(&fleet)[0], &whole).await;
    assert!(matches!(left.told, Told::Unknown { .. }), "{left:?}");
    settle(&fleet, 0).await;
    let runs = fleet.live_runs().await;
    let bills = check::bills(&segments(&fleet.writes().await));
    assert_eq!((runs.len(), bills.len()), (2, 2));
    assert!(runs.iter().all(|run| run.cancelled && run.output_tokens < 200), "{runs:?}");
    let ran: u64 = runs.iter().map(|run| run.prompt_tokens + run.output_tokens).sum();
    let billed: u64 = bills.iter().map(|bill| bill.tokens()).sum();
    assert_eq!(billed, ran);
    let dump = fleet.operator(0, "dump").await.expect("the daemon answers");
    let account = &dump["holder"]["accounts"]["main"];
    assert_eq!(account["spent"].as_u64(), Some(billed));
    assert_eq!(account["reserved"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_says_when_to_come_back_and_nothing_ran() {
    let mut fleet = Fleet::start(&Plan { daemons: 2, tokens: 20, ..Plan::default() }).await;
    let mut attempts: Vec<Attempt> = Vec::new();
    for target in addresses(&fleet) {
        attempts.push(Caller::default().ask(&target, &Ask::new("too-much")).await);
    }
    for attempt in &attempts {
        let Told::NotRun { code, retry_after_ms } = &attempt.told else { panic!("{attempt:?}") };
        assert_eq!(code, "budget_short");
        assert!(retry_after_ms.is_some());
    }
    assert!(fleet.live_runs().await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_end_while_the_store_is_away_and_are_billed_after() {
    let fleet = Fleet::start(&Plan { daemons: 3, ..Plan::default() }).await;
    let targets = addresses(&fleet);
    let warm = Caller::default().ask(&targets[0], &Ask::new("warm")).await;
    assert!(matches!(warm.told, Told::Done { .. }), "{warm:?}");
    fleet.store.faults(Faults { down: true, ..Faults::default() }).await;
    let mut attempts = vec![warm];
    for n in 0..6 {
        attempts.push(Caller::default().ask(&targets[n % 3], &Ask::new(format!("away-{n}"))).await);
    }
    assert_eq!(check::whole_answers(&attempts), Ok(7), "{attempts:?}");
    fleet.store.faults(Faults::default()).await;
    for index in 0..3 {
        settle(&fleet, index).await;
    }
    let bills = check::bills(&segments(&fleet.writes().await));
    assert_eq!(check::billed_once(&attempts, &bills, request_of), Ok(()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bill_outlives_its_daemon_in_an_outage() {
    let mut fleet = Fleet::start(&Plan { daemons: 3, ..Plan::default() }).await;
    let targets = addresses(&fleet);
    let warm = Caller::default().ask(&targets[0], &Ask::new("warm")).await;
    fleet.store.faults(Faults { down: true, ..Faults::default() }).await;
    let told = Caller::default().ask(&targets[0], &Ask::new("outlives")).await;
    assert!(matches!(told.told, Told::Done { .. }), "{told:?}");
    fleet.daemons[0].process.kill();
    fleet.store.faults(Faults::default()).await;
    settle(&fleet, 1).await;
    settle(&fleet, 2).await;
    let bills = check::bills(&segments(&fleet.writes().await));
    assert_eq!(check::billed_once(&[warm, told], &bills, request_of), Ok(()));
}

#[tokio::test(flavor = "multi_thread")]
async fn what_a_killed_daemon_never_opened_is_spent_by_the_others() {
    let mut fleet = Fleet::start(&Plan { daemons: 4, tokens: 2_000, ..Plan::default() }).await;
    let targets = addresses(&fleet);
    for (n, target) in targets.iter().enumerate() {
        let told = Caller::default().ask(target, &Ask::new(format!("warm-{n}"))).await;
        assert!(matches!(told.told, Told::Done { .. }), "{told:?}");
    }
    fleet.daemons[3].process.kill();
    fleet.restart_daemon(3).await;
    fleet.wait_for_status(3, |status| status["revision"].as_u64() >= Some(1)).await;
    let mut attempts = Vec::new();
    for n in 0..200 {
        let ask = Ask::new(format!("rest-{n}")).max_tokens(40);
        attempts.push(Caller::default().ask(&targets[n % 3], &ask).await);
        if matches!(attempts[n].told, Told::NotRun { .. }) {
            break;
        }
    }
    settle(&fleet, 0).await;
    let runs = fleet.live_runs().await;
    let spent = check::spend_within(&runs, 0, 2_000).expect("no overspend");
    // An equal share of four is 500: the killed daemon took far less along.
    assert!(spent > 1_700, "{spent} of 2000 tokens were spent: {:?}", attempts.last());
    assert_eq!(check::whole_answers(&attempts), Ok(attempts.len() - 1));
}

#[parameterized(
    foreign_pieces = { Faults { misdirect: true, ..Faults::default() } },
    repeated_pieces = { Faults { repeat: true, ..Faults::default() } },
    broken_streams = { Faults { cut_after: 3, ..Faults::default() } },
    all_of_it = { Faults { misdirect: true, repeat: true, cut_after: 2, ..Faults::default() } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn each_caller_gets_its_own_whole_answer(faults: Faults) {
    let fleet = Fleet::start(&Plan::default()).await;
    fleet.engines[0].faults(faults).await;
    let target = &addresses(&fleet)[0];
    let asks = (0..8).map(|n| async move {
        Caller::default().ask(target, &Ask::new(format!("own-{n}")).max_tokens(12)).await
    });
    let attempts = futures::future::join_all(asks).await;
    assert_eq!(check::whole_answers(&attempts), Ok(8), "{attempts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_past_its_deadline_is_cancelled_billed_and_told_as_unknown() {
    let plan = Plan { step_ms: 20, ..Plan::default() };
    let mut fleet = Fleet::start_with(&plan, |table| {
        table["routes"][0]["deadline_ms"] = serde_json::json!(400);
    })
    .await;
    let target = &addresses(&fleet)[0];
    let mut attempts = Vec::new();
    for ask in [Ask::new("late").max_tokens(200), Ask::new("late-whole").max_tokens(200).whole()] {
        attempts.push(Caller::default().ask(target, &ask).await);
    }
    for attempt in &attempts {
        assert_eq!(attempt.told, Told::Unknown { code: "deadline".to_owned() });
    }
    settle(&fleet, 0).await;
    let runs = fleet.live_runs().await;
    assert!(runs.len() == 2 && runs.iter().all(|run| run.cancelled), "{runs:?}");
    assert!(check::not_run_is_true(&attempts, &runs, &[]).is_ok());
    assert_eq!(check::bills(&segments(&fleet.writes().await)).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_is_counted_exactly_before_a_refusal_where_the_row_says_so() {
    for (when_short, is_served) in [("refuse", false), ("count", true)] {
        let plan = Plan { tokens: 60, ..Plan::default() };
        let fleet = Fleet::start_with(&plan, |table| {
            table["budgets"][0]["when_short"] = serde_json::json!(when_short);
        })
        .await;
        // 100 bytes of prompt are 25 tokens; with 8 of output they fit, by bytes not.
        let mut ask = Ask::new("long prompt");
        ask.prompt = "x".repeat(100);
        let told = Caller::default().ask(&addresses(&fleet)[0], &ask).await.told;
        assert_eq!(matches!(told, Told::Done { .. }), is_served, "{told:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_that_never_answers_is_told_as_unknown_at_the_deadline() {
    let fleet = Fleet::start_with(&Plan { services: 1, ..Plan::default() }, |table| {
        table["routes"][1]["deadline_ms"] = serde_json::json!(300);
    })
    .await;
    fleet.services[0].faults(Faults { delay_ms: 60_000, ..Faults::default() }).await;
    let target = &addresses(&fleet)[0];
    let posted = Caller::default().post(target, "/orders/1", "slow", "one", PATIENCE).await;
    let error = &posted.expect("the daemon answers").body["error"];
    assert_eq!(
        (error["code"].as_str(), error["outcome"].as_str()),
        (Some("server_lost"), Some("unknown"))
    );
}
