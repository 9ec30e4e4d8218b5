//! The tries of one request: a server, and another one for as long as the
//! first has provably not run it or the request may repeat.

use bankcove_core::router::NoServer;
use bytes::Bytes;
use hyper::{HeaderMap, StatusCode};

use crate::entry::admitted::Admitted;
use crate::entry::attempt::{Answered, Tried, attempt, log_end};
use crate::entry::refusal::Refusal;
use crate::entry::relay::Relay;

/// A backend server's answer, as it goes to the caller.
pub enum Answer {
    /// A whole answer.
    Whole(StatusCode, HeaderMap, Bytes),
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
        if !call.may_send() {
            break;
        }
        // It may have been blocked since it came, while it waited for tokens.
        call.pass_crashes().await?;
        // A host that was suspended wakes with requests whose callers have long gone.
        if call.is_late() {
            return Err(if call.ran { Refusal::TimedOut } else { Refusal::TooLate });
        }
        let permit = match call.next_server().await {
            Ok(permit) => permit,
            Err(why) => {
                none = why;
                break;
            }
        };
        let resume_after = call.incoming.resume_after;
        match attempt(&mut call, &mut charge, permit, resume_after).await {
            Tried::Begun(res, open, choice) => {
                let status = res.status();
                let headers = call.entry.wire.answer_headers(res.headers());
                let relay = Relay::new(call, charge, res, open, choice);
                return Ok(Answer::Stream(status, headers, Box::new(relay)));
            }
            Tried::Answered(answered) => {
                let Answered { status, headers, body, choice, is_framed } = answered;
                let is_failure = status.is_server_error() && call.plan.may_repeat();
                if !is_failure {
                    charge.whole();
                    let requests = &call.entry.requests;
                    requests.crashes.record_response_end(&choice, is_framed, || call.fingerprint());
                    call.link.sent(body.len());
                    log_end(&call, &charge, "answered", status);
                    return Ok(Answer::Whole(status, headers, body));
                }
                failure = Some((status, headers, body));
            }
            Tried::Unrun => {}
            Tried::Lost if call.plan.may_repeat() => {}
            Tried::Lost => return Err(Refusal::AnswerLost),
            Tried::Late if call.ran => return Err(Refusal::TimedOut),
            Tried::Late => return Err(Refusal::TooLate),
        }
    }
    if let Some((status, headers, body)) = failure {
        log_end(&call, &charge, "server failed", status);
        return Ok(Answer::Whole(status, headers, body));
    }
    Err(if call.ran { Refusal::AnswerLost } else { Refusal::no_server(none) })
}
