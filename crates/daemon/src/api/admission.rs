//! Admission of a request: finds the caller's workspace and budget, reserves the maximum cost, and
//! claims a request that must not run twice.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::held_bodies::BodyOwner;
use bankcove_core::holder::RequestDemand;
use bankcove_core::lifecycle::{Admitted, Attempt, NotRun, Received};
use bankcove_core::request_log::{Entry, Outcome};
use bankcove_core::table::{Budget, Table, Workspace};
use bankcove_core::{Millis, Name, RequestHash, Tokens};
use salvo::prelude::*;

use crate::api::Api;
use crate::api::response::{ErrorResponse, RequestOutcome};
use crate::auth::hash_key;
use crate::bill::request_log;
use crate::budget::reserve::reserve;
use crate::http::declared_length;
use crate::peer::Refusal;
use crate::requests::held_bodies::{BodyError, BodyLimits, ChargedBytes};

/// Request header with the name of a budget other than the workspace's default.
const BUDGET_HEADER: &str = "x-bankcove-budget";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Retry delay when the daemon is stopping or has no table yet; another one may serve the request.
const RETRY_OTHER_DAEMON_MS: u64 = 1_000;

/// Retry delay when another attempt has claimed the request, or the claim can't be made.
const RETRY_CLAIMED_MS: u64 = 2_000;

/// The caller of a request and the budget that pays for it.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The table revision that the request is served with.
    pub table: Arc<Table>,
    /// The caller's workspace.
    pub workspace: Name,
    /// Home regions of the workspace; an empty list allows all regions.
    pub homes: Vec<Name>,
    /// The budget that is charged.
    pub budget: Budget,
    /// The idempotency key; generated if the caller sent none.
    pub key: String,
    /// Hash of the workspace and the key, which identifies the request.
    pub request: RequestHash,
    /// Whether the caller has marked the request as not repeatable.
    pub at_most_once: bool,
}

/// Determines the caller and its budget from the headers of a request.
///
/// # Errors
/// The response to the caller if the daemon is stopping or has no table, or if the key or budget
/// is invalid.
pub fn identify_caller(api: &Api, req: &Request) -> Result<Caller, ErrorResponse> {
    if api.requests.stopping.is_cancelled() {
        let message = "this daemon is stopping; another one will serve the request";
        return Err(ErrorResponse::refused(StatusCode::SERVICE_UNAVAILABLE, "stopping", message)
            .retry_after(RETRY_OTHER_DAEMON_MS));
    }
    let Some(table) = api.requests.table.load_full() else {
        let message = "this daemon has no table yet";
        return Err(ErrorResponse::refused(StatusCode::SERVICE_UNAVAILABLE, "no_table", message)
            .retry_after(RETRY_OTHER_DAEMON_MS));
    };
    let workspace = find_workspace(&table, req)?.clone();
    let budget = find_budget(&table, &workspace, req)?.clone();
    let key = match header(req, "idempotency-key") {
        Some(key) if key.len() > MAX_KEY_BYTES => {
            let message = "the idempotency key is longer than 256 bytes";
            return Err(ErrorResponse::bad_request("bad_key", message));
        }
        Some(key) => key.to_owned(),
        None => format!("auto-{}", api.next_attempt()),
    };
    let at_most_once = header(req, "x-bankcove-repeatable") == Some("false");
    let request = RequestHash::of(&workspace.name, &key);
    let (homes, workspace) = (workspace.homes, workspace.name);
    Ok(Caller { table, workspace, homes, budget, key, request, at_most_once })
}

/// Finds the workspace by the bearer key of a request.
fn find_workspace<'a>(table: &'a Table, req: &Request) -> Result<&'a Workspace, ErrorResponse> {
    let presented = header(req, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    let workspace = presented.and_then(|key| table.workspace_by_key(&hash_key(key.trim())));
    workspace.ok_or_else(|| {
        let message = "the request shows no key of any workspace; send 'Authorization: Bearer KEY'";
        ErrorResponse::refused(StatusCode::UNAUTHORIZED, "bad_key", message)
    })
}

/// Finds the budget named by a request, by default the workspace's own.
fn find_budget<'a>(
    table: &'a Table,
    workspace: &Workspace,
    req: &Request,
) -> Result<&'a Budget, ErrorResponse> {
    let named = header(req, BUDGET_HEADER).map(Name::from);
    let name = named.unwrap_or_else(|| workspace.default_budget.clone());
    let budget = table.budget(&name).filter(|budget| budget.workspace == workspace.name);
    budget.ok_or_else(|| {
        let message = format!("workspace '{}' has no budget '{name}'", workspace.name);
        ErrorResponse::refused(StatusCode::FORBIDDEN, "no_such_budget", message)
    })
}

