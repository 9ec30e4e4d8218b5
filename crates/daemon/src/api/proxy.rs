//! Plain services, reached through a route: method, body and status are
//! carried through.

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
use crate::api::admission::{self, Caller, identify};
use crate::api::answer::{ATTEMPT_HEADER, KEY_HEADER, Problem};
use crate::api::api;
use crate::api::backend::Outgoing;
use crate::api::chat::put_header;
use crate::api::placement::{self, Need, NotPlaced};
use crate::bill::bills;
use crate::crashes;
use crate::http::read_body;
use crate::requests::open_request::OpenRequest;

/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// When to come back after an unknown outcome.
const RETRY_UNKNOWN_MS: u64 = 1_000;

/// Headers that concern one connection, or bankcove itself.
const NOT_CARRIED: [&str; 10] = [
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

/// A call that was read and understood.
struct Call {
    caller: Caller,
    route: Route,
    outgoing: Outgoing,
}

/// A plain service's answer.
struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Serves a call of a plain service.
#[handler]
pub async fn forward(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let api = api(depot);
    let id = api.next_attempt();
    put_header(res, ATTEMPT_HEADER, &id.to_string());
    let call = match read_call(&api, id, req).await {
        Ok(call) => call,
        Err(problem) => return problem.render(res),
    };
    put_header(res, KEY_HEADER, &call.caller.key);
    let (tx, rx) = oneshot::channel();
    let serving = serve(Arc::clone(&api), call, id, tx);
    api.requests.work.spawn(serving);
    match rx.await {
        Ok(Ok(answer)) => {
            res.status_code(answer.status);
            for (name, value) in &answer.headers {
                if is_carried(name) {
                    res.headers_mut().append(name, value.clone());
                }
            }
            res.body(answer.body);
        }
        Ok(Err(problem)) => problem.render(res),
        Err(_) => Problem::unknown("internal", "the request was dropped").render(res),
    }
}

fn is_carried(name: &HeaderName) -> bool {
    let name = name.as_str();
    !NOT_CARRIED.contains(&name) && !name.starts_with("x-bankcove-")
}

async fn read_call(api: &Api, id: AttemptId, req: &mut Request) -> Result<Call, Problem> {
    let caller = identify(api, req)?;
    let path = req.uri().path().to_owned();
    let Some(route) = caller.table.route_for_path(&path).cloned() else {
        let message = format!("no route leads from '{path}'");
        return Err(Problem::refused(StatusCode::NOT_FOUND, "no_such_route", message));
    };
    let carried = req.headers().iter().filter(|(name, _)| is_carried(name));
    let headers: HeaderMap = carried.map(|(name, value)| (name.clone(), value.clone())).collect();
    let whole_path = req.uri().path_and_query().map_or(path, |path| path.as_str().to_owned());
    let outgoing = Outgoing {
        method: Method::from_bytes(req.method().as_str().as_bytes()).unwrap_or(Method::GET),
        path: whole_path,
        headers,
        body: read_body(&api.requests.base.cfg.limits, req).await?,
        run_id: caller.request.to_string(),
        attempt: id,
    };
    Ok(Call { caller, route, outgoing })
}

async fn serve(
    api: Arc<Api>,
    call: Call,
    id: AttemptId,
    tx: oneshot::Sender<Result<Answer, Problem>>,
) {
    let deadline = Duration::from_millis(call.route.deadline_ms);
    let answer = run(&api, call, id, deadline).await;
    if let Err(problem) = &answer {
        api.requests.base.metrics.count(problem.code());
    }
    // A caller that went away has been billed for what ran.
    let _gone = tx.send(answer);
}

async fn run(
    api: &Arc<Api>,
    call: Call,
    id: AttemptId,
    deadline: Duration,
) -> Result<Answer, Problem> {
    let Call { caller, route, outgoing } = call;
    let attempt = Attempt::new(caller.request, id);
    let price = route.call_tokens;
    let mut attempt = match admission::admit(api, &caller, attempt, price).await {
        Ok(attempt) => attempt,
        Err((refusal, attempt)) => {
            return Err(admission::short(api, &attempt.not_run(), &caller.budget, refusal));
        }
    };
    let once = caller.once || !route.repeatable;
    if once {
        attempt = admission::claim(api, &caller, attempt).await?;
    }
    let need = Need {
        pool: route.name.as_str(),
        prefix: xxh3_64(outgoing.path.as_bytes()),
        kind: ServerKind::Service,
        request: caller.request,
        workspace: &caller.workspace,
        homes: Homes { route: &route.homes, workspace: &caller.homes },
        claimed: once,
    };
    let until = api.requests.base.clock.now() + deadline.as_millis() as Millis;
    let interrupt = api.requests.base.clock.sleep_until(until);
    let placed = match placement::place(api, attempt, &need, &outgoing, interrupt).await {
        Ok(placed) => placed,
        Err(NotPlaced::Refused(problem)) => return Err(problem),
        Err(NotPlaced::Interrupted(given_up)) => {
            return Err(lost(api, given_up.attempt, given_up.open, &given_up.choice.server));
        }
    };
    let open = placed.open;
    let status = placed.res.status();
    let headers = placed.res.headers().clone();
    let body = api.requests.base.clock.timeout_at(until, read_answer(placed.res)).await;
    let Some(Some(body)) = body else {
        api.requests.crashes.broke_off(&placed.choice, placed.fingerprint);
        return Err(lost(api, placed.attempt, open, &placed.choice.server));
    };
    let is_framed = crashes::is_framed(&headers);
    api.requests.crashes.ended(&placed.choice, is_framed, || placed.fingerprint);
    settle_and_bill(api, placed.attempt, &caller, price).await;
    Ok(Answer { status, headers, body })
}

/// The service may have done what it was asked: the price counts as spent.
fn lost(api: &Api, attempt: Attempt<Dispatched>, mut open: OpenRequest, server: &Name) -> Problem {
    open.failed();
    let _finished = attempt.finish(&mut api.requests.budgets.holder(), None);
    let message = format!("service '{server}' gave no whole answer in time");
    Problem::unknown("server_lost", message).retry_after(RETRY_UNKNOWN_MS)
}

async fn read_answer(mut res: reqwest::Response) -> Option<Bytes> {
    let mut buf = bytes::BytesMut::new();
    while let Some(chunk) = res.chunk().await.ok()? {
        buf.extend_from_slice(&chunk);
        if buf.len() > MAX_ANSWER_BYTES {
            return None;
        }
    }
    Some(buf.freeze())
}

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
