//! Carries an answer from a backend server to its caller, then accounts for it.
//!
//! The end of an answer is held back until its bill is safe. A stream that
//! breaks is resumed at the same server; a caller that goes away cancels its
//! run and is billed for what ran.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::bill::Bill;
use bankcove_core::hints::Closed;
use bankcove_core::lifecycle::{Attempt, Dispatched};
use bankcove_core::stream::{ChunkSequence, SequenceCheck};
use bankcove_core::{Millis, Name, Tokens};
use bytes::Bytes;
use reqwest::Response;
use serde::Deserialize;
use slog::Logger;
use tokio::sync::{mpsc, oneshot};

use crate::api::Api;
use crate::api::backend;
use crate::api::placement::{Interrupted, Placed};
use crate::api::response::{ErrorResponse, ResponseBody};
use crate::api::sse::{Chunk, Event, EventSplitter, Usage};
use crate::bill::bills::{self, Billed};
use crate::hints::permit::NoPermit;

/// Text that ends a stream.
const END: &[u8] = b"data: [DONE]\n\n";

/// Tries to resume a stream without any new piece between them.
const RESUME_TRIES: u32 = 3;

/// Pause before a stream is resumed, longer with each try that brought nothing.
const RESUME_PAUSE: Duration = Duration::from_millis(10);

/// Longest wait for a permit before a stream's next try to resume.
const LONGEST_PERMIT_WAIT: Duration = Duration::from_secs(1);

/// How long the end of an answer waits for a caller that does not read.
const END_PATIENCE: Duration = Duration::from_secs(5);

/// When to come back after an unknown outcome.
const RETRY_UNKNOWN_MS: u64 = 500;

/// A run at an engine.
pub struct Run {
    /// The attempt's logger.
    pub log: Logger,
    /// The budget that pays.
    pub budget: Name,
    /// The model.
    pub model: String,
    /// Name of the run.
    pub run_id: String,
    /// Output limit.
    pub max_tokens: Tokens,
    /// Whether the caller wants pieces.
    pub stream: bool,
    /// Where it runs.
    pub placed: Placed,
}

/// What remains to be accounted for once the answer has been carried.
struct Account {
    log: Logger,
    budget: Name,
    attempt: Attempt<Dispatched>,
    /// Whether the run was begun, and so paid for, by another attempt.
    attached: bool,
}

/// How the carrying of a stream ended.
enum Ending {
    /// The last piece has come.
    Last(Usage, Bytes),
    /// The run was cancelled by another attempt.
    Cancelled,
    /// The caller has gone.
    CallerGone,
    /// The deadline has passed.
    Late,
    /// The server has broken off and can't be resumed, or does not keep to
    /// its own protocol.
    ServerLost,
}

#[derive(Deserialize)]
struct WholeAnswer {
    id: String,
    usage: Usage,
    #[serde(default)]
    choices: Vec<crate::api::sse::Choice>,
}

fn is_attached(res: &Response) -> bool {
    res.headers().get("x-run").is_some_and(|value| value == "attached")
}

/// Carries a stream to its caller.
pub async fn deliver_stream(
    api: &Arc<Api>,
    run: Run,
    pieces: mpsc::Sender<Bytes>,
    deadline: Millis,
) {
    let Run { log, budget, model, run_id, max_tokens, placed, .. } = run;
    let Placed { attempt, choice, res, mut open, fingerprint } = placed;
    let account = Account { log, budget, attempt, attached: is_attached(&res) };
    let mut carrier = Carrier {
        api,
        log: &account.log,
        choice: &choice,
        model: &model,
        run_id: &run_id,
        max_tokens,
        sequence: ChunkSequence::new(run_id.clone()),
        pieces: &pieces,
    };
    let ending = tokio::select! {
        ending = carrier.carry(res) => ending,
        () = api.requests.base.clock.sleep_until(deadline) => Ending::Late,
    };
    match ending {
        Ending::Last(usage, last) => {
            api.requests.crashes.succeeded(|| fingerprint);
            settle_and_bill(api, account, usage).await;
            send_end(&pieces, last).await;
        }
        Ending::CallerGone => cancel_and_bill(api, account, &choice, &run_id).await,
        Ending::Late => {
            cancel_and_bill(api, account, &choice, &run_id).await;
            send_problem(&pieces, &late()).await;
        }
        Ending::Cancelled | Ending::ServerLost => {
            open.record_failure();
            // A server that did not keep to its protocol is there, which is found out.
            api.requests.crashes.broke_off(&choice, fingerprint);
            give_up(api, account);
            send_problem(&pieces, &server_lost()).await;
        }
    }
    drop(open);
}

