//! Bounds for what a server sends in a stream of events.
//!
//! A request pays for a number of events at most, and what comes between two of them (comments,
//! repeated events, an event that is not complete) brings nothing.

use crate::events::MAX_EVENT_BYTES;

/// Maximum amount received between two events, in bytes: a largest one, and as much that brings
/// nothing.
const MAX_IDLE_BYTES: usize = 2 * MAX_EVENT_BYTES;

/// Amount that a read from a server counts in addition to its bytes: one of a single byte takes as much
/// time, and some of it is the framing of a chunk.
pub const READ_COST_BYTES: usize = 64;

/// What was received of one stream, which several servers may continue.
#[derive(Debug, Clone, Copy)]
pub struct StreamBounds {
    /// Events that may still be delivered; none if the request doesn't name a maximum.
    events_left: Option<u64>,
    /// Events that may be delivered beyond them: the first event of each server may hold fewer tokens than
    /// the others.
    partial_events_left: u64,
    partial_events_per_server: u64,
    idle_bytes: usize,
}

impl StreamBounds {
    /// Creates the bounds of a stream of which nothing was received, with the number of its events if all
    /// are full, and whether they may be partial.
    pub fn new(max_events: Option<u64>, may_be_partial: bool) -> Self {
        let partial_events = u64::from(may_be_partial);
        StreamBounds {
            events_left: max_events,
            partial_events_left: partial_events,
            partial_events_per_server: partial_events,
            idle_bytes: 0,
        }
    }

    /// Records a read of this many bytes.
    pub fn record_read(&mut self, bytes: usize) {
        self.idle_bytes += bytes + READ_COST_BYTES;
    }

    /// Takes an event that is about to be delivered; returns whether it may be.
    pub fn take_event(&mut self) -> bool {
        self.idle_bytes = 0;
        if let Some(left) = &mut self.events_left {
            let Some(rest) = left.checked_sub(1) else { return false };
            *left = rest;
        }
        true
    }

    /// Takes an event beyond those that full ones would be; returns whether it may be delivered once its
    /// tokens are reserved.
    pub fn take_partial_event(&mut self) -> bool {
        let Some(rest) = self.partial_events_left.checked_sub(1) else { return false };
        self.partial_events_left = rest;
        true
    }

    /// Returns whether too much was received since the last event.
    pub fn is_idle(&self) -> bool {
        self.idle_bytes > MAX_IDLE_BYTES
    }

    /// Records that another server continues the stream.
    pub fn restart(&mut self) {
        self.partial_events_left += self.partial_events_per_server;
        self.idle_bytes = 0;
    }
}
