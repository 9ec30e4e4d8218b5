//! Client for the HTTP interface of backend servers.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::hints::{Hint, ServerHints, read_leaving, read_retry_after};
use bankcove_core::lifecycle::NotExecuted;
use bankcove_core::limits::LimitHeader;
use bankcove_core::router::{Choice, LoadReport};
use bankcove_core::table::ServerKind;
use bankcove_core::{AttemptId, Fingerprint, Millis, Name, Tokens};
use bankcove_ports::SendError as HttpError;
use bytes::{Bytes, BytesMut};
use reqwest::header::{DATE, RETRY_AFTER};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::api::Api;
use crate::hints::permit::Permit;
use crate::requests::gathering::Gathering;

/// Timeout of calls that are not requests of callers, such as load reports and cancellations.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Response header with the requests per second that the server accepts from all daemons together.
/// Cancellations of a run and load reports don't count as requests.
const LIMIT_HEADER: &str = "x-requests-per-second";

/// Header of requests with the identifier of the attempt. Responses repeat it, since a server may send
/// the response to another request in place of the one to this.
const ATTEMPT_HEADER: &str = "x-attempt";

/// Response header with the value "1", sent by a server that is shutting down.
const LEAVING_HEADER: &str = "x-server-leaving";

/// Reason why sending a request returned no response.
#[derive(Debug)]
pub enum SendError {
    /// The request was not sent because its permit was no longer valid; no failure of the server.
    NotSent(NotExecuted),
    /// The server did not execute the request.
    NotExecuted {
        /// Proof that it was not executed.
        proof: NotExecuted,
        /// Whether the server refused the request because it is shutting down.
        leaving: bool,
    },
    /// The connection broke; the server may have executed the request.
    Broken,
    /// The response is none to this request, which the server may have executed.
    Foreign,
}

/// Error of a call without a usable response.
#[derive(Debug, thiserror::Error)]
enum CallError {
    /// There is no response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The response names another attempt.
    #[error("the response is to another request")]
    Foreign,
}

/// Maximum size of a response that is not streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Error of a response whose head was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It exceeds [`MAX_RESPONSE_BYTES`].
    TooLarge,
    /// The connection broke.
    Broken,
}

/// Request to a backend server.
#[derive(Debug, Clone)]
pub struct BackendRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers, some of them forwarded from the caller's request.
    pub headers: reqwest::header::HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Identifier of the run, the same for every attempt at the same request.
    pub run_id: String,
    /// Identifier of the attempt.
    pub attempt: AttemptId,
}

impl BackendRequest {
    /// Returns the content hash of the request for a workspace. The run identifier is not
    /// included: it differs if the caller repeats the request under another idempotency key.
    pub fn fingerprint(&self, workspace: &Name) -> Fingerprint {
        Fingerprint::of("", &self.path, workspace.as_str(), &self.body)
    }
}

/// Body of the response with which an engine refuses a request.
#[derive(Deserialize)]
struct EngineRefusal {
    error: EngineError,
}

#[derive(Deserialize)]
struct EngineError {
    code: String,
    ran: bool,
}

/// Cost of a cancelled run.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct CancelledRun {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens generated.
    pub output_tokens: Tokens,
}

