//! Load generator with an open loop: requests are sent at a constant rate, however long the
//! answers take, and latencies count from the time at which each request was due.

mod servers;

use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::args::{Format, LoadArgs};
use crate::error::{Error, Result};
use crate::output;

/// Upper bound of recorded latencies, in microseconds.
const MAX_LATENCY_MICROS: u64 = 600_000_000;

/// Number of significant digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(120);

/// Delay before a retry when the response specifies none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum delay before a retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Interval between updates of the progress bar.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// A generated request.
struct Request {
    number: u64,
    due: Instant,
    target: String,
    key: String,
    model: String,
    prompt: String,
    max_tokens: u64,
    stream: bool,
    retries: u32,
}

/// Outcome of a request, or of its last attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The answer is complete.
    Done,
    /// No backend server executed the request.
    NotRun,
    /// The request may or may not have been executed.
    Unknown,
    /// The stream contains more chunks than the usage states.
    Doubled,
    /// The stream lacks chunks or mixes several runs.
    Wrong,
}

/// Measurements of one request.
struct Sample {
    outcome: Outcome,
    attempts: u32,
    first_token: Option<Duration>,
    between: Vec<Duration>,
    whole: Duration,
}

/// Counts and latencies of a load.
struct Report {
    done: u64,
    not_run: u64,
    unknown: u64,
    doubled: u64,
    wrong: u64,
    attempts: u64,
    first_token: Histogram<u64>,
    between: Histogram<u64>,
    whole: Histogram<u64>,
}

#[derive(Serialize)]
struct Latency {
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
    max_ms: f64,
}

/// Sends the load and prints the report.
///
/// # Errors
/// [`Error::Usage`] when the arguments can't be used.
pub async fn run(args: &LoadArgs, format: Format) -> Result<()> {
    if !(args.rate > 0.0 && args.duration > 0.0) {
        return Err(Error::Usage("--rate and --duration must be above 0".to_owned()));
    }
    let http = reqwest::Client::builder().no_proxy().timeout(ATTEMPT_TIMEOUT).build();
    let http = http.map_err(|e| Error::Setup(std::io::Error::other(e)))?;
    let before = servers::counts(&http, &args.stand_ins).await?;
    let (tx, rx) = mpsc::unbounded_channel();
    let collector = tokio::spawn(collect(rx, (args.rate * args.duration) as u64));
    send_all(args, http.clone(), tx).await;
    let report = collector.await.map_err(|e| Error::Setup(std::io::Error::other(e)))?;
    let rows = servers::rows(&http, &args.stand_ins, &before).await?;
    report.print(args, format, &rows);
    Ok(())
}

/// Sends each request when it is due. The channel closes once all requests have ended.
async fn send_all(args: &LoadArgs, http: reqwest::Client, tx: mpsc::UnboundedSender<Sample>) {
    let mut rng = StdRng::seed_from_u64(args.seed);
    let start = Instant::now();
    let run = Arc::<str>::from(format!("{:08x}", rand::random::<u32>()));
    let count = (args.rate * args.duration) as u64;
    for number in 0..count {
        let request = generate_request(args, &mut rng, number, start);
        tokio::time::sleep_until(request.due).await;
        let (http, tx, run) = (http.clone(), tx.clone(), Arc::clone(&run));
        tokio::spawn(async move {
            let sample = send(&http, &request, &run).await;
            // The collector receives until all senders are dropped.
            let _collected = tx.send(sample);
        });
    }
}

fn generate_request(args: &LoadArgs, rng: &mut StdRng, number: u64, start: Instant) -> Request {
    let turn = number as usize;
    let length = rng.random_range(1..=args.prompt_bytes.max(1));
    let prompt = "ramp ".chars().cycle().take(length).collect();
    // Draws no random number if no such caller is configured, so that the load of a given seed
    // does not depend on this option.
    let repeated = args.repeated_prompt.as_ref();
    let repeated = repeated.filter(|_| rng.random_bool(args.repeated_share.clamp(0.0, 1.0)));
    Request {
        number,
        due: start + Duration::from_secs_f64(number as f64 / args.rate),
        target: args.targets[turn % args.targets.len()].clone(),
        key: args.keys[turn % args.keys.len()].clone(),
        model: args.models[rng.random_range(0..args.models.len())].clone(),
        prompt: repeated.cloned().unwrap_or(prompt),
        max_tokens: args.max_tokens,
        stream: rng.random_bool(args.streams.clamp(0.0, 1.0)),
        retries: args.retries,
    }
}

/// Sends a request, with retries, and measures it.
async fn send(http: &reqwest::Client, request: &Request, run: &str) -> Sample {
    let mut sample = Sample {
        outcome: Outcome::Unknown,
        attempts: 0,
        first_token: None,
        between: Vec::new(),
        whole: Duration::ZERO,
    };
    while sample.attempts <= request.retries {
        sample.attempts += 1;
        sample.between.clear();
        let delay = attempt(http, request, run, &mut sample).await;
        sample.whole = request.due.elapsed();
        match sample.outcome {
            Outcome::NotRun | Outcome::Unknown if sample.attempts <= request.retries => {
                tokio::time::sleep(delay.min(MAX_RETRY_DELAY)).await;
            }
            _ => break,
        }
    }
    sample
}

