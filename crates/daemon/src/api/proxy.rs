//! Reverse proxy for plain services that a route leads to: method, body and status are forwarded
//! unchanged.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::bill::Bill;
use bankcove_core::lifecycle::{Attempt, Dispatched};
use bankcove_core::router::Homes;
use bankcove_core::table::{Route, ServerKind};
use bankcove_core::{AttemptId, Millis, Name, Tokens};
use bytes::Bytes;
use reqwest::Method;
use reqwest::header::{HeaderMap, HeaderName};
use salvo::prelude::*;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use crate::api::Api;
use crate::api::admission::{self, Caller, identify_caller};
use crate::api::backend::{BackendRequest, BodyError, read_body};
use crate::api::chat::set_header;
use crate::api::dispatch::{self, DispatchFailure, DispatchRequest, Interrupted};
use crate::api::injected_api;
use crate::api::response::{ATTEMPT_HEADER, ErrorResponse, KEY_HEADER};
use crate::bill::bills;
use crate::crashes;
use crate::requests::open_request::OpenRequest;

/// Retry delay after an unknown outcome.
const RETRY_UNKNOWN_MS: u64 = 1_000;

/// Headers that are not forwarded: they concern a single connection or bankcove itself.
const NOT_FORWARDED: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
];

/// A parsed call and its route.
struct ServiceCall {
    caller: Caller,
    route: Route,
    backend_request: BackendRequest,
}

/// Response of a plain service.
struct ServiceResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Handles a call of a plain service.
#[handler]
pub async fn forward(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let api = injected_api(depot);
    let id = api.next_attempt();
    set_header(res, ATTEMPT_HEADER, &id.to_string());
    let call = match parse_call(&api, id, req).await {
        Ok(call) => call,
        Err(error) => return error.render(res),
    };
    set_header(res, KEY_HEADER, &call.caller.key);
    let (tx, rx) = oneshot::channel();
    let serving = serve(Arc::clone(&api), call, id, tx);
    api.requests.in_flight.spawn(serving);
    match rx.await {
        Ok(Ok(response)) => {
            res.status_code(response.status);
            for (name, value) in &response.headers {
                if is_forwarded(name) {
                    res.headers_mut().append(name, value.clone());
                }
            }
            res.body(response.body);
        }
        Ok(Err(error)) => error.render(res),
        Err(_) => ErrorResponse::unknown("internal", "the request was dropped").render(res),
    }
}

/// Returns whether a header is forwarded between caller and service.
fn is_forwarded(name: &HeaderName) -> bool {
    let name = name.as_str();
    !NOT_FORWARDED.contains(&name) && !name.starts_with("x-bankcove-")
}

/// Reads a call and finds its route.
///
/// # Errors
/// The response to the caller if the request is invalid.
async fn parse_call(
    api: &Api,
    id: AttemptId,
    req: &mut Request,
) -> Result<ServiceCall, ErrorResponse> {
    let caller = identify_caller(api, req)?;
    let path = req.uri().path().to_owned();
    let Some(route) = caller.table.route_for_path(&path).cloned() else {
        let message = format!("no route leads from '{path}'");
        return Err(ErrorResponse::refused(StatusCode::NOT_FOUND, "no_such_route", message));
    };
    let forwarded = req.headers().iter().filter(|(name, _)| is_forwarded(name));
    let headers: HeaderMap = forwarded.map(|(name, value)| (name.clone(), value.clone())).collect();
    let path_and_query = req.uri().path_and_query().map_or(path, |path| path.as_str().to_owned());
    let backend_request = BackendRequest {
        method: Method::from_bytes(req.method().as_str().as_bytes()).unwrap_or(Method::GET),
        path: path_and_query,
        headers,
        body: admission::read_body(api, &caller, req).await?.into_bytes(),
        run_id: caller.request.to_string(),
        attempt: id,
    };
    Ok(ServiceCall { caller, route, backend_request })
}

