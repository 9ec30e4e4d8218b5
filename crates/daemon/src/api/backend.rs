//! Calls of backend servers.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::hints::{Hint, ServerHints, read_leaving, read_retry_after};
use bankcove_core::lifecycle::NotExecuted;
use bankcove_core::limits::LimitHeader;
use bankcove_core::router::{Choice, LoadReport};
use bankcove_core::table::ServerKind;
use bankcove_core::{AttemptId, Fingerprint, Millis, Name, Tokens};
use bytes::Bytes;
use reqwest::header::{DATE, RETRY_AFTER};
use reqwest::{Method, Response, StatusCode};
use serde::Deserialize;
use serde_json::Value;

use crate::api::Api;
use crate::hints::permit::Permit;

/// Longest call that is not a request of a caller.
const SHORT_CALL: Duration = Duration::from_secs(2);

/// On any answer of a server: requests a second that it takes from all daemons together.
/// Orders to cancel a run, and load reports, are no requests and don't count.
const LIMIT_HEADER: &str = "x-requests-per-second";

/// On any answer of a server that leaves: "1".
const LEAVING_HEADER: &str = "x-server-leaving";

/// Why a dispatch brought no answer.
#[derive(Debug)]
pub enum DispatchError {
    /// The permit came too late; the server has failed nothing.
    NotSent(NotExecuted),
    /// Nothing ran there.
    NothingRan {
        /// What proves it.
        proof: NotExecuted,
        /// Whether the server said that it is leaving.
        leaving: bool,
    },
    /// The request may have run.
    Unknown,
}

/// A request on its way to a backend server.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers that the caller's request carries on.
    pub headers: reqwest::header::HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Name of the run, the same for every attempt at the same request.
    pub run_id: String,
    /// The attempt.
    pub attempt: AttemptId,
}

impl Outgoing {
    /// What is asked for, as [`Fingerprint::of`] a workspace's request; the name of a run,
    /// which differs between attempts, does not count.
    pub fn fingerprint(&self, workspace: &Name) -> Fingerprint {
        Fingerprint::of("", &self.path, workspace.as_str(), &self.body)
    }
}

#[derive(Deserialize)]
struct Refusal {
    error: RefusalBody,
}

#[derive(Deserialize)]
struct RefusalBody {
    code: String,
    ran: bool,
}

/// What a cancelled run has cost.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct CancelledRun {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens generated.
    pub output_tokens: Tokens,
}

/// Sends a request and returns once its answer begins.
///
/// # Errors
/// [`DispatchError`] tells whether the request may have run.
pub async fn dispatch(
    api: &Api,
    permit: Permit,
    outgoing: Outgoing,
    kind: ServerKind,
) -> Result<Response, DispatchError> {
    let Ok(choice) = permit.spend() else {
        return Err(DispatchError::NotSent(NotExecuted::never_sent()));
    };
    let asked_at = api.requests.base.clock.now();
    let url = format!("http://{}{}", choice.address, outgoing.path);
    let req = api.http.request(outgoing.method, url).headers(outgoing.headers);
    let req = req.header("x-run-id", &outgoing.run_id);
    let req = req.header("x-attempt", outgoing.attempt.to_string()).body(outgoing.body);
    let res = match req.send().await {
        Ok(res) => res,
        Err(e) if e.is_connect() => {
            let proof = NotExecuted::connection_failed();
            return Err(DispatchError::NothingRan { proof, leaving: false });
        }
        Err(_) => return Err(DispatchError::Unknown),
    };
    observe(api, &choice, asked_at, &res);
    // A plain service may say anything in its body; only engines are believed.
    if kind == ServerKind::Service || res.status() != StatusCode::SERVICE_UNAVAILABLE {
        return Ok(res);
    }
    match res.json::<Refusal>().await {
        Ok(refusal) if !refusal.error.ran => Err(DispatchError::NothingRan {
            proof: NotExecuted::refused_by_server(),
            leaving: refusal.error.code == "leaving",
        }),
        _ => Err(DispatchError::Unknown),
    }
}

