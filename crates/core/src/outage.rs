//! When callers are told to come back while the store is away.
//!
//! Load pattern: the store is away from all daemons, what owners keep of a budget is used
//! up, and each caller comes back once. Nobody knows how long it lasts: of outages that
//! have lasted for some time, half are over in as long again, two of three in twice as
//! long. A caller that comes back too early has used up its retry.

use crate::Millis;

/// Word of the store is as old as this though it is there, in milliseconds: readers hear
/// of it each 1.5 s, heartbeats take another 0.5 to 1 s.
const USUAL_STORE_AGE_MS: Millis = 2_500;

/// When to come back while the store seems to be there, in milliseconds: another daemon,
/// which the next try comes to, reaches an owner that this one did not.
const OTHER_DAEMON_RETRY_MS: Millis = 300;

/// Times the age of an outage after which two of three are over.
const OUTAGE_AGE_FACTOR: f64 = 2.0;

/// Callers that are refused together come back within this part of the time to each
/// other, so that what has come free by then is not asked for at once.
const JITTER_FRACTION: f64 = 0.25;

/// Longest time to come back, in milliseconds: callers with a deadline of 15 s wait for a
/// third of it at most.
const MAX_RETRY_MS: f64 = 10_000.0;

/// Shortest and longest time to come back to a daemon that has started and knows no table
/// yet, in milliseconds: where others have it, it is handed over in some 100 ms.
const START_RETRY_RANGE_MS: (f64, f64) = (100.0, 3_000.0);

/// When to come back to a daemon that started `age_ms` ago and knows no table yet, in
/// milliseconds. Load pattern: all daemons start at once while the store is away, each
/// caller comes back once, and 100 ms later nothing has changed.
pub fn retry_after_start(age_ms: Millis, jitter: f64) -> Millis {
    let mean =
        (age_ms as f64 * OUTAGE_AGE_FACTOR).clamp(START_RETRY_RANGE_MS.0, START_RETRY_RANGE_MS.1);
    (mean * (1.0 + JITTER_FRACTION * (jitter - 0.5))) as Millis
}

/// When to come back after tokens were out of reach, in milliseconds; the store was heard
/// `store_age_ms` ago. `jitter` is drawn from 0 to 1.
pub fn retry_after_outage(store_age_ms: Option<Millis>, jitter: f64) -> Millis {
    let Some(age_ms) = store_age_ms.filter(|age| *age > USUAL_STORE_AGE_MS) else {
        return OTHER_DAEMON_RETRY_MS;
    };
    let mean = (age_ms as f64 * OUTAGE_AGE_FACTOR).min(MAX_RETRY_MS);
    (mean * (1.0 + JITTER_FRACTION * (jitter - 0.5))) as Millis
}
