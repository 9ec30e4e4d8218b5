//! One attempt to run a request on one server.

use std::sync::Arc;

use bankcove_core::Millis;
use bankcove_core::router::Choice;
use bankcove_ports::wire::NotRunReason;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming as Body;
use hyper::{HeaderMap, Response, StatusCode};

use crate::crashes;
use crate::entry::backend::SendError;
use crate::entry::call::Call;
use crate::entry::charge::Charge;
use crate::hints::permit::Permit;
use crate::requests::open_request::OpenRequest;

/// Maximum size of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The server has started a stream.
    StreamStarted(Response<Body>, OpenRequest, Choice),
    /// The server has sent a complete answer.
    Answered(BufferedAnswer),
    /// The request certainly did not run there; other servers may be tried.
    NotRun,
    /// The request certainly did not run there, because the server is full; the pool has a queue.
    Full,
    /// The request may have run there, and its answer was lost.
    AnswerLost,
    /// The request's deadline has passed.
    TimedOut,
}

/// Complete answer of a server.
pub struct BufferedAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Server that has answered.
    pub choice: Choice,
    /// Whether its end is marked by its framing, not only by the end of the connection.
    pub is_framed: bool,
}

/// Sends the request to the server of `permit` and waits for the head of its answer, or for the
/// whole answer if it is not streamed. A stream resumes after the event `resume_after`.
pub async fn attempt(
    call: &mut Call,
    charge: &mut Charge,
    permit: Permit,
    resume_after: Option<u64>,
) -> AttemptOutcome {
    let entry = Arc::clone(&call.entry);
    // The deadline may have passed while the request waited for a permit.
    if call.is_late() {
        return AttemptOutcome::TimedOut;
    }
    let choice = permit.choice().clone();
    let mut open_request = OpenRequest::new(&entry.requests, &choice, call.prompt_tokens())
        .with_trial(&call.plan.service, &call.plan.route.name, &choice);
    let place = entry.places.hold(&call.plan.service, &choice);
    let backend_request = call.backend_request(&choice, resume_after);
    let may_have_run_before = call.may_have_run;
    charge.record_sent();
    call.tried_servers.push(choice.server.clone());
    call.link.record_body(call.body.len());
    call.link.record_head();
    let clock = &entry.requests.base.clock;
    let sent_at = clock.now();
    let answer =
        clock.timeout_at(call.deadline, entry.backend_client.send(permit, backend_request)).await;
    let res = match answer {
        None => {
            call.may_have_run = true;
            open_request.record_failure();
            log_failed_attempt(call, &choice, "no answer in time");
            return AttemptOutcome::TimedOut;
        }
        Some(Err(SendError::Permit(e))) => {
            charge.record_not_run(may_have_run_before);
            place.cancel();
            log_failed_attempt(call, &choice, &e.to_string());
            return AttemptOutcome::NotRun;
        }
        Some(Err(SendError::NotConnected(problem))) => {
            charge.record_not_run(may_have_run_before);
            place.cancel();
            open_request.record_failure();
            log_failed_attempt(call, &choice, &problem);
            return AttemptOutcome::NotRun;
        }
        Some(Err(SendError::Broken(problem))) => {
            call.attempts_sent += 1;
            call.may_have_run = true;
            open_request.record_failure();
            log_failed_attempt(call, &choice, &problem);
            entry.requests.crashes.record_disconnect(&choice, call.fingerprint());
            return AttemptOutcome::AnswerLost;
        }
        Some(Ok(res)) => res,
    };
    call.attempts_sent += 1;
    let head = entry.wire.read_response(res.status(), res.headers());
    let is_foreign = head.id.as_ref().is_some_and(|id| *id != call.request_head.id);
    // Hints count only from this instance of the server: another program, or another instance,
    // may answer at its address.
    if !is_foreign && (head.is_signed || head.unrun == Some(NotRunReason::Full)) {
        entry.requests.hints.record_response(&call.log, &choice.instance(), sent_at, &head.hints);
    }
    if let Some(unrun) = head.unrun {
        charge.record_not_run(may_have_run_before);
        place.cancel();
        let is_full = unrun == NotRunReason::Full;
        if is_full && entry.places.record_full(&call.log, &call.plan.service, &choice) {
            // It may be tried again when it has a place for this request.
            call.tried_servers.pop();
            log_failed_attempt(call, &choice, unrun_text(unrun));
            return AttemptOutcome::Full;
        }
        if unrun == NotRunReason::OtherInstance {
            // That instance of the server is gone, even if the server list, which lags, still has it.
            let now = entry.requests.base.clock.now();
            entry.requests.router.lock().record_leaving_refusal(
                now,
                &choice.server,
                choice.started_ms,
            );
        }
        log_failed_attempt(call, &choice, unrun_text(unrun));
        return AttemptOutcome::NotRun;
    }
    call.may_have_run = true;
    open_request.keep_until_end(Box::new(place));
    let means_not_run = matches!(res.status().as_u16(), 408 | 421 | 429 | 503);
    if is_foreign || head.is_encoded || !head.is_signed || means_not_run {
        open_request.record_failure();
        log_failed_attempt(call, &choice, "the answer is not the server's answer to this request");
        return AttemptOutcome::AnswerLost;
    }
    if res.status().is_success() && call.plan.route.streams {
        return AttemptOutcome::StreamStarted(res, open_request, choice);
    }
    read_body(call, res, open_request, choice, sent_at).await
}

