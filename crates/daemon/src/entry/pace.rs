//! How a stream came: the time to its first event, and its longest pause.

use std::time::Duration;

use tokio::time::Instant;

/// How the events of one stream came, as this daemon read them.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    arrived: Instant,
    first: Option<Duration>,
    last: Instant,
    longest_pause: Duration,
}

impl Pace {
    /// The pace of a stream that was asked for at `arrived`.
    pub fn since(arrived: Instant) -> Self {
        Pace { arrived, first: None, last: arrived, longest_pause: Duration::ZERO }
    }

    /// Takes in that an event has come now.
    pub fn event(&mut self) {
        let now = Instant::now();
        if self.first.is_none() {
            self.first = Some(now - self.arrived);
        } else {
            self.longest_pause = self.longest_pause.max(now - self.last);
        }
        self.last = now;
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
