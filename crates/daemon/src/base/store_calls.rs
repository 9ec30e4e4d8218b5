//! Tells what the calls of the store were for: what a fleet costs to keep together.

use std::time::Duration;

use bankcove_ports::Store;
use bankcove_ports::calls::CallCount;

use crate::base::Base;

/// Time between two lines: one line of 200 bytes a daemon, and none while it asks nothing.
const INTERVAL: Duration = Duration::from_millis(5_000);

/// Tells the calls of each purpose, until the daemon ends.
pub async fn report(base: Base, store: Store) {
    let mut told = store.calls().counts();
    loop {
        tokio::select! {
            () = tokio::time::sleep(INTERVAL) => {}
            () = base.ended.cancelled() => return,
        }
        let counts = store.calls().counts();
        let new = since(&told, &counts);
        told = counts;
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
            "by_purpose" => by_purpose.join(", "), "in_ms" => INTERVAL.as_millis() as u64);
    }
}

/// What was counted since `before`, without purposes of which nothing was.
fn since(before: &[CallCount], now: &[CallCount]) -> Vec<CallCount> {
    let difference = |(before, now): (&CallCount, &CallCount)| CallCount {
        purpose: now.purpose,
        calls: now.calls - before.calls,
    };
    before.iter().zip(now).map(difference).filter(|count| count.calls > 0).collect()
}
