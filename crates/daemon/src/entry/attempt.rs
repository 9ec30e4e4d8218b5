//! One attempt to run a request on one server.

use std::sync::Arc;

use bankcove_core::Millis;
use bankcove_core::paths::Evidence;
use bankcove_core::router::Choice;
use bankcove_core::stream_bounds::READ_COST_BYTES;
use bankcove_ports::wire::NotRunReason;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming as Body};
use hyper::{HeaderMap, Response, StatusCode};

use crate::crashes;
use crate::entry::backend::{SendError, is_malformed, send_through};
use crate::entry::call::Call;
use crate::entry::charge::Charge;
use crate::entry::outcome::{InDoubt, NotExecuted, RunState};
use crate::entry::response::{ForeignResponse, OwnResponse, ResponseOrigin};
use crate::hints::permit::Permit;
use crate::paths::Route;
use crate::paths::contact::Contact;
use crate::paths::tunnels::NoTunnel;
use crate::requests::gathering::Gathering;
use crate::requests::open_request::OpenRequest;

/// Maximum size of an answer that is not streamed, in bytes; each read counts [`READ_COST_BYTES`] more.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Log text for an attempt that was given up because this host has lost its path to the server.
pub const PATH_LOST: &str = "the path to the server was lost";

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The server has started a stream.
    StreamStarted(Box<StartedStream>),
    /// The server has sent a complete answer.
    Answered(Box<BufferedAnswer>),
    /// The request certainly did not run there; other servers may be tried.
    NotRun(RunState),
    /// The request certainly did not run there, because the server is full; the pool has a queue.
    Full(RunState),
    /// The request may have run there, and its answer was lost.
    AnswerLost(InDoubt),
    /// The request was sent, and its deadline has passed.
    TimedOut(InDoubt),
    /// The request's deadline has passed before it was sent.
    NotSentInTime(RunState),
}

