//! Handlers of `POST /v1/chat/completions` and `GET /v1/models`.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::Name;
use bankcove_core::lifecycle::{Admitted, Attempt, Received};
use bankcove_core::router::Homes;
use bankcove_core::table::{RouteTarget, ServerKind, ShortagePolicy};
use bankcove_core::{AttemptId, Millis, Tokens};
use bytes::Bytes;
use reqwest::Method;
use salvo::http::header::{CONTENT_TYPE, HeaderValue};
use salvo::prelude::*;
use serde_json::{Value, json};
use slog::{Logger, o};
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::xxh3_64;

use crate::api::Api;
use crate::api::admission::{self, Caller, identify_caller};
use crate::api::backend::{self, BackendRequest};
use crate::api::delivery::{self, Run};
use crate::api::dispatch::{self, DispatchFailure, DispatchRequest};
use crate::api::injected_api;
use crate::api::response::{ATTEMPT_HEADER, ErrorResponse, KEY_HEADER, ResponseBody};
use crate::requests::held_bodies::BodyCharge;

/// Length of the prompt prefix that is hashed for routing, in bytes.
const PREFIX_BYTES: usize = 512;

/// Maximum number of chunks buffered for a slow caller.
const STREAM_BUFFER: usize = 32;

/// A parsed and validated chat request.
pub struct ChatRequest {
    /// The caller and its budget.
    pub caller: Caller,
    /// Logger with the identifiers of the request and the attempt.
    pub log: Logger,
    body: Value,
    /// Account of the memory of `body`.
    _charge: BodyCharge,
    model: String,
    route_homes: Vec<Name>,
    max_tokens: Tokens,
    prompt_bytes: usize,
    prefix: u64,
    stream: bool,
    repeatable: bool,
    deadline: Duration,
}

/// Handles a chat request.
#[handler]
pub async fn complete(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let api = injected_api(depot);
    let id = api.next_attempt();
    set_header(res, ATTEMPT_HEADER, &id.to_string());
    let chat = match parse_chat_request(&api, id, req).await {
        Ok(chat) => chat,
        Err(error) => return error.render(res),
    };
    set_header(res, KEY_HEADER, &chat.caller.key);
    let (tx, rx) = oneshot::channel();
    // Runs in its own task, so that a caller that disconnects does not cancel the accounting.
    let serving = serve(Arc::clone(&api), chat, id, tx);
    api.requests.in_flight.spawn(serving);
    match rx.await {
        Ok(Ok(ResponseBody::Stream(chunks))) => {
            res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
            res.stream(futures::stream::unfold(chunks, |mut chunks| async {
                let chunk = chunks.recv().await?;
                Some((Ok::<_, std::io::Error>(chunk), chunks))
            }));
        }
        Ok(Ok(ResponseBody::Complete(body))) => {
            res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            res.body(body);
        }
        Ok(Err(error)) => error.render(res),
        Err(_) => ErrorResponse::unknown("internal", "the request was dropped").render(res),
    }
}

/// Lists the models that have a route.
#[handler]
pub async fn list_models(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let api = injected_api(depot);
    let caller = match identify_caller(&api, req) {
        Ok(caller) => caller,
        Err(error) => return error.render(res),
    };
    let routes = caller.table.routes.iter().filter_map(|route| match &route.target {
        RouteTarget::Model { model } => Some(json!({"id": model, "object": "model"})),
        RouteTarget::Service { .. } | RouteTarget::Host { .. } => None,
    });
    res.render(Json(json!({"object": "list", "data": routes.collect::<Vec<_>>()})));
}

/// Sets a response header; does nothing if `value` is not valid in a header.
pub fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}

