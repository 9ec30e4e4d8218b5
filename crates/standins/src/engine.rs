//! Stand-in for a model engine: chat completions, a load report, cancelling and resuming of runs,
//! and fenced orders.
//!
//! Request headers: `x-run-id` identifies the run, so that a repeated request attaches to it
//! instead of running again; `x-attempt` identifies the daemon's attempt. Response headers:
//! `x-run` is `new` or `attached`; `x-attempt` is the one of the request.

mod response;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bankcove_core::router::LoadReport;
use parking_lot::Mutex;
use salvo::affix_state;
use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Notify, Semaphore, mpsc};

pub use response::token_text;
use response::{complete_response, send_stream};

use crate::faults::Faults;
use crate::serve::{MAX_BODY_BYTES, RunningStandIn};

/// Bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;

/// Output limit of requests without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Number of generated tokens after which a run with the crash text ends the process.
const CRASH_TOKENS: u64 = 2;

/// Number of chunks buffered for a slow reader.
const STREAM_BUFFER: usize = 64;

/// Settings of the engine.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time to generate one token.
    pub step: Duration,
    /// Number of requests that run at the same time; others wait.
    pub slots: usize,
    /// Whether the engine follows orders and refuses work once ordered to leave.
    pub checks_orders: bool,
    /// Text in a prompt that makes its run abort the process after two generated tokens.
    pub crash_on: Option<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { step: Duration::from_millis(4), slots: 32, checks_orders: true, crash_on: None }
    }
}

/// A run as recorded in the history.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRecord {
    /// Id of the run.
    pub run: String,
    /// Id of the attempt that started the run.
    pub attempt: String,
    /// Ids of the attempts that attached to the run.
    pub attached: Vec<String>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens generated so far.
    pub output_tokens: u64,
    /// Whether the run has ended.
    pub ended: bool,
    /// Whether the run was cancelled.
    pub cancelled: bool,
    /// Time at which the run started, in milliseconds since 1970.
    pub at_ms: u64,
}

struct Run {
    record: Mutex<RunRecord>,
    /// Number of tokens to generate.
    limit: u64,
    /// Whether the run aborts the process.
    crashes: bool,
    /// Notified after each token and at the end.
    changed: Notify,
}

struct State {
    /// Latest run of each id.
    runs: HashMap<String, Arc<Run>>,
    /// All runs since the start, including those replaced by a later run of the same id.
    history: Vec<Arc<Run>>,
    faults: Faults,
    leaving: bool,
    /// Epoch of the last accepted order.
    epoch: u64,
    running: u32,
    waiting: u32,
}

struct Engine {
    settings: Settings,
    started_ms: u64,
    state: Mutex<State>,
    slots: Semaphore,
}

#[derive(Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Value>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Order {
    epoch: u64,
    leave: bool,
}

/// Starts the stand-in on `listen`, an IP address and port.
///
/// # Errors
/// If `listen` is not an address or can't be listened on.
pub async fn start(listen: &str, settings: Settings) -> std::io::Result<RunningStandIn> {
    let slots = Semaphore::new(settings.slots);
    let engine = Arc::new(Engine {
        settings,
        started_ms: unix_ms(),
        state: Mutex::new(State {
            runs: HashMap::new(),
            history: Vec::new(),
            faults: Faults::default(),
            leaving: false,
            epoch: 0,
            running: 0,
            waiting: 0,
        }),
        slots,
    });
    RunningStandIn::start(listen, routes(engine)).await
}

fn routes(engine: Arc<Engine>) -> Router {
    let api = Router::with_path("v1")
        .hoop(inject_faults)
        .push(Router::with_path("chat/completions").post(chat))
        .push(Router::with_path("runs").get(history))
        .push(Router::with_path("runs/{id}/cancel").post(cancel))
        .push(Router::with_path("runs/{id}/stream").get(resume))
        .push(Router::with_path("load").get(load))
        .push(Router::with_path("tokenize").post(tokenize))
        .push(Router::with_path("orders").post(orders));
    Router::new()
        .hoop(affix_state::inject(engine))
        .push(api)
        .push(Router::with_path("faults").put(put_faults))
        .push(Router::with_path("history").get(history))
}

fn engine(depot: &Depot) -> Arc<Engine> {
    let engine = depot.obtain::<Arc<Engine>>();
    Arc::clone(engine.expect("the engine is injected into every route"))
}

