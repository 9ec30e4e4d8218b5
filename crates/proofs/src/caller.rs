//! Callers: they send requests, and write down what they were told.

use std::time::Duration;

use serde_json::{Value, json};

use crate::table::{API_KEY, MODEL};

/// What ends a stream.
const END_MARK: &[u8] = b"data: [DONE]\n\n";

/// What became of one attempt, as its caller saw it.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// The whole answer.
    Done {
        /// The text.
        text: String,
        /// Tokens generated, as the answer says.
        output_tokens: u64,
    },
    /// It ran nowhere.
    NotRun {
        /// The machine-readable code.
        code: String,
        /// When to come back.
        retry_after_ms: Option<u64>,
    },
    /// It may have run.
    Unknown {
        /// The machine-readable code, or what the connection did.
        code: String,
    },
}

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The idempotency key.
    pub key: String,
    /// The daemon's name for the attempt.
    pub attempt: Option<String>,
    /// The run that the answer came from.
    pub run: Option<String>,
    /// What the caller was told.
    pub outcome: AttemptOutcome,
}

/// A chat request.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// The idempotency key.
    pub key: String,
    /// The prompt.
    pub prompt: String,
    /// Output limit.
    pub max_tokens: u64,
    /// Whether to ask for a stream.
    pub stream: bool,
    /// Whether it may run only once.
    pub non_repeatable: bool,
    /// How long the caller waits.
    pub timeout: Duration,
}

impl ChatRequest {
    /// A streamed request with this key.
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

    /// Asks for this many tokens.
    #[must_use]
    pub fn max_tokens(mut self, tokens: u64) -> Self {
        self.max_tokens = tokens;
        self
    }

    /// Asks for the whole answer at once.
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

    /// Waits this long for the whole answer.
    #[must_use]
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// Sends requests to daemons.
#[derive(Debug, Clone)]
pub struct Caller {
    http: reqwest::Client,
}

impl Default for Caller {
    fn default() -> Self {
        let http = reqwest::Client::builder().no_proxy().build();
        Caller { http: http.expect("an HTTP client without TLS needs nothing from the machine") }
    }
}

impl Caller {
    /// Sends a chat request to the daemon at this address.
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
            attempt: None,
            run: None,
            outcome: unknown_outcome("no answer"),
        };
        let res = match req.send().await {
            Ok(res) => res,
            Err(e) if e.is_connect() => {
                attempt.outcome = not_run("connection_refused", None);
                return attempt;
            }
            Err(_) => return attempt,
        };
        attempt.attempt = attempt_header(&res);
        let is_ok = res.status().is_success();
        let Some(body) = read_body(res).await else {
            attempt.outcome = unknown_outcome("broken off");
            return attempt;
        };
        let (outcome, run) = if !is_ok {
            (parse_error_body(&serde_json::from_str(&body).unwrap_or_default()), None)
        } else if request.stream {
            read_stream(&body)
        } else {
            read_whole(&serde_json::from_str(&body).unwrap_or_default())
        };
        attempt.outcome = outcome;
        attempt.run = run;
        attempt
    }

    /// Sends the same request to daemons in turn until it is done, or `tries`
    /// are used up.
    pub async fn chat_until_done(
        &self,
        daemons: &[String],
        request: &ChatRequest,
        tries: usize,
    ) -> Vec<Attempt> {
        let mut attempts = Vec::new();
        for n in 0..tries {
            let attempt = self.chat(&daemons[n % daemons.len()], request).await;
            let done = matches!(attempt.outcome, AttemptOutcome::Done { .. });
            attempts.push(attempt);
            if done {
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
        attempts
    }

    /// Posts to a plain service; none when no answer comes.
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
        let attempt = attempt_header(&res);
        Some(ServiceResponse { status, attempt, body: res.json().await.ok()? })
    }
}

/// Reads an answer as callers do: a stream has ended at its end mark, whatever
/// becomes of the connection afterwards. None when it breaks off before.
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

/// The answer to a call of a plain service.
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// The status.
    pub status: u16,
    /// The daemon's name for the attempt.
    pub attempt: Option<String>,
    /// The body.
    pub body: Value,
}

fn attempt_header(res: &reqwest::Response) -> Option<String> {
    let header = res.headers().get("x-bankcove-attempt");
    header.and_then(|value| value.to_str().ok()).map(str::to_owned)
}

fn unknown_outcome(code: &str) -> AttemptOutcome {
    AttemptOutcome::Unknown { code: code.to_owned() }
}

fn not_run(code: &str, retry_after_ms: Option<u64>) -> AttemptOutcome {
    AttemptOutcome::NotRun { code: code.to_owned(), retry_after_ms }
}

/// Reads what an error body tells.
pub fn parse_error_body(body: &Value) -> AttemptOutcome {
    let error = &body["error"];
    let code = error["code"].as_str().unwrap_or("unreadable");
    match error["outcome"].as_str() {
        Some("not_run") => not_run(code, error["retry_after_ms"].as_u64()),
        _ => unknown_outcome(code),
    }
}

fn read_whole(body: &Value) -> (AttemptOutcome, Option<String>) {
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

fn read_stream(body: &str) -> (AttemptOutcome, Option<String>) {
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
        let piece: Value = serde_json::from_str(data).unwrap_or_default();
        if piece["error"].is_object() {
            return (parse_error_body(&piece), run);
        }
        run = piece["id"].as_str().map(str::to_owned).or(run);
        text += piece["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
        tokens = piece["usage"]["completion_tokens"].as_u64().or(tokens);
    }
    (unknown_outcome("no end mark"), run)
}
