//! Reports the number of store calls by purpose, which shows what coordinating a fleet costs.

use std::time::Duration;

use bankcove_ports::Store;
use bankcove_ports::calls::CallCount;

use crate::base::Base;

/// Interval between two log lines of 200 bytes each. No line is written if there were no calls.
const REPORT_INTERVAL: Duration = Duration::from_millis(5_000);

/// Logs and counts the store calls of each purpose until the daemon ends.
pub async fn report(base: Base, store: Store) {
    let mut reported = store.calls().counts();
    loop {
        tokio::select! {
            () = tokio::time::sleep(REPORT_INTERVAL) => {}
            () = base.shutdown.cancelled() => return,
        }
        let counts = store.calls().counts();
        let new = difference(&reported, &counts);
        reported = counts;
        if new.is_empty() {
            continue;
        }
        for count in &new {
            base.metrics.add(&format!("store.calls.{}", count.purpose), count.calls);
        }
        let by_purpose: Vec<String> =
            new.iter().map(|count| format!("{} {}", count.purpose, count.calls)).collect();
        slog::info!(base.log, "store called";
            "calls" => new.iter().map(|count| count.calls).sum::<u64>(),
            "by_purpose" => by_purpose.join(", "), "in_ms" => REPORT_INTERVAL.as_millis() as u64);
    }
}

/// Returns the calls counted since `before`, without purposes that had none.
fn difference(before: &[CallCount], now: &[CallCount]) -> Vec<CallCount> {
    let subtract = |(before, now): (&CallCount, &CallCount)| CallCount {
        purpose: now.purpose,
        calls: now.calls - before.calls,
    };
    before.iter().zip(now).map(subtract).filter(|count| count.calls > 0).collect()
}
