//! Faults that can be set on a stand-in.

use std::time::Duration;

use salvo::http::{HeaderMap, HeaderValue};
use serde::{Deserialize, Serialize};

/// Header of responses: number of requests per second that the server accepts from all daemons
/// together.
const LIMIT_HEADER: &str = "x-requests-per-second";

/// Header of all responses of a leaving server.
const LEAVING_HEADER: &str = "x-server-leaving";

/// Faults of any stand-in; each kind of stand-in uses those that apply to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call fails with status 503.
    pub down: bool,
    /// Delay of every response, in milliseconds.
    pub delay_ms: u64,
    /// Fraction of writes that take effect but are answered with status 500.
    pub lose_answers: f64,
    /// Age of the returned host list, in milliseconds.
    pub hosts_lag_ms: u64,
    /// Number of chunks after which streams break off; 0 means never.
    pub cut_after: u64,
    /// Whether each chunk of a stream is followed by one of another stream.
    pub misdirect: bool,
    /// Whether each chunk of a stream is sent twice.
    pub repeat: bool,
    /// Announced limit of requests per second from all daemons together.
    pub limit_per_s: Option<f64>,
    /// Whether the stand-in announces that it is leaving.
    pub says_leaving: bool,
    /// Time in the `retry-after` header, in seconds. If set, all requests are refused.
    pub rest_s: Option<f64>,
    /// Whether each run starts, but is answered with a refusal of another attempt.
    pub misplace_refusals: bool,
    /// Factor by which the time per token is multiplied; 0 means 1.
    pub slow_factor: u64,
}

impl Faults {
    /// Inserts the headers that announce a limit, leaving and a retry time, as far as they are set.
    pub fn insert_hint_headers(&self, headers: &mut HeaderMap) {
        let mut insert = |name: &'static str, value: Option<String>| {
            if let Some(Ok(value)) = value.map(|value| HeaderValue::from_str(&value)) {
                headers.insert(name, value);
            }
        };
        insert(LIMIT_HEADER, self.limit_per_s.map(|limit| limit.to_string()));
        insert(LEAVING_HEADER, self.says_leaving.then(|| "1".to_owned()));
        insert("retry-after", self.rest_s.map(|rest| rest.to_string()));
    }

    /// Returns the delay of every response.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }
}
