//! What one request sends over the link of this host.

use std::sync::Arc;

use bankcove_core::link::Traffic;
use bankcove_ports::wire::Incoming;

use crate::entry::Entry;
use crate::entry::plan::Plan;

/// Bytes of an event as it is expected: those of the users are some 75, and a
/// chunk's length goes with each.
const EVENT_BYTES: u64 = 90;

/// Of the events that a request allows at most, one in so many is expected: the
/// users' streams have 42 on the mean and 124 at most.
const EVENTS_ALLOWED_PER_EXPECTED: u64 = 2;

/// Bytes of the heads of a request and of its answer.
const HEAD_BYTES: u64 = 700;

/// Bytes of an answer that is no stream, as expected.
const ANSWER_BYTES: u64 = 1_000;

/// The promise of the link to one request; dropping it corrects it.
pub struct LinkReservation {
    entry: Arc<Entry>,
    expected: Traffic,
    sent: Traffic,
}

impl LinkReservation {
    /// Asks for a promise; none when the link is promised too far ahead.
    pub fn reserve(
        entry: &Arc<Entry>,
        plan: &Plan,
        incoming: &Incoming,
        body: usize,
    ) -> Option<Self> {
        let expected = expected(plan, incoming, body);
        let rank = plan.rank();
        let now = entry.requests.base.clock.now();
        let mut link = entry.link.lock();
        let is_promised = link.as_mut().is_none_or(|link| link.reserve(expected, rank, now));
        drop(link);
        let entry = Arc::clone(entry);
        is_promised.then(|| LinkReservation { entry, expected, sent: Traffic::default() })
    }

    /// A request or a piece of its answer was sent.
    pub fn record_chunk(&mut self, bytes: usize) {
        self.sent.add(bytes);
    }

    /// A head was sent.
    pub fn record_head(&mut self) {
        self.sent.add(HEAD_BYTES as usize);
    }
}

impl Drop for LinkReservation {
    fn drop(&mut self) {
        let now = self.entry.requests.base.clock.now();
        if let Some(link) = self.entry.link.lock().as_mut() {
            link.settle(self.expected, self.sent, now);
        }
    }
}

fn expected(plan: &Plan, incoming: &Incoming, body: usize) -> Traffic {
    let events = incoming.prompt.as_ref().map(|prompt| {
        let most = prompt.output_limit.div_ceil(plan.tokens_per_event.max(1));
        most.div_ceil(EVENTS_ALLOWED_PER_EXPECTED)
    });
    let answer = events.map_or(ANSWER_BYTES, |events| events * EVENT_BYTES);
    let bytes = body as u64 + HEAD_BYTES + answer;
    Traffic { bytes, chunks: 2 + events.unwrap_or(1) }
}
