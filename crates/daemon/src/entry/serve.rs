//! HTTP handler for callers: reads, admits and forwards a request, and writes the answer.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bankcove_core::held_bodies::BodyOwner;
use bankcove_core::outage;
use bankcove_core::stream_versions::Binding;
use bankcove_core::{Millis, Name};
use bankcove_ports::wire::RequestHead;
use http_body_util::BodyExt;
use hyper::body::Body;
use salvo::affix_state;
use salvo::http::header::{CONNECTION, EXPECT, HOST, HeaderValue, RETRY_AFTER};
use salvo::http::uri::PathAndQuery;
use salvo::prelude::*;
use slog::o;

use crate::entry::Entry;
use crate::entry::admission::AdmittedCall;
use crate::entry::answer_buffer::AnswerBuffer;
use crate::entry::call::Call;
use crate::entry::forward::{Answer, forward};
use crate::entry::link_reservation::LinkReservation;
use crate::entry::outcome::{Failure, Unrun};
use crate::entry::plan::Plan;
use crate::entry::ready::injected_entry;
use crate::entry::refusal::Refusal;
use crate::entry::sends::Sends;
use crate::http::declared_length;
use crate::requests::RequestContext;
use crate::requests::held_answers::HeldAnswer;
use crate::requests::held_bodies::{BodyError, BodyLimits};

/// Size up to which a body that was not read is skipped, in bytes: it has been received with the head.
const MAX_SKIPPED_BODY_BYTES: u64 = 4 << 10;

/// Longest time for which the rest of a refused body is skipped.
const MAX_SKIP_TIME: Duration = Duration::from_secs(1);

/// Returns the routes for callers: one handler for all paths, which the table resolves.
pub fn router(entry: Arc<Entry>) -> Router {
    Router::with_path("{**rest}").hoop(affix_state::inject(entry)).goal(serve)
}

