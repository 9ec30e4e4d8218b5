//! What a caller is told when it does not get its answer.
//!
//! Three outcomes, never confused: done, not run, unknown.

use bankcove_core::Millis;
use bankcove_core::lifecycle::NotRun;
use bytes::Bytes;
use salvo::http::header::{HeaderValue, RETRY_AFTER};
use salvo::prelude::*;
use serde_json::{Value, json};
use tokio::sync::mpsc;

/// Header with the name of the attempt that served a request.
pub const ATTEMPT_HEADER: &str = "x-bankcove-attempt";

/// Header with the idempotency key in force for a request.
pub const KEY_HEADER: &str = "x-bankcove-key";

/// What became of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It ran nowhere.
    NotRun,
    /// It may have run.
    Unknown,
    /// It has run, and is billed.
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

/// An answer other than the one asked for.
#[derive(Debug, Clone)]
pub struct ErrorResponse {
    status: StatusCode,
    code: &'static str,
    message: String,
    fate: RequestOutcome,
    retry_after_ms: Option<Millis>,
}

impl ErrorResponse {
    /// The request is at fault; it was not run.
    pub fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        ErrorResponse::new(StatusCode::BAD_REQUEST, code, message.into(), RequestOutcome::NotRun)
    }

    /// An answer of this status about a request that no attempt was made at.
    pub fn refused(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        ErrorResponse::new(status, code, message.into(), RequestOutcome::NotRun)
    }

    /// The attempt ran nowhere; its type proves it.
    pub fn not_run(
        _proof: &NotRun,
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        ErrorResponse::new(status, code, message.into(), RequestOutcome::NotRun)
    }

    /// The request may have run.
    pub fn unknown(code: &'static str, message: impl Into<String>) -> Self {
        ErrorResponse::new(StatusCode::BAD_GATEWAY, code, message.into(), RequestOutcome::Unknown)
    }

    /// Another attempt at the same request stands in the way.
    pub fn elsewhere(code: &'static str, message: impl Into<String>, fate: RequestOutcome) -> Self {
        ErrorResponse::new(StatusCode::CONFLICT, code, message.into(), fate)
    }

    /// Says when to come back.
    #[must_use]
    pub fn retry_after(mut self, millis: Millis) -> Self {
        self.retry_after_ms = Some(millis);
        self
    }

    /// The machine-readable code.
    pub fn code(&self) -> &'static str {
        self.code
    }

    fn new(status: StatusCode, code: &'static str, message: String, fate: RequestOutcome) -> Self {
        ErrorResponse { status, code, message, fate, retry_after_ms: None }
    }

    /// The body of the answer.
    pub fn body(&self) -> Value {
        let mut error = json!({
            "code": self.code, "message": self.message, "outcome": self.fate.as_str(),
        });
        if let Some(millis) = self.retry_after_ms {
            error["retry_after_ms"] = json!(millis);
        }
        json!({ "error": error })
    }

    /// Puts the answer into `res`.
    pub fn render(&self, res: &mut Response) {
        res.status_code(self.status);
        if let Some(millis) = self.retry_after_ms {
            let seconds = millis.div_ceil(1_000).max(1);
            res.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        res.render(Json(self.body()));
    }
}

/// The beginning of an answer.
pub enum ResponseBody {
    /// Pieces as they come.
    Stream(mpsc::Receiver<Bytes>),
    /// The whole answer.
    Complete(Bytes),
}
