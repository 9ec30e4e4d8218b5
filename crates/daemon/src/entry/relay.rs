//! Forwards a stream of events to the caller.
//!
//! Only complete events are forwarded, in order, each once. If the server disconnects and the route
//! allows it, the stream resumes on another server after the last event that the caller has.

use std::io;
use std::time::Duration;

use bankcove_core::Millis;
use bankcove_core::events::{EventAction, EventSequence, EventSplitter, EventTooLarge};
use bankcove_core::paths::Evidence;
use bankcove_core::router::Choice;
use bankcove_core::stream_bounds::StreamBounds;
use bankcove_core::stream_versions::Binding;
use bytes::{Bytes, BytesMut};
use futures::Stream;
use http_body_util::BodyExt;
use hyper::body::Incoming as Body;
use salvo::http::StatusCode;
use slog::Logger;

use crate::crashes;
use crate::entry::attempt::{
    AttemptOutcome, PATH_LOST, StartedStream, attempt, log_ended, log_failed_attempt,
};
use crate::entry::backend::is_malformed;
use crate::entry::call::Call;
use crate::entry::charge::Charge;
use crate::entry::outcome::RunState;
use crate::entry::pace::PaceMeter;
use crate::paths::contact::Contact;
use crate::requests::gathering::Gathering;
use crate::requests::open_request::OpenRequest;
use crate::requests::stream_versions::UntoldStream;

/// Time from the first event after which a stream has not crashed its server, in milliseconds.
const SURVIVED_MS: Millis = 1_000;

const ENDED_WITHIN_EVENT: &str = "the stream ended within an event";

/// Stream of events that is forwarded to the caller.
pub struct Relay {
    call: Call,
    charge: Charge,
    body: Body,
    /// Whether the answer's end is marked by its framing, not only by the end of the connection.
    is_framed: bool,
    open_request: OpenRequest,
    choice: Choice,
    contact: Contact,
    /// Whether a lost path to the server is a reason to resume the stream elsewhere.
    watches_path: bool,
    splitter: EventSplitter,
    /// Memory of the event that is not complete.
    gathering: Gathering,
    /// Why the stream is invalid after the events that were forwarded.
    invalid: Option<&'static str>,
    sequence: EventSequence,
    bounds: StreamBounds,
    /// Whether events were forwarded, so that the stream is bound to a version.
    is_bound: bool,
    untold: Option<UntoldStream>,
    /// When the first event of the current server was received.
    began_at: Option<Millis>,
    /// Whether that server has run the stream for [`SURVIVED_MS`] since.
    has_survived: bool,
    pace: PaceMeter,
}