/// Sends a request and returns once the response begins.
///
/// # Errors
/// [`SendError`], which shows whether the request may have run.
pub async fn send(
    api: &Api,
    permit: Permit,
    backend_request: BackendRequest,
    kind: ServerKind,
) -> Result<Response, SendError> {
    let Ok(choice) = permit.consume() else {
        return Err(SendError::NotSent(NotExecuted::never_sent()));
    };
    let sent_at = api.requests.base.clock.now();
    let url = format!("http://{}{}", choice.address, backend_request.path);
    let BackendRequest { method, headers, body, run_id, attempt, .. } = backend_request;
    let build = |http: &Client| {
        http.request(method, url).headers(headers).header("x-run-id", run_id).body(body)
    };
    let res = match call(api, attempt, build).await {
        Ok(res) => res,
        Err(CallError::Http(HttpError::NotConnected(_))) => {
            let proof = NotExecuted::connection_failed();
            return Err(SendError::NotExecuted { proof, leaving: false });
        }
        Err(CallError::Http(_)) => return Err(SendError::Broken),
        Err(CallError::Foreign) => return Err(SendError::Foreign),
    };
    record_response_hints(api, &choice, sent_at, &res);
    // Only refusals of engines are trusted: the body of a plain service can contain anything.
    if kind == ServerKind::Service || res.status() != StatusCode::SERVICE_UNAVAILABLE {
        return Ok(res);
    }
    // Without the header it may be the refusal of another attempt.
    let names_attempt = res.headers().contains_key(ATTEMPT_HEADER);
    let body = read_body(api, res).await;
    match body.map(|body| serde_json::from_slice::<EngineRefusal>(&body)) {
        Ok(Ok(refusal)) if !refusal.error.ran && names_attempt => Err(SendError::NotExecuted {
            proof: NotExecuted::refused_by_server(),
            leaving: refusal.error.code == "leaving",
        }),
        Ok(Ok(_)) => Err(SendError::Foreign),
        Ok(Err(_)) | Err(_) => Err(SendError::Broken),
    }
}

/// Makes a call under this identifier, and checks that the response names no other one. The connections
/// are replaced otherwise: the next response on its connection would be the one to this call.
async fn call(
    api: &Api,
    attempt: AttemptId,
    build: impl FnOnce(&Client) -> RequestBuilder,
) -> Result<Response, CallError> {
    let connections = api.connections.current();
    let attempt = attempt.to_string();
    let req = build(connections.client.requests()).header(ATTEMPT_HEADER, &attempt);
    let res = connections.client.send(req).await?;
    let named = res.headers().get(ATTEMPT_HEADER);
    if named.is_none_or(|named| *named == *attempt) {
        return Ok(res);
    }
    slog::info!(api.requests.base.log, "answer of another request";
        "attempt" => attempt, "named" => ?named);
    api.requests.base.metrics.count("answer.foreign");
    api.connections.replace(&connections);
    Err(CallError::Foreign)
}

/// Makes a call that is not a request of a caller, and parses the response, whose head `record_head` gets
/// before. Returns `None` if there is no usable response in time.
async fn control_call<T: DeserializeOwned>(
    api: &Api,
    build: impl FnOnce(&Client) -> RequestBuilder,
    record_head: impl FnOnce(&Response),
) -> Option<T> {
    let answer = async {
        let res = call(api, api.next_attempt(), build).await.ok()?;
        record_head(&res);
        let body = read_body(api, res.error_for_status().ok()?).await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    tokio::time::timeout(CONTROL_CALL_TIMEOUT, answer).await.ok().flatten()
}

/// Reads the rest of a response that is not streamed, within the memory of the host.
///
/// # Errors
/// [`BodyError`] if it is not received completely.
pub async fn read_body(api: &Api, mut res: Response) -> Result<Bytes, BodyError> {
    let mut gathering = Gathering::new(&api.requests.gather_memory);
    let mut buf = BytesMut::new();
    while let Some(chunk) = res.chunk().await.map_err(|_| BodyError::Broken)? {
        if buf.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return Err(BodyError::TooLarge);
        }
        buf.extend_from_slice(&chunk);
        gathering.resize(buf.len()).await;
    }
    Ok(gathering.complete(buf))
}

/// Records the hints in the head of a response.
fn record_response_hints(api: &Api, choice: &Choice, sent_at: Millis, res: &Response) {
    api.requests.hints.record_response(
        &api.requests.base.log,
        &choice.instance(),
        sent_at,
        &read_hints(res),
    );
}

/// Records the hints in the response to a control call, which has no rate limit header.
fn record_control_response_hints(api: &Api, choice: &Choice, res: &Response) {
    api.requests.hints.record_control_response(
        &api.requests.base.log,
        &choice.instance(),
        &read_hints(res),
    );
}

