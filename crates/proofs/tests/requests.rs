//! Guarantees about single requests, each under the faults that could violate it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bankcove_core::{Name, RequestHash};
use bankcove_proofs::caller::{Attempt, AttemptOutcome, Caller, ChatRequest};
use bankcove_proofs::check;
use bankcove_proofs::endless::{Endless, Flood, FloodingRelay};
use bankcove_proofs::fleet::{Fleet, FleetConfig, segments};
use bankcove_proofs::table::API_KEY;
use bankcove_standins::faults::Faults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yare::parameterized;

/// Number of requests in progress when a daemon is killed.
const REQUESTS: usize = 6;

/// Time for which callers wait.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of requests whose answers have no end.
const ENDLESS_REQUESTS: usize = 64;

/// Memory of the smallest host, in bytes.
const MAX_MEMORY: u64 = 160 << 20;

/// Returns the hash of the request with this idempotency key.
fn request_of(key: &str) -> RequestHash {
    RequestHash::of(&Name::from("dispatch"), key)
}

/// Returns the caller addresses of all daemons.
fn addresses(fleet: &Fleet) -> Vec<String> {
    fleet.daemons.iter().map(|daemon| daemon.caller_address.clone()).collect()
}

/// Waits until a daemon has no unwritten bills and no requests in flight.
async fn wait_until_idle(fleet: &Fleet, daemon: usize) {
    let idle = |status: &serde_json::Value| {
        status["bills_waiting"] == 0 && status["requests_in_flight"] == 0
    };
    fleet.wait_for_status(daemon, idle).await;
}

