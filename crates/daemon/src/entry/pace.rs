//! Timing of a stream: the time to its first event, its usual event interval and its longest pause.

use std::time::Duration;

use bankcove_core::router::StreamPace;
use tokio::time::Instant;

/// Width of a histogram bucket of event intervals; the last bucket also counts longer intervals.
const BUCKET_WIDTH: Duration = Duration::from_micros(500);
const BUCKETS: usize = 128;

/// Quantile of the event intervals that is taken as the usual one: while the server reads prompts,
/// up to half of the intervals are longer.
const USUAL_QUANTILE: f64 = 0.25;

/// Minimum number of event intervals for a result.
const MIN_INTERVALS: u32 = 8;

/// Minimum number of event intervals for their mean.
const MIN_MEAN_INTERVALS: u32 = 2;

/// Measures the timing of the events of one stream, as this daemon receives them.
#[derive(Debug, Clone)]
pub struct PaceMeter {
    requested_at: Instant,
    first: Option<Duration>,
    last_event_at: Instant,
    longest_pause: Duration,
    /// Histogram of the event intervals.
    intervals: Box<[u16; BUCKETS]>,
    count: u32,
}

impl PaceMeter {
    /// Creates the meter of a stream whose request was received `age` ago.
    pub fn started_before(age: Duration) -> Self {
        let now = Instant::now();
        let requested_at = now.checked_sub(age).unwrap_or(now);
        let intervals = Box::new([0; BUCKETS]);
        let longest_pause = Duration::ZERO;
        PaceMeter {
            requested_at,
            first: None,
            last_event_at: requested_at,
            longest_pause,
            intervals,
            count: 0,
        }
    }

    /// Records that an event is received now.
    pub fn record_event(&mut self) {
        let now = Instant::now();
        if self.first.is_none() {
            self.first = Some(now - self.requested_at);
        } else {
            self.record_interval(now - self.last_event_at);
        }
        self.last_event_at = now;
    }

    fn record_interval(&mut self, interval: Duration) {
        self.longest_pause = self.longest_pause.max(interval);
        let index = (interval.as_micros() / BUCKET_WIDTH.as_micros()) as usize;
        let bucket = &mut self.intervals[index.min(BUCKETS - 1)];
        *bucket = bucket.saturating_add(1);
        self.count += 1;
    }

    /// Returns the timing of the server; `None` if there were too few events.
    pub fn server_pace(&self) -> Option<StreamPace> {
        if self.count < MIN_INTERVALS {
            return None;
        }
        let rank = (f64::from(self.count) * USUAL_QUANTILE) as u32;
        let mut below = 0;
        let index = self.intervals.iter().position(|count| {
            below += u32::from(*count);
            below > rank
        });
        let buckets = index.unwrap_or(BUCKETS - 1) as f64 + 0.5;
        let longest_pause_ms = self.longest_pause.as_secs_f64() * 1000.0;
        Some(StreamPace {
            event_ms: buckets * BUCKET_WIDTH.as_secs_f64() * 1000.0,
            longest_pause_ms,
        })
    }

    /// Returns the mean event interval, in milliseconds; `None` if there were too few events.
    pub fn mean_interval_ms(&self) -> Option<f64> {
        let total = self.last_event_at - self.requested_at - self.first?;
        let is_measured = self.count >= MIN_MEAN_INTERVALS;
        is_measured.then(|| total.as_secs_f64() * 1000.0 / f64::from(self.count))
    }

    /// Returns the time from the request to the first event, in milliseconds.
    pub fn first_ms(&self) -> Option<u64> {
        self.first.map(|first| first.as_millis() as u64)
    }

    /// Returns the longest interval between two events, in milliseconds.
    pub fn longest_pause_ms(&self) -> u64 {
        self.longest_pause.as_millis() as u64
    }
}
