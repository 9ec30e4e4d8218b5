//! Delivery of a response from a backend server to the caller, with settlement and billing.
//!
//! The end of a response is withheld until its bill is stored or copied to peers. A stream that
//! breaks off is resumed at the same server. When a caller disconnects, its run is cancelled and
//! the tokens used so far are billed.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::bill::Bill;
use bankcove_core::hints::Closed;
use bankcove_core::lifecycle::{Attempt, Dispatched};
use bankcove_core::stream::{ChunkAction, ChunkSequence};
use bankcove_core::{Millis, Name, Tokens};
use bytes::Bytes;
use reqwest::Response;
use serde::Deserialize;
use slog::Logger;
use tokio::sync::{mpsc, oneshot};

use crate::api::Api;
use crate::api::backend::{self, BodyError};
use crate::api::dispatch::{AnsweredAttempt, Interrupted};
use crate::api::response::{ErrorResponse, ResponseBody};
use crate::api::sse::{Chunk, Event, EventSplitter, Usage};
use crate::bill::bills::{self, Billed};
use crate::hints::permit::{NoPermit, Purpose};
use crate::requests::gathering::Gathering;

/// Event that ends a stream.
const END_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Maximum number of consecutive attempts to resume a stream without a new chunk in between.
const MAX_RESUME_TRIES: u32 = 3;

/// Delay before a stream is resumed, multiplied by the number of the attempt since the last new
/// chunk.
const RESUME_PAUSE: Duration = Duration::from_millis(10);

/// Maximum wait after a refused permit before the next attempt to resume a stream.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(1);

/// Timeout for sending the end of a response to a caller that does not read.
const END_SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay after an unknown outcome.
const RETRY_UNKNOWN_MS: u64 = 500;

/// A run of a chat request on an engine.
pub struct Run {
    /// Logger with the identifiers of the request and the attempt.
    pub log: Logger,
    /// The budget that is charged.
    pub budget: Name,
    /// The model.
    pub model: String,
    /// Identifier of the run.
    pub run_id: String,
    /// Maximum number of output tokens.
    pub max_tokens: Tokens,
    /// Whether the caller requested a stream.
    pub stream: bool,
    /// The dispatched attempt, its server and the response.
    pub answered: AnsweredAttempt,
}

/// Data for settling and billing an attempt once its response is complete.
struct Settlement {
    log: Logger,
    budget: Name,
    attempt: Attempt<Dispatched>,
    /// Whether another attempt has started the run and therefore pays for it.
    attached: bool,
}

/// Reason why the delivery of a stream ended.
enum StreamEnd {
    /// The last chunk was received; it is not sent yet.
    Complete(Usage, Bytes),
    /// The run was cancelled by another attempt.
    Cancelled,
    /// The caller has disconnected.
    CallerDisconnected,
    /// The deadline has passed.
    DeadlinePassed,
    /// The server has broken off and the stream can't be resumed, or the server has violated the
    /// protocol.
    ServerLost,
}

#[derive(Deserialize)]
struct CompleteResponse {
    id: String,
    usage: Usage,
    #[serde(default)]
    choices: Vec<crate::api::sse::Choice>,
}

/// Returns whether the run was started by another attempt, according to the response headers.
fn is_attached(res: &Response) -> bool {
    res.headers().get("x-run").is_some_and(|value| value == "attached")
}

