//! What backend servers say of themselves in the heads of their answers.

mod leaving;
mod rest_periods;

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

pub use leaving::{LeavingFact, LeavingServers};
pub use rest_periods::RestPeriods;

use crate::Millis;
use crate::limits::{LimitFact, LimitWord};

/// How long what a start of a server has said is remembered after it, in milliseconds, when
/// nobody lists that start: longer than lists of hosts that were cut off lag behind.
const HOLD_MS: Millis = 600_000;

/// One thing that a head may say.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Hint<T> {
    /// It doesn't say it.
    #[default]
    Absent,
    /// It says this.
    Given(T),
    /// It says what can't be read, which changes nothing.
    Unreadable(String),
}

/// All that one head says.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServerHints {
    /// How many requests a second the server takes from all daemons together.
    pub limit: LimitWord,
    /// The server takes no new requests, and ends.
    pub leaving: Hint<()>,
    /// The server wants nothing from this daemon for so many milliseconds.
    pub rest: Hint<Millis>,
}

/// One thing that a server has said, for a peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HintFact {
    /// Its limit.
    Limit(LimitFact),
    /// That it leaves.
    Leaving(LeavingFact),
}

impl HintFact {
    /// The same fact, told so much later.
    #[must_use]
    pub fn aged(mut self, by_ms: Millis) -> Self {
        match &mut self {
            HintFact::Limit(fact) => {
                fact.asked_age_ms += by_ms;
                fact.heard_age_ms += by_ms;
            }
            HintFact::Leaving(fact) => fact.age_ms += by_ms,
        }
        self
    }
}

/// Why a server must not be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Closed {
    /// It has said that it leaves.
    #[error("the server leaves")]
    Leaving,
    /// It has asked this daemon for rest.
    #[error("the server rests for {left_ms} ms")]
    Resting {
        /// How much longer, in milliseconds.
        left_ms: Millis,
    },
}

/// Reads a header that marks a server as leaving: `1`. `0` says nothing; of several, one mark
/// is enough.
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

/// Reads `Retry-After` of a 503: seconds, also fractions, or an HTTP date, which counts from
/// the answer's own `Date`, since no two hosts have the same clock. Of several the longest
/// counts; one that is over already says nothing.
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
