//! Attempts of one request: another server is tried if the previous one certainly did not run the
//! request, or if the request may be retried.

use bankcove_core::router::Choice;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

use crate::entry::admission::AdmittedCall;
use crate::entry::attempt::{AttemptOutcome, BufferedAnswer, attempt, log_ended};
use crate::entry::call::Call;
use crate::entry::outcome::{Failure, RunState, Unrun};
use crate::entry::refusal::Refusal;
use crate::entry::relay::Relay;

/// A backend server's answer, as it is returned to the caller.
pub enum Answer {
    /// Complete answer.
    Buffered(StatusCode, HeaderMap, Bytes),
    /// Stream of events.
    Stream(StatusCode, HeaderMap, Box<Relay>),
}

/// Logs and counts a stream that was begun by another attempt of the caller and goes on here.
fn log_taken_up(call: &Call, choice: &Choice) {
    let Some(after) = call.request_head.resume_after else { return };
    call.entry.requests.base.metrics.count("stream.taken_up");
    slog::info!(call.log, "stream taken up";
        "resumes" => call.request_head.resumes.as_ref(), "after" => after,
        "server" => %choice.server, "version" => choice.version_text());
}

/// Sends a request to a server, or to several in turn, and returns the answer.
///
/// # Errors
/// The [`Failure`] that the caller receives.
pub async fn forward(admitted: AdmittedCall, unrun: Unrun) -> Result<Answer, Failure> {
    let AdmittedCall { mut call, mut charge } = admitted;
    let mut state = RunState::Unrun(unrun);
    let mut error_answer = None;
    let mut refusal = Refusal::NoServer;
    let mut was_full = false;
    loop {
        if !call.try_claim_attempt() {
            if was_full {
                refusal = call.refusal(call.refuse_as_full());
            }
            break;
        }
        // It may have been blocked while it waited for tokens.
        if let Err(refusal) = call.check_crashes().await {
            return Err(state.refuse(refusal));
        }
        // After a suspension of the host, the callers of open requests have disconnected.
        if call.is_late() {
            return Err(state.refuse_late());
        }
        if !call.entry.may_send() {
            refusal = call.refuse_for_link();
            break;
        }
        let permit = match call.acquire_server().await {
            Ok(permit) => permit,
            Err(why) => {
                refusal = call.refusal(why);
                break;
            }
        };
        // It may have been blocked while it waited for a server.
        if call.is_held_back() {
            drop(permit);
            continue;
        }
        let resume_after = call.request_head.resume_after;
        state = match attempt(&mut call, &mut charge, permit, resume_after, state).await {
            AttemptOutcome::StreamStarted(started) => {
                let status = started.res.status();
                let headers = call.entry.wire.response_headers(started.res.headers());
                log_taken_up(&call, &started.choice);
                let relay = Relay::new(call, charge, *started);
                return Ok(Answer::Stream(status, headers, Box::new(relay)));
            }
            AttemptOutcome::Answered(answered) => {
                let BufferedAnswer { status, headers, body, choice, is_framed } = *answered;
                let is_retryable_error = status.is_server_error() && call.plan.is_retryable();
                if !is_retryable_error {
                    charge.record_complete();
                    let requests = &call.entry.requests;
                    requests.crashes.record_response_end(&choice, is_framed, || call.identity());
                    call.link.record_chunk(body.len());
                    log_ended(&call, &charge, "answered", status);
                    return Ok(Answer::Buffered(status, headers, body));
                }
                error_answer = Some((status, headers, body));
                RunState::in_doubt()
            }
            AttemptOutcome::NotRun(state) => {
                was_full = false;
                state
            }
            AttemptOutcome::Full(state) => {
                was_full = true;
                state
            }
            AttemptOutcome::AnswerLost(in_doubt) if call.plan.is_retryable() => {
                RunState::InDoubt(in_doubt)
            }
            AttemptOutcome::AnswerLost(in_doubt) => return Err(in_doubt.answer_lost()),
            AttemptOutcome::TimedOut(in_doubt) => return Err(in_doubt.timed_out()),
            AttemptOutcome::NotSentInTime(state) => return Err(state.refuse_late()),
        };
    }
    if let Some((status, headers, body)) = error_answer {
        log_ended(&call, &charge, "server failed", status);
        return Ok(Answer::Buffered(status, headers, body));
    }
    Err(state.refuse(refusal))
}
