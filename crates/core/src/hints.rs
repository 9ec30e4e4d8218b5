//! Hints that backend servers send in their response headers: limits, leaving, rest periods.

mod leaving;
mod rest_periods;

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

pub use leaving::{LeavingFact, LeavingServers};
pub use rest_periods::RestPeriods;

use crate::Millis;
use crate::limits::{LimitFact, LimitHeader, RequestRate};

/// Time for which a hint of an unlisted server instance is kept, in milliseconds: longer than the
/// server list of a daemon that was cut off lags.
const UNLISTED_RETENTION_MS: Millis = 600_000;

/// Value of one hint in a response header.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Hint<T> {
    /// The header is missing or has no effect.
    #[default]
    Absent,
    /// The header has this value.
    Given(T),
    /// The header can't be parsed and is ignored.
    Unreadable(String),
}

/// All hints of one response.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServerHints {
    /// Requests per second that the server accepts from all daemons together.
    pub limit: LimitHeader,
    /// The server accepts no new requests and is shutting down.
    pub leaving: Hint<()>,
    /// Time for which this daemon must send nothing to the server, in milliseconds.
    pub rest: Hint<Millis>,
    /// Requests per second that the server can reject for lack of room, from all daemons together,
    /// before it falls over.
    pub brittle: Hint<RequestRate>,
}

/// Parses the values of the header by which a server announces that it is brittle. The lowest of
/// several numbers applies.
pub fn read_brittle<'a>(values: impl IntoIterator<Item = &'a str>) -> Hint<RequestRate> {
    match LimitHeader::parse(values) {
        LimitHeader::Absent => Hint::Absent,
        LimitHeader::Limit(rate) => Hint::Given(rate),
        LimitHeader::Unreadable(text) => Hint::Unreadable(text),
    }
}

/// A hint of a server, as daemons exchange it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HintFact {
    /// The server's limit.
    Limit(LimitFact),
    /// The server is leaving.
    Leaving(LeavingFact),
    /// The limit on the rejections of a brittle server.
    Brittle(LimitFact),
}

impl HintFact {
    /// Returns the fact with its ages increased by `by_ms`.
    #[must_use]
    pub fn aged(mut self, by_ms: Millis) -> Self {
        match &mut self {
            HintFact::Limit(fact) | HintFact::Brittle(fact) => {
                fact.request_age_ms += by_ms;
                fact.received_age_ms += by_ms;
            }
            HintFact::Leaving(fact) => fact.age_ms += by_ms,
        }
        self
    }
}

/// Reason not to send requests to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Closed {
    /// It has announced that it is leaving.
    #[error("the server leaves")]
    Leaving,
    /// It has requested a rest period from this daemon.
    #[error("the server rests for {left_ms} ms")]
    Resting {
        /// Remaining time, in milliseconds.
        left_ms: Millis,
    },
    /// The list has this instance no longer, or names it as leaving.
    #[error("the server is no longer listed as serving")]
    Unlisted,
}

/// Parses the header values that mark a server as leaving: `1` means that it is leaving, `0` that
/// it is not; one `1` among several values is enough.
pub fn read_leaving<'a>(values: impl IntoIterator<Item = &'a str>) -> Hint<()> {
    let mut hint = Hint::Absent;
    for text in values.into_iter().flat_map(|value| value.split(',')).map(str::trim) {
        match text {
            "1" => return Hint::Given(()),
            "0" => {}
            _ => hint = Hint::Unreadable(text.to_owned()),
        }
    }
    hint
}

/// Parses the `Retry-After` values of a 503 response into a rest period in milliseconds: seconds,
/// also fractions, or an HTTP date, which is relative to the response's own `Date`, since host
/// clocks differ. The longest of several values counts; one in the past counts as absent.
pub fn read_retry_after<'a>(
    values: impl IntoIterator<Item = &'a str>,
    date: Option<&str>,
) -> Hint<Millis> {
    let mut hint: Hint<Millis> = Hint::Absent;
    for text in values.into_iter().map(str::trim) {
        hint = match (hint, rest_ms(text, date)) {
            (Hint::Given(known), Some(rest)) => Hint::Given(known.max(rest)),
            (known, Some(0)) => known,
            (_, Some(rest)) => Hint::Given(rest),
            (Hint::Absent, None) => Hint::Unreadable(text.to_owned()),
            (known, None) => known,
        };
    }
    hint
}

fn rest_ms(text: &str, date: Option<&str>) -> Option<Millis> {
    if let Ok(seconds) = text.parse::<f64>() {
        let is_time = seconds.is_finite() && seconds >= 0.0;
        // The conversion saturates.
        return is_time.then(|| (seconds * 1_000.0).ceil() as Millis);
    }
    let until = httpdate::parse_http_date(text).ok()?;
    let from: SystemTime = httpdate::parse_http_date(date?).ok()?;
    let rest = until.duration_since(from).unwrap_or(Duration::ZERO);
    Some(rest.as_millis() as Millis)
}
