//! Reservation of one request on the network link of this host.

use std::sync::Arc;

use bankcove_core::link::Traffic;
use bankcove_ports::wire::RequestHead;

use crate::entry::Entry;
use crate::entry::plan::Plan;

/// Expected size of an event, in bytes: events of the deployed services have about 75, plus the
/// length of their HTTP chunk.
const EVENT_BYTES: u64 = 90;

/// Ratio of the maximum number of events of a request to the expected one: streams of the deployed
/// services have 42 on average and 124 at most.
const MAX_TO_EXPECTED_EVENTS: u64 = 2;

/// Size of the heads of a request and of its answer, in bytes.
const HEAD_BYTES: u64 = 700;

/// Expected size of an answer that is not streamed, in bytes.
const ANSWER_BYTES: u64 = 1_000;

/// Traffic reserved for one request. On drop the reservation is replaced by the traffic sent.
pub struct LinkReservation {
    entry: Arc<Entry>,
    expected: Traffic,
    sent: Traffic,
}

impl LinkReservation {
    /// Reserves the expected traffic of a request with a body of `body_bytes`, which need not be
    /// read yet. Returns `None` if too much is reserved already for a request of its priority.
    pub fn reserve(
        entry: &Arc<Entry>,
        plan: &Plan,
        request_head: &RequestHead,
        body_bytes: usize,
    ) -> Option<Self> {
        let expected = expected_traffic(plan, request_head, body_bytes);
        let rank = plan.urgency().rank;
        let now = entry.requests.base.clock.now();
        let mut link = entry.link.lock();
        let is_reserved = link.as_mut().is_none_or(|link| link.reserve(expected, rank, now));
        drop(link);
        // The body arrives in any case: by the time of a refusal most of it is on its way.
        let arriving = body_bytes as u64 + HEAD_BYTES;
        entry.record_passed(Traffic { bytes: arriving, chunks: 1, ..Traffic::default() });
        let entry = Arc::clone(entry);
        is_reserved.then(|| LinkReservation { entry, expected, sent: Traffic::default() })
    }

    /// Records the body of the request as sent.
    pub fn record_body(&mut self, bytes: usize) {
        self.sent.body_bytes += bytes as u64;
        self.sent.add(bytes);
    }

    /// Records a chunk of the answer as received and sent.
    pub fn record_chunk(&mut self, bytes: usize) {
        self.sent.add(bytes);
        let bytes = bytes as u64;
        self.entry.record_passed(Traffic { bytes, chunks: 1, ..Traffic::default() });
    }

    /// Records the heads of a request and of its answer.
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

/// Returns the traffic that a request and its answer are expected to send.
fn expected_traffic(plan: &Plan, request_head: &RequestHead, body_bytes: usize) -> Traffic {
    let events = request_head
        .prompt
        .as_ref()
        .map(|prompt| plan.max_events(prompt).div_ceil(MAX_TO_EXPECTED_EVENTS));
    let answer_bytes = events.map_or(ANSWER_BYTES, |events| events * EVENT_BYTES);
    let bytes = body_bytes as u64 + HEAD_BYTES + answer_bytes;
    Traffic { body_bytes: body_bytes as u64, bytes, chunks: 2 + events.unwrap_or(1) }
}