/// Reads the rest of an answer that is not streamed.
async fn read_body(
    call: &Call,
    res: Response<Body>,
    mut open_request: OpenRequest,
    choice: Choice,
    sent_at: Millis,
) -> AttemptOutcome {
    let is_framed = crashes::is_framed(res.headers());
    let status = res.status();
    let headers = call.entry.wire.response_headers(res.headers());
    let body = Limited::new(res.into_body(), MAX_ANSWER_BYTES).collect();
    match call.entry.requests.base.clock.timeout_at(call.deadline, body).await {
        Some(Ok(body)) => {
            let took = call.entry.requests.base.clock.now().saturating_sub(sent_at);
            open_request.record_answer(Some(took as f64));
            if status.is_server_error() {
                open_request.record_failure();
                log_failed_attempt(call, &choice, "the server failed");
            }
            AttemptOutcome::Answered(BufferedAnswer {
                status,
                headers,
                body: body.to_bytes(),
                choice,
                is_framed,
            })
        }
        Some(Err(e)) => {
            open_request.record_failure();
            let is_too_large = e.downcast_ref::<LengthLimitError>().is_some();
            log_failed_attempt(
                call,
                &choice,
                if is_too_large { "the answer is too large" } else { "cut short" },
            );
            if !is_too_large {
                call.entry.requests.crashes.record_disconnect(&choice, call.fingerprint());
            }
            AttemptOutcome::AnswerLost
        }
        None => {
            open_request.record_failure();
            log_failed_attempt(call, &choice, "the answer did not end in time");
            AttemptOutcome::TimedOut
        }
    }
}

/// Returns the log text for a server that did not run the request.
fn unrun_text(unrun: NotRunReason) -> &'static str {
    match unrun {
        NotRunReason::Full => "the server has no room",
        NotRunReason::OtherInstance => "another server has the address",
    }
}

/// Logs and counts an attempt that brought no answer, or that ended with a server error.
pub fn log_failed_attempt(call: &Call, choice: &Choice, problem: &str) {
    call.entry.requests.base.metrics.count("try.failed");
    slog::info!(call.log, "try failed";
        "server" => %choice.server, "address" => &choice.address, "problem" => problem,
        "fingerprint" => %call.fingerprint(),
        "sent" => call.attempts_sent, "ran" => call.may_have_run, "age_ms" => call.age_ms());
}

/// Logs and counts a request that has ended with a server's answer.
pub fn log_ended(call: &Call, charge: &Charge, outcome: &str, status: StatusCode) {
    let age_ms = call.age_ms();
    call.entry.requests.base.metrics.time("request.ms", age_ms);
    call.entry.requests.base.metrics.count("request.answered");
    let server = call.tried_servers.last().map(ToString::to_string);
    slog::info!(call.log, "request ended";
        "outcome" => outcome, "status" => status.as_u16(), "server" => server,
        "budget" => call.plan.budget.as_ref().map(|budget| budget.name.to_string()),
        "sent" => call.attempts_sent, "tokens" => charge.tokens(), "age_ms" => age_ms);
}
