//! A stream of events on its way to the caller.
//!
//! Only whole events are passed on, in order, each once. When a server breaks
//! off and the route allows it, the stream goes on at another server after the
//! last event that the caller has.

use std::io;
use std::time::Duration;

use bankcove_core::events::{EventAction, EventSequence, EventSplitter};
use bankcove_core::router::Choice;
use bytes::{Bytes, BytesMut};
use futures::Stream;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming as Body;
use salvo::http::StatusCode;

use crate::crashes;
use crate::entry::attempt::{Tried, attempt, log_end, log_try};
use crate::entry::call::Call;
use crate::entry::charge::Charge;
use crate::entry::pace::Pace;
use crate::requests::open_request::OpenRequest;

/// A stream of events on its way to the caller.
pub struct Relay {
    call: Call,
    charge: Charge,
    body: Body,
    /// Whether the answer tells its own end.
    is_framed: bool,
    open: OpenRequest,
    choice: Choice,
    splitter: EventSplitter,
    order: EventSequence,
    pace: Pace,
}

/// What one read of the server's stream has brought.
enum Read {
    Events(Bytes),
    End,
    Broken(&'static str),
    Late,
}

impl Relay {
    /// A stream whose head has come.
    pub fn new(
        call: Call,
        charge: Charge,
        res: Response<Body>,
        open: OpenRequest,
        choice: Choice,
    ) -> Self {
        let is_framed = crashes::is_framed(res.headers());
        let body = res.into_body();
        let order = EventSequence::after(call.incoming.resume_after);
        let pace = Pace::since(Duration::from_millis(call.age_ms()));
        let splitter = EventSplitter::default();
        Relay { call, charge, body, is_framed, open, choice, splitter, order, pace }
    }

    /// The events as the body of an answer. An error breaks the answer off, so
    /// that it does not look whole.
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

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            let problem = match self.read().await {
                Read::Events(events) => return Some(Ok(events)),
                Read::End => {
                    self.charge.whole();
                    let requests = &self.call.entry.requests;
                    let request = || self.call.fingerprint();
                    requests.crashes.ended(&self.choice, self.is_framed, request);
                    self.tell_pace();
                    log_end(&self.call, &self.charge, "stream ended", StatusCode::OK);
                    return None;
                }
                Read::Late => {
                    self.open.failed();
                    return Some(Err(self.break_off("the time is over")));
                }
                Read::Broken(problem) => problem,
            };
            self.open.failed();
            log_try(&self.call, &self.choice, problem);
            self.call.entry.requests.crashes.broke_off(&self.choice, self.call.fingerprint());
            if !self.resume().await {
                return Some(Err(self.break_off(problem)));
            }
        }
    }

    /// Reads until there is a whole event, or the stream has ended in some way.
    async fn read(&mut self) -> Read {
        loop {
            let clock = &self.call.entry.requests.base.clock;
            let frame = match clock.timeout_at(self.call.deadline, self.body.frame()).await {
                None => return Read::Late,
                Some(None) if self.splitter.is_empty() => return Read::End,
                Some(None) => return Read::Broken("the stream ended within an event"),
                Some(Some(Err(_))) => return Read::Broken("the stream broke off"),
                Some(Some(Ok(frame))) => frame,
            };
            let Ok(data) = frame.into_data() else { continue };
            self.splitter.push(&data);
            match self.take_events() {
                Err(problem) => return Read::Broken(problem),
                Ok(events) if events.is_empty() => {}
                Ok(events) => {
                    self.pace.event();
                    self.open.begun();
                    self.call.link.sent(events.len());
                    return Read::Events(events);
                }
            }
        }
    }

    fn take_events(&mut self) -> Result<Bytes, &'static str> {
        let mut out = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            match self.order.accept(event.id) {
                EventAction::Deliver => {
                    self.charge.event();
                    out.extend_from_slice(&event.raw);
                }
                EventAction::Duplicate => {}
                // What came before the gap is handed on first.
                EventAction::Gap if out.is_empty() => return Err("an event is missing"),
                EventAction::Gap => break,
            }
        }
        Ok(out.freeze())
    }

    /// Goes on at another server, after the last event that the caller has.
    async fn resume(&mut self) -> bool {
        if !self.call.plan.route.resumable {
            return false;
        }
        while self.call.may_send() {
            let Ok(permit) = self.call.next_server().await else { return false };
            let after = self.order.last();
            match attempt(&mut self.call, &mut self.charge, permit, after).await {
                Tried::Begun(res, open, choice) => {
                    slog::info!(self.call.log, "stream resumed";
                        "server" => %choice.server, "after" => after);
                    self.call.entry.requests.base.metrics.count("stream.resumed");
                    self.is_framed = crashes::is_framed(res.headers());
                    self.body = res.into_body();
                    self.open = open;
                    self.choice = choice;
                    self.splitter = EventSplitter::default();
                    return true;
                }
                Tried::Unrun | Tried::Lost => {}
                Tried::Answered(_) | Tried::Late => return false,
            }
        }
        false
    }

    /// Tells how the stream came: late by its first event, or by a pause.
    fn tell_pace(&self) {
        let requests = &self.call.entry.requests;
        if let Some(pace) = self.pace.of_server() {
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
            "first_ms" => first_ms, "longest_pause_ms" => pause_ms,
            "prompt_tokens" => self.call.incoming.prompt.as_ref().map(|prompt| prompt.input_tokens));
    }

    fn break_off(&self, problem: &'static str) -> io::Error {
        self.call.entry.requests.base.metrics.count("stream.broken_off");
        slog::warn!(self.call.log, "stream broken off";
            "fingerprint" => %self.call.fingerprint(),
            "problem" => problem, "after" => self.order.last(), "server" => %self.choice.server,
            "sent" => self.call.sent, "tokens" => self.charge.tokens(),
            "age_ms" => self.call.age_ms());
        io::Error::other(problem)
    }
}
