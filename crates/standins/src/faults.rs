//! The faults that a stand-in can be told to show.

use std::time::Duration;

use salvo::http::{HeaderMap, HeaderValue};
use serde::{Deserialize, Serialize};

/// On answers to requests: how many a second the server takes from all daemons together.
const LIMIT_HEADER: &str = "x-requests-per-second";

/// On any answer of a server that leaves.
const LEAVING_HEADER: &str = "x-server-leaving";

/// Faults of any stand-in; each reads the ones that concern it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails with 503.
    pub down: bool,
    /// Every call is answered this much later, in milliseconds.
    pub delay_ms: u64,
    /// Share of writes that take effect and are answered with 500.
    pub lose_answers: f64,
    /// The host list is this many milliseconds old.
    pub hosts_lag_ms: u64,
    /// Streams break off after this many pieces; 0 means never.
    pub cut_after: u64,
    /// Each piece of a stream is followed by one of another stream.
    pub misdirect: bool,
    /// Each piece of a stream is sent twice.
    pub repeat: bool,
    /// Requests a second that it says it takes from all daemons together.
    pub limit_per_s: Option<f64>,
    /// Whether it says that it leaves.
    pub says_leaving: bool,
    /// Requests are turned away, and this much rest is asked for, in seconds.
    pub rest_s: Option<f64>,
    /// Steps take this many times as long; 0 means 1.
    pub slow_factor: u64,
}

impl Faults {
    /// Has the answer to a request say what the server says of itself.
    pub fn insert_hint_headers(&self, headers: &mut HeaderMap) {
        let mut put = |name: &'static str, value: Option<String>| {
            if let Some(Ok(value)) = value.map(|value| HeaderValue::from_str(&value)) {
                headers.insert(name, value);
            }
        };
        put(LIMIT_HEADER, self.limit_per_s.map(|limit| limit.to_string()));
        put(LEAVING_HEADER, self.says_leaving.then(|| "1".to_owned()));
        put("retry-after", self.rest_s.map(|rest| rest.to_string()));
    }

    /// The delay of every call.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
