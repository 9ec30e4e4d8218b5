//! The part of the fleet's retries that one daemon may spend.

use bankcove_core::Name;
use bankcove_core::retry_budget::{Allowance, RetryBudget};

const WINDOW_MS: u64 = 10_000;

fn budget(ratio: f64, extra: f64) -> RetryBudget {
    RetryBudget::new(Allowance { ratio, extra, window_ms: WINDOW_MS })
}

fn repeats(budget: &mut RetryBudget, daemons: usize, now: u64) -> usize {
    let service = Name::from("plain");
    (0..1_000).take_while(|_| budget.try_retry(&service, daemons, now)).count()
}

#[test]
fn all_daemons_together_stay_within_the_allowance() {
    let allowed = 0.2 * 400.0 + 50.0;
    let mut spent = 0;
    for _ in 0..4 {
        let mut mine = budget(0.2, 50.0);
        (0..100).for_each(|_| mine.record_request(&Name::from("plain"), 0));
        spent += repeats(&mut mine, 4, 0);
    }
    assert!(spent > 0 && spent as f64 <= allowed, "{spent} of {allowed}");
}

#[test]
fn repeats_are_allowed_again_after_the_window() {
    let mut mine = budget(0.0, 10.0);
    let first = repeats(&mut mine, 1, 0);
    assert_eq!(repeats(&mut mine, 1, WINDOW_MS - 1), 0);
    assert_eq!(repeats(&mut mine, 1, WINDOW_MS), first);
}

#[test]
fn services_do_not_share_their_repeats() {
    let mut mine = budget(0.0, 10.0);
    repeats(&mut mine, 1, 0);
    assert!(mine.try_retry(&Name::from("other"), 1, 0));
}

#[test]
fn another_allowance_is_in_force_at_once() {
    let mut mine = budget(0.0, 0.0);
    assert_eq!(repeats(&mut mine, 1, 0), 0);
    mine.set_allowance(Allowance { ratio: 0.0, extra: 10.0, window_ms: WINDOW_MS });
    assert!(repeats(&mut mine, 1, 0) > 0);
}