/// Makes one attempt and records it in `sample`. Returns the delay before a retry.
async fn attempt(
    http: &reqwest::Client,
    request: &Request,
    run: &str,
    sample: &mut Sample,
) -> Duration {
    let body = json!({
        "model": request.model, "max_tokens": request.max_tokens, "stream": request.stream,
        "messages": [{"role": "user", "content": request.prompt}],
    });
    let req = http
        .post(format!("http://{}/v1/chat/completions", request.target))
        .bearer_auth(&request.key)
        .header("idempotency-key", format!("load-{run}-{}", request.number))
        .json(&body);
    sample.outcome = Outcome::Unknown;
    let mut res = match req.send().await {
        Ok(res) => res,
        Err(e) => {
            sample.outcome = if e.is_connect() { Outcome::NotRun } else { Outcome::Unknown };
            return DEFAULT_RETRY_DELAY;
        }
    };
    if !res.status().is_success() {
        let problem: Value = res.json().await.unwrap_or_default();
        sample.outcome = match problem["error"]["outcome"].as_str() {
            Some("not_run") => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        return problem["error"]["retry_after_ms"]
            .as_u64()
            .map_or(DEFAULT_RETRY_DELAY, Duration::from_millis);
    }
    let mut text = Vec::new();
    let mut last = None;
    while let Ok(Some(chunk)) = res.chunk().await {
        let now = Instant::now();
        sample.first_token.get_or_insert(now - request.due);
        if let Some(last) = last.replace(now) {
            sample.between.push(now - last);
        }
        text.extend_from_slice(&chunk);
    }
    sample.outcome = check_answer(&String::from_utf8_lossy(&text), request);
    DEFAULT_RETRY_DELAY
}

/// Checks whether an answer is complete: a stream must have as many chunks as its usage states,
/// all of the same run and none twice.
fn check_answer(text: &str, request: &Request) -> Outcome {
    if !request.stream {
        let answer: Value = serde_json::from_str(text).unwrap_or_default();
        let is_complete = answer["usage"]["completion_tokens"].is_u64();
        return if is_complete { Outcome::Done } else { Outcome::Unknown };
    }
    let chunks: Vec<Value> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str(data).ok())
        .collect();
    let Some(usage) = chunks.iter().find_map(|chunk| chunk["usage"]["completion_tokens"].as_u64())
    else {
        return Outcome::Unknown;
    };
    if chunks.windows(2).any(|pair| pair[0]["id"] != pair[1]["id"]) {
        return Outcome::Wrong;
    }
    match (chunks.len() as u64).cmp(&(usage + 1)) {
        std::cmp::Ordering::Equal => Outcome::Done,
        std::cmp::Ordering::Greater => Outcome::Doubled,
        std::cmp::Ordering::Less => Outcome::Wrong,
    }
}

async fn collect(mut rx: mpsc::UnboundedReceiver<Sample>, count: u64) -> Report {
    let mut report = Report::new();
    let bar = ProgressBar::new(count);
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} {elapsed} {msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar.enable_steady_tick(PROGRESS_INTERVAL);
    while let Some(sample) = rx.recv().await {
        report.add(&sample);
        bar.inc(1);
        bar.set_message(format!("{} not run, {} unknown", report.not_run, report.unknown));
    }
    bar.finish_and_clear();
    report
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("the bounds are valid")
}

impl Report {
    fn new() -> Self {
        Report {
            done: 0,
            not_run: 0,
            unknown: 0,
            doubled: 0,
            wrong: 0,
            attempts: 0,
            first_token: histogram(),
            between: histogram(),
            whole: histogram(),
        }
    }

    fn add(&mut self, sample: &Sample) {
        self.attempts += u64::from(sample.attempts);
        let count = match sample.outcome {
            Outcome::Done => &mut self.done,
            Outcome::NotRun => &mut self.not_run,
            Outcome::Unknown => &mut self.unknown,
            Outcome::Doubled => &mut self.doubled,
            Outcome::Wrong => &mut self.wrong,
        };
        *count += 1;
        if sample.outcome != Outcome::Done {
            return;
        }
        let micros = |time: Duration| (time.as_micros() as u64).max(1);
        if let Some(first) = sample.first_token {
            self.first_token.saturating_record(micros(first));
        }
        for between in &sample.between {
            self.between.saturating_record(micros(*between));
        }
        self.whole.saturating_record(micros(sample.whole));
    }

    fn print(&self, args: &LoadArgs, format: Format, servers: &[Value]) {
        let latencies = [
            ("first token", latency(&self.first_token)),
            ("between tokens", latency(&self.between)),
            ("whole", latency(&self.whole)),
        ];
        let counts = json!({
            "done": self.done, "not_run": self.not_run, "unknown": self.unknown,
            "doubled": self.doubled, "wrong": self.wrong, "attempts": self.attempts,
            "done_per_second": self.done as f64 / args.duration, "seed": args.seed,
        });
        if format == Format::Json {
            let json_of = |n: usize| serde_json::to_value(&latencies[n].1).unwrap_or_default();
            output::json(&json!({
                "counts": counts, "first_token": json_of(0), "between_tokens": json_of(1),
                "whole": json_of(2), "servers": servers,
            }));
            return;
        }
        output::rows(&[counts], format);
        println!();
        let rows: Vec<Value> = latencies
            .iter()
            .map(|(name, latency)| {
                let mut row = serde_json::to_value(latency).unwrap_or_default();
                row["name"] = json!(name);
                row
            })
            .collect();
        output::rows(&rows, format);
        if !servers.is_empty() {
            println!();
            output::rows(servers, format);
        }
    }
}

fn latency(histogram: &Histogram<u64>) -> Latency {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    Latency { p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99), max_ms: at(1.0) }
}
