//! Limit headers in responses of backend servers.

use serde::{Deserialize, Serialize};

/// Requests per second that a server accepts from the whole fleet; finite and not negative.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate; `None` for NaN, infinite and negative values.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        // Maps -0.0 to 0.0, so that equal rates have equal bits.
        is_rate.then_some(RequestRate(per_second.abs()))
    }

    /// Returns the rate in requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// Limit header of one response.
#[derive(Debug, Clone, PartialEq, Default)]
pub enum LimitHeader {
    /// The response has no limit header.
    #[default]
    Absent,
    /// The server's limit.
    Limit(RequestRate),
    /// The value is not a rate; it neither sets nor lifts a limit.
    Unreadable(String),
}

impl LimitHeader {
    /// Parses the values of the header. The lowest of several rates applies.
    pub fn parse<'a>(values: impl IntoIterator<Item = &'a str>) -> Self {
        let mut header = LimitHeader::Absent;
        for text in values.into_iter().flat_map(|value| value.split(',')) {
            let rate = text.trim().parse().ok().and_then(RequestRate::new);
            header = match (header, rate) {
                (LimitHeader::Limit(known), Some(rate)) if known <= rate => {
                    LimitHeader::Limit(known)
                }
                (_, Some(rate)) => LimitHeader::Limit(rate),
                (LimitHeader::Absent, None) => LimitHeader::Unreadable(text.trim().to_owned()),
                (known, None) => known,
            };
        }
        header
    }
}
