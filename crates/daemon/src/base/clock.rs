//! Clocks of the daemon; no other module reads the host's clocks.
//!
//! The monotonic clock, and with it tokio's timers, does not advance while a host is suspended.
//! Ages measured by it would be too low after the host resumes, and waits for deadlines would end
//! too late: tokens, lists and callers' deadlines would be used after they expired. The daemon
//! therefore measures time, and ends waits, by a clock that includes suspensions.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bankcove_core::Millis;
use nix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;

/// Number of milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;

/// Number of hours in a day.
const HOURS_PER_DAY: u64 = 24;

/// Source of time; both times count from the same fixed start.
pub trait TimeSource: Send + Sync + fmt::Debug {
    /// Returns the elapsed time, including suspensions.
    fn elapsed(&self) -> Duration;

    /// Returns the elapsed time without suspensions.
    fn elapsed_awake(&self) -> Duration;
}

/// Clocks of the host.
#[derive(Debug)]
struct HostTime {
    start: Instant,
}

impl TimeSource for HostTime {
    fn elapsed(&self) -> Duration {
        // Available since Linux 2.6.39; without it suspensions are not detected.
        let boot_time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        boot_time.map_or_else(|_| self.elapsed_awake(), Duration::from)
    }

    fn elapsed_awake(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Clock of this process; clones share its source.
#[derive(Debug, Clone)]
pub struct Clock {
    source: Arc<dyn TimeSource>,
    start: Duration,
    /// Notified after the host has resumed from a suspension.
    resumed: Arc<Notify>,
    waits: Arc<Waits>,
}

/// Pending waits for a moment.
#[derive(Debug, Default)]
struct Waits {
    pending: AtomicUsize,
    begun: Notify,
}

/// A pending wait; it ends on drop.
struct PendingWait<'a>(&'a Waits);

impl<'a> PendingWait<'a> {
    fn begin(waits: &'a Waits) -> Self {
        if waits.pending.fetch_add(1, Ordering::Relaxed) == 0 {
            waits.begun.notify_one();
        }
        PendingWait(waits)
    }
}

impl Drop for PendingWait<'_> {
    fn drop(&mut self) {
        self.0.pending.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Clock {
    /// Creates a clock of this host that starts now.
    pub fn start() -> Self {
        Clock::with_source(Arc::new(HostTime { start: Instant::now() }))
    }

    /// Creates a clock that reads `source` and starts now.
    pub fn with_source(source: Arc<dyn TimeSource>) -> Self {
        let start = source.elapsed();
        Clock { source, start, resumed: Arc::default(), waits: Arc::default() }
    }

    /// Returns the milliseconds since the start, including suspensions; never decreases.
    pub fn now(&self) -> Millis {
        self.source.elapsed().saturating_sub(self.start).as_millis() as Millis
    }

    /// Returns how long the host was suspended in total, counted from a fixed start.
    pub fn suspended_time(&self) -> Duration {
        self.source.elapsed().saturating_sub(self.source.elapsed_awake())
    }

    /// Makes all pending waits check their deadlines again, after the host has resumed.
    pub fn notify_resumed(&self) {
        self.resumed.notify_waiters();
    }

    /// Completes when any wait for a moment is pending.
    pub async fn wait_pending(&self) {
        while self.waits.pending.load(Ordering::Relaxed) == 0 {
            self.waits.begun.notified().await;
        }
    }

    /// Returns the time left until `moment`; zero when it has passed.
    pub fn time_until(&self, moment: Millis) -> Duration {
        Duration::from_millis(moment.saturating_sub(self.now()))
    }

    /// Waits until `moment`; time in which the host is suspended counts.
    pub async fn sleep_until(&self, moment: Millis) {
        let _pending = PendingWait::begin(&self.waits);
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

    /// Returns the output of `future`, or `None` if it has not completed by `moment`.
    pub async fn timeout_at<F: Future>(&self, moment: Millis, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep_until(moment) => None,
        }
    }

    /// Returns the milliseconds since 1970 by the host's wall clock.
    pub fn unix_ms(&self) -> Millis {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as Millis)
    }

    /// Returns the hour of the day (UTC).
    pub fn utc_hour(&self) -> usize {
        (self.unix_ms() / HOUR_MS % HOURS_PER_DAY) as usize
    }
}
