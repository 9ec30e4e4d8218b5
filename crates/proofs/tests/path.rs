//! The complete path of a request, tested with the real binaries in separate processes.

use bankcove_core::{Name, RequestHash};
use bankcove_proofs::caller::{AttemptOutcome, Caller, ChatRequest};
use bankcove_proofs::check;
use bankcove_proofs::fleet::{Fleet, FleetConfig, OPERATOR_TOKEN, segments};
use bankcove_proofs::table::{API_KEY, MODEL};
use serde_json::{Value, json};

#[tokio::test(flavor = "multi_thread")]
async fn streamed_and_unstreamed_responses_are_complete_and_billed_once() {
    let fleet = Fleet::start(&FleetConfig { services: 1, ..FleetConfig::default() }).await;
    let caller = Caller::default();
    let daemon = &fleet.daemons[0].caller_address;
    let mut attempts = Vec::new();
    attempts.push(caller.chat(daemon, &ChatRequest::new("streamed")).await);
    attempts.push(caller.chat(daemon, &ChatRequest::new("whole").unstreamed()).await);
    for attempt in &attempts {
        assert!(
            matches!(attempt.outcome, AttemptOutcome::Done { output_tokens: 8, .. }),
            "{attempt:?}"
        );
    }
    assert_eq!(check::responses_complete(&attempts), Ok(2));
    let bills = check::bills(&segments(&fleet.store_writes().await));
    let request_of = |key: &str| RequestHash::of(&Name::from("dispatch"), key);
    assert_eq!(check::billed_once(&attempts, &bills, request_of), Ok(()));
    assert_eq!(bills.len(), 2);
}

/// Posts a body to the chat path and returns the status and the body of the response.
async fn post_chat(fleet: &Fleet, key: &str, body: impl Into<reqwest::Body>) -> (u16, Value) {
    let url = format!("http://{}/v1/chat/completions", fleet.daemons[0].caller_address);
    let req = reqwest::Client::new().post(url).bearer_auth(key).body(body);
    let res = req.send().await.expect("the daemon answers");
    (res.status().as_u16(), res.json().await.expect("errors are JSON"))
}

/// Returns the body of a chat request for this model.
fn chat_body(model: &str) -> Value {
    json!({"model": model, "messages": [{"role": "user", "content": "hello"}]})
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_an_error_code_and_run_nowhere() {
    let mut config = FleetConfig::default();
    config.limits["max_body_bytes"] = json!(10_000);
    let mut fleet = Fleet::start(&config).await;
    let oversized = "x".repeat(20_000);
    let mut too_many_tokens = chat_body(MODEL);
    too_many_tokens["max_tokens"] = json!(100_000);
    let cases = [
        ("wrong", chat_body(MODEL).to_string(), 401, "bad_key"),
        (API_KEY, "{\"model\": ".to_owned(), 400, "bad_json"),
        (API_KEY, json!({"model": MODEL}).to_string(), 400, "bad_request"),
        (API_KEY, too_many_tokens.to_string(), 400, "bad_max_tokens"),
        (API_KEY, chat_body("other").to_string(), 404, "no_such_model"),
        (API_KEY, oversized, 413, "body_too_large"),
    ];
    for (key, body, status, code) in cases {
        let (found_status, response) = post_chat(&fleet, key, body).await;
        assert_eq!(
            (found_status, response["error"]["code"].as_str()),
            (status, Some(code)),
            "{response}"
        );
        assert_eq!(response["error"]["outcome"], "not_run");
    }
    assert!(fleet.engine_runs().await.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_for_a_dead_engine_is_answered_not_run_with_a_retry_time() {
    let mut fleet = Fleet::start(&FleetConfig::default()).await;
    fleet.engines[0].process.kill();
    let outcome = Caller::default()
        .chat(&fleet.daemons[0].caller_address, &ChatRequest::new("nobody"))
        .await
        .outcome;
    let AttemptOutcome::NotRun { code, retry_after_ms } = outcome else { panic!("{outcome:?}") };
    assert_eq!((code.as_str(), retry_after_ms.is_some()), ("no_server", true));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_service_gets_method_and_body_and_its_response_reaches_the_caller() {
    let fleet = Fleet::start(&FleetConfig { services: 1, ..FleetConfig::default() }).await;
    let timeout = std::time::Duration::from_secs(5);
    let daemon = &fleet.daemons[0].caller_address;
    let response =
        Caller::default().post(daemon, "/orders/9?x=1", "o-9", "two seats", timeout).await;
    let response = response.expect("the daemon answers");
    let echoed = response.body["you"]["body"].as_str();
    assert_eq!((response.status, echoed), (201, Some("two seats")));
    let calls = fleet.service_calls().await;
    assert_eq!((calls.len(), calls[0].path.as_str()), (1, "/orders/9"));
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_need_their_token_and_dumps_hold_no_keys() {
    let fleet = Fleet::start(&FleetConfig::default()).await;
    let url = format!("http://{}/v1/dump", fleet.daemons[0].operator_address);
    let res = reqwest::Client::new().get(url).bearer_auth("wrong").send().await;
    assert_eq!(res.expect("the daemon answers").status().as_u16(), 401);
    Caller::default().chat(&fleet.daemons[0].caller_address, &ChatRequest::new("logged")).await;
    let dump = fleet.operator_get(0, "dump").await.expect("the daemon answers").to_string();
    let hash = bankcoved::auth::hash_key(API_KEY);
    assert!(!dump.contains(&hash) && !dump.contains(API_KEY) && !dump.contains(OPERATOR_TOKEN));
    let log = fleet.log(0);
    assert!(!log.contains(API_KEY) && !log.contains("summarise shift"), "{log}");
}
