//! How a stream came: the time to its first event, and its longest pause.

use std::time::Duration;

use bankcove_core::router::StreamPace;
use tokio::time::Instant;

/// Times between two events are counted in steps of this, up to the last one.
const STEP: Duration = Duration::from_micros(500);
const STEPS: usize = 128;

/// The part of the times between two events that is shorter than the usual one:
/// while the server reads prompts, up to half of them are longer.
const USUAL_QUANTILE: f64 = 0.25;

/// Fewer times between two events than these tell nothing.
const MIN_TIMES: u32 = 8;

/// How the events of one stream came, as this daemon read them.
#[derive(Debug, Clone)]
pub struct PaceMeter {
    arrived: Instant,
    first: Option<Duration>,
    last: Instant,
    longest_pause: Duration,
    /// Times between two events, by their length in steps.
    times: Box<[u16; STEPS]>,
    count: u32,
}

impl PaceMeter {
    /// The pace of a stream that was asked for this long ago.
    pub fn started_before(age: Duration) -> Self {
        let now = Instant::now();
        let arrived = now.checked_sub(age).unwrap_or(now);
        let times = Box::new([0; STEPS]);
        let longest_pause = Duration::ZERO;
        PaceMeter { arrived, first: None, last: arrived, longest_pause, times, count: 0 }
    }

    /// Takes in that an event has come now.
    pub fn record_event(&mut self) {
        let now = Instant::now();
        if self.first.is_none() {
            self.first = Some(now - self.arrived);
        } else {
            self.pause(now - self.last);
        }
        self.last = now;
    }

    fn pause(&mut self, pause: Duration) {
        self.longest_pause = self.longest_pause.max(pause);
        let steps = (pause.as_micros() / STEP.as_micros()) as usize;
        let place = &mut self.times[steps.min(STEPS - 1)];
        *place = place.saturating_add(1);
        self.count += 1;
    }

    /// What it shows of its server; none when it was too short.
    pub fn server_pace(&self) -> Option<StreamPace> {
        if self.count < MIN_TIMES {
            return None;
        }
        let rank = (f64::from(self.count) * USUAL_QUANTILE) as u32;
        let mut passed = 0;
        let steps = self.times.iter().position(|times| {
            passed += u32::from(*times);
            passed > rank
        });
        let steps = steps.unwrap_or(STEPS - 1) as f64 + 0.5;
        let longest_pause_ms = self.longest_pause.as_secs_f64() * 1000.0;
        Some(StreamPace { event_ms: steps * STEP.as_secs_f64() * 1000.0, longest_pause_ms })
    }

    /// Time from the request to the first event, in milliseconds.
    pub fn first_ms(&self) -> Option<u64> {
        self.first.map(|first| first.as_millis() as u64)
    }

    /// Longest time between two events, in milliseconds.
    pub fn longest_pause_ms(&self) -> u64 {
        self.longest_pause.as_millis() as u64
    }
}