/// Stream of a server whose head was received.
pub struct StartedStream {
    /// Head and body.
    pub res: Response<Body>,
    /// Accounting of the request at the server.
    pub open_request: OpenRequest,
    /// Server that has answered.
    pub choice: Choice,
    /// Contact with the server.
    pub contact: Contact,
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
    mut permit: Permit,
    resume_after: Option<u64>,
    state: RunState,
) -> AttemptOutcome {
    let entry = Arc::clone(&call.entry);
    // The deadline may have passed while the request waited for a permit.
    if call.is_late() {
        return AttemptOutcome::NotSentInTime(state);
    }
    let choice = permit.choice().clone();
    let mut open_request = OpenRequest::new(&entry.requests, &choice, call.prompt_tokens())
        .with_trial(&call.plan.service, &call.plan.route.name, &choice)
        .with_slot(permit.take_slot());
    let place = entry.places.hold(&call.plan.service, &choice);
    call.tried_servers.push(choice.server.clone());
    let Route { mut contact, tunnel } = match call.route(&choice).await {
        Ok(route) => route,
        Err(e) => {
            if e != NoTunnel::NoPeer {
                open_request.record_failure();
            }
            place.cancel();
            return end_not_run(call, charge, &choice, state, &e.to_string());
        }
    };
    let backend_request = call.backend_request(&choice, resume_after);
    let sent = state.send();
    charge.record_sent();
    call.link.record_body(call.body.len());
    call.link.record_head();
    let clock = &entry.requests.base.clock;
    let sent_at = clock.now();
    let path_losses = contact.losses();
    let permit = call.sends.number(permit);
    open_request.await_answer();
    let send = async {
        match tunnel {
            None => entry.backend_client.send(permit, path_losses, backend_request).await,
            Some(tunnel) => send_through(tunnel, permit, backend_request).await,
        }
    };
    let answer = tokio::select! {
        answer = clock.timeout_at(call.deadline, send) => answer,
        () = contact.lost() => Some(Err(SendError::PathLost)),
    };
    let res = match answer {
        None => {
            open_request.record_failure();
            log_failed_attempt(call, &choice, true, "no answer in time");
            return AttemptOutcome::TimedOut(sent.in_doubt());
        }
        Some(Err(e)) => {
            let proof = NotExecuted::from_error(&e);
            let is_connection_broken = matches!(e, SendError::Broken(_));
            let problem = match e {
                SendError::Permit(e) => e.to_string(),
                SendError::NotConnected(problem) => {
                    open_request.record_failure();
                    contact.record_failure(Evidence::ConnectFailed);
                    problem
                }
                SendError::Broken(problem) => {
                    open_request.record_failure();
                    contact.record_failure(Evidence::Broken);
                    problem
                }
                SendError::Malformed(problem) => {
                    open_request.record_failure();
                    problem
                }
                SendError::PathLost => {
                    call.attempts_sent += 1;
                    log_failed_attempt(call, &choice, true, PATH_LOST);
                    return AttemptOutcome::AnswerLost(sent.in_doubt());
                }
            };
            if let Some(proof) = proof {
                place.cancel();
                return end_not_run(call, charge, &choice, sent.not_executed(proof), &problem);
            }
            call.attempts_sent += 1;
            log_failed_attempt(call, &choice, true, &problem);
            if is_connection_broken {
                entry.requests.crashes.record_disconnect(&choice, call.identity());
            }
            return AttemptOutcome::AnswerLost(sent.in_doubt());
        }
        Some(Ok(res)) => res,
    };
    call.attempts_sent += 1;
    contact.record_data();
    let origin = res.origin();
    let OwnResponse { res, head } = match res.check(entry.wire.as_ref(), &call.request_head.id) {
        Ok(own) => own,
        Err(foreign) => {
            open_request.keep_until_end(Box::new(place));
            open_request.record_failure();
            log_foreign(call, &choice, &origin, &foreign);
            return AttemptOutcome::AnswerLost(sent.in_doubt());
        }
    };
    // Hints count only from this instance of the server: another program, or another instance,
    // may answer at its address.
    if head.is_signed || head.unrun == Some(NotRunReason::Full) {
        let (hints, server) = (&entry.requests.hints, choice.instance());
        hints.record_response(&call.log, &server, sent_at, &head.hints);
        if let Contact::ThroughPeer(peer) = &contact {
            hints.forward_rest(peer, &server, &head.hints.rest);
        }
    }
    if let (Some(unrun), Some(proof)) = (head.unrun, NotExecuted::from_head(&head)) {
        place.cancel();
        log_rejection(call, &choice, &origin, unrun);
        let is_full = unrun == NotRunReason::Full;
        if is_full {
            open_request.record_rejection();
        }
        if is_full && entry.places.record_full(&call.log, &call.plan.service, &choice) {
            // It may be tried again when it has a place for this request.
            call.tried_servers.pop();
            charge.record_not_run(sent.may_have_run_before());
            let state = sent.not_executed(proof);
            log_failed_attempt(call, &choice, state.may_have_run(), unrun_text(unrun));
            return AttemptOutcome::Full(state);
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
        let state = sent.not_executed(proof);
        return end_not_run(call, charge, &choice, state, unrun_text(unrun));
    }
    let in_doubt = sent.in_doubt();
    call.release_unneeded_body();
    open_request.keep_until_end(Box::new(place));
    let means_not_run = matches!(res.status().as_u16(), 408 | 421 | 429 | 503);
    if head.is_encoded || !head.is_signed || means_not_run {
        open_request.record_failure();
        log_failed_attempt(call, &choice, true, "the answer is not from the server");
        return AttemptOutcome::AnswerLost(in_doubt);
    }
    if res.status().is_success() && call.plan.route.streams {
        let started = StartedStream { res, open_request, choice, contact };
        return AttemptOutcome::StreamStarted(Box::new(started));
    }
    read_body(call, StartedStream { res, open_request, choice, contact }, sent_at, in_doubt).await
}

/// Ends an attempt that the server did not execute; `state` is that of the request without it.
fn end_not_run(
    call: &Call,
    charge: &mut Charge,
    choice: &Choice,
    state: RunState,
    problem: &str,
) -> AttemptOutcome {
    charge.record_not_run(state.may_have_run());
    log_failed_attempt(call, choice, state.may_have_run(), problem);
    AttemptOutcome::NotRun(state)
}

/// Reads the rest of an answer that is not streamed.
async fn read_body(
    call: &Call,
    started: StartedStream,
    sent_at: Millis,
    in_doubt: InDoubt,
) -> AttemptOutcome {
    let StartedStream { res, mut open_request, choice, contact } = started;
    let is_framed = crashes::is_framed(res.headers());
    let status = res.status();
    let headers = call.entry.wire.response_headers(res.headers());
    let body = gather_body(call, res.into_body());
    let body = call.entry.requests.base.clock.timeout_at(call.deadline, body);
    let body = tokio::select! {
        body = body => body,
        () = contact.lost() => {
            log_failed_attempt(call, &choice, true, PATH_LOST);
            return AttemptOutcome::AnswerLost(in_doubt);
        }
    };
    match body {
        Some(Ok(body)) => {
            let took = call.entry.requests.base.clock.now().saturating_sub(sent_at);
            open_request.record_answer(Some(took as f64));
            if status.is_server_error() {
                open_request.record_failure();
                log_failed_attempt(call, &choice, true, "the server failed");
            }
            AttemptOutcome::Answered(Box::new(BufferedAnswer {
                status,
                headers,
                body,
                choice,
                is_framed,
            }))
        }
        Some(Err(e)) => {
            open_request.record_failure();
            log_failed_attempt(call, &choice, true, &e.to_string());
            if let BodyError::CutShort = e {
                contact.record_failure(Evidence::Broken);
                call.entry.requests.crashes.record_disconnect(&choice, call.identity());
            }
            AttemptOutcome::AnswerLost(in_doubt)
        }
        None => {
            open_request.record_failure();
            log_failed_attempt(call, &choice, true, "the answer did not end in time");
            AttemptOutcome::TimedOut(in_doubt)
        }
    }
}

/// Error of the body of an answer.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    #[error("the answer is too large")]
    TooLarge,
    #[error("the answer is no HTTP message")]
    Malformed,
    #[error("cut short")]
    CutShort,
}