/// Result of one read from the server's stream.
enum ReadResult {
    Events(Bytes),
    End,
    /// The connection has ended within the stream.
    Broken(&'static str),
    /// The server has sent something else than the events of the stream.
    Invalid(&'static str),
    PathLost,
    TimedOut,
}

impl Relay {
    /// Creates the relay of a stream whose head has been received.
    pub fn new(call: Call, charge: Charge, started: StartedStream) -> Self {
        let StartedStream { res, open_request, choice, contact } = started;
        let is_framed = crashes::is_framed(res.headers());
        let body = res.into_body();
        let sequence = EventSequence::after(call.request_head.resume_after);
        let prompt = call.request_head.prompt.as_ref();
        let max_events = prompt.map(|prompt| call.plan.max_events(prompt));
        let bounds = StreamBounds::new(max_events, call.plan.has_partial_events());
        let pace = PaceMeter::started_before(Duration::from_millis(call.age_ms()));
        let splitter = EventSplitter::default();
        let gathering = Gathering::new(&call.entry.requests.gather_memory);
        Relay {
            call,
            charge,
            body,
            is_framed,
            open_request,
            choice,
            contact,
            watches_path: true,
            splitter,
            gathering,
            invalid: None,
            sequence,
            bounds,
            is_bound: false,
            untold: None,
            began_at: None,
            has_survived: false,
            pace,
        }
    }

    /// Returns the log of the request.
    pub fn log(&self) -> &Logger {
        &self.call.log
    }

    /// Returns the events as the body of an answer. An error aborts the answer, so that it does not
    /// look complete.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> {
        futures::stream::unfold(Some(self), |relay| async {
            let mut relay = relay?;
            match relay.next().await {
                Some(Ok(events)) => Some((Ok(events), Some(relay))),
                Some(Err(e)) => Some((Err(e), None)),
                None => None,
            }
        })
    }

    /// Returns the next events, and resumes a broken stream if that is possible.
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let problem = match self.read().await {
                ReadResult::Events(events) => {
                    if !std::mem::replace(&mut self.is_bound, true) {
                        self.untold = self.call.bind(&self.choice).await;
                    }
                    return Some(Ok(events));
                }
                ReadResult::End => {
                    self.charge.record_complete();
                    self.open_request.record_answer(self.pace.mean_interval_ms());
                    let requests = &self.call.entry.requests;
                    let request = || self.call.identity();
                    requests.crashes.record_response_end(&self.choice, self.is_framed, request);
                    self.report_pace();
                    log_ended(&self.call, &self.charge, "stream ended", StatusCode::OK);
                    return None;
                }
                ReadResult::TimedOut => {
                    self.open_request.record_failure();
                    return Some(Err(self.abort("the time is over")));
                }
                ReadResult::PathLost => {
                    log_failed_attempt(&self.call, &self.choice, true, PATH_LOST);
                    // Otherwise the rest may still arrive when the path is back.
                    self.watches_path = self.resume().await;
                    continue;
                }
                ReadResult::Broken(problem) => {
                    self.contact.record_failure(Evidence::Broken);
                    let crashes = &self.call.entry.requests.crashes;
                    crashes.record_disconnect(&self.choice, self.call.identity());
                    problem
                }
                // The server has not crashed, and the path to it is not lost.
                ReadResult::Invalid(problem) => {
                    self.call.entry.requests.base.metrics.count("stream.invalid");
                    problem
                }
            };
            self.open_request.record_failure();
            log_failed_attempt(&self.call, &self.choice, true, problem);
            if !self.resume().await {
                return Some(Err(self.abort(problem)));
            }
        }
    }

    /// Reads until an event is complete, the stream ends or breaks, or the deadline passes.
    async fn read(&mut self) -> ReadResult {
        if let Some(problem) = self.invalid.take() {
            return ReadResult::Invalid(problem);
        }
        loop {
            let clock = &self.call.entry.requests.base.clock;
            let frame = clock.timeout_at(self.call.deadline, self.body.frame());
            let frame = tokio::select! {
                frame = frame => frame,
                () = self.contact.lost(), if self.watches_path => return ReadResult::PathLost,
            };
            let frame = match frame {
                None => return ReadResult::TimedOut,
                Some(None) if self.splitter.is_empty() => return ReadResult::End,
                Some(None) if self.is_framed => return ReadResult::Invalid(ENDED_WITHIN_EVENT),
                Some(None) => return ReadResult::Broken(ENDED_WITHIN_EVENT),
                Some(Some(Err(e))) if is_malformed(&e) => {
                    return ReadResult::Invalid("the stream is no HTTP message");
                }
                Some(Some(Err(_))) => return ReadResult::Broken("the stream broke off"),
                Some(Some(Ok(frame))) => frame,
            };
            self.contact.record_data();
            let Ok(data) = frame.into_data() else { continue };
            self.splitter.push(&data);
            self.bounds.record_read(data.len());
            match self.take_events() {
                Err(problem) => return ReadResult::Invalid(problem),
                Ok(events) if events.is_empty() => {
                    let gathered = self.gathering.resize(self.splitter.partial_bytes());
                    let clock = &self.call.entry.requests.base.clock;
                    if clock.timeout_at(self.call.deadline, gathered).await.is_none() {
                        return ReadResult::TimedOut;
                    }
                }
                Ok(events) => {
                    self.gathering.release();
                    self.pace.record_event();
                    self.record_survived();
                    self.open_request.record_prompt_read();
                    self.call.link.record_chunk(events.len());
                    return ReadResult::Events(events);
                }
            }
        }
    }

    /// Records that the server runs the stream for some time without a crash, once.
    fn record_survived(&mut self) {
        let now = self.call.entry.requests.base.clock.now();
        let since = *self.began_at.get_or_insert(now);
        if self.has_survived || now < since + SURVIVED_MS {
            return;
        }
        self.has_survived = true;
        self.call.entry.requests.crashes.record_survived(self.call.identity().parts);
    }

    /// Removes the complete events from the splitter; returns those that the caller does not have.
    fn take_events(&mut self) -> Result<Bytes, &'static str> {
        let mut out = BytesMut::new();
        loop {
            let event = match self.splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(EventTooLarge) => {
                    self.invalid = Some("an event is too large");
                    break;
                }
            };
            let before = self.sequence;
            match self.sequence.accept(event.id) {
                EventAction::Deliver if !event.has_content() => out.extend_from_slice(&event.raw),
                EventAction::Deliver if self.may_deliver() => {
                    self.charge.record_event();
                    out.extend_from_slice(&event.raw);
                }
                // The tokens for it are not reserved.
                EventAction::Deliver => {
                    self.sequence = before;
                    self.invalid = Some("there are more events than the request allows");
                    break;
                }
                EventAction::Duplicate => {}
                EventAction::Gap => {
                    self.invalid = Some("an event is missing");
                    break;
                }
            }
        }
        if self.bounds.is_idle() {
            self.invalid.get_or_insert("too much was received without an event");
        }
        // Events before the invalid one are delivered first.
        match self.invalid.take_if(|_| out.is_empty()) {
            Some(problem) => Err(problem),
            None => Ok(out.freeze()),
        }
    }

    /// Takes the next event, which is paid for; returns whether it may be delivered.
    fn may_deliver(&mut self) -> bool {
        self.bounds.take_event()
            || (self.bounds.take_partial_event() && self.charge.reserve_event())
    }

    /// Resumes the stream on another server, after the last event that the caller has; returns
    /// whether it did. Once the caller has events, only servers of their version are tried.
    async fn resume(&mut self) -> bool {
        if !self.call.plan.route.resumable || self.call.binding == Binding::Unknown {
            return false;
        }
        self.call.goal_since = self.call.entry.requests.base.clock.now();
        while self.call.entry.may_send() && self.call.try_claim_attempt() {
            let Ok(permit) = self.call.acquire_server().await else { return false };
            if self.call.is_held_back() {
                return false;
            }
            let last_event = self.sequence.last();
            let state = RunState::in_doubt();
            match attempt(&mut self.call, &mut self.charge, permit, last_event, state).await {
                AttemptOutcome::StreamStarted(started) => {
                    let StartedStream { res, open_request, choice, contact } = *started;
                    slog::info!(self.call.log, "stream resumed";
                        "server" => %choice.server, "version" => choice.version_text(),
                        "from_server" => %self.choice.server,
                        "from_version" => self.choice.version_text(), "after" => last_event);
                    self.call.entry.requests.base.metrics.count("stream.resumed");
                    self.is_framed = crashes::is_framed(res.headers());
                    self.body = res.into_body();
                    self.open_request = open_request;
                    self.choice = choice;
                    self.contact = contact;
                    self.splitter = EventSplitter::default();
                    self.gathering.release();
                    self.bounds.restart();
                    self.invalid = None;
                    (self.began_at, self.has_survived) = (None, false);
                    return true;
                }
                AttemptOutcome::NotRun(_)
                | AttemptOutcome::Full(_)
                | AttemptOutcome::AnswerLost(_) => {}
                AttemptOutcome::Answered(_)
                | AttemptOutcome::TimedOut(_)
                | AttemptOutcome::NotSentInTime(_) => return false,
            }
        }
        false
    }

    /// Reports the timing of the stream to the router, the metrics and the log.
    fn report_pace(&self) {
        let requests = &self.call.entry.requests;
        if let Some(pace) = self.pace.server_pace() {
            requests.router.lock().record_stream_pace(
                &self.choice.server,
                self.choice.started_ms,
                pace,
            );
        }
        let metrics = &requests.base.metrics;
        let (first_ms, pause_ms) = (self.pace.first_ms(), self.pace.longest_pause_ms());
        if let Some(first_ms) = first_ms {
            metrics.time("stream.first_ms", first_ms);
        }
        metrics.time("stream.pause_ms", pause_ms);
        slog::info!(self.call.log, "stream came";
            "route" => %self.call.plan.route.name, "server" => %self.choice.server,
            "version" => self.choice.version_text(),
            "first_ms" => first_ms, "longest_pause_ms" => pause_ms,
            "prompt_tokens" => self.call.request_head.prompt.as_ref().map(|prompt| prompt.input_tokens));
    }

    /// Logs and counts the aborted stream; returns the error that aborts the answer.
    fn abort(&self, problem: &'static str) -> io::Error {
        self.call.entry.requests.base.metrics.count("stream.broken_off");
        slog::warn!(self.call.log, "stream broken off";
            "fingerprint" => %self.call.fingerprint(), "parts" => self.call.parts_text(),
            "problem" => problem, "after" => self.sequence.last(), "server" => %self.choice.server,
            "version" => self.choice.version_text(), "sent" => self.call.attempts_sent, "tokens" => self.charge.tokens(),
            "age_ms" => self.call.age_ms());
        io::Error::other(problem)
    }
}
