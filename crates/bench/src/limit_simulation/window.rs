//! What a server got, counted as its owner counts it.

use bankcove_core::Millis;

/// Hosts are bound from so long after the limit was named first, in milliseconds.
pub const GRACE_MS: Millis = 3_000;

/// Any span of this length is counted, in milliseconds.
pub const WINDOW_MS: Millis = 4_000;

/// What a server may get in a window, over its limit.
const ALLOWED_FACTOR: f64 = 1.5;

/// What it may get beyond that.
const ALLOWED_EXTRA: f64 = 5.0;

/// Most requests that may come in a window.
pub fn allowed_requests(per_second: f64) -> f64 {
    per_second * (WINDOW_MS as f64 / 1_000.0) * ALLOWED_FACTOR + ALLOWED_EXTRA
}

/// Most of these times, in ascending order, that lie within a window.
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
