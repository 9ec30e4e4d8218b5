//! Ages and deadlines on a host that is suspended. The monotonic clock and tokio's timers stop
//! during a suspension; the daemon's clock includes it.

use std::sync::Arc;
use std::time::Duration;

use bankcove_core::freshness::{Freshness, answer_time};
use bankcoved::base::clock::{Clock, TimeSource};
use parking_lot::Mutex;
use yare::parameterized;

#[derive(Debug, Default)]
struct Host {
    awake: Mutex<Duration>,
    suspended: Mutex<Duration>,
}

impl Host {
    fn run(&self, time: Duration) {
        *self.awake.lock() += time;
    }

    fn suspend(&self, time: Duration) {
        *self.suspended.lock() += time;
    }
}

impl TimeSource for Host {
    fn elapsed(&self) -> Duration {
        *self.awake.lock() + *self.suspended.lock()
    }

    fn elapsed_awake(&self) -> Duration {
        *self.awake.lock()
    }
}

const SECOND: Duration = Duration::from_secs(1);

fn host() -> (Arc<Host>, Clock) {
    let host = Arc::new(Host::default());
    (Arc::clone(&host), Clock::with_source(host))
}

#[test]
fn the_age_of_a_view_includes_a_suspension() {
    let (host, clock) = host();
    let mut view = Freshness::new(false);
    view.record_table_read(clock.now());
    view.record_servers_read(clock.now());
    host.run(SECOND);
    host.suspend(8 * SECOND);
    assert_eq!(view.age(clock.now()), Some(9_000));
    assert_eq!(clock.suspended_time(), 8 * SECOND);
}

#[tokio::test(start_paused = true)]
async fn a_wait_whose_deadline_passed_in_a_suspension_ends_on_resume() {
    let (host, clock) = host();
    let deadline = clock.now() + 15_000;
    let waiting = clock.clone();
    let wait =
        tokio::spawn(
            async move { waiting.timeout_at(deadline, std::future::pending::<()>()).await },
        );
    tokio::task::yield_now().await;
    host.suspend(20 * SECOND);
    clock.notify_resumed();
    // tokio's clock has not advanced, so only the notification can end the wait.
    assert_eq!(wait.await.expect("the wait ends"), None);
    assert!(clock.time_until(deadline).is_zero());
}

#[tokio::test(start_paused = true)]
async fn a_wait_whose_deadline_is_after_the_suspension_continues() {
    let (host, clock) = host();
    let deadline = clock.now() + 15_000;
    host.suspend(5 * SECOND);
    clock.notify_resumed();
    let waited = clock.timeout_at(deadline, async { 1 }).await;
    assert_eq!(waited, Some(1));
    assert_eq!(clock.time_until(deadline), 10 * SECOND);
}

#[parameterized(
    at_once = { 1_010, 1_010 },
    after_the_longest_wait = { 3_500, 3_500 },
    after_a_suspension = { 9_000, 1_000 },
)]
fn an_answer_read_after_a_suspension_is_as_old_as_its_request(received_at: u64, expected: u64) {
    assert_eq!(answer_time(1_000, received_at, 2_500), expected);
}