/// Serves a call and sends the response through `tx`.
async fn serve(
    api: Arc<Api>,
    call: ServiceCall,
    id: AttemptId,
    tx: oneshot::Sender<Result<ServiceResponse, ErrorResponse>>,
) {
    let deadline = Duration::from_millis(call.route.deadline_ms);
    let response = run_call(&api, call, id, deadline).await;
    if let Err(error) = &response {
        api.requests.base.metrics.count(error.code());
    }
    // Fails if the caller has disconnected; it has been billed for what ran.
    let _gone = tx.send(response);
}

/// Admits, dispatches and bills a call.
///
/// # Errors
/// The response to the caller if the call is refused or the service did not respond completely.
async fn run_call(
    api: &Arc<Api>,
    call: ServiceCall,
    id: AttemptId,
    deadline: Duration,
) -> Result<ServiceResponse, ErrorResponse> {
    let ServiceCall { caller, route, backend_request } = call;
    let attempt = Attempt::new(caller.request, id);
    let price = route.call_tokens;
    let mut attempt = match admission::admit(api, &caller, attempt, price).await {
        Ok(attempt) => attempt,
        Err((refusal, attempt)) => {
            return Err(admission::budget_refusal(
                api,
                &attempt.not_run(),
                &caller.budget,
                refusal,
            ));
        }
    };
    let at_most_once = caller.at_most_once || !route.repeatable;
    if at_most_once {
        attempt = admission::claim(api, &caller, attempt).await?;
    }
    let request = DispatchRequest {
        pool: route.name.as_str(),
        prefix: xxh3_64(backend_request.path.as_bytes()),
        kind: ServerKind::Service,
        hash: caller.request,
        workspace: &caller.workspace,
        homes: Homes { route: &route.homes, workspace: &caller.homes },
        claimed: at_most_once,
    };
    let until = api.requests.base.clock.now() + deadline.as_millis() as Millis;
    let interrupt = api.requests.base.clock.sleep_until(until);
    let answered =
        match dispatch::dispatch(api, attempt, &request, &backend_request, interrupt).await {
            Ok(answered) => answered,
            Err(DispatchFailure::Refused(error)) => return Err(error),
            Err(DispatchFailure::Interrupted(interrupted)) => {
                let Interrupted { attempt, choice, open_request } = *interrupted;
                return Err(finish_unknown(api, attempt, open_request, &choice.server));
            }
        };
    let open_request = answered.open_request;
    let status = answered.res.status();
    let headers = answered.res.headers().clone();
    let body = read_body(api, answered.res);
    let body = api.requests.base.clock.timeout_at(until, body).await;
    let Some(Ok(body)) = body else {
        if body != Some(Err(BodyError::TooLarge)) {
            api.requests.crashes.record_disconnect(&answered.choice, answered.fingerprint.into());
        }
        return Err(finish_unknown(api, answered.attempt, open_request, &answered.choice.server));
    };
    let is_framed = crashes::is_framed(&headers);
    api.requests
        .crashes
        .record_response_end(&answered.choice, is_framed, || answered.fingerprint.into());
    settle_and_bill(api, answered.attempt, &caller, price).await;
    Ok(ServiceResponse { status, headers, body })
}

/// Ends a call that the service may have executed: the price counts as spent.
fn finish_unknown(
    api: &Api,
    attempt: Attempt<Dispatched>,
    mut open_request: OpenRequest,
    server: &Name,
) -> ErrorResponse {
    open_request.record_failure();
    let _finished = attempt.finish(&mut api.requests.budgets.holder(), None);
    let message = format!("service '{server}' gave no whole answer in time");
    ErrorResponse::unknown("server_lost", message).retry_after(RETRY_UNKNOWN_MS)
}

/// Settles the reservation and bills the call at its price.
async fn settle_and_bill(
    api: &Arc<Api>,
    attempt: Attempt<Dispatched>,
    caller: &Caller,
    price: Tokens,
) {
    let bill = Bill {
        request: attempt.request,
        attempt: attempt.id,
        budget: caller.budget.name.clone(),
        prompt_tokens: 0,
        output_tokens: price,
    };
    let _finished = attempt.finish(&mut api.requests.budgets.holder(), Some(price));
    bills::bill(&api.billing, bill).await;
    api.requests.base.metrics.count("request.done");
}
