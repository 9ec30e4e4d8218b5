//! From a request that was read to one that may be dispatched: the caller's
//! workspace, its budget, and the claim of a request that must not repeat.

use std::sync::Arc;

use bankcove_core::holder::RequestDemand;
use bankcove_core::lifecycle::{Admitted, Attempt, NotRun, Received};
use bankcove_core::request_log::{Entry, Outcome};
use bankcove_core::table::{Budget, Table, Workspace};
use bankcove_core::{Name, RequestHash, Tokens};
use salvo::prelude::*;

use crate::api::Api;
use crate::api::response::{ErrorResponse, RequestOutcome};
use crate::auth::hash_key;
use crate::bill::request_log;
use crate::budget::reserve::reserve;
use crate::peer::Refusal;

/// Header that names a budget other than the workspace's own.
const BUDGET_HEADER: &str = "x-bankcove-budget";

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// When to come back while a daemon stops or has no table yet.
const RETRY_ELSEWHERE_MS: u64 = 1_000;

/// When to come back for the outcome of an attempt elsewhere.
const RETRY_CLAIMED_MS: u64 = 2_000;

/// Who calls, and what pays.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The table that the request is served by.
    pub table: Arc<Table>,
    /// The workspace.
    pub workspace: Name,
    /// Regions that may serve the workspace; with none all may.
    pub homes: Vec<Name>,
    /// The budget.
    pub budget: Budget,
    /// The idempotency key, made when the caller sent none.
    pub key: String,
    /// The request.
    pub request: RequestHash,
    /// Whether the caller says that the request may not run twice.
    pub at_most_once: bool,
}

/// Reads who calls.
///
/// # Errors
/// The answer for a caller that may not go on.
pub fn identify_caller(api: &Api, req: &Request) -> Result<Caller, ErrorResponse> {
    if api.requests.stopping.is_cancelled() {
        let message = "this daemon is stopping; another one will serve the request";
        return Err(ErrorResponse::refused(StatusCode::SERVICE_UNAVAILABLE, "stopping", message)
            .retry_after(RETRY_ELSEWHERE_MS));
    }
    let Some(table) = api.requests.table.load_full() else {
        let message = "this daemon has no table yet";
        return Err(ErrorResponse::refused(StatusCode::SERVICE_UNAVAILABLE, "no_table", message)
            .retry_after(RETRY_ELSEWHERE_MS));
    };
    let workspace = workspace_of(&table, req)?.clone();
    let budget = budget_of(&table, &workspace, req)?.clone();
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

fn workspace_of<'a>(table: &'a Table, req: &Request) -> Result<&'a Workspace, ErrorResponse> {
    let shown = header(req, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    let known = shown.and_then(|key| table.workspace_by_key(&hash_key(key.trim())));
    known.ok_or_else(|| {
        let message = "the request shows no key of any workspace; send 'Authorization: Bearer KEY'";
        ErrorResponse::refused(StatusCode::UNAUTHORIZED, "bad_key", message)
    })
}

fn budget_of<'a>(
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

/// The value of a header, when it is readable text.
pub fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Sets the greatest cost aside.
///
/// # Errors
/// The refusal, together with the attempt, which may try a smaller cost.
pub async fn admit(
    api: &Arc<Api>,
    caller: &Caller,
    attempt: Attempt<Received>,
    tokens: Tokens,
) -> Result<Attempt<Admitted>, (Refusal, Attempt<Received>)> {
    // Nothing is rationed here: requests of this interface have no ranks.
    let demand = RequestDemand { tokens, rank: 0, ration_s: 0.0 };
    match reserve(&api.requests.budgets, &caller.budget, demand).await {
        Ok(reservation) => Ok(attempt.admit(reservation)),
        Err(refusal) => Err((refusal, attempt)),
    }
}

/// The answer to a request whose budget does not suffice.
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

/// Wins the right to run a request that must not repeat.
///
/// # Errors
/// The answer for a caller whose attempt did not win.
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
            Err(claimed_elsewhere(by, billed))
        }
        _ => Err(claim_unsettled(api, caller, attempt)),
    }
}

/// The request itself may have run in the other attempt: not "not run".
fn claimed_elsewhere(by: bankcove_core::AttemptId, billed: bool) -> ErrorResponse {
    if billed {
        let message = format!("attempt {by} has run this request and it is billed");
        return ErrorResponse::elsewhere("already_done", message, RequestOutcome::Done);
    }
    let message = format!("attempt {by} holds this request; whether it ran is not known here");
    ErrorResponse::elsewhere("claimed", message, RequestOutcome::Unknown)
        .retry_after(RETRY_CLAIMED_MS)
}

/// The claim may be in the log all the same: it is given up there, so that a
/// retry is not held up by it.
fn claim_unsettled(api: &Api, caller: &Caller, attempt: Attempt<Admitted>) -> ErrorResponse {
    let id = attempt.id;
    let not_run = attempt.not_run(&mut api.requests.budgets.holder());
    api.billing.keep(Entry::Release { request: caller.request, attempt: id });
    let message = "the store does not answer, so a request that must not repeat can't be claimed";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    ErrorResponse::not_run(&not_run, status, "claim_out_of_reach", message)
        .retry_after(RETRY_CLAIMED_MS)
}