fn header(req: &Request, name: &str) -> String {
    let value = req.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn error(res: &mut Response, status: StatusCode, code: &str) {
    res.status_code(status);
    res.render(Json(json!({"error": {"code": code, "ran": false}})));
}

/// Names the attempt in the response, and delays or fails the call as the faults require.
#[handler]
async fn inject_faults(
    req: &mut Request,
    depot: &mut Depot,
    res: &mut Response,
    ctrl: &mut FlowCtrl,
) {
    let faults = engine(depot).state.lock().faults;
    if let Some(attempt) = req.headers().get("x-attempt") {
        res.headers_mut().insert("x-attempt", attempt.clone());
    }
    tokio::time::sleep(faults.delay()).await;
    if faults.down {
        error(res, StatusCode::SERVICE_UNAVAILABLE, "down");
        ctrl.skip_rest();
    }
}

#[handler]
async fn chat(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let engine = engine(depot);
    let run_id = header(req, "x-run-id");
    let attempt = header(req, "x-attempt");
    let Ok(body) = req.parse_json_with_max_size::<ChatRequest>(MAX_BODY_BYTES).await else {
        error(res, StatusCode::BAD_REQUEST, "bad_request");
        return;
    };
    let faults = engine.state.lock().faults;
    faults.insert_hint_headers(res.headers_mut());
    if faults.rest_s.is_some() {
        error(res, StatusCode::SERVICE_UNAVAILABLE, "busy");
        return;
    }
    let Some((run, is_new)) = engine.start_or_attach(&run_id, &attempt, &body) else {
        error(res, StatusCode::SERVICE_UNAVAILABLE, "leaving");
        return;
    };
    if is_new {
        tokio::spawn(generate(Arc::clone(&engine), Arc::clone(&run)));
    }
    if faults.misplace_refusals {
        let another = salvo::http::HeaderValue::from_static("another");
        res.headers_mut().insert("x-attempt", another);
        error(res, StatusCode::SERVICE_UNAVAILABLE, "leaving");
        return;
    }
    let kind = if is_new { "new" } else { "attached" };
    res.headers_mut().insert("x-run", salvo::http::HeaderValue::from_static(kind));
    if body.stream {
        stream(run, body.model, 0, faults, res);
        return;
    }
    run.wait_for_tokens_after(u64::MAX).await;
    res.render(Json(complete_response(&run, &body.model)));
}

/// Streams an existing run from `offset` on; never starts a run.
#[handler]
async fn resume(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let id: String = req.param("id").unwrap_or_default();
    let offset: u64 = req.query("offset").unwrap_or(0);
    let model: String = req.query("model").unwrap_or_default();
    let engine = engine(depot);
    let state = engine.state.lock();
    state.faults.insert_hint_headers(res.headers_mut());
    match state.runs.get(&id) {
        Some(run) => stream(Arc::clone(run), model, offset, state.faults, res),
        None => error(res, StatusCode::NOT_FOUND, "no_such_run"),
    }
}

fn stream(run: Arc<Run>, model: String, offset: u64, faults: Faults, res: &mut Response) {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(send_stream(run, model, offset, faults, tx));
    let content_type = salvo::http::HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert("content-type", content_type);
    res.stream(futures::stream::unfold(rx, |mut rx| async { rx.recv().await.map(|x| (x, rx)) }));
}

impl Engine {
    /// Attaches to the run with this id, or starts it if there is none or it was cancelled.
    /// Returns the run and whether it is new; `None` if the engine is leaving and starts no runs.
    fn start_or_attach(
        &self,
        run_id: &str,
        attempt: &str,
        body: &ChatRequest,
    ) -> Option<(Arc<Run>, bool)> {
        let mut state = self.state.lock();
        let existing = state.runs.get(run_id).filter(|_| !run_id.is_empty());
        if let Some(run) = existing.filter(|run| !run.record.lock().cancelled) {
            run.record.lock().attached.push(attempt.to_owned());
            return Some((Arc::clone(run), false));
        }
        if state.leaving {
            return None;
        }
        let id =
            if run_id.is_empty() { format!("run-{}", state.runs.len()) } else { run_id.to_owned() };
        let record = RunRecord {
            run: id.clone(),
            attempt: attempt.to_owned(),
            attached: Vec::new(),
            prompt_tokens: prompt_tokens(&body.messages),
            output_tokens: 0,
            ended: false,
            cancelled: false,
            at_ms: unix_ms(),
        };
        let limit = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let crashes = self.settings.crash_on.as_ref().is_some_and(|text| {
            let has_text =
                |message: &Value| message["content"].as_str().unwrap_or("").contains(text);
            body.messages.iter().any(has_text)
        });
        let record = Mutex::new(record);
        let run = Arc::new(Run { record, limit, crashes, changed: Notify::new() });
        state.runs.insert(id, Arc::clone(&run));
        state.history.push(Arc::clone(&run));
        state.waiting += 1;
        Some((run, true))
    }

    /// Returns the time to generate one token, with the slowdown of the faults.
    fn step_duration(&self) -> Duration {
        let factor = self.state.lock().faults.slow_factor.max(1);
        self.settings.step * u32::try_from(factor).unwrap_or(u32::MAX)
    }
}

impl Run {
    /// Waits until more than `offset` tokens are generated or the run has ended, and returns its
    /// record.
    async fn wait_for_tokens_after(&self, offset: u64) -> RunRecord {
        loop {
            let changed = self.changed.notified();
            {
                let record = self.record.lock();
                if record.output_tokens > offset || record.ended {
                    return record.clone();
                }
            }
            changed.await;
        }
    }
}

/// Generates the tokens of a run as soon as a slot is free.
async fn generate(engine: Arc<Engine>, run: Arc<Run>) {
    let Ok(_slot) = engine.slots.acquire().await else { return };
    {
        let mut state = engine.state.lock();
        state.waiting -= 1;
        state.running += 1;
    }
    for _ in 0..run.limit {
        tokio::time::sleep(engine.step_duration()).await;
        if run.record.lock().cancelled {
            break;
        }
        run.record.lock().output_tokens += 1;
        run.changed.notify_waiters();
        if run.crashes && run.record.lock().output_tokens >= CRASH_TOKENS {
            // Simulates an engine that runs out of memory: it ends without any response.
            std::process::abort();
        }
    }
    run.record.lock().ended = true;
    run.changed.notify_waiters();
    engine.state.lock().running -= 1;
}

/// Returns the number of prompt tokens of the messages.
fn prompt_tokens(messages: &[Value]) -> u64 {
    let bytes: usize = messages.iter().map(|m| m["content"].as_str().unwrap_or("").len()).sum();
    bytes.div_ceil(BYTES_PER_TOKEN) as u64
}

/// Returns the current time in milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Cancels a run and returns its record once it has ended.
#[handler]
async fn cancel(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let id: String = req.param("id").unwrap_or_default();
    let engine = engine(depot);
    let run = engine.state.lock().runs.get(&id).cloned();
    let Some(run) = run else {
        error(res, StatusCode::NOT_FOUND, "no_such_run");
        return;
    };
    run.record.lock().cancelled = true;
    let record = run.wait_for_tokens_after(u64::MAX).await;
    res.render(Json(record));
}

#[handler]
async fn tokenize(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    engine(depot).state.lock().faults.insert_hint_headers(res.headers_mut());
    match req.parse_json_with_max_size::<ChatRequest>(MAX_BODY_BYTES).await {
        Ok(body) => res.render(Json(json!({"count": prompt_tokens(&body.messages)}))),
        Err(_) => error(res, StatusCode::BAD_REQUEST, "bad_request"),
    }
}

#[handler]
async fn load(depot: &mut Depot, res: &mut Response) {
    let engine = engine(depot);
    let state = engine.state.lock();
    let report = LoadReport {
        running: state.running,
        waiting: state.waiting,
        leaving: state.leaving,
        started_ms: engine.started_ms,
    };
    res.render(Json(report));
}

/// Accepts an order to leave or to stay, unless its epoch is older than that of the last order.
#[handler]
async fn orders(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let engine = engine(depot);
    let Ok(order) = req.parse_json::<Order>().await else {
        error(res, StatusCode::BAD_REQUEST, "bad_request");
        return;
    };
    if !engine.settings.checks_orders {
        error(res, StatusCode::NOT_FOUND, "takes_no_orders");
        return;
    }
    let mut state = engine.state.lock();
    if order.epoch < state.epoch {
        error(res, StatusCode::CONFLICT, "old_epoch");
        return;
    }
    state.epoch = order.epoch;
    state.leaving = order.leave;
    res.render(Json(json!({"epoch": order.epoch, "leaving": order.leave})));
}

#[handler]
async fn put_faults(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    match req.parse_json::<Faults>().await {
        Ok(faults) => engine(depot).state.lock().faults = faults,
        Err(_) => error(res, StatusCode::BAD_REQUEST, "bad_request"),
    }
}

#[handler]
async fn history(depot: &mut Depot, res: &mut Response) {
    let engine = engine(depot);
    let state = engine.state.lock();
    let records: Vec<RunRecord> =
        state.history.iter().map(|run| run.record.lock().clone()).collect();
    res.render(Json(records));
}
