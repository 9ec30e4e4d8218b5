//! The one place that reads clocks.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bankcove_core::Millis;

/// Milliseconds of an hour.
const HOUR_MS: u64 = 3_600_000;

/// Hours of a day.
const HOURS: u64 = 24;

/// Clocks of this process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Milliseconds since the start; never goes back.
    pub fn now(self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    /// Milliseconds since 1970, by the host's clock.
    pub fn unix_ms(self) -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as Millis)
    }

    /// The hour of the day, UTC.
    pub fn hour(self) -> usize {
        (self.unix_ms() / HOUR_MS % HOURS) as usize
    }
}
