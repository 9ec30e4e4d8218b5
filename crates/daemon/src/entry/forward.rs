//! The tries of one request: a server, and another one for as long as the
//! first has provably not run it or the request may repeat.

use bankcove_core::router::NoServer;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

use crate::entry::admitted::Admitted;
use crate::entry::attempt::{AttemptOutcome, BufferedAnswer, attempt, log_end};
use crate::entry::refusal::Refusal;
use crate::entry::relay::Relay;

/// A backend server's answer, as it goes to the caller.
pub enum Answer {
    /// A whole answer.
    Buffered(StatusCode, HeaderMap, Bytes),
    /// A stream of events.
    Stream(StatusCode, HeaderMap, Box<Relay>),
}

/// Brings a request to a server and returns its answer.
///
/// # Errors
/// What the caller is told instead.
pub async fn forward(admitted: Admitted) -> Result<Answer, Refusal> {
    let Admitted { mut call, mut charge } = admitted;
    let mut failure = None;
    let mut none = NoServer::NoneUsable;
    loop {
        if !call.try_claim_attempt() {
            break;
        }
        // It may have been blocked since it came, while it waited for tokens.
        call.check_crashes().await?;
        // A host that was suspended wakes with requests whose callers have long gone.
        if call.is_late() {
            return Err(if call.ran { Refusal::TimedOut } else { Refusal::TooLate });
        }
        let permit = match call.acquire_server().await {
            Ok(permit) => permit,
            Err(why) => {
                none = why;
                break;
            }
        };
        let resume_after = call.incoming.resume_after;
        match attempt(&mut call, &mut charge, permit, resume_after).await {
            AttemptOutcome::StreamStarted(res, open, choice) => {
                let status = res.status();
                let headers = call.entry.wire.answer_headers(res.headers());
                let relay = Relay::new(call, charge, res, open, choice);
                return Ok(Answer::Stream(status, headers, Box::new(relay)));
            }
            AttemptOutcome::Answered(answered) => {
                let BufferedAnswer { status, headers, body, choice, is_framed } = answered;
                let is_failure = status.is_server_error() && call.plan.is_retryable();
                if !is_failure {
                    charge.record_complete();
                    let requests = &call.entry.requests;
                    requests.crashes.ended(&choice, is_framed, || call.fingerprint());
                    call.link.record_chunk(body.len());
                    log_end(&call, &charge, "answered", status);
                    return Ok(Answer::Buffered(status, headers, body));
                }
                failure = Some((status, headers, body));
            }
            AttemptOutcome::NotRun => {}
            AttemptOutcome::AnswerLost if call.plan.is_retryable() => {}
            AttemptOutcome::AnswerLost => return Err(Refusal::AnswerLost),
            AttemptOutcome::TimedOut if call.ran => return Err(Refusal::TimedOut),
            AttemptOutcome::TimedOut => return Err(Refusal::TooLate),
        }
    }
    if let Some((status, headers, body)) = failure {
        log_end(&call, &charge, "server failed", status);
        return Ok(Answer::Buffered(status, headers, body));
    }
    Err(if call.ran { Refusal::AnswerLost } else { Refusal::no_server(none) })
}