/// Takes in what the head of an answer says of its server.
fn observe(api: &Api, choice: &Choice, asked_at: Millis, res: &Response) {
    api.requests.hints.observe(&api.requests.base.log, &choice.start(), asked_at, &read_hints(res));
}

/// The same, of an answer to what is no request, in which no limit is named.
fn observe_closed(api: &Api, choice: &Choice, res: &Response) {
    api.requests.hints.observe_closed(&api.requests.base.log, &choice.start(), &read_hints(res));
}

fn read_hints(res: &Response) -> ServerHints {
    let values = |name| {
        let values = res.headers().get_all(name).iter();
        values.map(|value| value.to_str().unwrap_or("?"))
    };
    let asks_for_rest = res.status() == StatusCode::SERVICE_UNAVAILABLE;
    let rest = || read_retry_after(values(RETRY_AFTER.as_str()), values(DATE.as_str()).next());
    ServerHints {
        limit: LimitHeader::parse(values(LIMIT_HEADER)),
        leaving: read_leaving(values(LEAVING_HEADER)),
        rest: if asks_for_rest { rest() } else { Hint::Absent },
    }
}

/// Resumes the stream of a run; never begins one.
pub async fn resume(
    api: &Api,
    permit: Permit,
    run_id: &str,
    model: &str,
    offset: u64,
) -> Option<Response> {
    let choice = permit.spend().ok()?;
    let asked_at = api.requests.base.clock.now();
    let url = format!("http://{}/v1/runs/{run_id}/stream", choice.address);
    let req = api.http.get(url).query(&[("offset", offset.to_string().as_str()), ("model", model)]);
    let res = req.send().await.ok()?;
    observe(api, &choice, asked_at, &res);
    res.status().is_success().then_some(res)
}

/// Cancels a run and learns what it cost.
pub async fn cancel(api: &Api, choice: &Choice, run_id: &str) -> Option<CancelledRun> {
    let url = format!("http://{}/v1/runs/{run_id}/cancel", choice.address);
    let res = api.http.post(url).timeout(SHORT_CALL).send().await.ok()?;
    observe_closed(api, choice, &res);
    res.error_for_status().ok()?.json().await.ok()
}

/// Counts the tokens of a prompt.
pub async fn count_tokens(api: &Api, permit: Permit, body: &Value) -> Option<Tokens> {
    #[derive(Deserialize)]
    struct Count {
        count: Tokens,
    }
    let choice = permit.spend().ok()?;
    let asked_at = api.requests.base.clock.now();
    let url = format!("http://{}/v1/tokenize", choice.address);
    let res = api.http.post(url).json(body).timeout(SHORT_CALL).send().await.ok()?;
    observe(api, &choice, asked_at, &res);
    let count: Count = res.error_for_status().ok()?.json().await.ok()?;
    Some(count.count)
}

/// Asks model servers for load reports until the daemon ends.
pub async fn follow_load(api: Arc<Api>) {
    let interval = Duration::from_millis(api.requests.base.cfg.limits.load_report_ms);
    let mut turn = 0;
    loop {
        turn = read_load_reports(&api, turn).await;
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = api.requests.base.shutdown.cancelled() => return,
        }
    }
}

/// Reads one round of load reports, so many that its cost does not grow with
/// the servers; returns whose turn is next.
async fn read_load_reports(api: &Arc<Api>, turn: usize) -> usize {
    let most = api.requests.base.cfg.limits.load_reports_at_once;
    let (servers, next) = api.requests.router.lock().servers_to_ask(most, turn);
    let reports = servers.into_iter().map(|choice| async move {
        let report = read_load_report(api, &choice).await;
        (choice.server, report)
    });
    for (name, report) in futures::future::join_all(reports).await {
        if let Some(report) = report {
            api.requests.router.lock().record_load_report(
                api.requests.base.clock.now(),
                &name,
                report,
            );
        }
    }
    next
}

async fn read_load_report(api: &Api, choice: &Choice) -> Option<LoadReport> {
    let url = format!("http://{}/v1/load", choice.address);
    let res = api.http.get(url).timeout(SHORT_CALL).send().await.ok()?;
    observe_closed(api, choice, &res);
    res.error_for_status().ok()?.json().await.ok()
}
