//! Callers: they send requests and record the outcome of each attempt.

use std::time::Duration;

use serde_json::{Value, json};

use crate::table::{API_KEY, MODEL};

/// Last event of a complete stream.
const END_MARK: &[u8] = b"data: [DONE]\n\n";

/// Outcome of one attempt, as its caller sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// The response is complete.
    Done {
        /// Text of the response.
        text: String,
        /// Number of tokens generated, from the usage of the response.
        output_tokens: u64,
    },
    /// The daemon answered that no server ran the request.
    NotRun {
        /// Error code.
        code: String,
        /// Time after which to retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The request may have run.
    Unknown {
        /// Error code, or a description of how the connection failed.
        code: String,
    },
}

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Idempotency key of the request.
    pub key: String,
    /// The daemon's id of the attempt.
    pub attempt_id: Option<String>,
    /// Id of the run that produced the response.
    pub run_id: Option<String>,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// A chat request.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// Idempotency key.
    pub key: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// Whether to request a stream.
    pub stream: bool,
    /// Whether the request must not run more than once.
    pub non_repeatable: bool,
    /// Time for which the caller waits for the complete response.
    pub timeout: Duration,
}

impl ChatRequest {
    /// Creates a repeatable, streamed request with this key and a prompt derived from it.
    pub fn new(key: impl Into<String>) -> Self {
        let key = key.into();
        ChatRequest {
            prompt: format!("summarise shift {key}"),
            key,
            max_tokens: 8,
            stream: true,
            non_repeatable: false,
            timeout: Duration::from_secs(20),
        }
    }

    /// Sets the maximum number of output tokens.
    #[must_use]
    pub fn max_tokens(mut self, tokens: u64) -> Self {
        self.max_tokens = tokens;
        self
    }

    /// Requests a response that is not streamed.
    #[must_use]
    pub fn unstreamed(mut self) -> Self {
        self.stream = false;
        self
    }

    /// Marks the request as not repeatable.
    #[must_use]
    pub fn non_repeatable(mut self) -> Self {
        self.non_repeatable = true;
        self
    }

    /// Sets the time for which the caller waits for the complete response.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// HTTP client that sends requests to daemons with the workspace's key.
#[derive(Debug, Clone)]
pub struct Caller {
    http: reqwest::Client,
}

impl Default for Caller {
    fn default() -> Self {
        let http = reqwest::Client::builder().no_proxy().build();
        Caller { http: http.expect("an HTTP client without TLS needs no system resources") }
    }
}

impl Caller {
    /// Sends a chat request to the daemon at this address and returns the attempt.
    pub async fn chat(&self, daemon: &str, request: &ChatRequest) -> Attempt {
        let mut body = json!({
            "model": MODEL, "max_tokens": request.max_tokens, "stream": request.stream,
            "messages": [{"role": "user", "content": request.prompt}],
        });
        if request.stream {
            body["stream_options"] = json!({"include_usage": true});
        }
        let mut req = self
            .http
            .post(format!("http://{daemon}/v1/chat/completions"))
            .bearer_auth(API_KEY)
            .header("idempotency-key", &request.key)
            .timeout(request.timeout)
            .json(&body);
        if request.non_repeatable {
            req = req.header("x-bankcove-repeatable", "false");
        }
        let mut attempt = Attempt {
            key: request.key.clone(),
            attempt_id: None,
            run_id: None,
            outcome: unknown_outcome("no answer"),
        };
        let res = match req.send().await {
            Ok(res) => res,
            Err(e) if e.is_connect() => {
                attempt.outcome = not_run_outcome("connection_refused", None);
                return attempt;
            }
            Err(_) => return attempt,
        };
        attempt.attempt_id = attempt_header(&res);
        let is_ok = res.status().is_success();
        let Some(body) = read_body(res).await else {
            attempt.outcome = unknown_outcome("connection broken");
            return attempt;
        };
        let (outcome, run_id) = if !is_ok {
            (parse_error_body(&serde_json::from_str(&body).unwrap_or_default()), None)
        } else if request.stream {
            parse_stream(&body)
        } else {
            parse_completion(&serde_json::from_str(&body).unwrap_or_default())
        };
        attempt.outcome = outcome;
        attempt.run_id = run_id;
        attempt
    }

