//! HTTP API for operators: table, budgets, status and dump. Every request requires the
//! operators' token.

pub mod dump;

use std::sync::Arc;

use bankcove_core::edit::Edit;
use bankcove_core::owner::{Reply, Request as OwnerRequest};
use bankcove_core::{Name, Tokens};
use salvo::affix_state;
use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::api::admission;
use crate::auth::tokens_match;
use crate::budget::draws::ask_owner;
use crate::budget::protection;
use crate::budget::statement::statement;
use crate::daemon::Daemon;
use crate::view::table_sync::{self, EditError};

/// Maximum size of the body of an edit, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Body of a top-up request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopUpRequest {
    /// Identifier of the top-up; repeats with the same one count once.
    pub id: String,
    /// Tokens to add.
    pub tokens: Tokens,
}

/// Returns the daemon that is injected into the request's route.
fn injected_daemon(depot: &Depot) -> Arc<Daemon> {
    let daemon = depot.obtain::<Arc<Daemon>>();
    Arc::clone(daemon.expect("the daemon is injected into every route"))
}

/// Returns the routes for operators.
pub fn router(daemon: Arc<Daemon>) -> Router {
    Router::with_path("v1")
        .hoop(affix_state::inject(daemon))
        .hoop(check_token)
        .push(Router::with_path("table").get(get_table))
        .push(Router::with_path("table/edits").post(post_edit))
        .push(Router::with_path("budgets/{name}").get(get_budget))
        .push(Router::with_path("budgets/{name}/top-ups").post(post_top_up))
        .push(Router::with_path("blocked").get(get_blocked))
        .push(Router::with_path("blocked/{request}").delete(lift_blocked))
        .push(Router::with_path("limits").get(get_limits))
        .push(Router::with_path("paths").get(get_paths))
        .push(Router::with_path("servers").get(get_servers))
        .push(Router::with_path("status").get(get_status))
        .push(Router::with_path("dump").get(get_dump))
}

/// Returns the routes that serve metrics and the dump on the platform's network.
pub fn metrics_router(daemon: Arc<Daemon>) -> Router {
    Router::new()
        .hoop(affix_state::inject(daemon))
        .push(Router::with_path("metrics").get(get_metrics))
        .push(Router::with_path("dump").get(get_dump))
}

fn fail(res: &mut Response, status: StatusCode, code: &str, message: &str) {
    res.status_code(status);
    res.render(Json(json!({"error": {"code": code, "message": message}})));
}

#[handler]
async fn check_token(
    req: &mut Request,
    depot: &mut Depot,
    res: &mut Response,
    ctrl: &mut FlowCtrl,
) {
    let daemon = injected_daemon(depot);
    let presented = admission::header(req, "authorization").and_then(|v| v.strip_prefix("Bearer "));
    let expected = daemon.cfg.operator_token.as_deref();
    let matches = |token| expected.is_some_and(|expected| tokens_match(token, expected));
    if !presented.is_some_and(matches) {
        let message = "show the operators' token as 'Authorization: Bearer TOKEN'";
        fail(res, StatusCode::UNAUTHORIZED, "bad_token", message);
        ctrl.skip_rest();
    }
}

#[handler]
async fn get_table(depot: &mut Depot, res: &mut Response) {
    let table = injected_daemon(depot).table.load_full();
    res.render(Json(table.map(|table| (*table).clone()).unwrap_or_default()));
}

#[handler]
async fn post_edit(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let daemon = injected_daemon(depot);
    let edit = match req.parse_json_with_max_size::<Edit>(MAX_BODY_BYTES).await {
        Ok(edit) => edit,
        Err(e) => {
            let message = format!("the edit can't be read: {e}");
            return fail(res, StatusCode::BAD_REQUEST, "bad_edit", &message);
        }
    };
    match table_sync::edit(&daemon.view, &edit).await {
        Ok(table) => {
            slog::info!(daemon.log, "edit accepted"; "change" => &edit.id, "who" => &edit.who);
            // For a repeat of an earlier change, this is the revision that the change produced.
            let revision = table.change(&edit.id).map_or(table.revision, |change| change.revision);
            res.render(Json(json!({ "revision": revision })));
        }
        Err(e) => render_edit_error(res, &e),
    }
}

fn render_edit_error(res: &mut Response, e: &EditError) {
    let message = e.to_string();
    match e {
        EditError::Unknown => fail(res, StatusCode::SERVICE_UNAVAILABLE, "unknown", &message),
        EditError::Refused(bankcove_core::Error::Table(faults)) => {
            res.status_code(StatusCode::UNPROCESSABLE_ENTITY);
            let error = json!({"code": "faults", "message": message, "faults": faults});
            res.render(Json(json!({ "error": error })));
        }
        EditError::Refused(bankcove_core::Error::RowConflict { .. }) => {
            fail(res, StatusCode::CONFLICT, "row_conflict", &message);
        }
        EditError::Refused(bankcove_core::Error::RowShape { .. }) => {
            fail(res, StatusCode::UNPROCESSABLE_ENTITY, "row_shape", &message);
        }
    }
}

