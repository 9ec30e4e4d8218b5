//! Responses to callers, and the error response to a request that was not served.
//!
//! An error response distinguishes three outcomes: done, not run, unknown.

use bankcove_core::Millis;
use bankcove_core::lifecycle::NotRun;
use bytes::Bytes;
use salvo::http::header::{HeaderValue, RETRY_AFTER};
use salvo::prelude::*;
use serde_json::{Value, json};
use tokio::sync::mpsc;

/// Response header with the identifier of the attempt that served a request.
pub const ATTEMPT_HEADER: &str = "x-bankcove-attempt";

/// Response header with the idempotency key used for a request.
pub const KEY_HEADER: &str = "x-bankcove-key";

/// Whether the request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was not executed on any server.
    NotRun,
    /// It may have been executed.
    Unknown,
    /// It was executed and billed.
    Done,
}

impl RequestOutcome {
    fn as_str(self) -> &'static str {
        match self {
            RequestOutcome::NotRun => "not_run",
            RequestOutcome::Unknown => "unknown",
            RequestOutcome::Done => "done",
        }
    }
}

/// Error response to a caller.
#[derive(Debug, Clone)]
pub struct ErrorResponse {
    status: StatusCode,
    code: &'static str,
    message: String,
    outcome: RequestOutcome,
    retry_after_ms: Option<Millis>,
}

impl ErrorResponse {
    /// Creates a response to an invalid request, which was not run.
    pub fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        ErrorResponse::new(StatusCode::BAD_REQUEST, code, message.into(), RequestOutcome::NotRun)
    }

    /// Creates a response with this status to a request that was refused before any attempt.
    pub fn refused(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        ErrorResponse::new(status, code, message.into(), RequestOutcome::NotRun)
    }

    /// Creates a response for an attempt that did not run, as `_proof` guarantees.
    pub fn not_run(
        _proof: &NotRun,
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        ErrorResponse::new(status, code, message.into(), RequestOutcome::NotRun)
    }

    /// Creates a response for a request that may have run.
    pub fn unknown(code: &'static str, message: impl Into<String>) -> Self {
        ErrorResponse::new(StatusCode::BAD_GATEWAY, code, message.into(), RequestOutcome::Unknown)
    }

    /// Creates a response for a request that another attempt has claimed or run.
    pub fn conflict(
        code: &'static str,
        message: impl Into<String>,
        outcome: RequestOutcome,
    ) -> Self {
        ErrorResponse::new(StatusCode::CONFLICT, code, message.into(), outcome)
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, millis: Millis) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// Returns the machine-readable error code.
    pub fn code(&self) -> &'static str {
        self.code
    }

    fn new(
        status: StatusCode,
        code: &'static str,
        message: String,
        outcome: RequestOutcome,
    ) -> Self {
        ErrorResponse { status, code, message, outcome, retry_after_ms: None }
    }

    /// Returns the JSON body.
    pub fn body(&self) -> Value {
        let mut error = json!({
            "code": self.code, "message": self.message, "outcome": self.outcome.as_str(),
        });
        if let Some(millis) = self.retry_after_ms {
            error["retry_after_ms"] = json!(millis);
        }
        json!({ "error": error })
    }

    /// Writes status, headers and body into `res`.
    pub fn render(&self, res: &mut Response) {
        res.status_code(self.status);
        if let Some(millis) = self.retry_after_ms {
            let seconds = millis.div_ceil(1_000).max(1);
            res.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        res.render(Json(self.body()));
    }
}

/// Body of a successful response.
pub enum ResponseBody {
    /// Chunks, delivered as they arrive.
    Stream(mpsc::Receiver<Bytes>),
    /// The complete body.
    Complete(Bytes),
}