/// Reads and validates a chat request.
///
/// # Errors
/// The response to the caller if the request is invalid.
async fn parse_chat_request(
    api: &Api,
    id: AttemptId,
    req: &mut Request,
) -> Result<ChatRequest, ErrorResponse> {
    let caller = identify_caller(api, req)?;
    let bytes = admission::read_body(api, &caller, req).await?;
    let body: Value = serde_json::from_slice(bytes.as_ref())
        .map_err(|e| ErrorResponse::bad_request("bad_json", format!("the body is no JSON: {e}")))?;
    let model = body["model"].as_str().unwrap_or_default().to_owned();
    let Some(route) = caller.table.route_for_model(&model).cloned() else {
        let message = format!("no route serves model '{model}'; see GET /v1/models");
        return Err(ErrorResponse::refused(StatusCode::NOT_FOUND, "no_such_model", message));
    };
    if !body["messages"].is_array() {
        return Err(ErrorResponse::bad_request("bad_request", "'messages' must be an array"));
    }
    let max_tokens = match &body["max_tokens"] {
        Value::Null => route.max_tokens,
        value => {
            value.as_u64().filter(|n| (1..=route.max_tokens).contains(n)).ok_or_else(|| {
                let message =
                    format!("'max_tokens' must be a number from 1 to {}", route.max_tokens);
                ErrorResponse::bad_request("bad_max_tokens", message)
            })?
        }
    };
    let messages = body["messages"].to_string();
    let prefix = &messages.as_bytes()[..messages.len().min(PREFIX_BYTES)];
    let log = api
        .requests
        .base
        .log
        .new(o!("request" => caller.request.to_string(), "attempt" => id.to_string()));
    Ok(ChatRequest {
        log,
        prefix: xxh3_64(prefix),
        prompt_bytes: messages.len(),
        stream: body["stream"].as_bool().unwrap_or(false),
        repeatable: route.repeatable && !caller.at_most_once,
        route_homes: route.homes.clone(),
        deadline: Duration::from_millis(route.deadline_ms),
        caller,
        body,
        _charge: bytes.into_charge(),
        model,
        max_tokens,
    })
}

/// Serves a request and sends the response through `tx`, then completes its accounting.
async fn serve(
    api: Arc<Api>,
    chat: ChatRequest,
    id: AttemptId,
    mut tx: oneshot::Sender<Result<ResponseBody, ErrorResponse>>,
) {
    let started = api.requests.base.clock.now();
    let deadline = started + chat.deadline.as_millis() as Millis;
    let interrupt = async {
        tokio::select! {
            () = api.requests.base.clock.sleep_until(deadline) => {}
            () = tx.closed() => {}
        }
    };
    let run = match start_run(&api, chat, id, interrupt).await {
        Ok(run) => run,
        Err(error) => {
            api.requests.base.metrics.count(error.code());
            // Fails if the caller has disconnected: no response is needed, and the
            // attempt is already settled.
            let _gone = tx.send(Err(error));
            return;
        }
    };
    api.requests.base.metrics.time("time_to_answer", api.requests.base.clock.now() - started);
    if run.stream {
        let (chunks_tx, chunks_rx) = mpsc::channel(STREAM_BUFFER);
        // Fails if the caller has disconnected: `deliver_stream` then finds its channel closed.
        let _gone = tx.send(Ok(ResponseBody::Stream(chunks_rx)));
        delivery::deliver_stream(&api, run, chunks_tx, deadline).await;
    } else {
        delivery::deliver_complete(&api, run, tx, deadline).await;
    }
}