/// Reads a body to its end, within the memory of the host.
async fn gather_body(call: &Call, mut body: Body) -> Result<Bytes, BodyError> {
    let mut gathering = Gathering::new(&call.entry.requests.gather_memory);
    if body.size_hint().lower() > MAX_ANSWER_BYTES as u64 {
        return Err(BodyError::TooLarge);
    }
    let (mut buf, mut read) = (BytesMut::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            if is_malformed(&e) { BodyError::Malformed } else { BodyError::CutShort }
        })?;
        let Ok(data) = frame.into_data() else { continue };
        read += data.len() + READ_COST_BYTES;
        if read > MAX_ANSWER_BYTES {
            return Err(BodyError::TooLarge);
        }
        buf.extend_from_slice(&data);
        gathering.resize(buf.len()).await;
    }
    Ok(gathering.complete(buf))
}

/// Returns the log text for a server that did not run the request.
fn unrun_text(unrun: NotRunReason) -> &'static str {
    match unrun {
        NotRunReason::Full => "the server has no room",
        NotRunReason::OtherInstance => "another server has the address",
    }
}

/// Logs and counts an answer that proves that the server did not run the request.
fn log_rejection(call: &Call, choice: &Choice, origin: &ResponseOrigin, unrun: NotRunReason) {
    let metrics = &call.entry.requests.base.metrics;
    metrics.count("answer.rejection");
    if !origin.is_request_written() {
        metrics.count("answer.early_rejection");
    }
    slog::info!(call.log, "answer states that the request was not run"; origin,
        "server" => %choice.server, "why" => unrun_text(unrun), "body_bytes" => call.body.len());
}

/// Logs and counts an answer that does not name the request.
fn log_foreign(call: &Call, choice: &Choice, origin: &ResponseOrigin, foreign: &ForeignResponse) {
    call.entry.requests.base.metrics.count("answer.foreign");
    slog::info!(call.log, "answer of another request"; origin,
        "server" => %choice.server, "named" => foreign.id.as_deref());
    log_failed_attempt(call, choice, true, &foreign.to_string());
}

/// Logs and counts an attempt that brought no answer, or that ended with a server error.
/// `may_have_run` is whether this attempt or an earlier one may have run.
pub fn log_failed_attempt(call: &Call, choice: &Choice, may_have_run: bool, problem: &str) {
    call.entry.requests.base.metrics.count("try.failed");
    slog::info!(call.log, "try failed";
        "server" => %choice.server, "version" => choice.version_text(),
        "address" => &choice.address, "problem" => problem,
        "fingerprint" => %call.fingerprint(), "parts" => call.parts_text(),
        "sent" => call.attempts_sent, "ran" => may_have_run, "age_ms" => call.age_ms());
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
