//! One try of a request at one server.

use std::sync::Arc;

use bankcove_core::router::Choice;
use bankcove_ports::wire::Unrun;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming as Body;
use hyper::{HeaderMap, Response, StatusCode};

use crate::crashes;
use crate::entry::backends::SendError;
use crate::entry::call::Call;
use crate::entry::charge::Charge;
use crate::hints::permit::Permit;
use crate::requests::open_request::OpenRequest;

/// Largest answer that is no stream, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// What a try has come to.
pub enum Tried {
    /// The server has begun a stream.
    Begun(Response<Body>, OpenRequest, Choice),
    /// The server has answered.
    Answered(Answered),
    /// Nothing ran there; others may be tried.
    Unrun,
    /// It may have run there, and no answer came.
    Lost,
    /// The time is over.
    Late,
}

/// A whole answer of a server.
pub struct Answered {
    /// Its status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The server.
    pub choice: Choice,
    /// Whether it told its own end.
    pub is_framed: bool,
}

/// One try at one server.
pub async fn attempt(
    call: &mut Call,
    charge: &mut Charge,
    permit: Permit,
    resume_after: Option<u64>,
) -> Tried {
    let entry = Arc::clone(&call.entry);
    let choice = permit.choice().clone();
    let mut open = OpenRequest::new(&entry.requests, &choice, call.prompt_tokens());
    let outgoing = call.outgoing(&choice, resume_after);
    let ran_before = call.ran;
    charge.sent();
    call.tried.push(choice.server.clone());
    call.link.sent(call.body.len());
    call.link.sent_head();
    let clock = &entry.requests.base.clock;
    let asked_at = clock.now();
    let sent = clock.timeout_at(call.deadline, entry.backends.send(permit, outgoing)).await;
    let res = match sent {
        None => {
            call.ran = true;
            open.failed();
            log_try(call, &choice, "no answer in time");
            return Tried::Late;
        }
        Some(Err(SendError::NotSpent(e))) => {
            charge.not_run(ran_before);
            log_try(call, &choice, &e.to_string());
            return Tried::Unrun;
        }
        Some(Err(SendError::NotConnected(problem))) => {
            charge.not_run(ran_before);
            open.failed();
            log_try(call, &choice, &problem);
            return Tried::Unrun;
        }
        Some(Err(SendError::Broken(problem))) => {
            call.sent += 1;
            call.ran = true;
            open.failed();
            log_try(call, &choice, &problem);
            entry.requests.crashes.broke_off(&choice, call.fingerprint());
            return Tried::Lost;
        }
        Some(Ok(res)) => res,
    };
    call.sent += 1;
    let head = entry.wire.read_answer(res.status(), res.headers());
    let is_foreign = head.id.as_ref().is_some_and(|id| *id != call.incoming.id);
    // Another program may have got the server's address, or its word be that of an earlier one.
    if !is_foreign && (head.is_signed || head.unrun == Some(Unrun::Full)) {
        entry.requests.hints.observe(&call.log, &choice.start(), asked_at, &head.hints);
    }
    if let Some(unrun) = head.unrun {
        charge.not_run(ran_before);
        if unrun == Unrun::OtherInstance {
            // That start of the server is gone, whatever the lagging list says.
            let now = entry.requests.base.clock.now();
            entry.requests.router.lock().record_leaving_refusal(
                now,
                &choice.server,
                choice.started_ms,
            );
        }
        log_try(call, &choice, unrun_text(unrun));
        return Tried::Unrun;
    }
    call.ran = true;
    let promises_unrun = matches!(res.status().as_u16(), 408 | 421 | 429 | 503);
    if is_foreign || head.is_encoded || !head.is_signed || promises_unrun {
        open.failed();
        log_try(call, &choice, "the answer is not the server's answer to this request");
        return Tried::Lost;
    }
    if res.status().is_success() && call.plan.route.streams {
        return Tried::Begun(res, open, choice);
    }
    read_whole(call, res, open, choice).await
}

async fn read_whole(
    call: &Call,
    res: Response<Body>,
    mut open: OpenRequest,
    choice: Choice,
) -> Tried {
    let is_framed = crashes::is_framed(res.headers());
    let status = res.status();
    let headers = call.entry.wire.answer_headers(res.headers());
    let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES).collect();
    match call.entry.requests.base.clock.timeout_at(call.deadline, body).await {
        Some(Ok(body)) => {
            if status.is_server_error() {
                open.failed();
                log_try(call, &choice, "the server failed");
            }
            Tried::Answered(Answered { status, headers, body: body.to_bytes(), choice, is_framed })
        }
        Some(Err(e)) => {
            open.failed();
            let is_large = e.downcast_ref::<LengthLimitError>().is_some();
            log_try(call, &choice, if is_large { "the answer is too large" } else { "cut short" });
            if !is_large {
                call.entry.requests.crashes.broke_off(&choice, call.fingerprint());
            }
            Tried::Lost
        }
        None => {
            open.failed();
            log_try(call, &choice, "the answer did not end in time");
            Tried::Late
        }
    }
}

fn unrun_text(unrun: Unrun) -> &'static str {
    match unrun {
        Unrun::Full => "the server has no room",
        Unrun::OtherInstance => "another server has the address",
    }
}

/// One line for a try that brought no answer.
pub fn log_try(call: &Call, choice: &Choice, problem: &str) {
    call.entry.requests.base.metrics.count("try.failed");
    slog::info!(call.log, "try failed";
        "server" => %choice.server, "address" => &choice.address, "problem" => problem,
        "fingerprint" => %call.fingerprint(),
        "sent" => call.sent, "ran" => call.ran, "age_ms" => call.age_ms());
}

/// One line for a request that has ended with a server's answer.
pub fn log_end(call: &Call, charge: &Charge, outcome: &str, status: StatusCode) {
    let age = call.age_ms();
    call.entry.requests.base.metrics.time("request.ms", age);
    call.entry.requests.base.metrics.count("request.answered");
    let server = call.tried.last().map(ToString::to_string);
    slog::info!(call.log, "request ended";
        "outcome" => outcome, "status" => status.as_u16(), "server" => server,
        "budget" => call.plan.budget.as_ref().map(|budget| budget.name.to_string()),
        "sent" => call.sent, "tokens" => charge.tokens(), "age_ms" => age);
}