/// Delivers a stream to the caller through `chunks`; settles and bills the attempt before the last
/// chunk is sent.
pub async fn deliver_stream(
    api: &Arc<Api>,
    run: Run,
    chunks: mpsc::Sender<Bytes>,
    deadline: Millis,
) {
    let Run { log, budget, model, run_id, max_tokens, answered, .. } = run;
    let AnsweredAttempt { attempt, choice, res, mut open_request, fingerprint } = answered;
    let settlement = Settlement { log, budget, attempt, attached: is_attached(&res) };
    let mut relay = StreamRelay {
        api,
        log: &settlement.log,
        choice: &choice,
        model: &model,
        run_id: &run_id,
        max_tokens,
        sequence: ChunkSequence::new(run_id.clone()),
        chunks: &chunks,
    };
    let end = tokio::select! {
        end = relay.relay(res) => end,
        () = api.requests.base.clock.sleep_until(deadline) => StreamEnd::DeadlinePassed,
    };
    match end {
        StreamEnd::Complete(usage, last) => {
            api.requests.crashes.record_success(&choice, || fingerprint.into());
            settle_and_bill(api, settlement, usage).await;
            send_end(&chunks, last).await;
        }
        StreamEnd::CallerDisconnected => cancel_and_bill(api, settlement, &choice, &run_id).await,
        StreamEnd::DeadlinePassed => {
            cancel_and_bill(api, settlement, &choice, &run_id).await;
            send_error(&chunks, &deadline_response()).await;
        }
        StreamEnd::Cancelled | StreamEnd::ServerLost => {
            open_request.record_failure();
            // After a protocol violation the server may be running: the crash check finds that out.
            api.requests.crashes.record_disconnect(&choice, fingerprint.into());
            finish_unknown(api, settlement);
            send_error(&chunks, &server_lost_response()).await;
        }
    }
    drop(open_request);
}

/// Sends the withheld end of a stream. A caller that has disconnected since, or has stopped
/// reading, is billed for the complete run.
async fn send_end(chunks: &mpsc::Sender<Bytes>, last: Bytes) {
    let sending = async {
        chunks.send(last).await?;
        chunks.send(Bytes::from_static(END_EVENT)).await
    };
    let _unread = tokio::time::timeout(END_SEND_TIMEOUT, sending).await;
}

async fn send_error(chunks: &mpsc::Sender<Bytes>, error: &ErrorResponse) {
    let event = Bytes::from(format!("data: {}\n\n", error.body()));
    // Fails if the caller has disconnected or does not read; no response is needed then.
    let _unread = tokio::time::timeout(END_SEND_TIMEOUT, chunks.send(event)).await;
}

fn server_lost_response() -> ErrorResponse {
    let message = "the server broke off; retry with the same idempotency key";
    ErrorResponse::unknown("server_lost", message).retry_after(RETRY_UNKNOWN_MS)
}

/// Cancels and bills a run that was interrupted before its response began. Returns the response
/// for the caller if it is still connected.
pub async fn abort_interrupted(
    api: &Arc<Api>,
    log: Logger,
    budget: Name,
    run_id: &str,
    interrupted: Interrupted,
) -> ErrorResponse {
    let Interrupted { attempt, choice, open_request } = interrupted;
    let settlement = Settlement { log, budget, attempt, attached: false };
    cancel_and_bill(api, settlement, &choice, run_id).await;
    drop(open_request);
    deadline_response()
}

fn deadline_response() -> ErrorResponse {
    ErrorResponse::unknown("deadline", "the route's deadline has passed")
}

/// Receives a complete response, settles and bills the attempt, then delivers the response to the
/// caller through `tx`.
pub async fn deliver_complete(
    api: &Arc<Api>,
    run: Run,
    mut tx: oneshot::Sender<Result<ResponseBody, ErrorResponse>>,
    deadline: Millis,
) {
    let Run { log, budget, run_id, answered, .. } = run;
    let AnsweredAttempt { attempt, choice, res, mut open_request, fingerprint } = answered;
    let settlement = Settlement { log, budget, attempt, attached: is_attached(&res) };
    let body = tokio::select! {
        body = backend::read_body(api, res) => body,
        () = tx.closed() => return cancel_and_bill(api, settlement, &choice, &run_id).await,
        () = api.requests.base.clock.sleep_until(deadline) => {
            cancel_and_bill(api, settlement, &choice, &run_id).await;
            // Fails if the caller has disconnected; no response is needed then.
            let _gone = tx.send(Err(deadline_response()));
            return;
        }
    };
    let parsed = body.as_ref().map(|body| serde_json::from_slice::<CompleteResponse>(body).ok());
    let response = parsed.ok().flatten();
    let cancelled = |response: &CompleteResponse| {
        response.choices.iter().any(|choice| choice.finish_reason.as_deref() == Some("cancelled"))
    };
    match (response, body) {
        (Some(response), Ok(body)) if response.id == run_id && !cancelled(&response) => {
            api.requests.crashes.record_success(&choice, || fingerprint.into());
            settle_and_bill(api, settlement, response.usage).await;
            // Fails if the caller has just disconnected; it is billed for the complete run.
            let _gone = tx.send(Ok(ResponseBody::Complete(body)));
        }
        (_, body) => {
            open_request.record_failure();
            if body == Err(BodyError::Broken) {
                api.requests.crashes.record_disconnect(&choice, fingerprint.into());
            }
            finish_unknown(api, settlement);
            // Fails if the caller has disconnected; no response is needed then.
            let _gone = tx.send(Err(server_lost_response()));
        }
    }
}