/// Waits until at least `count` runs have ended.
async fn wait_until_runs_ended(fleet: &mut Fleet, count: usize) {
    for _ in 0..2_000 {
        let runs = fleet.engine_runs().await;
        if runs.iter().filter(|run| run.ended).count() >= count {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the runs never ended");
}

/// Guards against a missing or second bill: the daemon is killed at different times before, during
/// and after billing, and the caller retries at another one. Each store call takes 300 ms.
#[parameterized(
    before_the_runs = { None },
    as_the_runs_end = { Some(0) },
    as_the_bills_are_sent = { Some(60) },
    while_the_bills_are_written = { Some(400) },
    as_the_bills_are_stored = { Some(920) },
    after_the_bills = { Some(1_500) },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_request_is_billed_once_when_its_daemon_is_killed(after_runs_ms: Option<u64>) {
    let mut fleet = Fleet::start(&FleetConfig { daemons: 2, ..FleetConfig::default() }).await;
    fleet.store.set_faults(Faults { delay_ms: 300, ..Faults::default() }).await;
    // Several requests, so that each daemon owns the log shard of some of them.
    let requests =
        (0..REQUESTS).map(|n| ChatRequest::new(format!("paid-{n}")).timeout(CALLER_TIMEOUT));
    let requests: Vec<ChatRequest> = requests.collect();
    let sent = requests.iter().map(|request| {
        let (first, request) = (fleet.daemons[0].caller_address.clone(), request.clone());
        tokio::spawn(async move { Caller::default().chat(&first, &request).await })
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
    let second = [fleet.daemons[1].caller_address.clone()];
    let mut attempts = Vec::new();
    for (request, sent) in requests.iter().zip(sent) {
        let first = sent.await.expect("the caller does not panic");
        let is_done = matches!(first.outcome, AttemptOutcome::Done { .. });
        attempts.push(first);
        // A caller with the complete response does not retry, but is billed as well.
        if !is_done {
            attempts.extend(Caller::default().chat_until_done(&second, request, 10).await);
        }
    }
    wait_until_idle(&fleet, 1).await;
    assert_eq!(check::responses_complete(&attempts), Ok(REQUESTS), "{attempts:?}");
    let bills = check::bills(&segments(&fleet.store_writes().await));
    assert_eq!(check::billed_once(&attempts, &bills, request_of), Ok(()));
    assert_eq!(bills.len(), REQUESTS);
}

/// Guards against a missing or second bill, and against a claim that its own daemon takes for lost,
/// when each write to the store takes effect but is answered with an error.
#[tokio::test(flavor = "multi_thread")]
async fn bills_and_claims_survive_lost_answers() {
    let fleet = Fleet::start(&FleetConfig { daemons: 2, ..FleetConfig::default() }).await;
    fleet.store.set_faults(Faults { lose_answers: 1.0, ..Faults::default() }).await;
    let mut attempts = Vec::new();
    for n in 0..6 {
        let request = ChatRequest::new(format!("lost-{n}")).non_repeatable();
        attempts.push(Caller::default().chat(&addresses(&fleet)[n % 2], &request).await);
    }
    assert_eq!(check::responses_complete(&attempts), Ok(6), "{attempts:?}");
    let bills = check::bills(&segments(&fleet.store_writes().await));
    assert_eq!(check::billed_once(&attempts, &bills, request_of), Ok(()));
}

/// Guards against a request that runs twice: its daemon freezes, the caller retries at another one,
/// and the frozen daemon then continues. Each store call takes 300 ms, so that the cases freeze it
/// before, during and after the write of the claim.
#[parameterized(
    early = { 20 },
    as_the_claim_is_written = { 150 },
    as_the_claim_is_stored = { 310 },
    before_dispatch = { 420 },
    after_dispatch = { 700 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_frozen_daemon_runs_a_claimed_request_at_most_once(freeze_after_ms: u64) {
    let config = FleetConfig { daemons: 2, services: 1, ..FleetConfig::default() };
    let mut fleet = Fleet::start(&config).await;
    fleet.store.set_faults(Faults { delay_ms: 300, ..Faults::default() }).await;
    let request = ChatRequest::new("confirmation").non_repeatable().timeout(Duration::from_secs(2));
    let targets = addresses(&fleet);
    let (first, asked) = (targets[0].clone(), request.clone());
    let chat = tokio::spawn(async move { Caller::default().chat(&first, &asked).await });
    let first = targets[0].clone();
    let timeout = Duration::from_secs(2);
    let order = tokio::spawn(async move {
        Caller::default().post(&first, "/orders/7", "order-7", "two seats", timeout).await
    });
    tokio::time::sleep(Duration::from_millis(freeze_after_ms)).await;
    fleet.daemons[0].process.suspend();
    let mut attempts = Caller::default().chat_until_done(&targets[1..], &request, 4).await;
    for _ in 0..3 {
        Caller::default().post(&targets[1], "/orders/7", "order-7", "two seats", timeout).await;
    }
    fleet.daemons[0].process.resume();
    attempts.push(chat.await.expect("the caller does not panic"));
    order.await.expect("the caller does not panic");
    fleet.store.set_faults(Faults::default()).await;
    wait_until_idle(&fleet, 0).await;
    wait_until_idle(&fleet, 1).await;
    let runs = fleet.engine_runs().await;
    let calls = fleet.service_calls().await;
    assert!(runs.len() <= 1, "{runs:?}");
    assert!(calls.len() <= 1, "{calls:?}");
    assert!(check::not_run_never_executed(&attempts, &runs, &calls).is_ok());
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_every_daemon_at_once_runs_once() {
    let mut fleet =
        Fleet::start(&FleetConfig { daemons: 4, services: 1, ..FleetConfig::default() }).await;
    let targets = addresses(&fleet);
    let timeout = Duration::from_secs(5);
    for n in 0..5 {
        let (key, order) = (format!("taxi-{n}"), format!("order-{n}"));
        let caller = Caller::default();
        let requests = targets.iter().map(|target| {
            let (target, request) =
                (target.clone(), ChatRequest::new(key.clone()).non_repeatable());
            let (caller, order) = (caller.clone(), order.clone());
            async move {
                let response = caller.post(&target, "/orders/1", &order, "one", timeout);
                tokio::join!(caller.chat(&target, &request), response)
            }
        });
        let results: Vec<_> = futures::future::join_all(requests).await;
        let done = results
            .iter()
            .filter(|(attempt, _)| matches!(attempt.outcome, AttemptOutcome::Done { .. }))
            .count();
        let ordered = results
            .iter()
            .filter(|(_, order)| order.as_ref().is_some_and(|order| order.status == 201))
            .count();
        assert_eq!((done, ordered), (1, 1), "{results:?}");
    }
    let runs = fleet.engine_runs().await;
    assert_eq!(check::at_most_once(runs.iter().map(|run| run.run.as_str())), Ok(5));
    let calls = fleet.service_calls().await;
    assert_eq!(check::at_most_once(calls.iter().map(|call| call.run.as_str())), Ok(5));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_resumes_at_another_daemon_from_the_same_run() {
    let config = FleetConfig { daemons: 2, step_ms: 30, ..FleetConfig::default() };
    let mut fleet = Fleet::start(&config).await;
    let request = ChatRequest::new("handover").max_tokens(30);
    let targets = addresses(&fleet);
    let (first, asked) = (targets[0].clone(), request.clone());
    let sent = tokio::spawn(async move { Caller::default().chat(&first, &asked).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.daemons[0].process.kill();
    let broken = sent.await.expect("the caller does not panic");
    assert!(matches!(broken.outcome, AttemptOutcome::Unknown { .. }), "{broken:?}");
    let attempts = Caller::default().chat_until_done(&targets[1..], &request, 3).await;
    assert_eq!(check::responses_complete(&attempts), Ok(1), "{attempts:?}");
    let runs = fleet.engine_runs().await;
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert_eq!(runs[0].attached.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_disconnected_caller_is_billed_for_the_tokens_that_ran() {
    let config = FleetConfig { step_ms: 20, ..FleetConfig::default() };
    let mut fleet = Fleet::start(&config).await;
    let request = ChatRequest::new("left").max_tokens(200).timeout(Duration::from_millis(500));
    let disconnected = Caller::default().chat(&addresses(&fleet)[0], &request).await;
    assert!(matches!(disconnected.outcome, AttemptOutcome::Unknown { .. }), "{disconnected:?}");
    wait_until_idle(&fleet, 0).await;
    let complete =
        ChatRequest::new("left-whole").max_tokens(200).unstreamed().timeout(request.timeout);
    let disconnected = Caller::default().chat(&addresses(&fleet)[0], &complete).await;
    assert!(matches!(disconnected.outcome, AttemptOutcome::Unknown { .. }), "{disconnected:?}");
    wait_until_idle(&fleet, 0).await;
    let runs = fleet.engine_runs().await;
    let bills = check::bills(&segments(&fleet.store_writes().await));
    assert_eq!((runs.len(), bills.len()), (2, 2));
    assert!(runs.iter().all(|run| run.cancelled && run.output_tokens < 200), "{runs:?}");
    let ran: u64 = runs.iter().map(|run| run.prompt_tokens + run.output_tokens).sum();
    let billed: u64 = bills.iter().map(|bill| bill.tokens()).sum();
    assert_eq!(billed, ran);
    let dump = fleet.operator_get(0, "dump").await.expect("the daemon answers");
    let account = &dump["holder"]["accounts"]["main"];
    assert_eq!(account["spent"].as_u64(), Some(billed));
    assert_eq!(account["reserved"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_has_a_retry_time_and_nothing_ran() {
    let mut fleet =
        Fleet::start(&FleetConfig { daemons: 2, tokens: 20, ..FleetConfig::default() }).await;
    let mut attempts: Vec<Attempt> = Vec::new();
    for target in addresses(&fleet) {
        attempts.push(Caller::default().chat(&target, &ChatRequest::new("too-much")).await);
    }
    for attempt in &attempts {
        let AttemptOutcome::NotRun { code, retry_after_ms } = &attempt.outcome else {
            panic!("{attempt:?}")
        };
        assert_eq!(code, "budget_short");
        assert!(retry_after_ms.is_some());
    }
    assert!(fleet.engine_runs().await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_complete_during_a_store_outage_and_are_billed_afterwards() {
    let fleet = Fleet::start(&FleetConfig { daemons: 3, ..FleetConfig::default() }).await;
    let targets = addresses(&fleet);
    let warm_up = Caller::default().chat(&targets[0], &ChatRequest::new("warm")).await;
    assert!(matches!(warm_up.outcome, AttemptOutcome::Done { .. }), "{warm_up:?}");
    fleet.store.set_faults(Faults { down: true, ..Faults::default() }).await;
    let mut attempts = vec![warm_up];
    for n in 0..6 {
        attempts.push(
            Caller::default().chat(&targets[n % 3], &ChatRequest::new(format!("away-{n}"))).await,
        );
    }
    assert_eq!(check::responses_complete(&attempts), Ok(7), "{attempts:?}");
    fleet.store.set_faults(Faults::default()).await;
    for index in 0..3 {
        wait_until_idle(&fleet, index).await;
    }
    let bills = check::bills(&segments(&fleet.store_writes().await));
    assert_eq!(check::billed_once(&attempts, &bills, request_of), Ok(()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bill_survives_the_loss_of_its_daemon_in_an_outage() {
    let mut fleet = Fleet::start(&FleetConfig { daemons: 3, ..FleetConfig::default() }).await;
    let targets = addresses(&fleet);
    let warm_up = Caller::default().chat(&targets[0], &ChatRequest::new("warm")).await;
    fleet.store.set_faults(Faults { down: true, ..Faults::default() }).await;
    let attempt = Caller::default().chat(&targets[0], &ChatRequest::new("outlives")).await;
    assert!(matches!(attempt.outcome, AttemptOutcome::Done { .. }), "{attempt:?}");
    fleet.daemons[0].process.kill();
    fleet.store.set_faults(Faults::default()).await;
    wait_until_idle(&fleet, 1).await;
    wait_until_idle(&fleet, 2).await;
    let bills = check::bills(&segments(&fleet.store_writes().await));
    assert_eq!(check::billed_once(&[warm_up, attempt], &bills, request_of), Ok(()));
}

/// Guards against tokens that are lost with a killed daemon, although it never spent them.
#[tokio::test(flavor = "multi_thread")]
async fn unopened_tokens_of_a_killed_daemon_are_spent_by_the_others() {
    let mut fleet =
        Fleet::start(&FleetConfig { daemons: 4, tokens: 2_000, ..FleetConfig::default() }).await;
    let targets = addresses(&fleet);
    for (n, target) in targets.iter().enumerate() {
        let attempt = Caller::default().chat(target, &ChatRequest::new(format!("warm-{n}"))).await;
        assert!(matches!(attempt.outcome, AttemptOutcome::Done { .. }), "{attempt:?}");
    }
    fleet.daemons[3].process.kill();
    fleet.restart_daemon(3).await;
    fleet.wait_for_status(3, |status| status["revision"].as_u64() >= Some(1)).await;
    let mut attempts = Vec::new();
    for n in 0..200 {
        let request = ChatRequest::new(format!("rest-{n}")).max_tokens(40);
        attempts.push(Caller::default().chat(&targets[n % 3], &request).await);
        if matches!(attempts[n].outcome, AttemptOutcome::NotRun { .. }) {
            break;
        }
    }
    wait_until_idle(&fleet, 0).await;
    let runs = fleet.engine_runs().await;
    let spent = check::spend_within_budget(&runs, 0, 2_000).expect("no overspend");
    // An equal share of four daemons is 500: the killed daemon lost far less than that.
    assert!(spent > 1_700, "{spent} of 2000 tokens were spent: {:?}", attempts.last());
    assert_eq!(check::responses_complete(&attempts), Ok(attempts.len() - 1));
}

#[parameterized(
    foreign_chunks = { Faults { misdirect: true, ..Faults::default() } },
    repeated_chunks = { Faults { repeat: true, ..Faults::default() } },
    broken_streams = { Faults { cut_after: 3, ..Faults::default() } },
    all_combined = { Faults { misdirect: true, repeat: true, cut_after: 2, ..Faults::default() } },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn each_caller_gets_its_own_complete_answer(faults: Faults) {
    let fleet = Fleet::start(&FleetConfig::default()).await;
    fleet.engines[0].set_faults(faults).await;
    let target = &addresses(&fleet)[0];
    let requests = (0..8).map(|n| async move {
        Caller::default().chat(target, &ChatRequest::new(format!("own-{n}")).max_tokens(12)).await
    });
    let attempts = futures::future::join_all(requests).await;
    assert_eq!(check::responses_complete(&attempts), Ok(8), "{attempts:?}");
}

/// Guards against a copy of another request's refusal that is taken as proof of "not run".
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_names_another_attempt_is_no_proof() {
    let mut fleet = Fleet::start(&FleetConfig::default()).await;
    fleet.engines[0].set_faults(Faults { misplace_refusals: true, ..Faults::default() }).await;
    let request = ChatRequest::new("misplaced".to_owned()).max_tokens(4);
    let attempt = Caller::default().chat(&addresses(&fleet)[0], &request).await;
    assert!(matches!(attempt.outcome, AttemptOutcome::Unknown { .. }), "{attempt:?}");
    assert_eq!(fleet.engine_runs().await.len(), 1);
    // Its engine is not taken to be leaving.
    fleet.engines[0].set_faults(Faults::default()).await;
    let request = ChatRequest::new("next".to_owned()).max_tokens(4);
    let attempt = Caller::default().chat(&addresses(&fleet)[0], &request).await;
    assert!(matches!(attempt.outcome, AttemptOutcome::Done { .. }), "{attempt:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_past_its_deadline_is_cancelled_billed_and_answered_unknown() {
    let config = FleetConfig { step_ms: 20, ..FleetConfig::default() };
    let mut fleet = Fleet::start_with(&config, |table| {
        table["routes"][0]["deadline_ms"] = serde_json::json!(400);
    })
    .await;
    let target = &addresses(&fleet)[0];
    let mut attempts = Vec::new();
    for request in [
        ChatRequest::new("late").max_tokens(200),
        ChatRequest::new("late-whole").max_tokens(200).unstreamed(),
    ] {
        attempts.push(Caller::default().chat(target, &request).await);
    }
    for attempt in &attempts {
        assert_eq!(attempt.outcome, AttemptOutcome::Unknown { code: "deadline".to_owned() });
    }
    wait_until_idle(&fleet, 0).await;
    let runs = fleet.engine_runs().await;
    assert!(runs.len() == 2 && runs.iter().all(|run| run.cancelled), "{runs:?}");
    assert!(check::not_run_never_executed(&attempts, &runs, &[]).is_ok());
    assert_eq!(check::bills(&segments(&fleet.store_writes().await)).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_is_counted_exactly_before_a_refusal_where_the_budget_row_sets_it() {
    for (when_short, is_served) in [("refuse", false), ("count", true)] {
        let config = FleetConfig { tokens: 60, ..FleetConfig::default() };
        let fleet = Fleet::start_with(&config, |table| {
            table["budgets"][0]["when_short"] = serde_json::json!(when_short);
        })
        .await;
        // A prompt of 100 bytes has 25 tokens. With 8 output tokens it fits the budget, but not if
        // each byte is counted as a token.
        let mut request = ChatRequest::new("long prompt");
        request.prompt = "x".repeat(100);
        let outcome = Caller::default().chat(&addresses(&fleet)[0], &request).await.outcome;
        assert_eq!(matches!(outcome, AttemptOutcome::Done { .. }), is_served, "{outcome:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_that_never_answers_is_answered_unknown_at_the_deadline() {
    let fleet =
        Fleet::start_with(&FleetConfig { services: 1, ..FleetConfig::default() }, |table| {
            table["routes"][1]["deadline_ms"] = serde_json::json!(300);
        })
        .await;
    fleet.services[0].set_faults(Faults { delay_ms: 60_000, ..Faults::default() }).await;
    let target = &addresses(&fleet)[0];
    let response = Caller::default().post(target, "/orders/1", "slow", "one", CALLER_TIMEOUT).await;
    let error = &response.expect("the daemon answers").body["error"];
    assert_eq!(
        (error["code"].as_str(), error["outcome"].as_str()),
        (Some("server_lost"), Some("unknown"))
    );
}

/// Starts a service that runs each call and answers it with a redirect to an address at which nothing
/// listens. Returns its address and the number of its runs.
async fn start_redirecting_service(status: u16) -> (String, Arc<AtomicUsize>) {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let target = closed.local_addr().expect("an address");
    drop(closed);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let runs = Arc::<AtomicUsize>::default();
    let counter = Arc::clone(&runs);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut req = vec![0; 64 << 10];
            let mut len = 0;
            while !req[..len].ends_with(b"two seats") {
                match stream.read(&mut req[len..]).await {
                    Ok(n) if n > 0 => len += n,
                    _ => break,
                }
            }
            let head = String::from_utf8_lossy(&req[..len]).to_lowercase();
            let attempt = head.lines().find(|line| line.starts_with("x-attempt: "));
            let Some(attempt) = attempt else { continue };
            counter.fetch_add(1, Ordering::Relaxed);
            let head = format!(
                "HTTP/1.1 {status} Redirect\r\n{attempt}\r\nlocation: http://{target}/x\r\ncontent-length: 0\r\n\r\n"
            );
            let _gone = stream.write_all(head.as_bytes()).await;
        }
    });
    (address, runs)
}

/// Guards against a redirect that is followed: the request leaves the server for which it has a permit,
/// and counts as not executed if the other address does not accept a connection.
#[parameterized(see_other = { 303 }, temporary = { 307 })]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_redirect_of_a_service_is_its_answer(status: u16) {
    let (address, runs) = start_redirecting_service(status).await;
    let config = FleetConfig { services: 1, ..FleetConfig::default() };
    let fleet = Fleet::start_with(&config, |table| {
        let servers = table["servers"].as_array_mut().expect("a list");
        let service = servers.iter_mut().find(|server| server["kind"] == "service");
        service.expect("a service")["address"] = serde_json::json!(address);
    })
    .await;
    let http = reqwest::Client::builder().no_proxy().redirect(reqwest::redirect::Policy::none());
    let url = format!("http://{}/orders/1", addresses(&fleet)[0]);
    let req = http.build().expect("a client").post(url).bearer_auth(API_KEY);
    let res = req.header("idempotency-key", "redirected").body("two seats").send().await;
    let res = res.expect("an answer");
    let (answered, body) = (res.status().as_u16(), res.text().await.expect("a body"));
    assert_eq!((answered, runs.load(Ordering::Relaxed)), (status, 1), "{body}");
}

/// Guards against what engines send being gathered until the memory of the host is exceeded.
#[parameterized(
    refusals = { Endless::Refusal },
    interim_answers = { Endless::InterimAnswers },
    headers = { Endless::HeaderValue },
    bodies = { Endless::Body },
    events = { Endless::Event },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn engine_answers_without_end_stay_within_the_hosts_memory(kind: Endless) {
    let relay = FloodingRelay::start(String::new()).await;
    relay.set(Some(Flood { kind, pause: None, every: 1 }));
    let config = FleetConfig { processors: Some(1), ..FleetConfig::default() };
    let fleet = Fleet::start_with(&config, |table| {
        table["servers"][0]["address"] = relay.address.as_str().into();
        table["routes"][0]["deadline_ms"] = 2_000.into();
    })
    .await;
    let target = &addresses(&fleet)[0];
    let attempts = (0..ENDLESS_REQUESTS).map(async |n| {
        let request = ChatRequest::new(format!("endless-{n}"));
        let request = if kind == Endless::Event { request } else { request.unstreamed() };
        Caller::default().chat(target, &request).await.outcome
    });
    for outcome in futures::future::join_all(attempts).await {
        assert!(!matches!(outcome, AttemptOutcome::Done { .. }), "{outcome:?}");
    }
    let peak = fleet.daemons[0].process.peak_memory();
    assert!(peak < MAX_MEMORY, "{peak} bytes");
}