    /// Sends the same request to the daemons in turn until it is done, at most `max_attempts`
    /// times, and returns all attempts.
    pub async fn chat_until_done(
        &self,
        daemons: &[String],
        request: &ChatRequest,
        max_attempts: usize,
    ) -> Vec<Attempt> {
        let mut attempts = Vec::new();
        for n in 0..max_attempts {
            let attempt = self.chat(&daemons[n % daemons.len()], request).await;
            let is_done = matches!(attempt.outcome, AttemptOutcome::Done { .. });
            attempts.push(attempt);
            if is_done {
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        attempts
    }

    /// Posts to a plain service through a daemon; `None` if no complete response arrives.
    pub async fn post(
        &self,
        daemon: &str,
        path: &str,
        key: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<ServiceResponse> {
        let req = self.http.post(format!("http://{daemon}{path}")).bearer_auth(API_KEY);
        let req = req.header("idempotency-key", key).timeout(timeout).body(body.to_owned());
        let res = req.send().await.ok()?;
        let status = res.status().as_u16();
        let attempt_id = attempt_header(&res);
        Some(ServiceResponse { status, attempt_id, body: res.json().await.ok()? })
    }
}

/// Reads a response body. Like other callers, it takes a stream as complete at its end mark,
/// whatever happens to the connection afterwards. Returns `None` if the connection breaks before.
async fn read_body(mut res: reqwest::Response) -> Option<String> {
    let mut bytes = Vec::new();
    while let Some(chunk) = res.chunk().await.ok()? {
        bytes.extend_from_slice(&chunk);
        if bytes.ends_with(END_MARK) {
            break;
        }
    }
    String::from_utf8(bytes).ok()
}

/// The response to a call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// The daemon's id of the attempt.
    pub attempt_id: Option<String>,
    /// Body of the response.
    pub body: Value,
}

fn attempt_header(res: &reqwest::Response) -> Option<String> {
    let header = res.headers().get("x-bankcove-attempt");
    header.and_then(|value| value.to_str().ok()).map(str::to_owned)
}

fn unknown_outcome(code: &str) -> AttemptOutcome {
    AttemptOutcome::Unknown { code: code.to_owned() }
}

fn not_run_outcome(code: &str, retry_after_ms: Option<u64>) -> AttemptOutcome {
    AttemptOutcome::NotRun { code: code.to_owned(), retry_after_ms }
}

/// Returns the outcome reported by an error body.
pub fn parse_error_body(body: &Value) -> AttemptOutcome {
    let error = &body["error"];
    let code = error["code"].as_str().unwrap_or("unreadable");
    match error["outcome"].as_str() {
        Some("not_run") => not_run_outcome(code, error["retry_after_ms"].as_u64()),
        _ => unknown_outcome(code),
    }
}

/// Returns the outcome and the run id of a response that was not streamed.
fn parse_completion(body: &Value) -> (AttemptOutcome, Option<String>) {
    let run = body["id"].as_str().map(str::to_owned);
    let text = body["choices"][0]["message"]["content"].as_str();
    let tokens = body["usage"]["completion_tokens"].as_u64();
    match (text, tokens) {
        (Some(text), Some(output_tokens)) => {
            (AttemptOutcome::Done { text: text.to_owned(), output_tokens }, run)
        }
        _ => (unknown_outcome("unreadable"), run),
    }
}

/// Returns the outcome and the run id of a streamed response.
fn parse_stream(body: &str) -> (AttemptOutcome, Option<String>) {
    let mut text = String::new();
    let mut run = None;
    let mut tokens = None;
    for data in body.lines().filter_map(|line| line.strip_prefix("data:")).map(str::trim) {
        if data == "[DONE]" {
            return match tokens {
                Some(output_tokens) => (AttemptOutcome::Done { text, output_tokens }, run),
                None => (unknown_outcome("no usage"), run),
            };
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        if chunk["error"].is_object() {
            return (parse_error_body(&chunk), run);
        }
        run = chunk["id"].as_str().map(str::to_owned).or(run);
        text += chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        tokens = chunk["usage"]["completion_tokens"].as_u64().or(tokens);
    }
    (unknown_outcome("no end mark"), run)
}