/// Relays the chunks of a stream to the caller and resumes the stream after interruptions.
struct StreamRelay<'a> {
    api: &'a Arc<Api>,
    log: &'a Logger,
    choice: &'a bankcove_core::router::Choice,
    model: &'a str,
    run_id: &'a str,
    max_tokens: Tokens,
    sequence: ChunkSequence,
    chunks: &'a mpsc::Sender<Bytes>,
}

/// Action to take after an event.
enum EventAction {
    Continue,
    Resume,
    End(StreamEnd),
}

impl StreamRelay<'_> {
    /// Relays the stream, across resumed connections, until it ends.
    async fn relay(&mut self, first: Response) -> StreamEnd {
        let mut res = Some(first);
        let mut tries = 0;
        loop {
            let before = self.sequence.next();
            if let Some(res) = res.take()
                && let Some(end) = self.relay_connection(res).await
            {
                return end;
            }
            tries = if self.sequence.next() > before { 1 } else { tries + 1 };
            if tries > MAX_RESUME_TRIES {
                return StreamEnd::ServerLost;
            }
            tokio::time::sleep(RESUME_PAUSE * tries).await;
            slog::info!(self.log, "stream resumed"; "offset" => self.sequence.next());
            let offset = self.sequence.next();
            let hints = &self.api.requests.hints;
            let permit = match hints
                .acquire_permit(self.log, self.choice.clone(), Purpose::RunningWork, 0, 0)
                .await
            {
                Ok(permit) => permit,
                Err(no_permit) => {
                    // The run continues on the server, which keeps its output.
                    let wait = match no_permit {
                        NoPermit::AtLimit(at_limit) => at_limit.first_ms,
                        NoPermit::Full(full) => full.first_ms,
                        NoPermit::Closed(Closed::Resting { left_ms }) => left_ms,
                        // A server that is shutting down accepts no request for the rest of the
                        // stream.
                        NoPermit::Closed(Closed::Leaving | Closed::Unlisted) => {
                            return StreamEnd::ServerLost;
                        }
                    };
                    tokio::time::sleep(Duration::from_millis(wait).min(MAX_PERMIT_WAIT)).await;
                    continue;
                }
            };
            res = backend::resume_stream(self.api, permit, self.run_id, self.model, offset).await;
        }
    }

    /// Relays the chunks of one connection. Returns `None` if the stream has to be resumed.
    async fn relay_connection(&mut self, mut res: Response) -> Option<StreamEnd> {
        let mut splitter = EventSplitter::default();
        let mut gathering = Gathering::new(&self.api.requests.gather_memory);
        loop {
            let data = tokio::select! {
                data = res.chunk() => data,
                () = self.chunks.closed() => return Some(StreamEnd::CallerDisconnected),
            };
            let Ok(Some(data)) = data else { return None };
            splitter.push(&data);
            while let Some(event) = splitter.next_event() {
                match self.process_event(event).await {
                    EventAction::Continue => {}
                    EventAction::Resume => return None,
                    EventAction::End(end) => return Some(end),
                }
            }
            gathering.resize(splitter.incomplete_len()).await;
        }
    }

    /// Delivers the chunk of an event if it is the next one of this run.
    async fn process_event(&mut self, event: Event) -> EventAction {
        let (chunk, raw) = match event {
            Event::Chunk(chunk, raw) => (chunk, raw),
            // The last chunk precedes the end event and has already ended the loop.
            Event::End | Event::Malformed => return EventAction::Resume,
        };
        let offset = chunk.offset.unwrap_or(self.sequence.next());
        match self.sequence.accept(&chunk.id, offset) {
            ChunkAction::Deliver => self.deliver(&chunk, raw).await,
            ChunkAction::Duplicate => EventAction::Continue,
            ChunkAction::Gap => EventAction::Resume,
            ChunkAction::WrongRun => {
                slog::warn!(self.log, "dropped chunk of another run"; "offset" => offset);
                EventAction::Continue
            }
        }
    }

    /// Sends a chunk to the caller, unless it ends the stream.
    async fn deliver(&mut self, chunk: &Chunk, raw: Bytes) -> EventAction {
        if chunk.is_cancelled() {
            return EventAction::End(StreamEnd::Cancelled);
        }
        if chunk.is_last() {
            let Some(usage) = chunk.usage else { return EventAction::End(StreamEnd::ServerLost) };
            return EventAction::End(StreamEnd::Complete(usage, raw));
        }
        if self.sequence.next() > self.max_tokens {
            // The server has generated more tokens than requested and reserved.
            return EventAction::End(StreamEnd::ServerLost);
        }
        match self.chunks.send(raw).await {
            Ok(()) => EventAction::Continue,
            Err(_) => EventAction::End(StreamEnd::CallerDisconnected),
        }
    }
}