#[handler]
async fn get_budget(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let daemon = injected_daemon(depot);
    let name = Name::from(req.param::<String>("name").unwrap_or_default());
    let Some(row) = daemon.table.load().as_ref().and_then(|table| table.budget(&name).cloned())
    else {
        let message = format!("no budget is named '{name}'");
        return fail(res, StatusCode::NOT_FOUND, "no_such_budget", &message);
    };
    let Ok((ledger, statement)) = statement(&daemon.budgets, &row).await else {
        let message = "the store does not answer";
        return fail(res, StatusCode::SERVICE_UNAVAILABLE, "store_away", message);
    };
    let held = daemon.budgets.holder().accounts().get(&name).cloned().unwrap_or_default();
    res.render(Json(json!({
        "name": name, "total": ledger.total(), "available": ledger.available(),
        "committed": ledger.committed(), "statement": statement, "ledger": ledger,
        "held_here": held, "protection": protection::report(&daemon.budgets, &row),
    })));
}

#[handler]
async fn post_top_up(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let daemon = injected_daemon(depot);
    let name = Name::from(req.param::<String>("name").unwrap_or_default());
    let known = daemon.table.load().as_ref().is_some_and(|table| table.budget(&name).is_some());
    if !known {
        let message = format!("no budget is named '{name}'");
        return fail(res, StatusCode::NOT_FOUND, "no_such_budget", &message);
    }
    let top_up = match req.parse_json::<TopUpRequest>().await {
        Ok(top_up) => top_up,
        Err(e) => {
            let message = format!("the top-up can't be read: {e}");
            return fail(res, StatusCode::BAD_REQUEST, "bad_top_up", &message);
        }
    };
    let request = OwnerRequest::TopUp { budget: name, id: top_up.id, tokens: top_up.tokens };
    match ask_owner(&daemon.budgets, request).await.reply {
        Reply::Recorded => res.render(Json(json!({"recorded": true}))),
        _ => {
            let message = "the store does not answer; send the top-up again with the same id";
            fail(res, StatusCode::SERVICE_UNAVAILABLE, "unknown", message);
        }
    }
}

/// Lists the blocked requests.
#[handler]
async fn get_blocked(depot: &mut Depot, res: &mut Response) {
    res.render(Json(injected_daemon(depot).crashes.blocks()));
}

/// Lifts the block of a request on all daemons.
#[handler]
async fn lift_blocked(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let daemon = injected_daemon(depot);
    let fingerprint: String = req.param("request").unwrap_or_default();
    let request = match fingerprint.parse() {
        Ok(request) => request,
        Err(e) => {
            let message = format!("{e}; see 'bankcove blocked list'");
            return fail(res, StatusCode::BAD_REQUEST, "bad_fingerprint", &message);
        }
    };
    if !daemon.crashes.is_blocked(request) {
        let message = format!("request '{request}' is not blocked");
        return fail(res, StatusCode::NOT_FOUND, "not_blocked", &message);
    }
    daemon.crashes.lift(request);
    res.render(Json(json!({"lifted": request})));
}

/// Lists the limits announced by servers, and this daemon's permits.
#[handler]
async fn get_limits(depot: &mut Depot, res: &mut Response) {
    res.render(Json(injected_daemon(depot).hints.dump()));
}

/// Lists the paths of this daemon and its peers to the backend servers.
#[handler]
async fn get_paths(depot: &mut Depot, res: &mut Response) {
    res.render(Json(injected_daemon(depot).paths.rows()));
}

/// Lists the state of each backend server on this daemon.
#[handler]
async fn get_servers(depot: &mut Depot, res: &mut Response) {
    let daemon = injected_daemon(depot);
    let statuses = daemon.router.lock().statuses(daemon.clock.now());
    res.render(Json(statuses));
}

#[handler]
async fn get_status(depot: &mut Depot, res: &mut Response) {
    res.render(Json(dump::status(&injected_daemon(depot))));
}

#[handler]
async fn get_metrics(depot: &mut Depot, res: &mut Response) {
    res.render(Text::Plain(injected_daemon(depot).metrics.text()));
}

#[handler]
async fn get_dump(depot: &mut Depot, res: &mut Response) {
    res.render(Json(dump::dump(&injected_daemon(depot)).await));
}