/// Serves one request, and counts it as in flight until its answer is passed to the kernel or given
/// up.
#[handler]
async fn serve(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let entry = injected_entry(depot);
    let in_flight = entry.requests.in_flight.token();
    if entry.is_withdrawn() {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    match handle(&entry, req).await {
        Ok(Answer::Buffered(status, headers, body)) => {
            res.status_code(status);
            res.headers_mut().extend(headers);
            let held = HeldAnswer::new(&entry.requests.answer_memory, in_flight);
            res.body(held.hold(body));
        }
        Ok(Answer::Stream(status, headers, relay)) => {
            res.status_code(status);
            res.headers_mut().extend(headers);
            let held = HeldAnswer::new(&entry.requests.answer_memory, in_flight);
            let log = relay.log().clone();
            res.stream(AnswerBuffer::new(relay.into_stream(), held, log));
        }
        Err(failure) => {
            if leaves_body_unread(req) {
                // The connection ends with this answer, and a new one may lead to another host.
                res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            if matches!(failure.refusal(), Some(Refusal::Body(BodyError::Full(_)))) {
                skip_rest(req);
            }
            render(&failure, res);
        }
    }
}

/// Returns whether more of the body is unread than the HTTP server skips to use the connection again.
fn leaves_body_unread(req: &Request) -> bool {
    let body = req.body();
    let is_read = body.is_none() || body.is_end_stream();
    !is_read && body.size_hint().upper().is_none_or(|bytes| bytes > MAX_SKIPPED_BODY_BYTES)
}

/// Skips what is on its way of a refused body, in the background: if the connection ended before, the
/// caller, which is still sending, could lose the answer.
fn skip_rest(req: &mut Request) {
    if req.headers().contains_key(EXPECT) {
        // The caller sends the body only when it is asked for.
        return;
    }
    let mut body = req.take_body();
    tokio::spawn(tokio::time::timeout(MAX_SKIP_TIME, async move {
        while let Some(Ok(_)) = body.frame().await {}
    }));
}

/// Writes a failure, with a `Retry-After` header in seconds.
fn render(failure: &Failure, res: &mut Response) {
    res.status_code(failure.status());
    if matches!(failure.refusal(), Some(Refusal::LinkFull | Refusal::Body(BodyError::Full(_)))) {
        // A new connection leads to another host.
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(delay) = failure.retry_after()
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64()))
    {
        res.headers_mut().insert(RETRY_AFTER, value);
    }
    res.render(Text::Plain(failure.to_string()));
}

/// Reads, admits and forwards a request; logs and counts failures.
async fn handle(entry: &Arc<Entry>, req: &mut Request) -> Result<Answer, Failure> {
    let unrun = Unrun::received();
    let requests = &entry.requests;
    let arrived_at = requests.base.clock.now();
    let path = req.uri().path().to_owned();
    let log_failure = |failure: Failure, request_head: Option<&RequestHead>| {
        requests.base.metrics.count(&format!("refused.{}", failure.code()));
        slog::info!(requests.base.log, "request refused";
            "request" => request_head.map(|request_head| request_head.id.clone()),
            "resumes" => request_head.and_then(|request_head| request_head.resumes.clone()), "code" => failure.code(),
            "why" => %failure, "table" => requests.revision(),
            "retry_after_ms" => failure.retry_after().map(|after| after.as_millis() as u64),
            "path" => &path, "tokens" => request_head.and_then(|request_head| request_head.prompt.as_ref())
                .map(|prompt| prompt.input_tokens + prompt.output_limit),
            "store_heard_ms" => requests.fleet.connectivity.store_age(requests.base.clock.now()),
            "age_ms" => requests.base.clock.now() - arrived_at);
        failure
    };
    let request_head = match entry.wire.read_request(req.headers()) {
        Ok(request_head) => request_head,
        Err(e) => return Err(log_failure(Failure::not_run(unrun, e.into()), None)),
    };
    let of_link = |refusal: Refusal| refusal.on_saturated_link(entry.is_link_saturated());
    let answer = match read_call(entry, req, request_head.clone(), arrived_at).await {
        Err(refusal) => Err(Failure::not_run(unrun, refusal)),
        Ok(call) if !entry.may_send() => Err(Failure::not_run(unrun, call.refuse_for_link())),
        Ok(call) => match AdmittedCall::admit(call).await {
            Err(refusal) => Err(Failure::not_run(unrun, of_link(refusal))),
            Ok(admitted) => forward(admitted, unrun).await.map_err(|e| e.map_refusal(of_link)),
        },
    };
    answer.map_err(|failure| log_failure(failure, Some(&request_head)))
}

/// Looks up the request in the table, reads its body and reserves its traffic on the link.
async fn read_call(
    entry: &Arc<Entry>,
    req: &mut Request,
    request_head: RequestHead,
    arrived_at: Millis,
) -> Result<Call, Refusal> {
    let requests = &entry.requests;
    if requests.stopping.is_cancelled() {
        return Err(Refusal::Stopping);
    }
    let table = requests.table.load_full();
    // A version under rollout must not get more than its part.
    let table = table.filter(|_| requests.rollouts.is_known());
    let table = table.ok_or_else(|| Refusal::NoTable(no_table_retry_delay(requests)))?;
    let host = req.headers().get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let plan = Plan::find(&table, host, req.uri().path(), &request_head)?;
    let host = Name::from(host);
    let expected_end =
        requests.base.clock.now() + plan.expected_time(&request_head).as_millis() as Millis;
    if requests.latest_end.lock().is_some_and(|last_end| expected_end > last_end) {
        return Err(Refusal::Stopping);
    }
    let path = req.uri().path_and_query().cloned();
    let limits = &requests.base.cfg.limits;
    let max_bytes = table.caller_limits.map_or(limits.max_body_bytes, |l| l.max_body_bytes);
    let body_limits =
        BodyLimits { max_bytes, timeout: Duration::from_millis(limits.body_timeout_ms) };
    let declared = declared_length(req);
    let owner = BodyOwner { workspace: plan.workspace.clone(), rank: plan.urgency().rank };
    let log = requests.base.log.new(o!("request" => request_head.id.clone()));
    let log_full = |e: BodyError| {
        if let BodyError::Full(full) = e {
            slog::info!(log, "no room for the body";
                "workspace" => owner.workspace.as_ref().map(Name::as_str), "rank" => owner.rank,
                "declared_bytes" => declared, full);
        }
        e
    };
    // It is not read, so it takes up nothing of the link.
    requests.body_memory.check(&owner, declared, body_limits).map_err(log_full)?;
    // A body that is not read need not be received in full.
    let link =
        LinkReservation::reserve(entry, &plan, &request_head, declared).ok_or(Refusal::LinkFull)?;
    let body = requests.body_memory.read(owner.clone(), declared, body_limits, req).await;
    let body = body.map_err(log_full)?;
    let caller_timeout = request_head.timeout.unwrap_or(Duration::MAX);
    let route_deadline = Duration::from_millis(plan.route.deadline_ms);
    Ok(Call {
        entry: Arc::clone(entry),
        log,
        method: req.method().clone(),
        host,
        path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
        headers: req.headers().clone(),
        body,
        arrived_at,
        goal_since: arrived_at,
        deadline: arrived_at + caller_timeout.min(route_deadline).as_millis() as Millis,
        request_head,
        plan,
        tried_servers: Vec::new(),
        sends: Sends::default(),
        attempts_sent: 0,
        link,
        binding: Binding::default(),
        fingerprint: OnceLock::new(),
        parts: OnceLock::new(),
        isolated_run: None,
    })
}

/// Returns the retry delay while this daemon has no table yet.
fn no_table_retry_delay(requests: &RequestContext) -> Duration {
    Duration::from_millis(outage::retry_after_start(requests.base.clock.now(), rand::random()))
}