/// Settles the reservation and bills the request.
async fn settle_and_bill(api: &Arc<Api>, settlement: Settlement, usage: Usage) {
    let tokens = usage.prompt_tokens + usage.completion_tokens;
    // A run that another attempt started is paid for by the reservation of that attempt.
    let spent = if settlement.attached { 0 } else { tokens };
    let request = settlement.attempt.request;
    let attempt = settlement.attempt.id;
    if tokens > settlement.attempt.max_cost() {
        slog::error!(settlement.log, "engine reported more tokens than the limit"; "tokens" => tokens);
    }
    let _finished = settlement.attempt.finish(&mut api.requests.budgets.holder(), Some(spent));
    let bill = Bill {
        request,
        attempt,
        budget: settlement.budget,
        prompt_tokens: usage.prompt_tokens,
        output_tokens: usage.completion_tokens,
    };
    let billed = bills::bill(&api.billing, bill).await;
    if billed == Billed::Repeat {
        api.requests.base.metrics.count("bill.repeat");
    }
    api.requests.base.metrics.count("request.done");
    slog::info!(settlement.log, "done"; "tokens" => tokens, "bill" => ?billed);
}

/// Cancels a run whose caller no longer waits for it, and bills the tokens used.
async fn cancel_and_bill(
    api: &Arc<Api>,
    settlement: Settlement,
    choice: &bankcove_core::router::Choice,
    run_id: &str,
) {
    api.requests.base.metrics.count("request.cancelled");
    match backend::cancel_run(api, choice, run_id).await {
        Some(run) => {
            let usage =
                Usage { prompt_tokens: run.prompt_tokens, completion_tokens: run.output_tokens };
            settle_and_bill(api, settlement, usage).await;
        }
        None => finish_unknown(api, settlement),
    }
}

/// Ends an attempt of unknown cost: the whole reservation counts as spent, or nothing if another
/// attempt pays for the run.
fn finish_unknown(api: &Arc<Api>, settlement: Settlement) {
    api.requests.base.metrics.count("request.unknown");
    slog::warn!(settlement.log, "outcome unknown");
    let used = settlement.attached.then_some(0);
    let _finished = settlement.attempt.finish(&mut api.requests.budgets.holder(), used);
}