/// Sends the held-back end of an answer. A caller that went away only now, or
/// does not read on, has been billed for a whole run.
async fn send_end(pieces: &mpsc::Sender<Bytes>, last: Bytes) {
    let sending = async {
        pieces.send(last).await?;
        pieces.send(Bytes::from_static(END)).await
    };
    let _unread = tokio::time::timeout(END_PATIENCE, sending).await;
}

async fn send_problem(pieces: &mpsc::Sender<Bytes>, problem: &ErrorResponse) {
    let event = Bytes::from(format!("data: {}\n\n", problem.body()));
    // A caller that went away, or does not read, needs no answer.
    let _unread = tokio::time::timeout(END_PATIENCE, pieces.send(event)).await;
}

fn server_lost() -> ErrorResponse {
    let message = "the server broke off; retry with the same idempotency key";
    ErrorResponse::unknown("server_lost", message).retry_after(RETRY_UNKNOWN_MS)
}

/// Ends a run that was given up before its answer began; returns what the
/// caller is told, if it still listens.
pub async fn abort_interrupted(
    api: &Arc<Api>,
    log: Logger,
    budget: Name,
    run_id: &str,
    interrupted: Interrupted,
) -> ErrorResponse {
    let Interrupted { attempt, choice, open } = interrupted;
    let account = Account { log, budget, attempt, attached: false };
    cancel_and_bill(api, account, &choice, run_id).await;
    drop(open);
    late()
}

fn late() -> ErrorResponse {
    ErrorResponse::unknown("deadline", "the route's deadline has passed")
}

/// Carries a whole answer to its caller.
pub async fn deliver_complete(
    api: &Arc<Api>,
    run: Run,
    mut tx: oneshot::Sender<Result<ResponseBody, ErrorResponse>>,
    deadline: Millis,
) {
    let Run { log, budget, run_id, placed, .. } = run;
    let Placed { attempt, choice, res, mut open, fingerprint } = placed;
    let account = Account { log, budget, attempt, attached: is_attached(&res) };
    let body = tokio::select! {
        body = res.bytes() => body.ok(),
        () = tx.closed() => return cancel_and_bill(api, account, &choice, &run_id).await,
        () = api.requests.base.clock.sleep_until(deadline) => {
            cancel_and_bill(api, account, &choice, &run_id).await;
            // A caller that went away needs no answer.
            let _gone = tx.send(Err(late()));
            return;
        }
    };
    let answer = body.as_ref().and_then(|body| serde_json::from_slice::<WholeAnswer>(body).ok());
    let cancelled = |answer: &WholeAnswer| {
        answer.choices.iter().any(|choice| choice.finish_reason.as_deref() == Some("cancelled"))
    };
    match (answer, body) {
        (Some(answer), Some(body)) if answer.id == run_id && !cancelled(&answer) => {
            api.requests.crashes.succeeded(|| fingerprint);
            settle_and_bill(api, account, answer.usage).await;
            // A caller that went away only now has been billed for a whole run.
            let _gone = tx.send(Ok(ResponseBody::Complete(body)));
        }
        _ => {
            open.record_failure();
            api.requests.crashes.broke_off(&choice, fingerprint);
            give_up(api, account);
            // A caller that went away needs no answer.
            let _gone = tx.send(Err(server_lost()));
        }
    }
}

struct Carrier<'a> {
    api: &'a Arc<Api>,
    log: &'a Logger,
    choice: &'a bankcove_core::router::Choice,
    model: &'a str,
    run_id: &'a str,
    max_tokens: Tokens,
    sequence: ChunkSequence,
    pieces: &'a mpsc::Sender<Bytes>,
}

/// What became of one event.
enum Step {
    GoOn,
    Resume,
    End(Ending),
}