/// Reads the hints of a server from the head of its response.
fn read_hints(res: &Response) -> ServerHints {
    let values = |name| {
        let values = res.headers().get_all(name).iter();
        values.map(|value| value.to_str().unwrap_or("?"))
    };
    let asks_for_rest = res.status() == StatusCode::SERVICE_UNAVAILABLE;
    let rest = || read_retry_after(values(RETRY_AFTER.as_str()), values(DATE.as_str()).next());
    ServerHints {
        limit: LimitHeader::parse(values(LIMIT_HEADER)),
        leaving: read_leaving(values(LEAVING_HEADER)),
        rest: if asks_for_rest { rest() } else { Hint::Absent },
        // Servers of bankcove's own interface don't announce it.
        brittle: Hint::Absent,
    }
}

/// Resumes the stream of a run at `offset`; never starts a run. Returns `None` on failure.
pub async fn resume_stream(
    api: &Api,
    permit: Permit,
    run_id: &str,
    model: &str,
    offset: u64,
) -> Option<Response> {
    let choice = permit.consume().ok()?;
    let sent_at = api.requests.base.clock.now();
    let url = format!("http://{}/v1/runs/{run_id}/stream", choice.address);
    let query = [("offset", offset.to_string()), ("model", model.to_owned())];
    let res = call(api, api.next_attempt(), |http| http.get(url).query(&query)).await.ok()?;
    record_response_hints(api, &choice, sent_at, &res);
    res.status().is_success().then_some(res)
}

/// Cancels a run and returns its cost, or `None` on failure.
pub async fn cancel_run(api: &Api, choice: &Choice, run_id: &str) -> Option<CancelledRun> {
    let url = format!("http://{}/v1/runs/{run_id}/cancel", choice.address);
    let record = |res: &Response| record_control_response_hints(api, choice, res);
    control_call(api, |http| http.post(url), record).await
}

/// Has a server count the tokens of a prompt. Returns `None` on failure.
pub async fn count_tokens(api: &Api, permit: Permit, body: &Value) -> Option<Tokens> {
    #[derive(Deserialize)]
    struct Count {
        count: Tokens,
    }
    let choice = permit.consume().ok()?;
    let sent_at = api.requests.base.clock.now();
    let url = format!("http://{}/v1/tokenize", choice.address);
    let record = |res: &Response| record_response_hints(api, &choice, sent_at, res);
    let count: Count = control_call(api, |http| http.post(url).json(body), record).await?;
    Some(count.count)
}

/// Fetches load reports of model servers periodically until the daemon ends.
pub async fn poll_load_reports(api: Arc<Api>) {
    let interval = Duration::from_millis(api.requests.base.cfg.limits.load_report_ms);
    let mut offset = 0;
    loop {
        offset = collect_load_reports(&api, offset).await;
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = api.requests.base.shutdown.cancelled() => return,
        }
    }
}

/// Fetches one round of load reports. Their number is limited so that the cost does not grow with
/// the number of servers. Returns the offset for the next round.
async fn collect_load_reports(api: &Arc<Api>, offset: usize) -> usize {
    let max = api.requests.base.cfg.limits.load_reports_at_once;
    let (servers, next) = api.requests.router.lock().servers_to_ask(max, offset);
    let reports = servers.into_iter().map(|choice| async move {
        let report = fetch_load_report(api, &choice).await;
        (choice.server, report)
    });
    for (name, report) in futures::future::join_all(reports).await {
        if let Some(report) = report {
            api.requests.router.lock().record_load_report(
                api.requests.base.clock.now(),
                &name,
                report,
            );
        }
    }
    next
}

/// Fetches the load report of one server; `None` on failure.
async fn fetch_load_report(api: &Api, choice: &Choice) -> Option<LoadReport> {
    let url = format!("http://{}/v1/load", choice.address);
    let record = |res: &Response| record_control_response_hints(api, choice, res);
    control_call(api, |http| http.get(url), record).await
}
