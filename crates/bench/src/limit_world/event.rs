//! What happens in a simulated fleet, in order.

use bankcove_core::Millis;
use bankcove_core::limits::{Issued, LimitFact, LimitHeader, PermitRequest};

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Req {
    pub daemon: usize,
    pub first: usize,
    pub came: Millis,
    pub arrived: Millis,
    pub returns: u32,
    pub asks: usize,
}

/// What happens at a moment.
#[derive(Debug)]
pub enum Event {
    Caller,
    Request(Req),
    Choose(Req),
    Ask {
        from: usize,
        to: usize,
        server: usize,
        fact: LimitFact,
        wish: PermitRequest,
        asked_at: Millis,
        ask: u64,
    },
    Answer {
        server: usize,
        issued: Issued,
        is_free: bool,
        newer: Option<LimitFact>,
        asked_at: Millis,
        ask: u64,
    },
    Timeout {
        ask: u64,
        server: usize,
        peer: usize,
    },
    Head {
        daemon: usize,
        server: usize,
        asked_at: Millis,
        word: LimitHeader,
    },
    Told {
        to: usize,
        facts: Vec<LimitFact>,
        sent_at: Millis,
    },
    Beat {
        daemon: usize,
    },
    Start {
        daemon: usize,
    },
}