impl Carrier<'_> {
    async fn carry(&mut self, first: Response) -> Ending {
        let mut res = Some(first);
        let mut tries = 0;
        loop {
            let before = self.sequence.next();
            if let Some(res) = res.take()
                && let Some(ending) = self.carry_connection(res).await
            {
                return ending;
            }
            tries = if self.sequence.next() > before { 1 } else { tries + 1 };
            if tries > RESUME_TRIES {
                return Ending::ServerLost;
            }
            tokio::time::sleep(RESUME_PAUSE * tries).await;
            slog::info!(self.log, "stream resumed"; "offset" => self.sequence.next());
            let offset = self.sequence.next();
            let hints = &self.api.requests.hints;
            let permit = match hints.permit(self.log, self.choice.clone(), 0).await {
                Ok(permit) => permit,
                Err(no_permit) => {
                    // The run goes on there, and what it makes is kept.
                    let wait = match no_permit {
                        NoPermit::AtLimit(at_limit) => at_limit.first_ms,
                        NoPermit::Closed(Closed::Resting { left_ms }) => left_ms,
                        // A server that leaves takes no request for the rest of the stream.
                        NoPermit::Closed(Closed::Leaving) => return Ending::ServerLost,
                    };
                    tokio::time::sleep(Duration::from_millis(wait).min(LONGEST_PERMIT_WAIT)).await;
                    continue;
                }
            };
            res = backend::resume_stream(self.api, permit, self.run_id, self.model, offset).await;
        }
    }

    /// Carries one connection; none when the stream has to be resumed.
    async fn carry_connection(&mut self, mut res: Response) -> Option<Ending> {
        let mut splitter = EventSplitter::default();
        loop {
            let chunk = tokio::select! {
                chunk = res.chunk() => chunk,
                () = self.pieces.closed() => return Some(Ending::CallerGone),
            };
            let Ok(Some(chunk)) = chunk else { return None };
            splitter.push(&chunk);
            while let Some(event) = splitter.next_event() {
                match self.take(event).await {
                    Step::GoOn => {}
                    Step::Resume => return None,
                    Step::End(ending) => return Some(ending),
                }
            }
        }
    }

    async fn take(&mut self, event: Event) -> Step {
        let (piece, raw) = match event {
            Event::Chunk(piece, raw) => (piece, raw),
            // The last piece comes before the end mark and has ended the loop.
            Event::End | Event::Unreadable => return Step::Resume,
        };
        let offset = piece.offset.unwrap_or(self.sequence.next());
        match self.sequence.accept(&piece.id, offset) {
            SequenceCheck::Deliver => self.deliver(&piece, raw).await,
            SequenceCheck::Duplicate => Step::GoOn,
            SequenceCheck::Gap => Step::Resume,
            SequenceCheck::WrongRun => {
                slog::warn!(self.log, "foreign piece dropped"; "offset" => offset);
                Step::GoOn
            }
        }
    }

    async fn deliver(&mut self, piece: &Chunk, raw: Bytes) -> Step {
        if piece.is_cancelled() {
            return Step::End(Ending::Cancelled);
        }
        if piece.is_last() {
            let Some(usage) = piece.usage else { return Step::End(Ending::ServerLost) };
            return Step::End(Ending::Last(usage, raw));
        }
        if self.sequence.next() > self.max_tokens {
            // More than was asked for, and more than is paid for.
            return Step::End(Ending::ServerLost);
        }
        match self.pieces.send(raw).await {
            Ok(()) => Step::GoOn,
            Err(_) => Step::End(Ending::CallerGone),
        }
    }
}

/// Settles the reservation, then has the request billed.
async fn settle_and_bill(api: &Arc<Api>, account: Account, usage: Usage) {
    let tokens = usage.prompt_tokens + usage.completion_tokens;
    // A run that another attempt began is paid for by that attempt's grant.
    let spent = if account.attached { 0 } else { tokens };
    let request = account.attempt.request;
    let attempt = account.attempt.id;
    if tokens > account.attempt.limit() {
        slog::error!(account.log, "the engine says more than the limit"; "tokens" => tokens);
    }
    let _finished = account.attempt.finish(&mut api.requests.budgets.holder(), Some(spent));
    let bill = Bill {
        request,
        attempt,
        budget: account.budget,
        prompt_tokens: usage.prompt_tokens,
        output_tokens: usage.completion_tokens,
    };
    let billed = bills::bill(&api.billing, bill).await;
    if billed == Billed::Repeat {
        api.requests.base.metrics.count("bill.repeat");
    }
    api.requests.base.metrics.count("request.done");
    slog::info!(account.log, "done"; "tokens" => tokens, "bill" => ?billed);
}

/// Ends a run that nobody waits for, and bills what ran.
async fn cancel_and_bill(
    api: &Arc<Api>,
    account: Account,
    choice: &bankcove_core::router::Choice,
    run_id: &str,
) {
    api.requests.base.metrics.count("request.cancelled");
    match backend::cancel_run(api, choice, run_id).await {
        Some(run) => {
            let usage =
                Usage { prompt_tokens: run.prompt_tokens, completion_tokens: run.output_tokens };
            settle_and_bill(api, account, usage).await;
        }
        None => give_up(api, account),
    }
}

/// What ran is not known: the whole reservation counts as spent.
fn give_up(api: &Arc<Api>, account: Account) {
    api.requests.base.metrics.count("request.unknown");
    slog::warn!(account.log, "outcome unknown");
    let used = account.attached.then_some(0);
    let _finished = account.attempt.finish(&mut api.requests.budgets.holder(), used);
}
