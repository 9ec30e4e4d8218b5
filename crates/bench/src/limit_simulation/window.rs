//! Check of a server's limit by counting its requests in time windows, as the operator of
//! the server counts them.

use bankcove_core::Millis;

/// Time after the first announcement of a limit from which it binds all hosts, in milliseconds.
pub const GRACE_MS: Millis = 3_000;

/// Length of the windows, in milliseconds; a window may start at any time.
pub const WINDOW_MS: Millis = 4_000;

/// Allowed requests in a window, as a multiple of the limit.
const ALLOWED_FACTOR: f64 = 1.5;

/// Further allowed requests in a window.
const ALLOWED_EXTRA: f64 = 5.0;

/// Returns the number of requests that are allowed in a window at this limit.
pub fn allowed_requests(per_second: f64) -> f64 {
    per_second * (WINDOW_MS as f64 / 1_000.0) * ALLOWED_FACTOR + ALLOWED_EXTRA
}

/// Returns the largest number of `times`, which are in ascending order, within one window.
pub fn max_per_window(times: &[Millis]) -> usize {
    let mut first = 0;
    let mut worst = 0;
    for (last, at) in times.iter().enumerate() {
        while times[first] + WINDOW_MS <= *at {
            first += 1;
        }
        worst = worst.max(last + 1 - first);
    }
    worst
}
