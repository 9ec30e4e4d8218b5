//! Dispatch of an admitted attempt to a backend server, and retries on other servers as long as it
//! is proved that the request was not executed.

use std::collections::HashSet;
use std::sync::Arc;

use bankcove_core::crashes::{Placement, Verdict};
use bankcove_core::lifecycle::{Admitted, Attempt, Dispatched, NotRun};
use bankcove_core::request_log::Entry;
use bankcove_core::rollout::Versions;
use bankcove_core::router::{Choice, Homes, NoServer, RoutingRequest};
use bankcove_core::table::ServerKind;
use bankcove_core::{Fingerprint, Millis, Name, RequestHash};
use reqwest::Response;
use salvo::http::StatusCode;

use crate::api::Api;
use crate::api::backend::{self, BackendRequest, SendError};
use crate::api::response::ErrorResponse;
use crate::crashes::isolation::IsolatedRun;
use crate::hints::permit::{Permit, Purpose};
use crate::requests::open_request::OpenRequest;

/// Retry delay when no server is usable.
const RETRY_NO_SERVER_MS: u64 = 1_000;

/// Retry delay after an unknown outcome.
const RETRY_UNKNOWN_MS: u64 = 500;

/// An attempt to which a server has begun to respond.
pub struct AnsweredAttempt {
    /// The attempt.
    pub attempt: Attempt<Dispatched>,
    /// The server.
    pub choice: Choice,
    /// The response, of which the headers have been received.
    pub res: Response,
    /// Counts the request as open at the server until dropped.
    pub open_request: OpenRequest,
    /// Content hash of the request.
    pub fingerprint: Fingerprint,
}

/// A request to dispatch, with its requirements for the server that runs it.
pub struct DispatchRequest<'a> {
    /// The pool: a model's name, or a service route's name.
    pub pool: &'a str,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Kind of the server.
    pub kind: ServerKind,
    /// Hash that identifies the request.
    pub hash: RequestHash,
    /// Workspace of the caller.
    pub workspace: &'a Name,
    /// Regions that may serve the request.
    pub homes: Homes<'a>,
    /// Whether the request was claimed; the claim is released if the request does not run.
    pub claimed: bool,
}

/// Chooses a server for a request and acquires a permit to send to it.
///
/// # Errors
/// [`NoServer`] if no server is usable.
pub async fn choose_server(
    api: &Api,
    request: &DispatchRequest<'_>,
    tried: &[Name],
    placement: Option<Placement>,
) -> Result<Permit, NoServer> {
    // Terminates: a server without a permit is not chosen again for some time.
    loop {
        let choice = choose_with_placement(api, request, tried, placement)?;
        if let Ok(permit) = api
            .requests
            .hints
            .acquire_permit(&api.requests.base.log, choice, Purpose::NewWork, 0, 0)
            .await
        {
            return Ok(permit);
        }
    }
}

/// Chooses a server; `placement` restricts the choice for a suspect request.
fn choose_with_placement(
    api: &Api,
    request: &DispatchRequest,
    tried: &[Name],
    placement: Option<Placement>,
) -> Result<Choice, NoServer> {
    let routing_request = RoutingRequest {
        pool: request.pool,
        prefix: placement.map_or(request.prefix, |placement| placement.key),
        prompt_tokens: 0,
        shared_tokens: 0,
        hour: api.requests.base.clock.utc_hour(),
        seed: rand::random(),
        tried,
        homes: request.homes,
        versions: Versions::Any,
    };
    let rank = placement.map_or(0, |placement| placement.rank);
    api.requests.router.lock().choose_ranked(api.requests.base.clock.now(), &routing_request, rank)
}

/// Reason why no server has begun to respond to an attempt.
pub enum DispatchFailure {
    /// The request was refused or its server lost, with this response to the caller.
    Refused(ErrorResponse),
    /// The attempt was interrupted; the request may be running on the server.
    Interrupted(Box<Interrupted>),
}

