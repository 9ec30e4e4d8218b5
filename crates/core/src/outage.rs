//! Retry delays that callers are given while the store is unavailable.
//!
//! Load pattern: no daemon can reach the store, the tokens that owners hold of a budget are
//! used up, and each caller retries once. The length of an outage is unknown in advance: of
//! the outages that have lasted for some time, half end within the same time again and two
//! of three within twice that time. A caller that retries too early has used up its retry.

use crate::Millis;

/// Age that the last contact with the store may have while the store is available, in
/// milliseconds: readers contact it every 1.5 s, and heartbeats take another 0.5 to 1 s to
/// spread this.
const USUAL_STORE_AGE_MS: Millis = 2_500;

/// Retry delay while the store seems available, in milliseconds: the retry goes to another
/// daemon, which reaches an owner that this one did not.
const OTHER_DAEMON_RETRY_MS: Millis = 300;

/// Multiple of an outage's age within which two of three outages end.
const OUTAGE_AGE_FACTOR: f64 = 2.0;

/// Range of the random jitter as a fraction of the delay: callers that are refused together
/// do not all request the tokens that have become available at the same time.
const JITTER_FRACTION: f64 = 0.25;

/// Longest retry delay before jitter, in milliseconds. It leaves a third of a deadline of 15 s for
/// the retry.
const MAX_RETRY_MS: f64 = 10_000.0;

/// Shortest and longest retry delay, before jitter, of a daemon that has started and has no
/// table yet, in milliseconds: when peers have the table, it is received in about 100 ms.
const START_RETRY_RANGE_MS: (f64, f64) = (100.0, 3_000.0);

/// Returns the retry delay, in milliseconds, of a daemon that started `age_ms` ago and has no
/// table yet. `jitter` is random, from 0 to 1. Load pattern: all daemons start at once while the
/// store is unavailable, each caller retries once, and after 100 ms nothing has changed.
pub fn retry_after_start(age_ms: Millis, jitter: f64) -> Millis {
    let mean =
        (age_ms as f64 * OUTAGE_AGE_FACTOR).clamp(START_RETRY_RANGE_MS.0, START_RETRY_RANGE_MS.1);
    (mean * (1.0 + JITTER_FRACTION * (jitter - 0.5))) as Millis
}

/// Returns the retry delay, in milliseconds, after tokens could not be obtained. The last contact
/// with the store was `store_age_ms` ago; `jitter` is random, from 0 to 1.
pub fn retry_after_outage(store_age_ms: Option<Millis>, jitter: f64) -> Millis {
    let Some(age_ms) = store_age_ms.filter(|age| *age > USUAL_STORE_AGE_MS) else {
        return OTHER_DAEMON_RETRY_MS;
    };
    let mean = (age_ms as f64 * OUTAGE_AGE_FACTOR).min(MAX_RETRY_MS);
    (mean * (1.0 + JITTER_FRACTION * (jitter - 0.5))) as Millis
}
