//! Serves callers: reads a request, has it admitted and forwarded, and writes the answer.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bankcove_core::outage;
use bankcove_core::table::CallerLimits;
use bankcove_core::{Millis, Name};
use bankcove_ports::wire::Incoming;
use salvo::affix_state;
use salvo::http::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use salvo::http::uri::PathAndQuery;
use salvo::prelude::*;
use slog::o;

use crate::entry::Entry;
use crate::entry::admitted::Admitted;
use crate::entry::call::Call;
use crate::entry::forward::{Answer, forward};
use crate::entry::link_use::LinkUse;
use crate::entry::plan::Plan;
use crate::entry::ready::entry;
use crate::entry::refusal::Refusal;
use crate::requests::RequestContext;

/// Routes of the callers' side: every path is looked up in the table.
pub fn router(entry: Arc<Entry>) -> Router {
    Router::with_path("{**rest}").hoop(affix_state::inject(entry)).goal(serve)
}

/// Serves one request.
#[handler]
async fn serve(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let entry = entry(depot);
    let in_flight = entry.requests.in_flight.token();
    if entry.requests.leaving.is_cancelled() {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    match handle(&entry, req).await {
        Ok(Answer::Whole(status, headers, body)) => {
            res.status_code(status);
            res.headers_mut().extend(headers);
            res.body(body);
        }
        Ok(Answer::Stream(status, headers, relay)) => {
            res.status_code(status);
            res.headers_mut().extend(headers);
            res.stream(InFlight { stream: Box::pin(relay.into_stream()), _token: in_flight });
        }
        Err(refusal) => render(&refusal, res),
    }
}

fn render(refusal: &Refusal, res: &mut Response) {
    res.status_code(refusal.status());
    if let Some(after) = refusal.retry_after()
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        res.headers_mut().insert(RETRY_AFTER, value);
    }
    res.render(Text::Plain(refusal.to_string()));
}

/// A stream that counts as in flight until it is dropped.
struct InFlight<S> {
    stream: std::pin::Pin<Box<S>>,
    _token: tokio_util::task::task_tracker::TaskTrackerToken,
}

impl<S: futures::Stream> futures::Stream for InFlight<S> {
    type Item = S::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.stream.as_mut().poll_next(cx)
    }
}

async fn handle(entry: &Arc<Entry>, req: &mut Request) -> Result<Answer, Refusal> {
    let requests = &entry.requests;
    let arrived = requests.base.clock.now();
    let path = req.uri().path().to_owned();
    let refused = |refusal: Refusal, incoming: Option<&Incoming>| {
        requests.base.metrics.count(&format!("refused.{}", refusal.code()));
        slog::info!(requests.base.log, "request refused";
            "request" => incoming.map(|incoming| incoming.id.clone()), "code" => refusal.code(),
            "why" => %refusal, "table" => requests.revision(),
            "retry_after_ms" => refusal.retry_after().map(|after| after.as_millis() as u64),
            "path" => &path, "tokens" => incoming.and_then(|incoming| incoming.prompt.as_ref())
                .map(|prompt| prompt.input_tokens + prompt.output_limit),
            "store_heard_ms" => requests.fleet.contact.store_age(requests.base.clock.now()),
            "age_ms" => requests.base.clock.now() - arrived);
        refusal
    };
    let incoming = entry.wire.read_request(req.headers());
    let incoming = incoming.map_err(|e| refused(e.into(), None))?;
    let read = read_call(entry, req, incoming.clone(), arrived).await;
    let call = read.map_err(|refusal| refused(refusal, Some(&incoming)))?;
    let admitted = Admitted::admit(call).await;
    let admitted = admitted.map_err(|refusal| refused(refusal, Some(&incoming)))?;
    forward(admitted).await.map_err(|refusal| refused(refusal, Some(&incoming)))
}

async fn read_call(
    entry: &Arc<Entry>,
    req: &mut Request,
    incoming: Incoming,
    arrived: Millis,
) -> Result<Call, Refusal> {
    let requests = &entry.requests;
    if requests.stopping.is_cancelled() {
        return Err(Refusal::Stopping);
    }
    let table = requests.table.load_full();
    let table = table.ok_or_else(|| Refusal::NoTable(retry_after_start(requests)))?;
    let host = req.headers().get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let plan = Plan::find(&table, host, req.uri().path(), &incoming)?;
    let host = Name::from(host);
    let ends = requests.base.clock.now() + plan.expected_time(&incoming).as_millis() as Millis;
    if requests.latest_end.lock().is_some_and(|last_end| ends > last_end) {
        return Err(Refusal::Stopping);
    }
    let path = req.uri().path_and_query().cloned();
    let body = read_body(table.caller_limits, &requests.base.cfg.limits, req).await?;
    let link = LinkUse::promise(entry, &plan, &incoming, body.len()).ok_or(Refusal::LinkFull)?;
    let patience = incoming.patience.unwrap_or(Duration::MAX);
    let longest = Duration::from_millis(plan.route.deadline_ms);
    Ok(Call {
        entry: Arc::clone(entry),
        log: requests.base.log.new(o!("request" => incoming.id.clone())),
        method: req.method().clone(),
        host,
        path: path.unwrap_or_else(|| PathAndQuery::from_static("/")),
        headers: req.headers().clone(),
        body,
        arrived,
        deadline: arrived + patience.min(longest).as_millis() as Millis,
        incoming,
        plan,
        tried: Vec::new(),
        sent: 0,
        ran: false,
        link,
        fingerprint: OnceLock::new(),
        apart: None,
    })
}

async fn read_body(
    of_table: Option<CallerLimits>,
    of_settings: &crate::base::config::Limits,
    req: &mut Request,
) -> Result<bytes::Bytes, Refusal> {
    let largest = of_table.map_or(of_settings.max_body_bytes, |limits| limits.max_body_bytes);
    let longest = Duration::from_millis(of_settings.body_timeout_ms);
    let reading = req.payload_with_max_size(largest);
    match tokio::time::timeout(longest, reading).await {
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(_)) => Err(Refusal::BodyTooLarge(largest)),
        Err(_) => Err(Refusal::BodyTooSlow(longest)),
    }
}

/// When to come back while this start knows no table.
fn retry_after_start(requests: &RequestContext) -> Duration {
    Duration::from_millis(outage::retry_after_start(requests.base.clock.now(), rand::random()))
}