/// An attempt that was interrupted after dispatch.
pub struct Interrupted {
    /// The attempt.
    pub attempt: Attempt<Dispatched>,
    /// The server.
    pub choice: Choice,
    /// Counts the request as open at the server until dropped.
    pub open_request: OpenRequest,
}

/// Dispatches an attempt and waits until a server begins to respond or `interrupt` completes.
///
/// # Errors
/// [`DispatchFailure`] with the reason why no server has begun to respond.
pub async fn dispatch(
    api: &Arc<Api>,
    attempt: Attempt<Admitted>,
    request: &DispatchRequest<'_>,
    backend_request: &BackendRequest,
    interrupt: impl Future<Output = ()>,
) -> Result<AnsweredAttempt, DispatchFailure> {
    tokio::pin!(interrupt);
    let fingerprint = backend_request.fingerprint(request.workspace);
    let checked = check_crashes(api, attempt, request, fingerprint).await;
    let (mut attempt, mut isolated_run) = checked.map_err(DispatchFailure::Refused)?;
    let placement = api.requests.crashes.placement(|| fingerprint);
    let mut tried = Vec::new();
    // A copy of an earlier refusal of this attempt could arrive on a kept connection.
    let mut tried_addresses = HashSet::new();
    let mut no_server = NoServer::NoneUsable;
    while tried.len() < api.requests.base.cfg.limits.max_tries {
        let permit = match choose_server(api, request, &tried, placement).await {
            Ok(permit) => permit,
            Err(reason) => {
                no_server = reason;
                break;
            }
        };
        let choice = permit.choice().clone();
        if !may_dispatch_to(api, &choice.server) || !tried_addresses.insert(choice.address.clone())
        {
            tried.push(choice.server);
            continue;
        }
        let mut open_request = OpenRequest::new(&api.requests, &choice, 0);
        let dispatched = attempt.dispatch();
        let sending = backend::send(api, permit, backend_request.clone(), request.kind);
        let response = tokio::select! {
            response = sending => response,
            () = &mut interrupt => {
                let interrupted = Interrupted { attempt: dispatched, choice, open_request };
                return Err(DispatchFailure::Interrupted(Box::new(interrupted)));
            }
        };
        match response {
            Ok(res) => {
                open_request.isolated_run = isolated_run.take();
                return Ok(AnsweredAttempt {
                    attempt: dispatched,
                    choice,
                    res,
                    open_request,
                    fingerprint,
                });
            }
            Err(SendError::NotSent(proof)) => {
                attempt = dispatched.revert_dispatch(proof);
                tried.push(choice.server);
            }
            Err(SendError::NotExecuted { proof, leaving }) => {
                open_request.record_failure();
                if leaving {
                    let now = api.requests.base.clock.now();
                    api.requests.router.lock().record_leaving_refusal(
                        now,
                        &choice.server,
                        choice.started_ms,
                    );
                }
                attempt = dispatched.revert_dispatch(proof);
                tried.push(choice.server);
            }
            Err(e @ (SendError::Broken | SendError::Foreign)) => {
                open_request.record_failure();
                if matches!(e, SendError::Broken) {
                    api.requests.crashes.record_disconnect(&choice, fingerprint.into());
                }
                return Err(DispatchFailure::Refused(finish_unknown(api, dispatched, &choice)));
            }
        }
    }
    Err(DispatchFailure::Refused(no_server_response(api, attempt, request, no_server)))
}

/// Returns whether new requests may be sent to this server. A daemon that is isolated from the
/// store and most of its peers may not know of drains, so it only uses servers that check orders
/// themselves.
fn may_dispatch_to(api: &Api, server: &Name) -> bool {
    let now = api.requests.base.clock.now();
    if !api.requests.fleet.connectivity.is_isolated(now, api.requests.base.cfg.limits.isolation_ms)
    {
        return true;
    }
    let table = api.requests.table.load();
    let row = table.as_ref().and_then(|table| table.server(server));
    row.is_some_and(|row| row.checks_orders)
}

