//! What a server says of its limit in the head of an answer.

use serde::{Deserialize, Serialize};

/// Requests a second that a server takes from all daemons together; a number from 0 on.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// A rate; none for what is no number, endless or below zero.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        // Zero has two signs, and equal rates are to have equal bits.
        is_rate.then_some(RequestRate(per_second.abs()))
    }

    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What the head of one answer says.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum LimitHeader {
    /// It names no limit.
    #[default]
    Absent,
    /// The limit.
    Limit(RequestRate),
    /// It names what is no limit, and so neither sets nor lifts one.
    Malformed(String),
}

impl LimitHeader {
    /// Reads the values of a header. Of several rates the lowest counts, whichever is meant.
    pub fn parse<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let mut word = LimitHeader::Absent;
        for text in values.into_iter().flat_map(|value| value.split(',')) {
            let rate = text.trim().parse().ok().and_then(RequestRate::new);
            word = match (word, rate) {
                (LimitHeader::Limit(known), Some(rate)) if known <= rate => {
                    LimitHeader::Limit(known)
                }
                (_, Some(rate)) => LimitHeader::Limit(rate),
                (LimitHeader::Absent, None) => LimitHeader::Malformed(text.trim().to_owned()),
                (known, None) => known,
            };
        }
        word
    }
}