/// Reads the body of a caller's request within the limits of the settings and the memory of the host.
///
/// # Errors
/// The response to the caller if the body is too large or too slow, can't be read or has no room.
pub async fn read_body(
    api: &Api,
    caller: &Caller,
    req: &mut Request,
) -> Result<ChargedBytes, ErrorResponse> {
    let limits = &api.requests.base.cfg.limits;
    let limits = BodyLimits {
        max_bytes: limits.max_body_bytes,
        timeout: Duration::from_millis(limits.body_timeout_ms),
    };
    let owner = BodyOwner { workspace: Some(caller.workspace.clone()), rank: 0 };
    let declared = declared_length(req);
    let body = api.requests.body_memory.read_contiguous(owner, declared, limits, req).await;
    body.map_err(|e| match e {
        BodyError::TooLarge(_) | BodyError::Broken => {
            ErrorResponse::refused(StatusCode::PAYLOAD_TOO_LARGE, e.code(), e.to_string())
        }
        BodyError::TooSlow(_) => {
            ErrorResponse::refused(StatusCode::REQUEST_TIMEOUT, e.code(), e.to_string())
        }
        BodyError::Full(full) => {
            slog::info!(api.requests.base.log, "no room for the body";
                "workspace" => %caller.workspace, "declared_bytes" => declared, full);
            ErrorResponse::refused(StatusCode::SERVICE_UNAVAILABLE, e.code(), e.to_string())
                .retry_after(full.retry_after.as_millis() as Millis)
        }
    })
}

/// Returns the value of a header if it is valid text.
pub fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Reserves the maximum cost of a request from the caller's budget.
///
/// # Errors
/// The refusal, together with the attempt, which may be retried at a lower cost.
pub async fn admit(
    api: &Arc<Api>,
    caller: &Caller,
    attempt: Attempt<Received>,
    tokens: Tokens,
) -> Result<Attempt<Admitted>, (Refusal, Attempt<Received>)> {
    // Requests of this interface have no urgency ranks, so none of them is rationed.
    let demand = RequestDemand { tokens, rank: 0, ration_s: 0.0 };
    match reserve(&api.requests.budgets, &caller.budget, demand).await {
        Ok(reservation) => Ok(attempt.admit(reservation)),
        Err(refusal) => Err((refusal, attempt)),
    }
}

/// Returns the response to a request that its budget does not cover, and counts the refusal.
pub fn budget_refusal(
    api: &Api,
    not_run: &NotRun,
    budget: &Budget,
    refusal: Refusal,
) -> ErrorResponse {
    api.requests.base.metrics.count("refused.budget");
    let (status, code, message) = if refusal.store_away {
        let message = format!("no tokens of budget '{}' are in reach now", budget.name);
        (StatusCode::SERVICE_UNAVAILABLE, "budget_out_of_reach", message)
    } else {
        let message = format!("budget '{}' does not cover the request's limit", budget.name);
        (StatusCode::TOO_MANY_REQUESTS, "budget_short", message)
    };
    ErrorResponse::not_run(not_run, status, code, message).retry_after(refusal.retry_after_ms)
}

/// Claims a request that must not run twice, so that only this attempt may run it.
///
/// # Errors
/// The response to the caller if another attempt has the claim, or the store does not confirm it.
pub async fn claim(
    api: &Arc<Api>,
    caller: &Caller,
    attempt: Attempt<Admitted>,
) -> Result<Attempt<Admitted>, ErrorResponse> {
    let entry = Entry::Claim { request: caller.request, attempt: attempt.id };
    match request_log::submit(&api.billing, entry).await {
        Outcome::ClaimWon => Ok(attempt),
        Outcome::ClaimLost { by, billed } => {
            let _not_run = attempt.not_run(&mut api.requests.budgets.holder());
            Err(claim_lost_response(by, billed))
        }
        _ => Err(claim_unavailable_response(api, caller, attempt)),
    }
}

/// Returns the response for a claim lost to another attempt. It is never "not run", because the
/// other attempt may have run the request.
fn claim_lost_response(by: bankcove_core::AttemptId, billed: bool) -> ErrorResponse {
    if billed {
        let message = format!("attempt {by} has run this request and it is billed");
        return ErrorResponse::conflict("already_done", message, RequestOutcome::Done);
    }
    let message = format!("attempt {by} holds this request; whether it ran is not known here");
    ErrorResponse::conflict("claimed", message, RequestOutcome::Unknown)
        .retry_after(RETRY_CLAIMED_MS)
}

/// Ends an attempt whose claim was not confirmed, and returns the response. The claim may have
/// been written nevertheless, and would then block a retry, so it is released in the log.
fn claim_unavailable_response(
    api: &Api,
    caller: &Caller,
    attempt: Attempt<Admitted>,
) -> ErrorResponse {
    let id = attempt.id;
    let not_run = attempt.not_run(&mut api.requests.budgets.holder());
    api.billing.enqueue(Entry::Release { request: caller.request, attempt: id });
    let message = "the store does not answer, so a request that must not repeat can't be claimed";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    ErrorResponse::not_run(&not_run, status, "claim_out_of_reach", message)
        .retry_after(RETRY_CLAIMED_MS)
}