/// Admits a request, claims it if it must not run twice, and dispatches it.
///
/// # Errors
/// The response to the caller if the request is refused or no server has begun to respond.
async fn start_run(
    api: &Arc<Api>,
    chat: ChatRequest,
    id: AttemptId,
    interrupt: impl Future<Output = ()>,
) -> Result<Run, ErrorResponse> {
    let attempt = Attempt::new(chat.caller.request, id);
    let mut attempt = admit(api, &chat, attempt).await?;
    if !chat.repeatable {
        attempt = admission::claim(api, &chat.caller, attempt).await?;
    }
    let run_id =
        format!("{}-{:016x}", chat.caller.request, xxh3_64(chat.body.to_string().as_bytes()));
    let backend_request = backend_request(&chat, run_id.clone(), id);
    let request = dispatch_request(&chat);
    let answered = match dispatch::dispatch(api, attempt, &request, &backend_request, interrupt)
        .await
    {
        Ok(answered) => answered,
        Err(DispatchFailure::Refused(error)) => return Err(error),
        Err(DispatchFailure::Interrupted(interrupted)) => {
            let budget = chat.caller.budget.name;
            return Err(
                delivery::abort_interrupted(api, chat.log, budget, &run_id, *interrupted).await
            );
        }
    };
    slog::info!(chat.log, "dispatched"; "server" => %answered.choice.server);
    Ok(Run {
        log: chat.log,
        budget: chat.caller.budget.name,
        model: chat.model,
        run_id,
        max_tokens: chat.max_tokens,
        stream: chat.stream,
        answered,
    })
}

/// Returns the identity of a chat request and its requirements for the server.
fn dispatch_request(chat: &ChatRequest) -> DispatchRequest<'_> {
    DispatchRequest {
        pool: &chat.model,
        prefix: chat.prefix,
        kind: ServerKind::Model,
        hash: chat.caller.request,
        workspace: &chat.caller.workspace,
        homes: Homes { route: &chat.route_homes, workspace: &chat.caller.homes },
        claimed: !chat.repeatable,
    }
}

/// Reserves the maximum cost. A prompt has at most as many tokens as bytes; if the budget does not
/// cover that bound, its row may request an exact count.
async fn admit(
    api: &Arc<Api>,
    chat: &ChatRequest,
    attempt: Attempt<Received>,
) -> Result<Attempt<Admitted>, ErrorResponse> {
    let bound = chat.prompt_bytes as Tokens + chat.max_tokens;
    let budget = &chat.caller.budget;
    let (refusal, attempt) = match admission::admit(api, &chat.caller, attempt, bound).await {
        Ok(admitted) => return Ok(admitted),
        Err(refused) => refused,
    };
    let exact = match budget.when_short {
        ShortagePolicy::Count => count_tokens(api, chat).await,
        ShortagePolicy::Refuse => None,
    };
    let Some(exact) = exact.filter(|exact| *exact < bound) else {
        return Err(admission::budget_refusal(api, &attempt.not_run(), budget, refusal));
    };
    match admission::admit(api, &chat.caller, attempt, exact).await {
        Ok(admitted) => Ok(admitted),
        Err((refusal, attempt)) => {
            Err(admission::budget_refusal(api, &attempt.not_run(), budget, refusal))
        }
    }
}

/// Returns the maximum cost with the prompt's tokens counted by a server, or `None` on failure.
async fn count_tokens(api: &Arc<Api>, chat: &ChatRequest) -> Option<Tokens> {
    let permit = dispatch::choose_server(api, &dispatch_request(chat), &[], None).await.ok()?;
    let prompt = backend::count_tokens(api, permit, &chat.body).await?;
    Some(prompt + chat.max_tokens)
}

/// Returns the request to the engine: the caller's body with the output limit and, for a stream,
/// the option to report usage set.
fn backend_request(chat: &ChatRequest, run_id: String, attempt: AttemptId) -> BackendRequest {
    let mut body = chat.body.clone();
    body["max_tokens"] = json!(chat.max_tokens);
    if chat.stream {
        body["stream_options"] = json!({"include_usage": true});
    }
    let mut headers = reqwest::header::HeaderMap::new();
    headers.insert(
        reqwest::header::CONTENT_TYPE,
        reqwest::header::HeaderValue::from_static("application/json"),
    );
    BackendRequest {
        method: Method::POST,
        path: "/v1/chat/completions".to_owned(),
        headers,
        body: Bytes::from(body.to_string()),
        run_id,
        attempt,
    }
}