/// Ends an attempt whose request may have run: the whole reservation counts as spent.
fn finish_unknown(api: &Api, attempt: Attempt<Dispatched>, choice: &Choice) -> ErrorResponse {
    let _finished = attempt.finish(&mut api.requests.budgets.holder(), None);
    api.requests.base.metrics.count("request.unknown");
    let message = format!("server '{}' broke off before its answer began", choice.server);
    ErrorResponse::unknown("server_lost", message).retry_after(RETRY_UNKNOWN_MS)
}

/// Ends an attempt for which no server is usable, and returns the response.
fn no_server_response(
    api: &Api,
    attempt: Attempt<Admitted>,
    request: &DispatchRequest<'_>,
    reason: NoServer,
) -> ErrorResponse {
    let not_run = release(api, attempt, request);
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let (metric, code, message, retry_after_ms) =
        match api.requests.hints.schedule_retry(&Name::from(request.pool), reason) {
            NoServer::OnlyLimited(at_limit) => (
                "refused.only_limited",
                "only_limited",
                "every backend server that is left is at the limit that it names",
                at_limit.first_ms,
            ),
            NoServer::OnlyResting(resting) => (
                "refused.only_resting",
                "only_resting",
                "every backend server that is left has asked for rest",
                resting.first_ms,
            ),
            _ => (
                "refused.no_server",
                "no_server",
                "no backend server takes the request now",
                RETRY_NO_SERVER_MS,
            ),
        };
    api.requests.base.metrics.count(metric);
    ErrorResponse::not_run(&not_run, status, code, message).retry_after(retry_after_ms)
}

/// Releases the reservation and the claim of an attempt that does not run.
fn release(api: &Api, attempt: Attempt<Admitted>, request: &DispatchRequest<'_>) -> NotRun {
    let id = attempt.id;
    let not_run = attempt.not_run(&mut api.requests.budgets.holder());
    if request.claimed {
        api.billing.enqueue(Entry::Release { request: request.hash, attempt: id });
    }
    not_run
}

/// Checks that a request is not known to crash its servers; waits while that is being decided.
/// Returns the attempt and, for [`Verdict::Isolated`], the registration of its only further run.
///
/// # Errors
/// The response to the caller if the request is blocked or the decision is still open.
async fn check_crashes(
    api: &Arc<Api>,
    attempt: Attempt<Admitted>,
    request: &DispatchRequest<'_>,
    fingerprint: Fingerprint,
) -> Result<(Attempt<Admitted>, Option<IsolatedRun>), ErrorResponse> {
    let verdict = api.requests.crashes.await_verdict(Millis::MAX, || fingerprint.into()).await;
    let isolated_run = (verdict == Verdict::Isolated)
        .then(|| api.requests.crashes.begin_isolated_run(fingerprint))
        .flatten();
    if matches!(verdict, Verdict::Allowed | Verdict::Suspect) || isolated_run.is_some() {
        return Ok((attempt, isolated_run));
    }
    let not_run = release(api, attempt, request);
    api.requests.base.metrics.count("refused.crashes_servers");
    slog::info!(api.requests.base.log, "not sent for its crashes";
        "request" => %request.hash, "fingerprint" => %fingerprint);
    Err(if verdict != Verdict::Blocked {
        let message = "backend servers that ran this request before broke off";
        let status = StatusCode::SERVICE_UNAVAILABLE;
        ErrorResponse::not_run(&not_run, status, "crashes_in_doubt", message)
            .retry_after(RETRY_NO_SERVER_MS)
    } else {
        let message = "the backend servers that ran this request before have crashed";
        ErrorResponse::not_run(&not_run, StatusCode::BAD_REQUEST, "crashes_servers", message)
    })
}
