//! The one place that reads clocks.
//!
//! A host may be suspended. Its steady clock stands still meanwhile, and with it tokio's
//! timers: ages and deadlines taken from it would look younger than they are when the host
//! wakes, and its tokens, lists and callers' time would be used after they ran out. All of
//! them are counted by a clock that goes on, and waits end by it.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bankcove_core::Millis;
use nix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;

/// Milliseconds of an hour.
const HOUR_MS: u64 = 3_600_000;

/// Hours of a day.
const HOURS: u64 = 24;

/// What a clock reads, each counted from some fixed start.
pub trait TimeSource: Send + Sync + fmt::Debug {
    /// Time that has passed, that of suspensions included.
    fn elapsed(&self) -> Duration;

    /// Time that the host was awake.
    fn elapsed_awake(&self) -> Duration;
}

/// The host's clocks.
#[derive(Debug)]
struct HostTime {
    start: Instant,
}

impl TimeSource for HostTime {
    fn elapsed(&self) -> Duration {
        // Every kernel since 2.6.39 has it; without it a suspension can't be seen.
        let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
        read.map_or_else(|_| self.elapsed_awake(), Duration::from)
    }

    fn elapsed_awake(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Clocks of this process; copies share them.
#[derive(Debug, Clone)]
pub struct Clock {
    source: Arc<dyn TimeSource>,
    start: Duration,
    /// Told when the host has woken from a suspension.
    resumed: Arc<Notify>,
}

impl Clock {
    /// A clock that starts now, of this host.
    pub fn start() -> Self {
        Clock::with_source(Arc::new(HostTime { start: Instant::now() }))
    }

    /// A clock that starts now and reads `source`.
    pub fn with_source(source: Arc<dyn TimeSource>) -> Self {
        let start = source.elapsed();
        Clock { source, start, resumed: Arc::default() }
    }

    /// Milliseconds since the start; never goes back, nor stands still in a suspension.
    pub fn now(&self) -> Millis {
        self.source.elapsed().saturating_sub(self.start).as_millis() as Millis
    }

    /// How long the host was suspended, counted from some fixed start.
    pub fn suspended_time(&self) -> Duration {
        self.source.elapsed().saturating_sub(self.source.elapsed_awake())
    }

    /// The host has woken: who waits until some moment looks anew whether it has passed.
    pub fn notify_resumed(&self) {
        self.resumed.notify_waiters();
    }

    /// Time until `moment`.
    pub fn time_until(&self, moment: Millis) -> Duration {
        Duration::from_millis(moment.saturating_sub(self.now()))
    }

    /// Waits until `moment`, by the time that passes while the host is suspended too.
    pub async fn sleep_until(&self, moment: Millis) {
        loop {
            let resumed = self.resumed.notified();
            let left = self.time_until(moment);
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                () = resumed => {}
            }
        }
    }

    /// What `waited` comes to, if it does so before `moment`.
    pub async fn timeout_at<F: Future>(&self, moment: Millis, waited: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = waited => Some(output),
            () = self.sleep_until(moment) => None,
        }
    }

    /// Milliseconds since 1970, by the host's clock.
    pub fn unix_ms(&self) -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as Millis)
    }

    /// The hour of the day, UTC.
    pub fn utc_hour(&self) -> usize {
        (self.unix_ms() / HOUR_MS % HOURS) as usize
    }
}
